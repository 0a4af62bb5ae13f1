"""Arrivals as the admission controller hears of them."""

from __future__ import annotations

from datetime import datetime

from marlstep.admission.events import Arrival
from marlstep.admission.settings import Effect
from marlstep.core.event_queue import EventQueue
from marlstep.core.idempotency import KeyRecord, KeyTable
from marlstep.core.interfaces import Request, Stage
from marlstep.core.request_registry import RequestRegistry
from marlstep.timer_queue import TimerQueue
from marlstep.units import span_us

REMOTE_ID_PREFIX = "elsewhere/"  # before the id of a request that is not in flight here: ids are used again


def effective_arrival_time(now: datetime, arrived_at: datetime) -> datetime:
    """Return the moment at which a request counts as having arrived.

    A client's clock may run ahead, which must open no idempotency window: never later than now.
    """
    return min(now, arrived_at)


def original_in_flight(requests: RequestRegistry, repeat: Request, record: KeyRecord) -> Request | None:
    """Return the request that stands for the work, while it is in flight in this process.

    A client may use its id again for other work: a request with that id and another key is no original.
    """
    original = None if record.is_remote or record.finished else requests.find(record.request_id)
    same_work = original is not None and original.idempotency_key == repeat.idempotency_key
    return original if same_work else None


class ControllerArrivals:
    """Hands accepted requests to the controller's queue."""

    def __init__(
        self, timeline: TimerQueue, requests: RequestRegistry, keys: KeyTable, events: EventQueue
    ) -> None:
        """Work on these collaborators, which the core shares among its parts."""
        self._timeline, self._requests, self._keys, self._events = timeline, requests, keys, events

    def enqueue(self, request: Request, prior: KeyRecord | None) -> None:
        """Queue a request, and enter its key. `prior` is the work that it repeats; None for new work."""
        inbound, now = request.inbound, self._timeline.now()
        request.stage = Stage.QUEUED
        if request.idempotency_key:
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
        """Name the request that this one repeats. One that is not in flight here has run, or may have."""
        if original_in_flight(self._requests, request, prior) is not None:
            return prior.request_id
        return REMOTE_ID_PREFIX + prior.request_id
