"""What the admission controller knows of one request, and the states that it passes through.

Plain data. Times (`_at`, `_until`) and durations (`_us`) are microseconds on the controller's clock.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from marlstep.admission.deadlines import request_deadline
from marlstep.admission.events import Arrival
from marlstep.admission.key_retention import recognised_until
from marlstep.admission.settings import ClassSettings, Effect


class State(enum.IntEnum):
    """Where a request stands. Numbers, since their hash is cheap and they are looked up for every request."""

    QUEUED = 1
    RUNNING = 2
    STOPPING = 3  # preempted, and not yet known to have stopped
    PAUSED = 4
    AWAITING_CALL = 5  # off the cores, its call not yet made
    CALLING = 6
    ATTACHED = 7  # a repeat that waits for the result of another attempt
    FINISHED = 8


# A run that has begun and is neither paused nor ended, whether on the cores or at a call.
ACTIVE_STATES = (State.RUNNING, State.STOPPING, State.AWAITING_CALL, State.CALLING)
# Active, paused or queued: requests with work of their own to do. A repeat that is attached has none.
UNFINISHED_STATES = (*ACTIVE_STATES, State.PAUSED, State.QUEUED)


@dataclass(slots=True)
class Entry:
    """One request, from its arrival until its idempotency key is no longer recognised.

    Attributes:
        id: of the request.
        request_class: its class, as the settings had it at the arrival.
        priority_weight: of its class, reduced if its tenant exceeds its quota.
        priority: the priority weight that a response can still earn, as of this turn.
        arrived_at: when it reached the server, which was before it was read.
        deadline_at: after which no response counts.
        objective_at: end of its latency objective; a later response earns only the late share.
        recognised_until: past its idempotency window, since a repeat may be read late.
        memory_kb: while it is queued.
        caller: number of the caller that sent it.
        pool: of the servers that do its work.
        is_idempotent: whether it may run again whatever has happened.
        is_keyed: whether repeats are recognised by its idempotency key.
        can_skip_call: whether its run may go on without a downstream call.
        arrival_number: order of arrival.
        state: where it stands; `FINISHED`, which takes no memory, until it is added and queued.
        entered_state_at: when it entered its state.
        run_us: time on the cores so far, without the time from a preemption to its effect (`STOPPING`).
        response_owed: whether a caller waits for a final response.
        has_run: whether it was started, or shares the result of an attempt that was.
        was_paused: whether it was preempted.
        key_kept_until: when its idempotency key expires; 0 if none is kept.
        calls_made: attempts of the call of the present step.
        calls_never_ran: those of them that provably had no effect.
        next_call_at: before which the call is not attempted.
        reserved_call_us: what the call in flight has taken out of the reserve.
        superseded_by: the attempt that took its place.
    """

    id: str
    request_class: ClassSettings
    priority_weight: float
    priority: float
    arrived_at: int
    deadline_at: int
    objective_at: int
    recognised_until: int
    memory_kb: float
    caller: int
    pool: str
    is_idempotent: bool
    is_keyed: bool
    can_skip_call: bool
    arrival_number: int = 0
    state: State = State.FINISHED
    entered_state_at: int = 0
    run_us: int = 0
    response_owed: bool = True
    has_run: bool = False
    was_paused: bool = False
    key_kept_until: int = 0
    calls_made: int = 0
    calls_never_ran: int = 0
    next_call_at: int = 0
    reserved_call_us: int = 0
    superseded_by: Entry | None = None

    @classmethod
    def from_arrival(cls, event: Arrival, request_class: ClassSettings, weight: float, now: int) -> Entry:
        """Return the entry of an arrival that is read now.

        Args:
            event: the arrival.
            request_class: its class.
            weight: its priority weight.
            now: the time, in microseconds.
        """
        arrived_at = now - event.unread_us
        return cls(
            id=event.id,
            request_class=request_class,
            priority_weight=weight,
            priority=weight,
            arrived_at=arrived_at,
            deadline_at=request_deadline(
                event.caller_deadline_at, arrived_at, request_class.deadline_us, now
            ),
            objective_at=arrived_at + request_class.latency_objective_us,
            recognised_until=recognised_until(
                arrived_at, request_class.idempotency_window_us, request_class.deadline_us
            ),
            memory_kb=event.memory_kb,
            caller=event.caller,
            pool=event.pool,
            is_idempotent=request_class.effect is Effect.IDEMPOTENT,
            is_keyed=request_class.effect is Effect.KEYED,
            can_skip_call=request_class.skipped_call_factor > 0,
        )

    def was_queued_at(self, now: int) -> bool:
        """Return whether it entered the queue at this time, by its arrival or after a preemption."""
        return self.entered_state_at == now and self.state is State.QUEUED

    @property
    def calls_ran(self) -> int:
        """Attempts of the present call that may have had an effect."""
        return self.calls_made - self.calls_never_ran
