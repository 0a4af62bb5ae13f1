"""What the log knows of each task's runs: a machine. Intent is here before an act, its outcome after.

Only who holds the task's lease, under the token of this very grant, may begin a run. An act whose end is known is over.
One of which that is not known (its run is open, or ended without a word of the server) may still be on its way: the
task is in doubt, until a later holder has fenced it off at the server.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any

from marlstep.consensus.state_machine import CommandJson, ResultJson
from marlstep.leases.table import LeaseTable

TASK_LEASE_PREFIX = "task/"  # of the names of tasks' leases
MAX_TASKS = 1_000
NO_RUN = -1


class Outcome(enum.StrEnum):
    OPEN = "open"  # begun, and not known to have ended
    DONE = "done"
    FAILED = "failed"  # it may have taken effect in part, or not at all
    UNKNOWN = "may have run"  # nobody can say any more
    NOT_RUN = "never ran"  # it was refused before it began: the same run may be begun again
    FENCED_OFF = "refused as late"  # by the server, which had seen a later token: it never ran


@dataclass(slots=True)
class TaskRun:
    number: int = NO_RUN
    token: int = 0
    outcome: Outcome = Outcome.NOT_RUN
    attempts: int = 0
    may_be_in_flight: bool = False  # an act may still be on its way
    was_in_flight: bool = False  # as it was when the open run was begun


class RunLog:
    def __init__(self, table: LeaseTable) -> None:
        self._table = table
        self.runs: dict[str, TaskRun] = {}

    def apply(self, command: CommandJson) -> ResultJson:
        task, token = command["task"], int(command["token"])
        if not isinstance(task, str):
            raise ValueError("a task's name")
        lease = self._table.leases.get(TASK_LEASE_PREFIX + task)
        if lease is None or not lease.holder or lease.token != token:
            return {"refused": "not the token of the lease"}
        known = self.runs.get(task)
        if known is None:
            if len(self.runs) >= MAX_TASKS:
                return {"refused": "too many tasks"}
            known = self.runs[task] = TaskRun()
        match command["do"]:
            case "look":
                return self._describe(known)
            case "fenced":
                return self._apply_fenced(known)
            case "begin":
                return self._apply_begin(known, int(command["run"]), token, bool(command.get("again")))
            case "end":
                return self._apply_end(known, int(command["run"]), token, Outcome(command["outcome"]))
        raise ValueError(f"nothing that is done to a task: {command['do']!r}")

    @staticmethod
    def _describe(known: TaskRun) -> ResultJson:
        return {
            "run": known.number,
            "token": known.token,
            "outcome": known.outcome.value,
            "tries": known.attempts,
            "doubt": known.may_be_in_flight,
        }

    def _apply_fenced(self, known: TaskRun) -> ResultJson:
        """Nothing that was sent under an earlier token is on its way any more, or can be accepted."""
        known.may_be_in_flight = False
        if known.outcome is Outcome.OPEN:
            known.outcome = Outcome.UNKNOWN
        return {"fenced": True}

    def _apply_begin(self, known: TaskRun, run: int, token: int, again: bool) -> ResultJson:
        if known.outcome is Outcome.OPEN:
            return {"refused": "a run is open", **self._describe(known)}
        repeat = again or known.outcome in (Outcome.NOT_RUN, Outcome.FENCED_OFF)
        if run < known.number or (run == known.number and not repeat):
            return {"refused": "that run was begun", **self._describe(known)}
        known.attempts = known.attempts + 1 if known.number == run else 1
        known.was_in_flight, known.may_be_in_flight = known.may_be_in_flight, True
        known.number, known.token, known.outcome = run, token, Outcome.OPEN
        return {"begun": run}

    def _apply_end(self, known: TaskRun, run: int, token: int, outcome: Outcome) -> ResultJson:
        if known.number != run or known.outcome is not Outcome.OPEN or outcome is Outcome.OPEN:
            return {"refused": "no such run is open", **self._describe(known)}
        known.outcome = outcome
        if outcome in (Outcome.DONE, Outcome.NOT_RUN, Outcome.FENCED_OFF):
            known.may_be_in_flight = known.was_in_flight  # this act is over; one before it may not be
        return {"ended": run}

    def snapshot(self) -> object:
        return [
            [
                task,
                one.number,
                one.token,
                one.outcome.value,
                one.attempts,
                one.may_be_in_flight,
                one.was_in_flight,
            ]
            for task, one in self.runs.items()
        ]

    def restore(self, told: Any) -> None:
        self.runs = {
            task: TaskRun(run, token, Outcome(outcome), tries, doubt, before)
            for task, run, token, outcome, tries, doubt, before in told
        }
