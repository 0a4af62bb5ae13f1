"""Repeats of work that has an effect: retained keys, repeats that wait for a result, and keys of sibling processes."""

from __future__ import annotations

from datetime import datetime, timedelta

from marlstep.admission.events import Outcome
from marlstep.core.arrivals import effective_arrival_time, original_in_flight
from marlstep.core.idempotency import KeyTable
from marlstep.core.interfaces import Request, Stage
from marlstep.core.key_record import KeyRecord
from marlstep.core.request_registry import RequestRegistry
from marlstep.core.responses import ResponseDelivery
from marlstep.core.served_settings import ServedSettings
from marlstep.core.work_identity import IdempotencyKey
from marlstep.timer_queue import Timer, TimerQueue
from marlstep.units import SECOND, ZERO, span

MIN_DROP_INTERVAL = 1 * SECOND  # between two timers that drop expired entries


class RepeatedWork:
    """Retains idempotency keys, and attaches repeats to their original requests.

    It also keeps the list of repeats that wait for the result of a sibling process.
    """

    def __init__(
        self,
        timeline: TimerQueue,
        requests: RequestRegistry,
        keys: KeyTable,
        responses: ResponseDelivery,
        served: ServedSettings,
    ) -> None:
        """Initialize with the collaborators that the parts of the core share."""
        self._timeline, self._requests, self._keys = timeline, requests, keys
        self._responses, self._served = responses, served
        self._drop_timer: Timer | None = None
        self._drops_at: datetime | None = None  # when that timer is due
        self._waiting_for_remote: dict[IdempotencyKey, list[str]] = {}  # ids of waiting repeats, by key

    def retain_key(self, request: Request, lifetime: timedelta) -> None:
        """Keep the request's key for a time that starts now and ends with its idempotency window.

        The entry outlives the window by the deadline of the class, as a repeat that waits unread for longer than that
        never runs.
        """
        if request.idempotency_key:
            now = self._timeline.now()
            expires_at = now + lifetime
            max_unread_time = span(request.class_settings.deadline_us)
            self._keys.retain(
                request.idempotency_key,
                request.id,
                expires_at,
                now,
                max_unread_time,
                request.inbound.digest,
                expires_at - span(request.class_settings.idempotency_window_us),
            )
            self._schedule_drops()

    def _schedule_drops(self) -> None:
        """Set the timer that drops expired entries even if no new ones come."""
        next_drop_at = self._keys.next_drop_at
        if next_drop_at is None:
            return
        due = max(next_drop_at, self._timeline.now() + MIN_DROP_INTERVAL)
        if self._drops_at is None or due < self._drops_at:
            self._timeline.cancel(self._drop_timer)
            self._drop_timer, self._drops_at = self._timeline.at(due, self._drop_expired), due

    def _drop_expired(self) -> None:
        self._drop_timer = self._drops_at = None
        self._keys.drop_expired(self._timeline.now())
        self._schedule_drops()

    def drop_key(self, request: Request) -> None:
        """Drop the key of a request that never ran, so that the next request with the key is new work."""
        if request.idempotency_key:
            self._keys.drop(request.idempotency_key, request.id, even_if_retained=True)

    def attach(self, repeat: Request) -> None:
        """Give a repeat the result of its original request, either now or when that request ends.

        The repeat fails if there is no result and none is expected, as the work may have run.
        """
        # The controller attaches only keyed work, and the intake rejects keyed work without a key. The empty key name
        # is a fallback that matches no record, so that such a repeat would fail.
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

    # Work of sibling processes.

    def adopt_remote(self, key: IdempotencyKey, remote: KeyRecord) -> None:
        """Record a sibling's report on a piece of work. If the work has ended, end the repeats that wait for it."""
        class_settings = self._served.classes.get(key.request_class)
        max_unread_time = span(class_settings.deadline_us) if class_settings else ZERO
        result = remote.result  # the table may drop it at once for lack of memory
        self._keys.adopt(key, remote, self._timeline.now(), max_unread_time)
        self._schedule_drops()
        if remote.finished or result is not None:
            self._end_waiting_repeats(key, result)

    def drop_remote(self, key: IdempotencyKey, request_id: str) -> None:
        """Drop the entry of a sibling's request that never ran. The repeats that wait for it fail."""
        if self._keys.drop_remote(key, request_id):
            self._end_waiting_repeats(key, None)

    def mark_remote_outcomes_unknown(self, expires_at: datetime) -> None:
        """Mark the siblings' unfinished requests as ended with an unknown outcome. The repeats that wait for them fail.

        The keys stay recorded, as the work may have run: until their own expiry, or until `expires_at` if they have
        none.
        """
        for key in self._keys.mark_remote_outcomes_unknown(expires_at, self._timeline.now()):
            self._end_waiting_repeats(key, None)
        self._schedule_drops()

    def _end_waiting_repeats(self, key: IdempotencyKey, result: bytes | None) -> None:
        outcome = Outcome.ERROR if result is None else Outcome.OK
        for repeat_id in self._waiting_for_remote.pop(key, ()):
            repeat = self._requests.find(repeat_id)
            if repeat is not None and repeat.stage is Stage.ATTACHED:
                self._responses.share_result(repeat, outcome, result or b"")
