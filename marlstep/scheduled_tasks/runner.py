"""One task on the process that holds its lease: what to do next, and when.

    inspect ──▶ (may be in flight) ──▶ fence ──▶ settle ──▶ record the fence ──▶ repeat an open idempotent run
      └──────▶ idle ──due──▶ begin ──▶ execute ──▶ end ──▶ idle ◀──────────────────┘ (or leave it as "may have run")

A fence gives the server the new token, so that the server refuses whatever may still come under an old one; what it
had begun before then has ended once the task's timeout has passed. A run is executed only while its whole timeout is
left of the lease.
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

LEASE_MARGIN = 50 * MILLISECOND  # of the lease that is left beyond a run's timeout
RETRY_DELAY = 500 * MILLISECOND  # before what failed is tried again
NOT_RUN_RETRY_DELAY = SECOND  # before a run that was refused is begun again
POLL_INTERVAL = 100 * MILLISECOND  # while something waits for the lease or for a result


class RunnerState(enum.Enum):
    """What comes next; the values are those of the administration API."""

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
    """One task, as the operator's file has it."""

    name: str
    schedule: Schedule
    request_class: str
    idempotent: bool  # a run that may have run may be executed again
    timeout: timedelta  # a request that takes longer is abandoned


class TaskRunner:
    """The state of one task on one process. It does no I/O: its node does the actions and reports their results."""

    def __init__(self, plan: TaskPlan) -> None:
        """A runner without the task's lease."""
        self.plan = plan
        self.state = RunnerState.NOT_HELD
        self.token = 0
        self.draining = False  # begins no run any more
        self._action_in_flight = False  # an action was returned, and its result has not come
        self._last_run = NO_RUN
        self._current_run, self._is_repeat = NO_RUN, False
        self._outcome = Outcome.OPEN
        self._run_was_open = False  # at the last inspection
        self._begin_unconfirmed = False  # the log may have the run, and nothing was executed for it
        self._not_before: datetime | None = None
        outcomes = (outcome.value for outcome in Outcome if outcome is not Outcome.OPEN)
        self.counts = dict.fromkeys(("acts", *outcomes), 0)

    # The lease.

    def lease_gained(self, token: int) -> None:
        """Start over under a new token."""
        if token == self.token and self.state is not RunnerState.NOT_HELD:
            return
        self.state, self.token = RunnerState.INSPECTING, token
        self._action_in_flight, self._not_before, self._begin_unconfirmed = False, None, False

    def lease_lost(self) -> None:
        """Stop. A request in flight goes on until its timeout; its outcome can't be recorded under this token."""
        self.state, self.token, self._action_in_flight = RunnerState.NOT_HELD, 0, False

    @property
    def busy(self) -> bool:
        """Whether a run is open: the lease is not given back before it ends."""
        return self.state in (RunnerState.BEGINNING, RunnerState.EXECUTING, RunnerState.ENDING)

    # Actions.

    def next_action(self, now: datetime, wall: datetime, time_left: timedelta) -> RunnerAction | None:
        """The action to do now, with `time_left` of the lease; None where there is none."""
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
        """Whether too little of the lease is left for what comes next."""
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
        """When `next_action` is to be asked again; None where a lease or a result comes first."""
        if self.state is RunnerState.NOT_HELD or self._action_in_flight:
            return None
        if self._not_before is not None:
            return self._not_before
        if self.state is RunnerState.IDLE:
            return now + max(MILLISECOND, self.plan.schedule.next_check(wall, self._last_run) - wall)
        return now + POLL_INTERVAL

    # Results.

    def handle_result(self, now: datetime, action: RunnerAction, result: ResultJson | Outcome | None) -> None:
        """Take in how an action went: the log's result, or a request's outcome. None: it is not known."""
        if action.token != self.token or not self._action_in_flight:
            return
        self._action_in_flight = False
        answer = parse_task_result(result) if isinstance(result, dict) else result
        match action.kind:
            case ActionKind.INSPECT:
                self._handle_inspection(now, answer)
            case ActionKind.FENCE:
                self._handle_fenced(now, answer)
            case ActionKind.RECORD_FENCE:
                self._handle_fence_recorded(now, answer)
            case ActionKind.BEGIN:
                self._handle_begun(now, answer)
            case ActionKind.EXECUTE:
                self._handle_executed(answer)
            case ActionKind.END:
                self._handle_ended(now, answer)

    def _retry_later(self, now: datetime) -> None:
        self._not_before = now + RETRY_DELAY

    def _handle_inspection(self, now: datetime, answer: TaskResult | Outcome | None) -> None:
        if not isinstance(answer, TaskStatus):
            self._retry_later(now)
            return
        self._last_run = answer.run
        unconfirmed, self._begin_unconfirmed = self._begin_unconfirmed, False
        self._run_was_open = answer.outcome is Outcome.OPEN
        if answer.token != self.token:
            self._take_over(answer)
        elif not self._run_was_open:
            self.state = RunnerState.IDLE
        elif unconfirmed and self._last_run == self._current_run:
            self.state = RunnerState.EXECUTING  # its begin was applied, and only the response was lost
        else:
            self.state, self._current_run, self._outcome = RunnerState.ENDING, self._last_run, Outcome.UNKNOWN

    def _take_over(self, status: TaskStatus) -> None:
        """Go on from a run that was begun under an earlier token."""
        if status.may_be_in_flight:
            self.state, self._current_run = RunnerState.FENCING, status.run
        else:
            self.state, self._current_run = RunnerState.IDLE, NO_RUN

    def _handle_fenced(self, now: datetime, answer: TaskResult | Outcome | None) -> None:
        match answer:
            case Outcome.DONE:
                self.state, self._not_before = RunnerState.SETTLING, now + self.plan.timeout
            case Outcome.FENCED_OFF:
                self.lease_lost()  # the server has seen a later token: this lease is over
            case _:
                self._retry_later(now)

    def _handle_fence_recorded(self, now: datetime, answer: TaskResult | Outcome | None) -> None:
        match answer:
            case FenceRecorded() if self._run_was_open and self.plan.idempotent and not self.draining:
                self.state, self._is_repeat = RunnerState.BEGINNING, True
            case FenceRecorded():
                self.state = RunnerState.IDLE
            case None | Outcome():
                self._retry_later(now)
            case _:
                self.state = RunnerState.INSPECTING

    def _handle_begun(self, now: datetime, answer: TaskResult | Outcome | None) -> None:
        match answer:
            case RunBegun():
                self.state, self._last_run = RunnerState.EXECUTING, self._current_run
            case None | Outcome():
                self.state, self._begin_unconfirmed = RunnerState.INSPECTING, True
                self._retry_later(now)
            case _:
                self.state = RunnerState.INSPECTING  # the log's runs are not what they were taken for

    def _handle_executed(self, answer: TaskResult | Outcome | None) -> None:
        self.state = RunnerState.ENDING
        self._outcome = answer if isinstance(answer, Outcome) else Outcome.UNKNOWN
        self.counts[self._outcome.value] += 1

    def _handle_ended(self, now: datetime, answer: TaskResult | Outcome | None) -> None:
        if answer is None or isinstance(answer, Outcome):
            self._retry_later(now)
            return
        if self._outcome is Outcome.NOT_RUN:
            self._last_run = self._current_run - 1  # it may be begun again, as long as it is due
            self._not_before = now + NOT_RUN_RETRY_DELAY
        self.state = RunnerState.IDLE
