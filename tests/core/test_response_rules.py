"""The status of the final response by outcome. REJECTED is given only if this attempt did not run."""

from __future__ import annotations

import pytest

from marlstep.admission.events import Outcome
from marlstep.core.interfaces import ResponseStatus
from marlstep.core.response_rules import (
    may_reject,
    status_after_run,
    status_of_failure,
    status_of_repeat,
    status_without_outcome,
)

NEVER_RAN = [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED]
MAY_HAVE_RUN = [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED]


@pytest.mark.parametrize("outcome", NEVER_RAN)
def test_an_outcome_that_proves_no_run_gives_rejected_unless_a_run_was_seen(outcome: Outcome) -> None:
    assert status_after_run(outcome, known_to_have_run=False) is ResponseStatus.REJECTED
    assert status_after_run(outcome, known_to_have_run=True) is ResponseStatus.FAILED


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_an_outcome_that_leaves_open_whether_the_work_ran_gives_failed(outcome: Outcome) -> None:
    assert status_after_run(outcome, known_to_have_run=False) is ResponseStatus.FAILED


def test_a_result_gives_done() -> None:
    assert status_after_run(Outcome.OK, known_to_have_run=True) is ResponseStatus.DONE


def test_without_an_outcome_a_request_that_may_have_run_is_expired_and_another_is_rejected() -> None:
    assert status_without_outcome(may_have_run=True) is ResponseStatus.EXPIRED
    assert status_without_outcome(may_have_run=False) is ResponseStatus.REJECTED


def test_a_rejection_is_withheld_only_from_work_with_an_effect_that_may_have_run() -> None:
    assert not may_reject(may_have_run=True, has_effect=True)
    assert may_reject(may_have_run=True, has_effect=False)
    assert may_reject(may_have_run=False, has_effect=True)


def test_a_failure_is_failed_after_a_failed_call_and_expired_otherwise() -> None:
    assert status_of_failure(call_failed=True) is ResponseStatus.FAILED
    assert status_of_failure(call_failed=False) is ResponseStatus.EXPIRED


def test_a_repeat_is_done_with_a_result_and_failed_otherwise() -> None:
    assert status_of_repeat(Outcome.OK) is ResponseStatus.DONE
    assert {status_of_repeat(outcome) for outcome in (*NEVER_RAN, *MAY_HAVE_RUN)} == {ResponseStatus.FAILED}
