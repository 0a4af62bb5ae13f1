"""A machine in real time, on the event loop's clock.

The machine's own time is exact: runs end when they are due, however late the loop looks, so a busy loop takes no speed
from the emulated cores.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marlstep.emulators.machine import Machine, Notice


class LoopClock:
    """Microseconds since the clock was made, on the running event loop."""

    def __init__(self) -> None:
        """Start at 0."""
        self._loop = asyncio.get_running_loop()
        self._started_s = self._loop.time()

    def now_us(self) -> int:
        """Return the current time."""
        return int((self._loop.time() - self._started_s) * 1e6)

    def call_at(self, time_us: int, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Call back at a time on this clock."""
        return self._loop.call_at(self._started_s + time_us / 1e6, callback)


class MachineDriver:
    """Advances a machine when something is due on it, and passes its notices on."""

    def __init__(self, machine: Machine, clock: LoopClock, on_notice: Callable[[Notice], None]) -> None:
        """`on_notice` is called for each notice, and may command the machine."""
        self._machine, self._clock, self._on_notice = machine, clock, on_notice
        self._timer: asyncio.TimerHandle | None = None

    def advance(self) -> None:
        """Let the machine's time pass until now. Call this before any command to it."""
        for notice in self._machine.advance(self._clock.now_us()):
            self._on_notice(notice)

    def reschedule(self) -> None:
        """Wake up when the next notice is due. Call this after any command to the machine."""
        if self._timer is not None:
            self._timer.cancel()
        next_us = self._machine.next_event_us()
        self._timer = None if next_us is None else self._clock.call_at(next_us, self._wake)

    def _wake(self) -> None:
        self._timer = None
        self.advance()
        self.reschedule()
