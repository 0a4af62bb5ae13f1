"""Adapts the core to the `Host` interface and converts its keys and times to and from the message format."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from marlstep.core.engine import Core
from marlstep.core.key_record import KeyRecord
from marlstep.core.work_identity import IdempotencyKey, WorkLabel
from marlstep.hot_restart.messages import KeyReleased, KeyStatus
from marlstep.timer_queue import TimerQueue
from marlstep.units import instant, instant_us

if TYPE_CHECKING:
    from marlstep.hot_restart.interfaces import NodeCallbacks
    from marlstep.hot_restart.restart import HotRestart

MAX_RESULT_BYTES = 4 * 1024  # the platform's longest result; JSON may encode each byte as six


class HostAdapter:
    """Implements the state machines' `Host` with a core."""

    def __init__(self, core: Core, timeline: TimerQueue, callbacks: NodeCallbacks) -> None:
        """Initialize the adapter; `watch` connects it to the core.

        Args:
            core: the core of this process.
            timeline: the node's timers and clock.
            callbacks: the node's side of the hot restart, beyond the core.
        """
        self._core, self._timeline, self._callbacks = core, timeline, callbacks
        self.accept_connections = callbacks.accept_connections
        self.successor_lost = callbacks.successor_lost
        self.successor_draining = callbacks.successor_draining
        self.successor_serves = callbacks.successor_serves
        self.limit_capacity = callbacks.limit_capacity
        self.adopt_measurements = core.adopt_measurements
        self.measurements = core.measurements
        self.mark_outcomes_unknown = core.mark_remote_outcomes_unknown
        self.mark_ready = core.serving_state.mark_ready

    def watch(self, hot_restart: HotRestart) -> None:
        """Have the core claim keys from the other processes and send them each change of a key."""

        def key_changed(key: IdempotencyKey, record: KeyRecord, released: bool) -> None:
            if released:
                label = WorkLabel(record.request_id, record.digest, key.scope).encode()
                hot_restart.key_changed(KeyReleased(key.request_class, key.name, label))
            else:
                hot_restart.key_changed(key_status(key, record))

        self._core.siblings = hot_restart
        self._core.idempotency_keys.on_changed = key_changed

    def wants_traffic(self) -> bool:
        """Return whether the node wants traffic: False while an operator has quiesced it.

        A drain does not count: it is this process's own, and a process that replaces it serves.
        """
        return not self._core.serving_state.is_quiesced

    def set_wants_traffic(self, wanted: bool, /) -> None:
        """Apply a quiesce or resume from another process of the node."""
        serving_state = self._core.serving_state
        if wanted is self.wants_traffic():
            return
        if wanted:
            serving_state.resume()
        else:
            serving_state.quiesce()
        self._callbacks.serving_state_changed()

    def memory_and_concurrency_in_use(self) -> tuple[float, float]:
        """Return two shares, 0 to 1, of the node's capacity: in use now, and the most that all in flight may use."""
        in_use, needed = self._core.memory_and_concurrency_in_use()
        connections = self._callbacks.connection_share()
        return max(in_use, connections), max(needed, connections)

    def key_statuses(self) -> Iterator[KeyStatus]:
        """Iterate over all idempotency keys known at the time of the call."""
        return (key_status(key, record) for key, record in self._core.idempotency_keys)

    def find_key(self, request_class: str, name: str, request_label: str, /) -> KeyStatus | None:
        """Return the status of a known key; None if a request with the key and the label may run.

        A label without a digest comes from a process that reports no scopes: the request may belong to any of them.
        """
        keys, now = self._core.idempotency_keys, self._timeline.now()
        label = WorkLabel.decode(request_label)
        key = IdempotencyKey(request_class, name, label.scope)
        record = keys.find(key, now)
        if record is not None:
            return key_status(key, record)
        known = None if label.digest else keys.find_in_any_scope(request_class, name, now)
        return None if known is None else key_status(*known)

    def adopt_key(self, status: KeyStatus, /) -> None:
        """Record the status of a key at another process."""
        result = None if status.result is None else status.result.encode("latin-1")
        expires_at = instant(status.expires_at_us) if status.expires_at_us else None
        label = WorkLabel.decode(status.request_label)
        self._core.adopt_remote_key(
            IdempotencyKey(status.request_class, status.idempotency_key, label.scope),
            KeyRecord(label.request_id, expires_at, result, status.finished, digest=label.digest),
        )

    def release_key(self, released: KeyReleased, /) -> None:
        """Remove the key of another process's attempt, which never ran."""
        label = WorkLabel.decode(released.request_label)
        key = IdempotencyKey(released.request_class, released.idempotency_key, label.scope)
        self._core.drop_remote_key(key, label.request_id)


def key_status(key: IdempotencyKey, record: KeyRecord) -> KeyStatus:
    """Return the message for a key.

    A result longer than `MAX_RESULT_BYTES` is left out: a retry then fails instead of running again.
    """
    expires_at_us = instant_us(record.expires_at) if record.expires_at else 0
    fits = record.result is not None and len(record.result) <= MAX_RESULT_BYTES
    result = record.result.decode("latin-1") if record.result is not None and fits else None
    label = WorkLabel(record.request_id, record.digest, key.scope).encode()
    return KeyStatus(key.request_class, key.name, label, expires_at_us, result, record.finished)
