"""The running event loop as the timeline's waker."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import datetime

from marlstep.units import ZERO, SystemClock


class LoopWaker:
    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._alarm: asyncio.TimerHandle | None = None
        self.now = SystemClock().now

    def wake_at(self, when: datetime, callback: Callable[[], None]) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
        delay = max(ZERO, when - self.now()).total_seconds()
        self._alarm = self._loop.call_later(delay, callback)

    def soon(self, callback: Callable[[], None]) -> None:
        self._loop.call_soon(callback)
