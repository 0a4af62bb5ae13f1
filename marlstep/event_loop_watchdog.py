"""Watchdog of the event loop: writes a traceback to standard error when the loop is blocked for too long.

Disabled unless MARLSTEP_STALL_MS sets the limit. The tracebacks are written by faulthandler's own thread, which needs
neither the event loop nor the GIL. Each reset of its timeout costs some 0.1 ms.
"""

from __future__ import annotations

import faulthandler
from datetime import timedelta

from marlstep.timer_queue import TimerQueue

RESETS_PER_LIMIT = 4  # how often the timeout is reset within the limit


class EventLoopWatchdog:
    """Dumps the stacks of all threads whenever the loop has run no timers for the limit."""

    def __init__(self, timeline: TimerQueue, limit: timedelta) -> None:
        """Initialize the watchdog, which is inactive until `start`.

        Args:
            timeline: the timers of the loop to watch.
            limit: the longest that the loop may be blocked.
        """
        self._timeline, self._limit = timeline, limit

    def start(self) -> None:
        """Set the timeout, and reset it by a timer of the loop from now on."""
        faulthandler.dump_traceback_later(self._limit.total_seconds(), repeat=True)
        self._timeline.at(self._timeline.now() + self._limit / RESETS_PER_LIMIT, self.start)

    def close(self) -> None:
        """Cancel the timeout."""
        faulthandler.cancel_dump_traceback_later()
