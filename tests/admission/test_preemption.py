"""Tests of which run is preempted, and of its state afterwards."""

from __future__ import annotations

import pytest

from marlstep.admission.entry import Entry, State
from marlstep.admission.preemption import lowest_preemptible, may_preempt, state_after_preemption
from marlstep.admission.settings import ClassSettings, PreemptionMode
from tests.admission.entries import queued_entry
from tests.support.helpers import AT_MOST_ONCE, KEYED, LOW


def run(priority: float, number: int, request_class: ClassSettings = LOW) -> Entry:
    return queued_entry(
        request_class, state=State.RUNNING, has_run=True, priority=priority, arrival_number=number
    )


@pytest.mark.parametrize("response_owed", [True, False])
def test_no_run_is_preempted_if_preemption_is_disabled(response_owed: bool) -> None:
    assert not may_preempt(PreemptionMode.NONE, queued_entry(response_owed=response_owed))


def test_any_run_may_be_paused() -> None:
    assert may_preempt(PreemptionMode.PAUSE, queued_entry(AT_MOST_ONCE))


def test_a_run_that_would_be_dropped_must_be_idempotent_while_its_caller_waits() -> None:
    assert may_preempt(PreemptionMode.DROP, queued_entry(LOW))
    assert not may_preempt(PreemptionMode.DROP, queued_entry(KEYED))
    assert not may_preempt(PreemptionMode.DROP, queued_entry(AT_MOST_ONCE))
    assert may_preempt(PreemptionMode.DROP, queued_entry(AT_MOST_ONCE, response_owed=False))


def test_the_lowest_and_latest_run_below_the_priority_is_preempted() -> None:
    high, old, new = run(3.0, 1), run(1.0, 2), run(1.0, 3)
    assert lowest_preemptible([old, new, high], 2.0, PreemptionMode.PAUSE) is new


def test_a_run_is_not_preempted_for_a_request_of_the_same_priority() -> None:
    assert lowest_preemptible([run(1.0, 1)], 1.0, PreemptionMode.PAUSE) is None


def test_a_run_that_must_not_be_dropped_is_skipped() -> None:
    lowest, idempotent = run(1.0, 1, AT_MOST_ONCE), run(2.0, 2)
    assert lowest_preemptible([lowest, idempotent], 3.0, PreemptionMode.DROP) is idempotent
    assert lowest_preemptible([lowest], 3.0, PreemptionMode.DROP) is None


def test_a_preempted_run_is_paused_or_queued_again() -> None:
    assert state_after_preemption(PreemptionMode.PAUSE) is State.PAUSED
    assert state_after_preemption(PreemptionMode.DROP) is State.QUEUED
