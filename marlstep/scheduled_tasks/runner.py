"""State machine of one task on the process that holds its lease: decides on the next action and its time.

    inspect ──▶ (may be in flight) ──▶ fence ──▶ settle ──▶ record the fence ──▶ repeat an open idempotent run
      └──────▶ idle ──due──▶ begin ──▶ execute ──▶ end ──▶ idle ◀──────────────────┘ (or leave it as "may have run")

A fence request gives the server the new token, so that the server refuses later requests with an older one. Requests
that the server started before the fence have ended by the time that the task's timeout has passed since the fence. A
run is executed only if the remaining time of the lease covers the run's whole timeout and a margin.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.consensus.state_machine import ResultJson
from marlstep.scheduled_tasks.actions import ActionKind, RunnerAction
from marlstep.scheduled_tasks.outcomes import NO_RUN, Outcome
from marlstep.scheduled_tasks.results import (
    FenceRecorded,
    RunBegun,
    TaskResult,
    TaskStatus,
    parse_task_result,
)
from marlstep.scheduled_tasks.schedule import Schedule
from marlstep.units import MILLISECOND, SECOND, ZERO

LEASE_MARGIN = 50 * MILLISECOND  # required remaining time of the lease beyond a run's timeout
RETRY_DELAY = 500 * MILLISECOND  # before a failed action is retried
NOT_RUN_RETRY_DELAY = SECOND  # before a refused run is begun again
POLL_INTERVAL = 100 * MILLISECOND  # between attempts to start an action, such as while the lease is too short


class RunnerState(enum.Enum):
    """State of a runner; the administration API shows the values."""

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
class TaskPlan:
    """Configuration of one task from the operator's file."""

    name: str
    schedule: Schedule
    request_class: str
    idempotent: bool  # a run that may have taken effect may be executed again
    timeout: timedelta  # a request is abandoned after this time


