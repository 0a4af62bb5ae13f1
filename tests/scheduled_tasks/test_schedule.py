"""Due times of the runs of a task."""

from __future__ import annotations

from marlstep.scheduled_tasks.schedule import DAY, MissedRunPolicy, Schedule
from marlstep.units import MILLISECOND, SECOND
from tests.scheduled_tasks.support import NOW


def test_missed_runs_are_skipped_or_executed_once_by_policy() -> None:
    skip, once = Schedule(10 * SECOND), Schedule(10 * SECOND, missed=MissedRunPolicy.ONCE)
    run = skip.current_run(NOW)
    assert skip.due_run(NOW, run - 1) == run and skip.due_run(NOW, run) is None
    late = NOW + 1_500 * MILLISECOND
    assert skip.due_run(late, run - 1) is None and once.due_run(late, run - 5) == run
    assert skip.next_check(late, run - 1) == NOW + 10 * SECOND
    daily = Schedule(DAY, offset=3 * 3_600 * SECOND)
    assert daily.start_of(daily.current_run(NOW)) == NOW - DAY + 3 * 3_600 * SECOND
