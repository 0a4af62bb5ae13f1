"""The replicated log of task runs: intent is recorded before a run is executed, and its outcome after.

Only the holder of the task's lease, under the token of its present grant, may begin a run. A run whose end is known is
over. While the end of one is not known (it is open, or ended without a response of the server), a request for it may
still be in flight, until a later holder has fenced it off at the server.
"""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.consensus.state_machine import CommandJson, ResultJson
from marlstep.leases.table import LeaseTable
from marlstep.scheduled_tasks.commands import (
    BeginRun,
    EndRun,
    InspectTask,
    RecordFence,
    TaskCommand,
    parse_task_and_token,
    parse_task_command,
)
from marlstep.scheduled_tasks.outcomes import NO_RUN, Outcome
from marlstep.scheduled_tasks.results import (
    FenceRecorded,
    RunBegun,
    RunEnded,
    TaskCommandRefused,
    TaskResult,
    TaskStatus,
)

TASK_LEASE_PREFIX = "task/"  # of the names of tasks' leases
MAX_TASKS = 1_000
REPEATABLE_OUTCOMES = (Outcome.NOT_RUN, Outcome.FENCED_OFF)  # the same run may be begun again
SETTLED_OUTCOMES = (Outcome.DONE, Outcome.NOT_RUN, Outcome.FENCED_OFF)  # nothing of the run is in flight


# Task, and the fields of `TaskRun`; JSON has a list.
TaskRunRow = tuple[str, int, int, str, int, bool, bool]


@dataclass(slots=True)
class TaskRun:
    """The last run of one task."""

    number: int = NO_RUN
    token: int = 0
    outcome: Outcome = Outcome.NOT_RUN
    attempts: int = 0
    may_be_in_flight: bool = False  # a request for this run or for one before it may still take effect
    was_in_flight: bool = False  # the same, when the run was begun

    @property
    def status(self) -> TaskStatus:
        """The run as results have it."""
        return TaskStatus(self.number, self.token, self.outcome, self.attempts, self.may_be_in_flight)

    def may_begin(self, command: BeginRun) -> bool:
        """Whether that run may be begun, where none is open: a later one, or this one anew."""
        if command.run == self.number:
            return command.is_repeat or self.outcome in REPEATABLE_OUTCOMES
        return command.run > self.number


class RunLog:
    """The state machine of tasks."""

    def __init__(self, table: LeaseTable) -> None:
        """`table` has the leases of the tasks."""
        self._table = table
        self.runs: dict[str, TaskRun] = {}  # by task

    def apply(self, command: CommandJson) -> ResultJson:
        """Apply one command of the log. Raises as `parse_task_command` does, and has begun or ended nothing then."""
        return self._apply(command).to_json()

    def _apply(self, stored: CommandJson) -> TaskResult:
        task, token = parse_task_and_token(stored)
        lease = self._table.leases.get(TASK_LEASE_PREFIX + task)
        if lease is None or not lease.holder or lease.token != token:
            return TaskCommandRefused("not the token of the lease")
        run = self.runs.get(task)
        if run is None:
            if len(self.runs) >= MAX_TASKS:
                return TaskCommandRefused("too many tasks")
            run = self.runs[task] = (
                TaskRun()
            )  # before the rest is read, as all versions do: it is in snapshots
        return self._execute(run, parse_task_command(stored))

    def _execute(self, run: TaskRun, command: TaskCommand) -> TaskResult:
        match command:
            case InspectTask():
                return run.status
            case RecordFence():
                return self._record_fence(run)
            case BeginRun():
                return self._begin(run, command)
            case EndRun():
                return self._end(run, command)

    @staticmethod
    def _record_fence(run: TaskRun) -> TaskResult:
        run.may_be_in_flight = False
        if run.outcome is Outcome.OPEN:
            run.outcome = Outcome.UNKNOWN
        return FenceRecorded()

    @staticmethod
    def _begin(run: TaskRun, command: BeginRun) -> TaskResult:
        if run.outcome is Outcome.OPEN:
            return TaskCommandRefused("a run is open", run.status)
        if not run.may_begin(command):
            return TaskCommandRefused("that run was begun", run.status)
        run.attempts = run.attempts + 1 if run.number == command.run else 1
        run.was_in_flight, run.may_be_in_flight = run.may_be_in_flight, True
        run.number, run.token, run.outcome = command.run, command.token, Outcome.OPEN
        return RunBegun(command.run)

    @staticmethod
    def _end(run: TaskRun, command: EndRun) -> TaskResult:
        is_open = run.number == command.run and run.outcome is Outcome.OPEN
        if not is_open or command.outcome is Outcome.OPEN:
            return TaskCommandRefused("no such run is open", run.status)
        run.outcome = command.outcome
        if command.outcome in SETTLED_OUTCOMES:
            run.may_be_in_flight = run.was_in_flight  # this run is over; one before it may not be
        return RunEnded(command.run)

    def snapshot(self) -> list[TaskRunRow]:
        """The last runs of all tasks as JSON."""
        return [
            (
                task,
                run.number,
                run.token,
                run.outcome.value,
                run.attempts,
                run.may_be_in_flight,
                run.was_in_flight,
            )
            for task, run in self.runs.items()
        ]

    def restore(self, stored: list[TaskRunRow]) -> None:
        """Replace all runs with what `snapshot` gave."""
        self.runs = {
            task: TaskRun(number, token, Outcome(outcome), attempts, may_be_in_flight, was_in_flight)
            for task, number, token, outcome, attempts, may_be_in_flight, was_in_flight in stored
        }
