"""The admission controller's record of one request, and its states.

Times (`_at`, `_until`) and durations (`_us`) are microseconds on the controller's clock.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from marlstep.admission.deadlines import request_deadline
from marlstep.admission.events import Arrival
from marlstep.admission.key_retention import recognised_until
from marlstep.admission.settings import ClassSettings, Effect


class State(enum.IntEnum):
    """State of a request. An integer enum, since states are hashed often and integers hash cheaply."""

    QUEUED = 1
    RUNNING = 2
    STOPPING = 3  # preempted, stop not yet confirmed
    PAUSED = 4
    AWAITING_CALL = 5  # off the cores, call not yet made
    CALLING = 6
    ATTACHED = 7  # repeated request that waits for the result of another attempt
    FINISHED = 8


# Runs that have begun and are neither paused nor ended, on the cores or at a call.
ACTIVE_STATES = (State.RUNNING, State.STOPPING, State.AWAITING_CALL, State.CALLING)
# Active, paused or queued requests, which have work left. Attached requests have none of their own.
UNFINISHED_STATES = (*ACTIVE_STATES, State.PAUSED, State.QUEUED)


@dataclass(slots=True)
class Entry:
    """One request, from its arrival until its idempotency key is no longer recognised.

    Attributes:
        id: The request ID.
        request_class: Its class, as in the settings at its arrival.
        priority_weight: Priority weight of its class, reduced if its tenant exceeds its quota.
        priority: The priority weight that a response can still earn, updated each turn.
        arrived_at: When it reached the server, which may be before it was read.
        deadline_at: The time after which a response no longer counts.
        objective_at: End of its latency objective; a later response earns only the late share.
        recognised_until: Until when repeats are recognised; past its idempotency window, since a repeat may
            be read late.
        memory_kb: Memory that it takes while queued, in kilobytes.
        caller: Number of the caller that sent it.
        pool: Pool of the servers that do its work; empty for the cores of this server.
        is_idempotent: Whether it may run any number of times.
        is_keyed: Whether repeats are recognised by its idempotency key.
        can_skip_call: Whether its run can continue without a downstream call.
        arrival_number: Position in the order of arrivals.
        state: Current state; `FINISHED`, which takes no memory, until it is added and queued.
        entered_state_at: When it entered its state.
        run_us: Time on the cores so far, without the time from a preemption to the stop (`STOPPING`).
        response_owed: Whether a caller waits for a final response.
        has_run: Whether it was started, or shares the result of an attempt that was.
        was_paused: Whether it was preempted.
        key_kept_until: When its idempotency key expires; 0 if none is kept.
        calls_made: Attempts of the call of the current step.
        calls_never_ran: Attempts of that call that provably had no effect.
        next_call_at: Earliest time of the next attempt of the call.
        reserved_call_us: Time that the call in flight has reserved.
        superseded_by: The attempt that replaced this one, if any.
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
        """Create the entry of a request that was read at `now`.

        Args:
            event: The arrival.
            request_class: Its class.
            weight: Its priority weight.
            now: The current time, in microseconds.
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
        """Return whether it entered the queue at `now`, by its arrival or after a preemption."""
        return self.entered_state_at == now and self.state is State.QUEUED

    @property
    def calls_ran(self) -> int:
        """Attempts of the current call that may have had an effect."""
        return self.calls_made - self.calls_never_ran
