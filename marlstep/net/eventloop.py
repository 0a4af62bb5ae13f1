"""The running event loop as the timeline's waker, and as the way to open connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import datetime

from marlstep.units import ZERO, SystemClock

Address = tuple[str, int]
ProtocolFactory = Callable[[], asyncio.BaseProtocol]
DialCallback = Callable[[OSError | None], None]  # told once: None where the connection stands
Cancel = Callable[[], object]
# The caller keeps the canceller until its callback is called.
Dial = Callable[[ProtocolFactory, Address, DialCallback], Cancel]


def dial(make: ProtocolFactory, address: Address, done: DialCallback) -> Cancel:
    loop = asyncio.get_running_loop()

    async def connect() -> None:
        try:
            await loop.create_connection(make, *address)
        except OSError as fault:
            done(fault)
        else:
            done(None)

    return loop.create_task(connect()).cancel


class LoopWaker:
    def __init__(self, loop: asyncio.AbstractEventLoop, now: Callable[[], datetime] | None = None) -> None:
        """`now` is the clock that deadlines are counted by; the system's Unix clock where none is given."""
        self._loop = loop
        self._alarm: asyncio.TimerHandle | None = None
        self.now = now or SystemClock().now

    def wake_at(self, when: datetime, callback: Callable[[], None]) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
        delay = max(ZERO, when - self.now()).total_seconds()
        self._alarm = self._loop.call_later(delay, callback)

    def soon(self, callback: Callable[[], None]) -> None:
        self._loop.call_soon(callback)
