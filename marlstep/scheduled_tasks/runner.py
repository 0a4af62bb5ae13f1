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

LEASE_MARGIN = 50 * MILLISECOND  # of the lease that is left beyond an act's longest time
RETRY_DELAY = 500 * MILLISECOND  # before what went wrong is tried again


class RunnerState(enum.Enum):
    NOT_HELD = "not held"
    INSPECTING = "looks what is open"
    FENCING = "fences"
    SETTLING = "waits for what may be on its way"
    RECORDING_FENCE = "says that nothing is on its way"
    IDLE = "idle"
    BEGINNING = "begins"
    EXECUTING = "acts"
    ENDING = "ends"


@dataclass(slots=True, frozen=True)
class RunnerAction:
    """To be done now; `Runner.told` hears how it went. `act` and `fence` go to the pool, the rest to the log."""

    what: str  # look, fence, fenced, begin, act, end
    token: int
    run: int = NO_RUN
    is_repeat: bool = False
    outcome: Outcome = Outcome.OPEN

    def command(self, task: str) -> dict[str, Any]:
        told: dict[str, Any] = {"m": "tasks", "do": self.what, "task": task, "token": self.token}
        if self.what in ("begin", "end"):
            told["run"] = self.run
        if self.what == "begin":
            told["again"] = self.is_repeat
        if self.what == "end":
            told["outcome"] = self.outcome.value
        return told


@dataclass(slots=True, frozen=True)
class TaskPlan:
    """One task, as the operator's file has it."""

    name: str
    schedule: Schedule
    request_class: str  # class of the request
    idempotent: bool  # a run that may have run may be run again
    timeout: timedelta  # an act that takes longer is given up


