"""Periodic status log line, whose counts since the last line can be compared with what the peers counted."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Mapping

from marlstep.core.engine import Core
from marlstep.timer_queue import TimerQueue
from marlstep.units import SECOND

log = logging.getLogger("marlstep")

STATUS_INTERVAL = 10 * SECOND


def format_counters(counts: Mapping[str, int]) -> str:
    """Format counters for a log line, sorted by name: `done=2 read=3`; `idle` if there are none."""
    return " ".join(f"{name.replace(' ', '_')}={count}" for name, count in sorted(counts.items())) or "idle"


class StatusLog:
    """Logs how much the core's counters have grown since the last line, and the current values of its gauges."""

    def __init__(self, core: Core, timeline: TimerQueue, connection_count: Callable[[], int]) -> None:
        """Initialize the log, which writes nothing until `start`.

        Args:
            core: the source of the counters and gauges.
            timeline: the node's timers.
            connection_count: returns the number of open connections.
        """
        self._core, self._timeline = core, timeline
        self._connection_count = connection_count
        self._logged: Counter[str] = Counter()

    def start(self) -> None:
        """Log one line per `STATUS_INTERVAL` from now on."""
        self._timeline.at(self._timeline.now() + STATUS_INTERVAL, self._log_status)

    def _log_status(self) -> None:
        core = self._core
        increments = core.counts - self._logged
        self._logged = core.counts.copy()
        log.info(
            "status: %s in_flight=%d advertised=%s connections=%d",
            format_counters(increments),
            core.in_flight,
            "-" if core.advertised_value is None else f"{core.advertised_value:.1f}",
            self._connection_count(),
        )
        self.start()
