"""Watchdog of the event loop: a traceback on standard error where one turn of the loop takes too long.

Off unless MARLSTEP_STALL_MS sets how long a turn may take. The tracebacks are written by faulthandler's own
thread, which needs neither the loop nor the interpreter's lock; setting its alarm anew costs some 0.1 ms each time.
"""

from __future__ import annotations

import faulthandler
from datetime import timedelta

from marlstep.timer_queue import TimerQueue

RESETS_PER_LIMIT = 4  # times that the alarm is put off within the limit


class EventLoopWatchdog:
    """Writes all stacks whenever the loop has not come round within the limit."""

    def __init__(self, timeline: TimerQueue, limit: timedelta) -> None:
        """Watch nothing before `start`."""
        self._timeline, self._limit = timeline, limit

    def start(self) -> None:
        """Set the alarm, and put it off at each round of the loop from now on."""
        faulthandler.dump_traceback_later(self._limit.total_seconds(), repeat=True)
        self._timeline.at(self._timeline.now() + self._limit / RESETS_PER_LIMIT, self.start)

    def close(self) -> None:
        """Take the alarm away."""
        faulthandler.cancel_dump_traceback_later()
