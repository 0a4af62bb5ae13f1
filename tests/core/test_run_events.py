"""Reports of backends and call clients: preempted and ended runs, and downstream calls."""

from __future__ import annotations

from marlstep.admission.events import Outcome
from marlstep.core.interfaces import ResponseStatus
from tests.support.node import CoreDriver


def test_a_reply_to_a_downstream_call_is_supplied_to_the_run() -> None:
    driver = CoreDriver()
    driver.submit(1, "setpoint-cmd")
    driver.core.call_needed("r1", b"ask")
    driver.clock.settle()
    driver.core.call_ended("r1", Outcome.OK, b"told")
    driver.clock.settle()
    assert driver.backend.commands == [("start", "r1"), ("call ask", "r1"), ("supply told", "r1")]


def test_a_call_with_an_unknown_outcome_fails_at_most_once_work_and_is_not_retried() -> None:
    driver = CoreDriver()
    driver.submit(1, "setpoint-cmd")
    driver.core.call_needed("r1", b"ask")
    driver.clock.settle()
    driver.core.call_ended("r1", Outcome.RESET)
    driver.clock.advance(500)
    assert driver.statuses(1) == [ResponseStatus.FAILED]
    assert [command for command, _ in driver.backend.commands].count("call ask") == 1


def test_a_run_that_was_not_started_is_rejected_if_new_and_failed_if_it_was_paused() -> None:
    # Guards against a wrong rejection: a failed attempt to resume a paused run (NOT_STARTED) does not prove that the
    # request never ran.
    driver = CoreDriver(cores=1)
    driver.submit(1, "setpoint-cmd")
    driver.end(1, Outcome.NOT_STARTED)
    assert driver.statuses(1) == [ResponseStatus.REJECTED]
    driver.submit(2)
    driver.submit(3, "setpoint-cmd")
    driver.end(2, Outcome.CANCELLED)
    driver.end(3)
    driver.end(2, Outcome.NOT_STARTED)
    assert driver.statuses(2) == [ResponseStatus.FAILED]


def test_a_run_that_skipped_its_call_can_be_paused() -> None:
    driver = CoreDriver(cores=1)
    driver.submit(1)
    driver.core.call_needed("r1", b"ask")
    for _ in range(3):
        driver.clock.advance(200)
        driver.core.call_ended("r1", Outcome.TIMEOUT)
        driver.clock.settle()
    assert driver.backend.commands[-1] == ("skip", "r1")
    driver.submit(2, "setpoint-cmd")
    assert ("preempt", "r1") in driver.backend.commands


def test_a_run_that_reaches_its_call_before_the_preemption_is_not_paused() -> None:
    # Guards against treating a run that was cancelled at its call, which is final, as paused by the earlier preemption.
    driver = CoreDriver(cores=1)
    driver.submit(1)
    driver.submit(2, "setpoint-cmd")
    driver.core.call_needed("r1", b"ask")
    driver.end(1, Outcome.CANCELLED)
    assert driver.statuses(1) == [ResponseStatus.FAILED]


def test_a_run_cancelled_without_a_preemption_request_ends_for_the_controller_too() -> None:
    # Guards against a hang of the whole node. A run that was cancelled without a preemption request got its response,
    # but the controller kept its entry as paused. When the id was reused, the controller lost the older entry and
    # looped forever.
    driver = CoreDriver(cores=1)
    driver.submit(1)
    driver.end(1, Outcome.CANCELLED)
    assert (
        driver.statuses(1) == [ResponseStatus.FAILED]
        and driver.core._controller.state.entries.count_in_flight() == 0
    )
    driver.submit(1, "schedule-save")
    driver.end(1)
    driver.clock.advance(10_000)
    assert driver.statuses(1) == [ResponseStatus.FAILED, ResponseStatus.DONE] and driver.core.in_flight == 0
