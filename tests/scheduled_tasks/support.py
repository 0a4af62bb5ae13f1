"""A task's lease and its run log, as the group has them."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

from marlstep.leases.table import LeaseTable
from marlstep.scheduled_tasks.run_log import Outcome, RunLog
from marlstep.scheduled_tasks.runner import TaskPlan, TaskRunner
from marlstep.scheduled_tasks.schedule import MissedRunPolicy, Schedule
from marlstep.units import EPOCH, MILLISECOND, SECOND

NOW = EPOCH + timedelta(days=9)


def plan(safe: bool) -> TaskPlan:
    return TaskPlan(
        "t", Schedule(SECOND, missed=MissedRunPolicy.ONCE), "schedule-save", safe, 300 * MILLISECOND
    )


class Log:
    """The lease and the record, as the group has them."""

    def __init__(self) -> None:
        self.table = LeaseTable()
        self.record = RunLog(self.table)

    def grant(self, holder: str) -> int:
        lease = self.table.leases.get("task/t")
        if lease is not None and lease.holder:
            self.table.apply({"do": "expire", "name": "task/t", "token": lease.token})
        return int(self.table.apply({"do": "grant", "name": "task/t", "holder": holder, "most": 0})["token"])

    def run(self, runner: TaskRunner, now: Any, until: str, outcome: Outcome = Outcome.DONE) -> list[str]:
        """Let it go on until it would do that; what it did before is given."""
        done: list[str] = []
        for _ in range(30):
            do = runner.next_action(now, now, 2 * SECOND)
            if do is None:
                now += 100 * MILLISECOND
                continue
            if do.what == until:
                return done
            done.append(do.what)
            result = outcome if do.what in ("act", "fence") else self.record.apply(do.command("t"))
            runner.handle_result(now, do, result)
        return done
