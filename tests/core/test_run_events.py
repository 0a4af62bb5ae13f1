"""Reports of backends and call clients: preempted and ended runs, and downstream calls."""

from __future__ import annotations

from marlstep.admission.events import Outcome
from marlstep.core.interfaces import ResponseStatus
from tests.support.node import Desk


def test_a_reply_to_a_downstream_call_is_supplied_to_the_run() -> None:
    desk = Desk()
    desk.submit(1, "setpoint-cmd")
    desk.core.call_needed("r1", b"ask")
    desk.clock.settle()
    desk.core.call_ended("r1", Outcome.OK, b"told")
    desk.clock.settle()
    assert desk.backend.told == [("start", "r1"), ("call ask", "r1"), ("supply told", "r1")]


def test_a_call_with_an_unknown_outcome_fails_at_most_once_work_and_is_not_retried() -> None:
    desk = Desk()
    desk.submit(1, "setpoint-cmd")
    desk.core.call_needed("r1", b"ask")
    desk.clock.settle()
    desk.core.call_ended("r1", Outcome.RESET)
    desk.clock.advance(500)
    assert desk.verdicts(1) == [ResponseStatus.FAILED]
    assert [command for command, _ in desk.backend.told].count("call ask") == 1


def test_a_run_that_was_not_started_is_rejected_if_new_and_failed_if_it_was_paused() -> None:
    # Guards against a wrong rejection: a failed attempt to resume a paused run (NOT_STARTED) does not prove that the
    # request never ran.
    desk = Desk(cores=1)
    desk.submit(1, "setpoint-cmd")
    desk.end(1, Outcome.NOT_STARTED)
    assert desk.verdicts(1) == [ResponseStatus.REJECTED]
    desk.submit(2)
    desk.submit(3, "setpoint-cmd")
    desk.end(2, Outcome.CANCELLED)
    desk.end(3)
    desk.end(2, Outcome.NOT_STARTED)
    assert desk.verdicts(2) == [ResponseStatus.FAILED]


def test_a_run_that_skipped_its_call_can_be_paused() -> None:
    desk = Desk(cores=1)
    desk.submit(1)
    desk.core.call_needed("r1", b"ask")
    for _ in range(3):
        desk.clock.advance(200)
        desk.core.call_ended("r1", Outcome.TIMEOUT)
        desk.clock.settle()
    assert desk.backend.told[-1] == ("skip", "r1")
    desk.submit(2, "setpoint-cmd")
    assert ("preempt", "r1") in desk.backend.told


def test_a_run_that_reaches_its_call_before_the_preemption_is_not_paused() -> None:
    # Guards against treating a run that was cancelled at its call, which is final, as paused by the earlier preemption.
    desk = Desk(cores=1)
    desk.submit(1)
    desk.submit(2, "setpoint-cmd")
    desk.core.call_needed("r1", b"ask")
    desk.end(1, Outcome.CANCELLED)
    assert desk.verdicts(1) == [ResponseStatus.FAILED]


def test_a_run_cancelled_without_a_preemption_request_ends_for_the_controller_too() -> None:
    # Guards against a hang of the whole node. A run that was cancelled without a preemption request got its response,
    # but the controller kept its entry as paused. When the id was reused, the controller lost the older entry and
    # looped forever.
    desk = Desk(cores=1)
    desk.submit(1)
    desk.end(1, Outcome.CANCELLED)
    assert (
        desk.verdicts(1) == [ResponseStatus.FAILED]
        and desk.core._controller.state.entries.count_in_flight() == 0
    )
    desk.submit(1, "schedule-save")
    desk.end(1)
    desk.clock.advance(10_000)
    assert desk.verdicts(1) == [ResponseStatus.FAILED, ResponseStatus.DONE] and desk.core.in_flight == 0
