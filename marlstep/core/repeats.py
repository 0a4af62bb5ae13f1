"""Repeats of work that has an effect: kept keys, repeats that wait for a result, and keys of other processes."""

from __future__ import annotations

from datetime import datetime, timedelta

from marlstep.admission.events import Outcome
from marlstep.core.arrivals import effective_arrival_time, original_in_flight
from marlstep.core.idempotency import IdempotencyKey, KeyRecord, KeyTable
from marlstep.core.interfaces import Request, Stage
from marlstep.core.request_registry import RequestRegistry
from marlstep.core.responses import ResponseDelivery
from marlstep.core.served_settings import ServedSettings
from marlstep.timer_queue import TimerQueue
from marlstep.units import ZERO, span


class RepeatedWork:
    """Keeps keys, and attaches repeats to what they repeat. It owns the repeats that wait for another process."""

    def __init__(
        self,
        timeline: TimerQueue,
        requests: RequestRegistry,
        keys: KeyTable,
        responses: ResponseDelivery,
        served: ServedSettings,
    ) -> None:
        """Work on these collaborators, which the core shares among its parts."""
        self._timeline, self._requests, self._keys = timeline, requests, keys
        self._responses, self._served = responses, served
        self._waiting_for_remote: dict[IdempotencyKey, list[str]] = {}  # ids of repeats, by their work

    def retain_key(self, request: Request, window: timedelta) -> None:
        """Keep the request's key for a window from now on.

        The entry outlives the window by the class's deadline: a repeat that lies unread for longer never runs.
        """
        if request.idempotency_key:
            now = self._timeline.now()
            max_unread_time = span(request.class_settings.deadline_us)
            self._keys.retain(
                request.idempotency_key,
                request.id,
                now + window,
                now,
                max_unread_time,
                request.inbound.digest,
            )

    def drop_key(self, request: Request) -> None:
        """Drop the key of a request that never ran: the next request with it is new work."""
        if request.idempotency_key:
            self._keys.drop(request.idempotency_key, request.id, even_if_retained=True)

    def attach(self, repeat: Request) -> None:
        """Give a repeat the result of the request that it repeats, now or when that ends.

        It fails where no result is known and none will come: the work may have run.
        """
        # The controller attaches keyed work alone, and the intake accepts none without a key. Were there one, its empty
        # name would find no record, and the repeat would fail as one without a known result.
        key = repeat.idempotency_key or IdempotencyKey(repeat.inbound.request_class, "")
        arrived_at = effective_arrival_time(self._timeline.now(), repeat.inbound.arrived_at)
        record = self._keys.find(key, arrived_at)
        original = original_in_flight(self._requests, repeat, record) if record else None
        repeat.stage = Stage.ATTACHED
        if record and record.result is not None:
            self._responses.share_result(repeat, Outcome.OK, record.result)
        elif original is not None and original is not repeat:
            original.attached_request_ids.append(repeat.id)
        elif record is not None and record.is_remote and not record.finished:
            self._waiting_for_remote.setdefault(key, []).append(repeat.id)
        else:
            self._responses.share_result(repeat, Outcome.ERROR, b"")

    # Work of the node's other processes.

    def adopt_remote(self, key: IdempotencyKey, remote: KeyRecord) -> None:
        """Enter what another process says of a piece of work; an end is passed on to the repeats here."""
        class_settings = self._served.classes.get(key[0])
        max_unread_time = span(class_settings.deadline_us) if class_settings else ZERO
        self._keys.adopt(key, remote, self._timeline.now(), max_unread_time)
        if remote.finished or remote.result is not None:
            self._end_waiting_repeats(key, remote.result)

    def drop_remote(self, key: IdempotencyKey, request_id: str) -> None:
        """Drop the entry of another process's request that never ran; the repeats here fail."""
        if self._keys.drop_remote(key, request_id):
            self._end_waiting_repeats(key, None)

    def mark_remote_outcomes_unknown(self, expires_at: datetime) -> None:
        """End what the other processes had in flight, as nobody reports on it any more; the repeats here fail.

        The keys stay known, as the work may have run: until their own end, or until `expires_at` if they have none.
        """
        for key in self._keys.mark_remote_outcomes_unknown(expires_at, self._timeline.now()):
            self._end_waiting_repeats(key, None)

    def _end_waiting_repeats(self, key: IdempotencyKey, result: bytes | None) -> None:
        outcome = Outcome.ERROR if result is None else Outcome.OK
        for repeat_id in self._waiting_for_remote.pop(key, ()):
            repeat = self._requests.find(repeat_id)
            if repeat is not None and repeat.stage is Stage.ATTACHED:
                self._responses.share_result(repeat, outcome, result or b"")
