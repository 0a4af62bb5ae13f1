"""Tests of the mapping from responses and attempts to outcomes."""

from __future__ import annotations

import pytest

from marlstep.admission.events import Outcome
from marlstep.load_balancing.retry_policy import AttemptOutcome
from marlstep.upstreams.outcomes import RUN_OUTCOMES, response_outcome, run_outcome


def test_every_outcome_of_an_attempt_has_an_outcome_of_the_run() -> None:
    assert set(RUN_OUTCOMES) == set(AttemptOutcome)


@pytest.mark.parametrize("outcome", list(AttemptOutcome))
def test_a_run_of_one_attempt_never_ran_exactly_if_the_attempt_never_ran(outcome: AttemptOutcome) -> None:
    assert run_outcome(outcome, may_have_run=False).never_ran is outcome.never_ran


@pytest.mark.parametrize("outcome", list(AttemptOutcome))
def test_a_request_that_may_have_run_is_never_reported_as_not_run(outcome: AttemptOutcome) -> None:
    expected = Outcome.RESET if outcome.never_ran else RUN_OUTCOMES[outcome]
    assert run_outcome(outcome, may_have_run=True) is expected and not expected.never_ran


def test_a_response_with_a_configured_status_is_a_rejection_and_any_other_a_success() -> None:
    assert response_outcome(503, (503, 529)) is AttemptOutcome.REJECTED
    assert response_outcome(503, ()) is AttemptOutcome.SUCCEEDED
    assert response_outcome(500, (503,)) is AttemptOutcome.SUCCEEDED
