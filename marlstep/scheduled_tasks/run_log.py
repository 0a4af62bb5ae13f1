"""The replicated log of task runs: records a run before it is executed, and its outcome afterwards.

Only the holder of the task's lease may begin a run, under the token of its current grant. While a run is open, or if it
ended without a response from the server, a request for it may still be in flight. This lasts until a later holder has
fenced it off at the server.
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

TASK_LEASE_PREFIX = "task/"  # prefix of the names of task leases
MAX_TASKS = 1_000
REPEATABLE_OUTCOMES = (Outcome.NOT_RUN, Outcome.FENCED_OFF)  # the same run may be begun again
SETTLED_OUTCOMES = (Outcome.DONE, Outcome.NOT_RUN, Outcome.FENCED_OFF)  # no request for the run is in flight


# Task name and the fields of `TaskRun`; a list in JSON.
TaskRunRow = tuple[str, int, int, str, int, bool, bool]


@dataclass(slots=True)
class TaskRun:
    """The last run of one task."""

    number: int = NO_RUN
    token: int = 0
    outcome: Outcome = Outcome.NOT_RUN
    attempts: int = 0
    may_be_in_flight: bool = False  # a request for this run or an earlier one may still take effect
    was_in_flight: bool = False  # value of `may_be_in_flight` when the run was begun

    @property
    def status(self) -> TaskStatus:
        """The run in the form used in results."""
        return TaskStatus(self.number, self.token, self.outcome, self.attempts, self.may_be_in_flight)

    def may_begin(self, command: BeginRun) -> bool:
        """Return whether the command may begin its run if none is open: a later run, or this one again."""
        if command.run == self.number:
            return command.is_repeat or self.outcome in REPEATABLE_OUTCOMES
        return command.run > self.number


class RunLog:
    """The replicated state machine of scheduled tasks."""

    def __init__(self, table: LeaseTable) -> None:
        """Initialize an empty log; `table` contains the leases of the tasks."""
        self._table = table
        self.runs: dict[str, TaskRun] = {}  # by task

    def apply(self, command: CommandJson) -> ResultJson:
        """Apply a command of the log.

        Raises the errors of `parse_task_command` for an invalid command, which begins and ends no run.
        """
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
            # Created before the rest of the command is parsed, as in all versions, because it is in snapshots.
            run = self.runs[task] = TaskRun()
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
            # This run is over, but an earlier one may still be in flight.
            run.may_be_in_flight = run.was_in_flight
        return RunEnded(command.run)

    def snapshot(self) -> list[TaskRunRow]:
        """Return the last runs of all tasks in their JSON form."""
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
        """Replace all runs with those from `snapshot`."""
        self.runs = {
            task: TaskRun(number, token, Outcome(outcome), attempts, may_be_in_flight, was_in_flight)
            for task, number, token, outcome, attempts, may_be_in_flight, was_in_flight in stored
        }
