"""This process as its handover sees it: the core, with names and times as the other process writes them."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import datetime

from marlstep.core.engine import Core
from marlstep.core.idempotency import IdempotencyKey, KeyRecord, decode_label, encode_label
from marlstep.hot_restart.messages import KeyReleased, KeyStatus
from marlstep.hot_restart.restart import HotRestart
from marlstep.timer_queue import TimerQueue
from marlstep.units import instant, instant_us

RESULT_LIMIT = 4 * 1024  # bytes, the most on the platform's wire; in JSON each may take six


@dataclass(slots=True)
class HostHooks:
    """What the wiring of the node gives."""

    take_over: Callable[[], None]
    successor_lost: Callable[[], None]
    successor_draining: Callable[[], None]
    limit_resources: Callable[[float], None]
    connected: Callable[[], float]  # share of the node's connections that are in use here
    serving_state_changed: Callable[[], None]


class HostAdapter:
    def __init__(self, core: Core, timeline: TimerQueue, hooks: HostHooks) -> None:
        self._core, self._timeline, self._hooks = core, timeline, hooks
        self.take_over = hooks.take_over
        self.successor_lost = hooks.successor_lost
        self.successor_draining = hooks.successor_draining
        self.adopt_measurements = core.adopt_measurements
        self.measurements = core.measurements
        self.orphan = core.mark_remote_outcomes_unknown
        self.serve = core.serving_state.mark_ready

    def watch(self, handover: HotRestart) -> None:
        """From now on the others hear of each change, and are asked for what they know."""
        self._core.siblings = handover
        self._core.idempotency_keys.on_changed = lambda key, known, gone: handover.key_changed(
            KeyReleased(*key, encode_label(known.request_id, known.digest))
            if gone
            else key_status(key, known)
        )

    def wants_traffic(self) -> bool:
        return self._core.serving_state.wants_traffic

    def set_wants_traffic(self, wanted: bool) -> None:
        if wanted is not self._core.serving_state.wants_traffic:
            (self._core.serving_state.resume if wanted else self._core.serving_state.quiesce)()
            self._hooks.serving_state_changed()

    def memory_and_concurrency_in_use(self) -> tuple[float, float]:
        used, need = self._core.memory_and_concurrency_in_use()
        connected = self._hooks.connected()
        return max(used, connected), max(need, connected)

    def limit_resources(self, share: float) -> None:
        self._hooks.limit_resources(share)

    def key_statuses(self) -> Iterator[KeyStatus]:
        return (key_status(key, known) for key, known in self._core.idempotency_keys)

    def key_status(self, kind: str, once: str) -> KeyStatus | None:
        known = self._core.idempotency_keys.find(IdempotencyKey(kind, once), self._timeline.now())
        return None if known is None else key_status(IdempotencyKey(kind, once), known)

    def adopt(self, name: KeyStatus) -> None:
        result = None if name.result is None else name.result.encode("latin-1")
        until: datetime | None = instant(name.until_us) if name.until_us else None
        id, digest = decode_label(name.request_id)
        self._core.adopt_remote_key(
            IdempotencyKey(name.request_class, name.idempotency_key),
            KeyRecord(id, until, result, name.finished, digest=digest),
        )

    def forget(self, gone: KeyReleased) -> None:
        self._core.forget_remote_key(
            IdempotencyKey(gone.request_class, gone.idempotency_key), decode_label(gone.request_id)[0]
        )


def key_status(key: IdempotencyKey, known: KeyRecord) -> KeyStatus:
    """A result that no message holds is left out: a repeat then fails there, and does not run."""
    until = instant_us(known.expires_at) if known.expires_at else 0
    short = known.result is not None and len(known.result) <= RESULT_LIMIT
    result = known.result.decode("latin-1") if known.result is not None and short else None
    return KeyStatus(*key, encode_label(known.request_id, known.digest), until, result, known.finished)
