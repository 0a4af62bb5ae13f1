"""The running event loop as the waker of a timer queue, and as the means to open connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import datetime

from marlstep.units import ZERO, SystemClock

Address = tuple[str, int]
ProtocolFactory = Callable[[], asyncio.BaseProtocol]
DialCallback = Callable[[OSError | None], None]  # called once: with None once connected
Cancel = Callable[[], object]
# The caller keeps what it is given until the callback was called: nothing else holds the attempt.
Dial = Callable[[ProtocolFactory, Address, DialCallback], Cancel]


def dial(protocol_factory: ProtocolFactory, address: Address, on_dialed: DialCallback) -> Cancel:
    """Begin to connect to an address, and return what cancels the attempt; the callback is not called then."""
    loop = asyncio.get_running_loop()

    async def connect() -> None:
        try:
            await loop.create_connection(protocol_factory, *address)
        except OSError as fault:
            on_dialed(fault)
        else:
            on_dialed(None)

    return loop.create_task(connect()).cancel


class LoopWaker:
    """The clock and the one alarm of a timer queue, on an asyncio event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, now: Callable[[], datetime] | None = None) -> None:
        """`now` is the clock that deadlines are counted by; by default the system's Unix clock."""
        self._loop = loop
        self._alarm: asyncio.TimerHandle | None = None
        self.now = now or SystemClock().now

    def wake_at(self, when: datetime, callback: Callable[[], None]) -> None:
        """Set the alarm; it replaces the one before."""
        if self._alarm is not None:
            self._alarm.cancel()
        delay = max(ZERO, when - self.now()).total_seconds()
        self._alarm = self._loop.call_later(delay, callback)

    def soon(self, callback: Callable[[], None]) -> None:
        """Call back in the loop's next turn."""
        self._loop.call_soon(callback)
