"""Adapts the asyncio event loop to timer queues, and opens outgoing connections on it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import datetime

from marlstep.units import ZERO, SystemClock

Address = tuple[str, int]
ProtocolFactory = Callable[[], asyncio.BaseProtocol]
DialCallback = Callable[[OSError | None], None]  # called once: with None on success, else with the error
Cancel = Callable[[], object]
# The caller must keep the returned `Cancel` until the callback is called: nothing else references the task.
Dial = Callable[[ProtocolFactory, Address, DialCallback], Cancel]


def dial(protocol_factory: ProtocolFactory, address: Address, on_dialed: DialCallback) -> Cancel:
    """Start to connect to an address. Return a function that cancels the attempt without calling the callback."""
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
    """The clock and the wake-up timer of a timer queue, on an asyncio event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, now: Callable[[], datetime] | None = None) -> None:
        """`now` is the clock for deadlines; the default is the system's Unix clock."""
        self._loop = loop
        self._wakeup_timer: asyncio.TimerHandle | None = None
        self.now = now or SystemClock().now

    def wake_at(self, when: datetime, callback: Callable[[], None]) -> None:
        """Schedule `callback` at `when`, in place of the callback that was scheduled before."""
        if self._wakeup_timer is not None:
            self._wakeup_timer.cancel()
        delay = max(ZERO, when - self.now()).total_seconds()
        self._wakeup_timer = self._loop.call_later(delay, callback)

    def soon(self, callback: Callable[[], None]) -> None:
        """Schedule `callback` for the next iteration of the loop."""
        self._loop.call_soon(callback)
