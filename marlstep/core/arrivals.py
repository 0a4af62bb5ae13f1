"""Reports the arrival of requests to the admission controller."""

from __future__ import annotations

from datetime import datetime

from marlstep.admission.events import Arrival
from marlstep.admission.settings import Effect
from marlstep.core.event_queue import EventQueue
from marlstep.core.idempotency import KeyTable
from marlstep.core.interfaces import Request, Stage
from marlstep.core.key_record import KeyRecord
from marlstep.core.request_registry import RequestRegistry
from marlstep.timer_queue import TimerQueue
from marlstep.units import span_us

# Prefix for the id of a request that is not in flight in this process. Clients reuse ids, so the bare id could match
# an unrelated request.
REMOTE_ID_PREFIX = "elsewhere/"


def effective_arrival_time(now: datetime, arrived_at: datetime) -> datetime:
    """Return the arrival time that idempotency windows are checked against: the stated one, but at most `now`.

    A client clock that runs ahead must not move a request past the end of an idempotency window.
    """
    return min(now, arrived_at)


def original_in_flight(requests: RequestRegistry, repeat: Request, record: KeyRecord) -> Request | None:
    """Return the original request that `repeat` repeats, or None if it is not in flight in this process.

    A client may reuse an id for other work, so a request with the recorded id but another key is not the original.
    """
    original = None if record.is_remote or record.finished else requests.find(record.request_id)
    same_work = original is not None and original.idempotency_key == repeat.idempotency_key
    return original if same_work else None


class ControllerArrivals:
    """Passes accepted requests to the controller's queue."""

    def __init__(
        self, timeline: TimerQueue, requests: RequestRegistry, keys: KeyTable, events: EventQueue
    ) -> None:
        """Initialize with the collaborators that the parts of the core share."""
        self._timeline, self._requests, self._keys, self._events = timeline, requests, keys, events

    def enqueue(self, request: Request, prior: KeyRecord | None) -> None:
        """Queue a request and record its idempotency key.

        Args:
            request: the accepted request.
            prior: the record of the work that the request repeats; None for new work.
        """
        inbound, now = request.inbound, self._timeline.now()
        request.stage = Stage.QUEUED
        if request.idempotency_key and inbound.idempotency_key:  # an id in flight needs no record
            arrived_at = effective_arrival_time(now, inbound.arrived_at)
            self._keys.record(request.idempotency_key, inbound.id, arrived_at, inbound.digest)
        self._events.post(
            Arrival(
                id=inbound.id,
                request_class=inbound.request_class,
                memory_kb=inbound.memory_kb,
                caller=inbound.caller,
                unread_us=max(0, span_us(now - inbound.arrived_at)),
                tenant=inbound.tenant,
                key=inbound.entity,
                is_retry=inbound.is_retry,
                rank=inbound.rank,
                cost_hint_us=None if inbound.cost_hint is None else span_us(inbound.cost_hint),
                prior=None if prior is None else self._prior_id(request, prior),
                is_write=request.class_settings.effect is not Effect.IDEMPOTENT,
                pool=inbound.pool,
            )
        )

    def _prior_id(self, request: Request, prior: KeyRecord) -> str:
        """Return the id of the request that this one repeats, prefixed if that is not in flight in this process.

        A request that is not in flight here has run or may have run.
        """
        if original_in_flight(self._requests, request, prior) is not None:
            return prior.request_id
        return REMOTE_ID_PREFIX + prior.request_id
