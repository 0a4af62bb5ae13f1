"""A manual clock, fake transports and recording peers of the core, for tests of the node without sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any, cast

from marlstep.admission.events import Outcome
from marlstep.core.engine import Core, Ports
from marlstep.core.interfaces import InboundRequest, Request, Response, ResponseHandle, ResponseStatus
from marlstep.net.eventloop import Address, DialCallback, ProtocolFactory
from marlstep.net.stream import RingStream
from marlstep.simulator.configuration import read_settings
from marlstep.timer_queue import TimerQueue
from marlstep.units import EPOCH, MILLISECOND, SECOND

START = EPOCH + 1_800_000_000 * SECOND


SETTINGS: dict[str, Any] = {
    "callers": {"marksRetry": True},
    "caps": {"maxRetryAfterUs": 1_000_000, "retryAfter": True},
    "classes": [
        {"name": "temp-history", "aimUs": 2_600_000, "hardLimitUs": 8_600_000, "worth": 1.0},
        {"name": "schedule-save", "aimUs": 1_600_000, "hardLimitUs": 5_400_000, "worth": 1.0},
        {"name": "setpoint-cmd", "aimUs": 1_700_000, "hardLimitUs": 4_300_000, "worth": 3.0},
    ],
    "familyInfo": {
        "below": "tier",
        "callsByClass": [True, False, True],
        "cpus": 2,
        "degradedWorth": [0.6, 0.0, 0.0],
        "halt": "suspend",
        "heededUs": 1_000_000,
        "keepaliveMaxUs": 15_000_000,
        "ownStats": ["cpu_busy", "runnable", "mem_used", "sockets"],
        "ramKb": 15_492.0,
        "runMemFactor": 16.0,
        "say": "window",
        "upstreams": 3,
    },
    "resolutionUs": 2000,
    "rules": {"answerSlackUs": 60_000, "drainGraceUs": 2_500_000, "fallMultiple": 5.0, "fallUs": 3_000_000},
}
for _row, _semantics in zip(SETTINGS["classes"], ("idempotent", "idempotent", "at_most_once"), strict=True):
    _row.update(semantics=_semantics, repeatWindowUs=5_000_000, lateShare=0.0)


def raw_config(**other: Any) -> dict[str, Any]:
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "kernel": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "stop_ms": 3200,
        "settings": SETTINGS,
        **other,
    }


class RecordingBackend:
    """A backend and call client that only records its commands, as pairs of command and request id."""

    def __init__(self) -> None:
        self.commands: list[tuple[str, str]] = []

    def start(self, request: Request) -> None:
        self.commands.append(("start", request.id))

    def preempt(self, request: Request) -> None:
        self.commands.append(("preempt", request.id))

    def resume(self, request: Request) -> None:
        self.commands.append(("resume", request.id))

    def supply(self, request: Request, reply: bytes) -> None:
        self.commands.append((f"supply {reply.decode()}", request.id))

    def skip(self, request: Request) -> None:
        self.commands.append(("skip", request.id))

    def abandon(self, request: Request) -> None:
        self.commands.append(("abandon", request.id))

    def request_gauges(self) -> None:
        pass

    # CallClient

    def call(self, request: Request, until: datetime) -> None:
        self.commands.append((f"call {request.call_body.decode()}", request.id))

    def abandon_call(self, request: Request) -> None:
        self.commands.append(("give up", request.id))


class CoreDriver:
    """Drives a core as its only frontend, with a recording backend and a manual clock.

    `responses` holds the responses by request number. Keyword arguments replace keys of the settings.
    """

    def __init__(self, cores: int = 2, clock: ManualClock | None = None, **other: Any) -> None:
        self.clock = clock or ManualClock()
        self.backend = RecordingBackend()
        family_info = {**SETTINGS["familyInfo"], "cpus": cores}
        settings = read_settings({**SETTINGS, "familyInfo": family_info, **other})
        self.core = Core(settings, 1, self.clock.timeline, Ports(self.backend, self.backend))
        self.core.add_frontend(self)
        self.core.start()
        self.responses: dict[int, list[Response]] = {}
        self.stopped_accepting = False

    def submit(
        self, number: int, request_class: str = "temp-history", late_ms: float = 0, **other: Any
    ) -> int:
        arrived_at = self.clock.now() - late_ms * MILLISECOND
        inbound = InboundRequest(
            f"r{number}", request_class, b"body", arrived_at, **{"memory_kb": 10.0, **other}
        )
        handle = self.core.submit(self, (0, number), self.backend, inbound)
        self.clock.settle()
        return handle

    def end(self, number: int, outcome: Outcome = Outcome.OK, result: bytes = b"result") -> None:
        self.core.run_ended(f"r{number}", outcome, MILLISECOND, result)
        self.clock.settle()

    def statuses(self, number: int) -> list[ResponseStatus]:
        return [response.status for response in self.responses.get(number, [])]

    def deliver(self, response_handle: ResponseHandle, response: Response) -> None:
        self.responses.setdefault(response_handle[1], []).append(response)

    def limit_idle_time(self, after: timedelta) -> None:
        pass

    def stop_accepting(self) -> None:
        self.stopped_accepting = True


class ManualClock:
    """A waker whose time only passes in `advance`."""

    def __init__(self) -> None:
        self.time = START
        self._wakeup: tuple[datetime, Callable[[], None]] | None = None
        self._callbacks: list[Callable[[], None]] = []
        self.timeline = TimerQueue(self)

    def now(self) -> datetime:
        return self.time

    def wake_at(self, when: datetime, callback: Callable[[], None]) -> None:
        self._wakeup = (when, callback)

    def soon(self, callback: Callable[[], None]) -> None:
        self._callbacks.append(callback)

    def settle(self) -> None:
        """Run the callbacks passed to `soon`, and those they schedule, without advancing the time."""
        while self._callbacks:
            self._callbacks.pop(0)()

    def advance(self, ms: float) -> None:
        """Advance the time by `ms`, running each timer at its due time."""
        end = self.time + ms * MILLISECOND
        self.settle()
        while self._wakeup is not None and self._wakeup[0] <= end:
            when, callback = self._wakeup
            self._wakeup = None
            self.time = max(self.time, when)
            callback()
            self.settle()
        self.time = end


class ManualDialer:
    """A dial function whose connection attempts wait until a test accepts or refuses them."""

    def __init__(self) -> None:
        self.waiting: list[tuple[ProtocolFactory, Address, DialCallback]] = []

    def __call__(self, make: ProtocolFactory, address: Address, done: DialCallback) -> Callable[[], object]:
        attempt = (make, address, done)
        self.waiting.append(attempt)
        return lambda: self.waiting.remove(attempt)

    def accept(self) -> FakeTransport:
        make, _, done = self.waiting.pop(0)
        transport = FakeTransport(cast(RingStream, make()))
        done(None)
        return transport

    def refuse(self) -> None:
        self.waiting.pop(0)[2](ConnectionRefusedError())


class FakeTransport:
    """The transport of a stream under test. It records written bytes, and `feed` delivers bytes from the peer."""

    def __init__(self, stream: RingStream) -> None:
        self.stream = stream
        self.written = bytearray()
        self.closed = False
        self.paused = False
        self._next_iteration: list[Callable[[], None]] = []  # callbacks
        stream.run_soon = self._next_iteration.append
        stream.connection_made(cast(asyncio.BaseTransport, self))

    def feed(self, data: bytes, step: int = 1 << 16) -> None:
        for offset in range(0, len(data), step):
            chunk = data[offset : offset + step]
            while chunk and not self.closed and self._can_read():
                buffer = self.stream.get_buffer(-1)
                copied = min(len(buffer), len(chunk))
                buffer[:copied] = chunk[:copied]
                self.stream.buffer_updated(copied)
                chunk = chunk[copied:]

    def _can_read(self) -> bool:
        """Begin the next iteration of the event loop if the stream waits for it; False if it is paused even then."""
        if self.paused:
            self.begin_iteration()
        return not self.paused

    def begin_iteration(self) -> None:
        """Begin the next iteration of the event loop."""
        callbacks = self._next_iteration[:]
        self._next_iteration.clear()
        for callback in callbacks:
            callback()

    def take(self) -> bytes:
        """Return the bytes written since the last call."""
        data = bytes(self.written)
        self.written.clear()
        return data

    # Methods of asyncio transports

    def write(self, data: bytes) -> None:
        self.written += data

    def get_extra_info(self, name: str) -> object:
        return ("127.0.0.1", 40_000) if name == "peername" else None

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


class RecordingSink:
    """An event sink that records its events as tuples, with the name of the event first."""

    def __init__(self) -> None:
        self.events: list[tuple[Any, ...]] = []
        self.starts: list[tuple[timedelta, bool]] = []  # reports of the backend's start

    def backend_started(self, age: timedelta, is_cold: bool) -> None:
        self.starts.append((age, is_cold))

    def backend_ready(self) -> None:
        pass

    def run_ended(self, id: str, outcome: Any, elapsed: timedelta, result: bytes = b"") -> None:
        self.events.append(("ended", id, outcome, elapsed, result))

    def call_needed(self, id: str, body: bytes) -> None:
        self.events.append(("needs", id, body))

    def call_ended(self, id: str, outcome: Any, reply: bytes = b"") -> None:
        self.events.append(("called", id, outcome, reply))

    def pool_capacity(self, pool: str, most: int) -> None:
        self.events.append(("room", pool, most))

    def gauges(self, values: Any) -> None:
        self.events.append(("gauges", dict(values)))
