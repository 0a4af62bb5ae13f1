"""One task on the node that holds its lease: what to do next, and when.

    look ──▶ (in doubt) ──▶ fence ──▶ settle ──▶ say so in the log ──▶ repeat an open run that is safe
      └──────▶ idle ──due──▶ begin ──▶ act ──▶ end ──▶ idle ◀─────────────────┘ (or leave it as "may have run")

A fence tells the server the new token, so that it turns down whatever of the old may still come; what it had begun
before then has ended once the task's longest time has passed. An act is begun only with its longest time left of the
lease.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

from marlstep.scheduled_tasks.run_log import NO_RUN, Outcome
from marlstep.scheduled_tasks.schedule import Schedule
from marlstep.units import MILLISECOND, SECOND, ZERO

MARGIN = 50 * MILLISECOND  # of the lease that is left beyond an act's longest time
AGAIN = 500 * MILLISECOND  # before what went wrong is tried again


class Step(enum.Enum):
    NONE = "not held"
    LOOK = "looks what is open"
    FENCE = "fences"
    SETTLE = "waits for what may be on its way"
    FENCED = "says that nothing is on its way"
    IDLE = "idle"
    BEGIN = "begins"
    ACT = "acts"
    END = "ends"


@dataclass(slots=True, frozen=True)
class Do:
    """To be done now; `Runner.told` hears how it went. `act` and `fence` go to the pool, the rest to the log."""

    what: str  # look, fence, fenced, begin, act, end
    token: int
    run: int = NO_RUN
    again: bool = False
    outcome: Outcome = Outcome.OPEN

    def command(self, task: str) -> dict[str, Any]:
        told: dict[str, Any] = {"m": "tasks", "do": self.what, "task": task, "token": self.token}
        if self.what in ("begin", "end"):
            told["run"] = self.run
        if self.what == "begin":
            told["again"] = self.again
        if self.what == "end":
            told["outcome"] = self.outcome.value
        return told


@dataclass(slots=True, frozen=True)
class Plan:
    """One task, as the operator's file has it."""

    name: str
    schedule: Schedule
    kind: str  # class of the request
    safe: bool  # a run that may have run may be run again
    longest: timedelta  # an act that takes longer is given up


