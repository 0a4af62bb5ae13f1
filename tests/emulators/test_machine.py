"""The emulated machine: state changes of a run, and the count of work that is started more than once."""

from __future__ import annotations

from marlstep.emulators.machine import Machine, NoticeType, count_runs
from marlstep.emulators.work_plan import WorkPlan

AT_MOST_ONCE = "setpoint-cmd"
BODY = WorkPlan(7, 1_000, 1).to_body()


def test_run_can_be_paused_and_resumed_and_a_skipped_call_degrades_its_result() -> None:
    machine = Machine(1)
    assert machine.start("a", AT_MOST_ONCE, BODY) and machine.start("a", AT_MOST_ONCE, BODY)
    assert machine.advance(300) == []
    pause_notice = machine.pause("a")
    assert (
        pause_notice is not None and pause_notice.type is NoticeType.CANCELLED and machine.pause("a") is None
    )
    assert machine.advance(5_000) == [] and machine.resume("a") and not machine.resume("a")
    assert [notice.type for notice in machine.advance(5_200)] == [NoticeType.CALL]
    assert machine.end_call("a", skipped=True) and not machine.end_call("a", skipped=True)
    [notice] = machine.advance(5_700)
    assert (notice.type, notice.body, notice.elapsed_us) == (NoticeType.COMPLETE, b"poor 7", 5_700)
    assert count_runs([machine], AT_MOST_ONCE).ran_twice == 0


def test_second_start_of_the_same_work_counts_as_run_twice() -> None:
    machine = Machine(1)
    machine.start("a", AT_MOST_ONCE, BODY)
    machine.start("b", AT_MOST_ONCE, BODY)  # another attempt at the same work
    assert count_runs([machine], AT_MOST_ONCE).to_json() == {"runs": 2, "ran_twice": 1}
    assert count_runs([machine], "another-class").ran_twice == 0


def test_run_whose_response_was_delivered_ends_at_its_next_call() -> None:
    machine = Machine(1)
    machine.start("b", AT_MOST_ONCE, BODY)
    assert machine.response_delivered("b") is None
    assert [notice.type for notice in machine.advance(1_300)] == [NoticeType.CANCELLED]


def test_run_that_waits_for_a_call_ends_when_its_response_is_delivered() -> None:
    machine = Machine(1)
    machine.start("b", AT_MOST_ONCE, BODY)
    machine.advance(500)
    notice = machine.response_delivered("b")
    assert notice is not None and notice.type is NoticeType.CANCELLED
    assert machine.response_delivered("b") is None


def test_start_without_a_valid_work_plan_is_rejected() -> None:
    assert not Machine(1).start("c", AT_MOST_ONCE, b"what is this")