class TaskRunner:
    def __init__(self, plan: TaskPlan) -> None:
        self.plan = plan
        self.state = RunnerState.NOT_HELD
        self.token = 0
        self.draining = False
        self._action_in_flight = False  # something was asked for, and has not come back
        self._last_run = NO_RUN
        self._current_run, self._is_repeat = NO_RUN, False
        self._outcome = Outcome.OPEN
        self._run_was_open = False  # at the last look a run was
        self._begin_unconfirmed = False  # whether the log has the run that was to be begun: no act was sent
        self._not_before: datetime | None = None
        self.counts = dict.fromkeys(("acts", *(one.value for one in Outcome if one is not Outcome.OPEN)), 0)

    # The lease.

    def lease_gained(self, token: int) -> None:
        if token == self.token and self.state is not RunnerState.NOT_HELD:
            return
        self.state, self.token = RunnerState.INSPECTING, token
        self._action_in_flight, self._not_before, self._begin_unconfirmed = False, None, False

    def lease_lost(self) -> None:
        """What is on its way goes on within its bound; what it came to can't be written down under this token."""
        self.state, self.token, self._action_in_flight = RunnerState.NOT_HELD, 0, False

    @property
    def busy(self) -> bool:
        """A run is open: the lease is not given back before it ends."""
        return self.state in (RunnerState.BEGINNING, RunnerState.EXECUTING, RunnerState.ENDING)

    # What is next.

    def next_action(self, now: datetime, wall: datetime, left: timedelta) -> RunnerAction | None:
        """What is to be done now, with so much left of the lease; None where nothing is."""
        if self.state is RunnerState.NOT_HELD or self._action_in_flight:
            return None
        if self._not_before is not None:
            if now < self._not_before:
                return None
            self._not_before = None
        if self.state is RunnerState.SETTLING:
            self.state = RunnerState.RECORDING_FENCE
        if self.state is RunnerState.IDLE:
            self._begin_if_due(wall)
        if self.state in (RunnerState.NOT_HELD, RunnerState.IDLE) or left <= ZERO:
            return None
        if (
            self.state in (RunnerState.BEGINNING, RunnerState.EXECUTING)
            and left < self.plan.timeout + LEASE_MARGIN
        ):
            return None  # until it is renewed
        self._action_in_flight = True
        match self.state:
            case RunnerState.INSPECTING:
                return RunnerAction("look", self.token)
            case RunnerState.FENCING:
                return RunnerAction("fence", self.token, self._current_run)
            case RunnerState.RECORDING_FENCE:
                return RunnerAction("fenced", self.token)
            case RunnerState.BEGINNING:
                return RunnerAction("begin", self.token, self._current_run, self._is_repeat)
            case RunnerState.EXECUTING:
                self.counts["acts"] += 1
                return RunnerAction("act", self.token, self._current_run)
        return RunnerAction("end", self.token, self._current_run, outcome=self._outcome)

    def _begin_if_due(self, wall: datetime) -> None:
        run = self.plan.schedule.due_run(wall, self._last_run)
        if run is not None and not self.draining:
            self.state, self._current_run, self._is_repeat = RunnerState.BEGINNING, run, False

    def next_due(self, now: datetime, wall: datetime) -> datetime | None:
        """When to look again; None where something else comes first."""
        if self.state is RunnerState.NOT_HELD or self._action_in_flight:
            return None
        if self._not_before is not None:
            return self._not_before
        if self.state is RunnerState.IDLE:
            return now + max(MILLISECOND, self.plan.schedule.next_check(wall, self._last_run) - wall)
        return now + 100 * MILLISECOND

    # What came of it.

    def handle_result(
        self, now: datetime, done: RunnerAction, result: dict[str, Any] | Outcome | None
    ) -> None:
        """How it went: of the log the result, of the pool an outcome; None: nobody can say, or not in time."""
        if done.token != self.token or not self._action_in_flight:
            return
        self._action_in_flight = False
        match done.what:
            case "look":
                self._handle_inspection(now, result)
            case "fence":
                if result is Outcome.DONE:
                    self.state, self._not_before = RunnerState.SETTLING, now + self.plan.timeout
                elif result is Outcome.FENCED_OFF:
                    self.lease_lost()  # the server has seen a later token: this lease is over
                else:
                    self._not_before = now + RETRY_DELAY
            case "fenced":
                self._handle_fence_recorded(now, result)
            case "begin":
                self._handle_begun(now, result)
            case "act":
                self.state = RunnerState.ENDING
                self._outcome = result if isinstance(result, Outcome) else Outcome.UNKNOWN
                self.counts[self._outcome.value] += 1
            case "end":
                self._handle_ended(now, result)

    def _handle_inspection(self, now: datetime, result: dict[str, Any] | Outcome | None) -> None:
        if not isinstance(result, dict) or "run" not in result:
            self._not_before = now + RETRY_DELAY
            return
        self._last_run = int(result["run"])
        unsure, self._begin_unconfirmed = self._begin_unconfirmed, False
        self._run_was_open = result["outcome"] == Outcome.OPEN.value
        if int(result["token"]) != self.token:
            self.state, self._current_run = (
                (RunnerState.FENCING, self._last_run) if result["doubt"] else (RunnerState.IDLE, NO_RUN)
            )
        elif not self._run_was_open:
            self.state = RunnerState.IDLE
        elif unsure and self._last_run == self._current_run:
            self.state = RunnerState.EXECUTING  # its begin was applied, and only the answer was lost
        else:
            self.state, self._current_run, self._outcome = RunnerState.ENDING, self._last_run, Outcome.UNKNOWN

    def _handle_fence_recorded(self, now: datetime, result: dict[str, Any] | Outcome | None) -> None:
        if not isinstance(result, dict):
            self._not_before = now + RETRY_DELAY
        elif "fenced" in result and self._run_was_open and self.plan.idempotent and not self.draining:
            self.state, self._is_repeat = RunnerState.BEGINNING, True
        else:
            self.state = RunnerState.IDLE if "fenced" in result else RunnerState.INSPECTING

    def _handle_begun(self, now: datetime, result: dict[str, Any] | Outcome | None) -> None:
        if isinstance(result, dict) and "begun" in result:
            self.state, self._last_run = RunnerState.EXECUTING, self._current_run
        else:
            self.state = RunnerState.INSPECTING  # what stands in the log is not what was thought
            if not isinstance(result, dict):
                self._begin_unconfirmed, self._not_before = True, now + RETRY_DELAY

    def _handle_ended(self, now: datetime, result: dict[str, Any] | Outcome | None) -> None:
        if not isinstance(result, dict):
            self._not_before = now + RETRY_DELAY  # the same again
            return
        if self._outcome is Outcome.NOT_RUN:
            self._last_run = self._current_run - 1  # it may be begun again, while its time is
            self._not_before = now + SECOND
        self.state = RunnerState.IDLE
