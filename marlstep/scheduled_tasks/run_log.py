"""What the log knows of each task's runs: a machine. Intent is here before an act, its outcome after.

Only who holds the task's lease, under the token of this very grant, may begin a run. An act whose end is known is over.
One of which that is not known (its run is open, or ended without a word of the server) may still be on its way: the
task is in doubt, until a later holder has fenced it off at the server.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any

from marlstep.consensus.state_machine import Command, Result
from marlstep.leases.table import LeaseTable

PREFIX = "task/"  # of the names of tasks' leases
MOST_TASKS = 1_000
NO_RUN = -1


class Outcome(enum.StrEnum):
    OPEN = "open"  # begun, and not known to have ended
    DONE = "done"
    FAILED = "failed"  # it may have taken effect in part, or not at all
    MAYBE = "may have run"  # nobody can say any more
    NEVER = "never ran"  # it was refused before it began: the same run may be begun again
    LATE = "refused as late"  # by the server, which had seen a later token: it never ran


@dataclass(slots=True)
class Run:
    run: int = NO_RUN
    token: int = 0
    outcome: Outcome = Outcome.NEVER
    tries: int = 0
    doubt: bool = False  # an act may still be on its way
    before: bool = False  # as it was when the open run was begun


class Record:
    def __init__(self, table: LeaseTable) -> None:
        self._table = table
        self.runs: dict[str, Run] = {}

    def apply(self, command: Command) -> Result:
        task, token = command["task"], int(command["token"])
        if not isinstance(task, str):
            raise ValueError("a task's name")
        lease = self._table.leases.get(PREFIX + task)
        if lease is None or not lease.holder or lease.token != token:
            return {"refused": "not the token of the lease"}
        known = self.runs.get(task)
        if known is None:
            if len(self.runs) >= MOST_TASKS:
                return {"refused": "too many tasks"}
            known = self.runs[task] = Run()
        match command["do"]:
            case "look":
                return self._told(known)
            case "fenced":
                return self._fenced(known)
            case "begin":
                return self._begin(known, int(command["run"]), token, bool(command.get("again")))
            case "end":
                return self._end(known, int(command["run"]), token, Outcome(command["outcome"]))
        raise ValueError(f"nothing that is done to a task: {command['do']!r}")

    @staticmethod
    def _told(known: Run) -> Result:
        return {
            "run": known.run,
            "token": known.token,
            "outcome": known.outcome.value,
            "tries": known.tries,
            "doubt": known.doubt,
        }

    def _fenced(self, known: Run) -> Result:
        """Nothing that was sent under an earlier token is on its way any more, or can be accepted."""
        known.doubt = False
        if known.outcome is Outcome.OPEN:
            known.outcome = Outcome.MAYBE
        return {"fenced": True}

    def _begin(self, known: Run, run: int, token: int, again: bool) -> Result:
        if known.outcome is Outcome.OPEN:
            return {"refused": "a run is open", **self._told(known)}
        repeat = again or known.outcome in (Outcome.NEVER, Outcome.LATE)
        if run < known.run or (run == known.run and not repeat):
            return {"refused": "that run was begun", **self._told(known)}
        known.tries = known.tries + 1 if known.run == run else 1
        known.before, known.doubt = known.doubt, True
        known.run, known.token, known.outcome = run, token, Outcome.OPEN
        return {"begun": run}

    def _end(self, known: Run, run: int, token: int, outcome: Outcome) -> Result:
        if known.run != run or known.outcome is not Outcome.OPEN or outcome is Outcome.OPEN:
            return {"refused": "no such run is open", **self._told(known)}
        known.outcome = outcome
        if outcome in (Outcome.DONE, Outcome.NEVER, Outcome.LATE):
            known.doubt = known.before  # this act is over; one before it may not be
        return {"ended": run}

    def snapshot(self) -> object:
        return [
            [task, one.run, one.token, one.outcome.value, one.tries, one.doubt, one.before]
            for task, one in self.runs.items()
        ]

    def restore(self, told: Any) -> None:
        self.runs = {
            task: Run(run, token, Outcome(outcome), tries, doubt, before)
            for task, run, token, outcome, tries, doubt, before in told
        }
