"""Test support for scheduled tasks: a lease table and a run log for one task."""

from __future__ import annotations

from datetime import datetime, timedelta

from marlstep.leases.table import LeaseTable
from marlstep.scheduled_tasks.actions import ActionKind
from marlstep.scheduled_tasks.outcomes import Outcome
from marlstep.scheduled_tasks.run_log import RunLog
from marlstep.scheduled_tasks.runner import TaskPlan, TaskRunner
from marlstep.scheduled_tasks.schedule import MissedRunPolicy, Schedule
from marlstep.units import EPOCH, MILLISECOND, SECOND

NOW = EPOCH + timedelta(days=9)


def task_plan(idempotent: bool) -> TaskPlan:
    return TaskPlan(
        "t", Schedule(SECOND, missed=MissedRunPolicy.ONCE), "schedule-save", idempotent, 300 * MILLISECOND
    )


class Group:
    """The group's replicated state: the lease and the run log of the task "t"."""

    def __init__(self) -> None:
        self.table = LeaseTable()
        self.run_log = RunLog(self.table)

    def grant(self, holder: str) -> int:
        lease = self.table.leases.get("task/t")
        if lease is not None and lease.holder:
            self.table.apply({"do": "expire", "name": "task/t", "token": lease.token})
        return int(self.table.apply({"do": "grant", "name": "task/t", "holder": holder, "most": 0})["token"])

    def run(
        self, runner: TaskRunner, now: datetime, until: ActionKind | None, outcome: Outcome = Outcome.DONE
    ) -> list[ActionKind]:
        """Perform up to 30 steps of the runner, stopping before the action `until`. Returns the performed actions."""
        performed: list[ActionKind] = []
        for _ in range(30):
            action = runner.next_action(now, now, 2 * SECOND)
            if action is None:
                now += 100 * MILLISECOND
                continue
            if action.kind is until:
                return performed
            performed.append(action.kind)
            result = outcome if action.is_request else self.run_log.apply(action.command("t").to_json())
            runner.handle_result(now, action, result)
        return performed
