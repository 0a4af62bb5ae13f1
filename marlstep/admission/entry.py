"""What the admission controller knows of one request, and the states that it passes through.

Plain data: nothing here decides. Times are microseconds on the controller's clock.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from marlstep.admission.events import Arrival
from marlstep.admission.settings import ClassSettings, Effect


class State(enum.IntEnum):
    """Where a request stands; numbers, since they are looked up all the time."""

    QUEUED = 1
    RUNNING = 2
    STOPPING = 3  # told to halt, not yet seen to have stopped
    PAUSED = 4
    AWAITING_CALL = 5  # off the cores, its call not yet made
    CALLING = 6
    ATTACHED = 7  # a repeat that waits for the run of another attempt
    FINISHED = 8


IN_RUN = (State.RUNNING, State.STOPPING, State.AWAITING_CALL, State.CALLING)
ALIVE = (*IN_RUN, State.PAUSED, State.QUEUED)


@dataclass(slots=True)
class Entry:
    """One request, from its arrival until its idempotency key is no longer recognised."""

    id: str
    request_class: ClassSettings
    priority_weight: float  # priority weight of its class, less where its tenant sends more than its quota
    priority: float  # what its answer is worth at present
    arrived_at: int
    deadline_at: int
    objective_at: int  # end of its latency objective: a later answer is worth only the late share
    recognised_until: int  # past its window, so that a repeat read late is still recognised
    memory_kb: float
    caller: int
    pool: str  # of the servers that do its work
    is_idempotent: bool  # may run again whatever has happened
    is_keyed: bool  # repeats are recognised by its idempotency key
    can_skip_call: bool  # its run may go on without a downstream call
    arrival_number: int = 0  # order of arrival
    state: State = State.FINISHED
    entered_state_at: int = 0  # when it entered its state
    run_us: int = 0  # time on the cores so far
    response_owed: bool = True
    has_run: bool = False
    was_paused: bool = False
    key_kept_until: int = 0  # 0: no idempotency key is kept
    calls_made: int = 0  # for the present step
    calls_never_ran: int = 0  # of these
    next_call_at: int = 0
    reserved_call_us: int = 0  # of the call budget, by the call in flight
    superseded_by: Entry | None = None  # the attempt that now stands for this one

    @classmethod
    def from_arrival(cls, event: Arrival, request_class: ClassSettings, weight: float, now: int) -> Entry:
        """Reckon a request's times from its arrival, which was before it was read."""
        arrived_at = now - event.unread_us
        return cls(
            id=event.id,
            request_class=request_class,
            priority_weight=weight,
            priority=weight,
            arrived_at=arrived_at,
            deadline_at=event.gives_up_us or max(now, arrived_at + request_class.deadline_us),
            objective_at=arrived_at + request_class.latency_objective_us,
            recognised_until=arrived_at + request_class.idempotency_window_us + request_class.deadline_us,
            memory_kb=event.memory_kb,
            caller=event.caller,
            pool=event.pool,
            is_idempotent=request_class.effect is Effect.IDEMPOTENT,
            is_keyed=request_class.effect is Effect.KEYED,
            can_skip_call=request_class.skipped_call_factor > 0,
        )

    def was_queued_at(self, now: int) -> bool:
        """Tell whether it entered the queue at this time, which is that of its arrival or its preemption."""
        return self.entered_state_at == now and self.state is State.QUEUED

    @property
    def calls_ran(self) -> int:
        """How many of the calls made may have had an effect."""
        return self.calls_made - self.calls_never_ran
