"""The event-loop watchdog writes a traceback when the loop hangs."""

from __future__ import annotations

import subprocess
import sys

PROGRAM = """
from marlstep.event_loop_watchdog import EventLoopWatchdog
from marlstep.timer_queue import TimerQueue
from marlstep.units import MILLISECOND
from tests.support.node import ManualClock

def stuck():
    while True:
        pass

clock = ManualClock()
EventLoopWatchdog(clock.timeline, 50 * MILLISECOND).start()
clock.advance(500)  # the loop runs its timers throughout, so nothing is written
stuck()
"""


def test_a_hung_loop_writes_a_traceback() -> None:
    with subprocess.Popen([sys.executable, "-c", PROGRAM], stderr=subprocess.PIPE, text=True) as program:
        assert program.stderr is not None
        lines = [program.stderr.readline() for _ in range(4)]
        program.kill()
    assert lines[0].startswith("Timeout") and any("in stuck" in line for line in lines)
