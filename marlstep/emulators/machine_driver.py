"""Drives an emulated machine in real time from the event loop.

The machine computes the exact time at which each run ends. A delayed event loop reports ends late, but does not slow
down the emulated cores.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marlstep.emulators.machine import Machine, Notice


class LoopClock:
    """Clock of the running event loop, in microseconds since the clock was created."""

    def __init__(self) -> None:
        """Initialize the clock at 0; requires a running event loop."""
        self._loop = asyncio.get_running_loop()
        self._started_s = self._loop.time()

    def now_us(self) -> int:
        """Return the current time in microseconds."""
        return int((self._loop.time() - self._started_s) * 1e6)

    def call_at(self, time_us: int, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Schedule `callback` for `time_us` on this clock, and return its timer."""
        return self._loop.call_at(self._started_s + time_us / 1e6, callback)


class MachineDriver:
    """Advances a machine whenever its next notice is due, and passes each notice to a callback."""

    def __init__(self, machine: Machine, clock: LoopClock, on_notice: Callable[[Notice], None]) -> None:
        """Initialize the driver; `on_notice` is called for each notice and may send commands to the machine."""
        self._machine, self._clock, self._on_notice = machine, clock, on_notice
        self._timer: asyncio.TimerHandle | None = None

    def advance(self) -> None:
        """Advance the machine to the current time. Call this before any command to the machine."""
        for notice in self._machine.advance(self._clock.now_us()):
            self._on_notice(notice)

    def reschedule(self) -> None:
        """Set the timer to the time of the next notice. Call this after any command to the machine."""
        if self._timer is not None:
            self._timer.cancel()
        next_us = self._machine.next_event_us()
        self._timer = None if next_us is None else self._clock.call_at(next_us, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.advance()
        self.reschedule()
