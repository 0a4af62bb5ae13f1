"""Says where the program stands when its loop does not come round: a traceback on standard error.

Off unless MARLSTEP_STALL_MS sets how long the loop may take. The tracebacks are written by faulthandler's own
thread, which needs neither the loop nor the interpreter's lock; setting its alarm anew costs some 0.1 ms each time.
"""

from __future__ import annotations

import faulthandler
from datetime import timedelta

from marlstep.timer_queue import TimerQueue

LOOKS = 4  # times that the alarm is put off within the limit


class EventLoopWatchdog:
    def __init__(self, timeline: TimerQueue, limit: timedelta) -> None:
        self._timeline, self._limit = timeline, limit

    def look(self) -> None:
        """The loop has come round: the alarm is put off, and set again later."""
        faulthandler.dump_traceback_later(self._limit.total_seconds(), repeat=True)
        self._timeline.at(self._timeline.now() + self._limit / LOOKS, self.look)

    def close(self) -> None:
        faulthandler.cancel_dump_traceback_later()