class Runner:
    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.step = Step.NONE
        self.token = 0
        self.leaving = False
        self._out = False  # something was asked for, and has not come back
        self._last = NO_RUN
        self._run, self._again = NO_RUN, False
        self._outcome = Outcome.OPEN
        self._open = False  # at the last look a run was
        self._unsure = False  # whether the log has the run that was to be begun: no act was sent
        self._not_before: datetime | None = None
        self.counts = dict.fromkeys(("acts", *(one.value for one in Outcome if one is not Outcome.OPEN)), 0)

    # The lease.

    def gained(self, token: int) -> None:
        if token == self.token and self.step is not Step.NONE:
            return
        self.step, self.token = Step.LOOK, token
        self._out, self._not_before, self._unsure = False, None, False

    def lost(self) -> None:
        """What is on its way goes on within its bound; what it came to can't be written down under this token."""
        self.step, self.token, self._out = Step.NONE, 0, False

    @property
    def busy(self) -> bool:
        """A run is open: the lease is not given back before it ends."""
        return self.step in (Step.BEGIN, Step.ACT, Step.END)

    # What is next.

    def next(self, now: datetime, wall: datetime, left: timedelta) -> Do | None:
        """What is to be done now, with so much left of the lease; None where nothing is."""
        if self.step is Step.NONE or self._out:
            return None
        if self._not_before is not None:
            if now < self._not_before:
                return None
            self._not_before = None
        if self.step is Step.SETTLE:
            self.step = Step.FENCED
        if self.step is Step.IDLE:
            self._look_at_the_clock(wall)
        if self.step in (Step.NONE, Step.IDLE) or left <= ZERO:
            return None
        if self.step in (Step.BEGIN, Step.ACT) and left < self.plan.longest + MARGIN:
            return None  # until it is renewed
        self._out = True
        match self.step:
            case Step.LOOK:
                return Do("look", self.token)
            case Step.FENCE:
                return Do("fence", self.token, self._run)
            case Step.FENCED:
                return Do("fenced", self.token)
            case Step.BEGIN:
                return Do("begin", self.token, self._run, self._again)
            case Step.ACT:
                self.counts["acts"] += 1
                return Do("act", self.token, self._run)
        return Do("end", self.token, self._run, outcome=self._outcome)

    def _look_at_the_clock(self, wall: datetime) -> None:
        run = self.plan.schedule.due(wall, self._last)
        if run is not None and not self.leaving:
            self.step, self._run, self._again = Step.BEGIN, run, False

    def next_due(self, now: datetime, wall: datetime) -> datetime | None:
        """When to look again; None where something else comes first."""
        if self.step is Step.NONE or self._out:
            return None
        if self._not_before is not None:
            return self._not_before
        if self.step is Step.IDLE:
            return now + max(MILLISECOND, self.plan.schedule.next(wall, self._last) - wall)
        return now + 100 * MILLISECOND

    # What came of it.

    def told(self, now: datetime, done: Do, result: dict[str, Any] | Outcome | None) -> None:
        """How it went: of the log the result, of the pool an outcome; None: nobody can say, or not in time."""
        if done.token != self.token or not self._out:
            return
        self._out = False
        match done.what:
            case "look":
                self._looked(now, result)
            case "fence":
                if result is Outcome.DONE:
                    self.step, self._not_before = Step.SETTLE, now + self.plan.longest
                elif result is Outcome.LATE:
                    self.lost()  # the server has seen a later token: this lease is over
                else:
                    self._not_before = now + AGAIN
            case "fenced":
                self._fenced(now, result)
            case "begin":
                self._began(now, result)
            case "act":
                self.step = Step.END
                self._outcome = result if isinstance(result, Outcome) else Outcome.MAYBE
                self.counts[self._outcome.value] += 1
            case "end":
                self._ended(now, result)

    def _looked(self, now: datetime, result: dict[str, Any] | Outcome | None) -> None:
        if not isinstance(result, dict) or "run" not in result:
            self._not_before = now + AGAIN
            return
        self._last = int(result["run"])
        unsure, self._unsure = self._unsure, False
        self._open = result["outcome"] == Outcome.OPEN.value
        if int(result["token"]) != self.token:
            self.step, self._run = (Step.FENCE, self._last) if result["doubt"] else (Step.IDLE, NO_RUN)
        elif not self._open:
            self.step = Step.IDLE
        elif unsure and self._last == self._run:
            self.step = Step.ACT  # its begin was applied, and only the answer was lost
        else:
            self.step, self._run, self._outcome = Step.END, self._last, Outcome.MAYBE

    def _fenced(self, now: datetime, result: dict[str, Any] | Outcome | None) -> None:
        if not isinstance(result, dict):
            self._not_before = now + AGAIN
        elif "fenced" in result and self._open and self.plan.safe and not self.leaving:
            self.step, self._again = Step.BEGIN, True
        else:
            self.step = Step.IDLE if "fenced" in result else Step.LOOK

    def _began(self, now: datetime, result: dict[str, Any] | Outcome | None) -> None:
        if isinstance(result, dict) and "begun" in result:
            self.step, self._last = Step.ACT, self._run
        else:
            self.step = Step.LOOK  # what stands in the log is not what was thought
            if not isinstance(result, dict):
                self._unsure, self._not_before = True, now + AGAIN

    def _ended(self, now: datetime, result: dict[str, Any] | Outcome | None) -> None:
        if not isinstance(result, dict):
            self._not_before = now + AGAIN  # the same again
            return
        if self._outcome is Outcome.NEVER:
            self._last = self._run - 1  # it may be begun again, while its time is
            self._not_before = now + SECOND
        self.step = Step.IDLE
