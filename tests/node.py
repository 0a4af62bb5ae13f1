"""A clock that is moved by hand and ends of connections that need no socket, for tests of the node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any, cast

from marlstep.stream import RingStream
from marlstep.timeline import Timeline
from marlstep.units import EPOCH, MILLISECOND, SECOND

START = EPOCH + 1_800_000_000 * SECOND


class HandClock:
    """A waker whose time passes only in `advance`."""

    def __init__(self) -> None:
        self.time = START
        self._alarm: tuple[datetime, Callable[[], None]] | None = None
        self._soon: list[Callable[[], None]] = []
        self.timeline = Timeline(self)

    def now(self) -> datetime:
        return self.time

    def wake_at(self, when: datetime, callback: Callable[[], None]) -> None:
        self._alarm = (when, callback)

    def soon(self, callback: Callable[[], None]) -> None:
        self._soon.append(callback)

    def settle(self) -> None:
        while self._soon:
            self._soon.pop(0)()

    def advance(self, ms: float) -> None:
        end = self.time + ms * MILLISECOND
        self.settle()
        while self._alarm is not None and self._alarm[0] <= end:
            when, callback = self._alarm
            self._alarm = None
            self.time = max(self.time, when)
            callback()
            self.settle()
        self.time = end


class Wire:
    """The transport of a stream under test: keeps what was written, and feeds what the peer writes."""

    def __init__(self, stream: RingStream) -> None:
        self.stream = stream
        self.written = bytearray()
        self.closed = False
        self.paused = False
        stream.connection_made(cast(asyncio.BaseTransport, self))

    def feed(self, data: bytes, step: int = 1 << 16) -> None:
        for at in range(0, len(data), step):
            part = data[at : at + step]
            while part and not self.closed and not self.paused:
                room = self.stream.get_buffer(-1)
                taken = min(len(room), len(part))
                room[:taken] = part[:taken]
                self.stream.buffer_updated(taken)
                part = part[taken:]

    def take(self) -> bytes:
        data = bytes(self.written)
        self.written.clear()
        return data

    # What asyncio's transports give.

    def write(self, data: bytes) -> None:
        self.written += data

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def is_closing(self) -> bool:
        return self.closed

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.stream.connection_lost(None)

    abort = close


class Notes:
    """A sink that writes down what it is told."""

    def __init__(self) -> None:
        self.told: list[tuple[Any, ...]] = []

    def run_ended(self, id: str, outcome: Any, elapsed: timedelta, result: bytes = b"") -> None:
        self.told.append(("ended", id, outcome, elapsed, result))

    def call_needed(self, id: str, body: bytes) -> None:
        self.told.append(("needs", id, body))

    def call_ended(self, id: str, outcome: Any, reply: bytes = b"") -> None:
        self.told.append(("called", id, outcome, reply))

    def gauges(self, values: Any) -> None:
        self.told.append(("gauges", dict(values)))