class TaskRunner:
    """The state of one task on one process. Does no I/O: the node performs the actions and reports their results."""

    def __init__(self, plan: TaskPlan) -> None:
        """Initialize a runner that does not hold the task's lease."""
        self.plan = plan
        self.state = RunnerState.NOT_HELD
        self.token = 0
        self.draining = False  # begins no more runs
        self._action_in_flight = False  # an action was returned whose result is not reported yet
        self._last_run = NO_RUN
        self._current_run, self._is_repeat = NO_RUN, False
        self._outcome = Outcome.OPEN
        self._run_was_open = False  # when last inspected
        self._begin_unconfirmed = False  # the run may be in the log, but it was not executed
        self._not_before: datetime | None = None
        outcomes = (outcome.value for outcome in Outcome if outcome is not Outcome.OPEN)
        self.counts = dict.fromkeys(("acts", *outcomes), 0)

    # Lease changes.

    def lease_gained(self, token: int) -> None:
        """Restart with an inspection under a new token; no effect if the token is already in use."""
        if token == self.token and self.state is not RunnerState.NOT_HELD:
            return
        self.state, self.token = RunnerState.INSPECTING, token
        self._action_in_flight, self._not_before, self._begin_unconfirmed = False, None, False

    def lease_lost(self) -> None:
        """Stop. A request in flight continues until its timeout; its outcome can't be recorded under this token."""
        self.state, self.token, self._action_in_flight = RunnerState.NOT_HELD, 0, False

    @property
    def busy(self) -> bool:
        """Whether a run is open, so that the lease must not be returned yet."""
        return self.state in (RunnerState.BEGINNING, RunnerState.EXECUTING, RunnerState.ENDING)

    # Choosing actions.

    def next_action(self, now: datetime, wall: datetime, time_left: timedelta) -> RunnerAction | None:
        """Return the next action, or None if there is none to perform now.

        Args:
            now: current time on the clock that retries are scheduled by.
            wall: wall-clock time, which determines the runs that are due.
            time_left: remaining time of the lease.
        """
        if self.state is RunnerState.NOT_HELD or self._action_in_flight or self._is_waiting(now):
            return None
        if self.state is RunnerState.SETTLING:
            self.state = RunnerState.RECORDING_FENCE
        if self.state is RunnerState.IDLE:
            self._begin_if_due(wall)
        if self.state is RunnerState.IDLE or self._needs_renewal(time_left):
            return None
        self._action_in_flight = True
        if self.state is RunnerState.EXECUTING:
            self.counts["acts"] += 1
        return self._action_of_state()

    def _is_waiting(self, now: datetime) -> bool:
        if self._not_before is None or now >= self._not_before:
            self._not_before = None
            return False
        return True

    def _begin_if_due(self, wall: datetime) -> None:
        run = self.plan.schedule.due_run(wall, self._last_run)
        if run is not None and not self.draining:
            self.state, self._current_run, self._is_repeat = RunnerState.BEGINNING, run, False

    def _needs_renewal(self, time_left: timedelta) -> bool:
        """Return whether the remaining time of the lease is too short for the next action."""
        if self.state in (RunnerState.BEGINNING, RunnerState.EXECUTING):
            return time_left <= ZERO or time_left < self.plan.timeout + LEASE_MARGIN
        return time_left <= ZERO

    def _action_of_state(self) -> RunnerAction:
        match self.state:
            case RunnerState.INSPECTING:
                action = RunnerAction(ActionKind.INSPECT, self.token)
            case RunnerState.FENCING:
                action = RunnerAction(ActionKind.FENCE, self.token, self._current_run)
            case RunnerState.RECORDING_FENCE:
                action = RunnerAction(ActionKind.RECORD_FENCE, self.token)
            case RunnerState.BEGINNING:
                action = RunnerAction(ActionKind.BEGIN, self.token, self._current_run, self._is_repeat)
            case RunnerState.EXECUTING:
                action = RunnerAction(ActionKind.EXECUTE, self.token, self._current_run)
            case _:
                action = RunnerAction(ActionKind.END, self.token, self._current_run, outcome=self._outcome)
        return action

    def next_due(self, now: datetime, wall: datetime) -> datetime | None:
        """Return when to call `next_action` again; None if it first needs the lease or a result."""
        if self.state is RunnerState.NOT_HELD or self._action_in_flight:
            return None
        if self._not_before is not None:
            return self._not_before
        if self.state is RunnerState.IDLE:
            return now + max(MILLISECOND, self.plan.schedule.next_check(wall, self._last_run) - wall)
        return now + POLL_INTERVAL

    # Handling results.

    def handle_result(self, now: datetime, action: RunnerAction, result: ResultJson | Outcome | None) -> None:
        """Handle the result of an action: the log's result or a request's outcome; None if it is unknown."""
        if action.token != self.token or not self._action_in_flight:
            return
        self._action_in_flight = False
        parsed = parse_task_result(result) if isinstance(result, dict) else result
        match action.kind:
            case ActionKind.INSPECT:
                self._handle_inspection(now, parsed)
            case ActionKind.FENCE:
                self._handle_fenced(now, parsed)
            case ActionKind.RECORD_FENCE:
                self._handle_fence_recorded(now, parsed)
            case ActionKind.BEGIN:
                self._handle_begun(now, parsed)
            case ActionKind.EXECUTE:
                self._handle_executed(parsed)
            case ActionKind.END:
                self._handle_ended(now, parsed)

    def _retry_later(self, now: datetime) -> None:
        self._not_before = now + RETRY_DELAY

    def _handle_inspection(self, now: datetime, result: TaskResult | Outcome | None) -> None:
        if not isinstance(result, TaskStatus):
            self._retry_later(now)
            return
        self._last_run = result.run
        unconfirmed, self._begin_unconfirmed = self._begin_unconfirmed, False
        self._run_was_open = result.outcome is Outcome.OPEN
        if result.token != self.token:
            self._take_over(result)
        elif not self._run_was_open:
            self.state = RunnerState.IDLE
        elif unconfirmed and self._last_run == self._current_run:
            self.state = RunnerState.EXECUTING  # the begin was applied; only its response was lost
        else:
            self.state, self._current_run, self._outcome = RunnerState.ENDING, self._last_run, Outcome.UNKNOWN

    def _take_over(self, status: TaskStatus) -> None:
        """Continue from a run that was begun under an earlier token."""
        if status.may_be_in_flight:
            self.state, self._current_run = RunnerState.FENCING, status.run
        else:
            self.state, self._current_run = RunnerState.IDLE, NO_RUN

    def _handle_fenced(self, now: datetime, result: TaskResult | Outcome | None) -> None:
        match result:
            case Outcome.DONE:
                self.state, self._not_before = RunnerState.SETTLING, now + self.plan.timeout
            case Outcome.FENCED_OFF:
                self.lease_lost()  # the server has seen a later token, so this lease has ended
            case _:
                self._retry_later(now)

    def _handle_fence_recorded(self, now: datetime, result: TaskResult | Outcome | None) -> None:
        match result:
            case FenceRecorded() if self._run_was_open and self.plan.idempotent and not self.draining:
                self.state, self._is_repeat = RunnerState.BEGINNING, True
            case FenceRecorded():
                self.state = RunnerState.IDLE
            case None | Outcome():
                self._retry_later(now)
            case _:
                self.state = RunnerState.INSPECTING

    def _handle_begun(self, now: datetime, result: TaskResult | Outcome | None) -> None:
        match result:
            case RunBegun():
                self.state, self._last_run = RunnerState.EXECUTING, self._current_run
            case None | Outcome():
                self.state, self._begin_unconfirmed = RunnerState.INSPECTING, True
                self._retry_later(now)
            case _:
                self.state = RunnerState.INSPECTING  # the runs in the log differ from the expected ones

    def _handle_executed(self, result: TaskResult | Outcome | None) -> None:
        self.state = RunnerState.ENDING
        self._outcome = result if isinstance(result, Outcome) else Outcome.UNKNOWN
        self.counts[self._outcome.value] += 1

    def _handle_ended(self, now: datetime, result: TaskResult | Outcome | None) -> None:
        if result is None or isinstance(result, Outcome):
            self._retry_later(now)
            return
        if self._outcome is Outcome.NOT_RUN:
            self._last_run = self._current_run - 1  # the run may be begun again while it is due
            self._not_before = now + NOT_RUN_RETRY_DELAY
        self.state = RunnerState.IDLE
