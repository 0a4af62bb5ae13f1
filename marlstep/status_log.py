"""Periodic status: one log line on what passed since the last, to compare with what the peers saw."""

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
    """Format counters for a log line, in the order of their names: `done=2 read=3`."""
    return " ".join(f"{name.replace(' ', '_')}={count}" for name, count in sorted(counts.items())) or "idle"


class StatusLog:
    """Logs the counters of the core as differences, and its gauges as they are."""

    def __init__(self, core: Core, timeline: TimerQueue, connection_count: Callable[[], int]) -> None:
        """Log nothing before `start`."""
        self._core, self._timeline = core, timeline
        self._connection_count = connection_count
        self._logged: Counter[str] = Counter()

    def start(self) -> None:
        """Log a line after each interval from now on."""
        self._timeline.at(self._timeline.now() + STATUS_INTERVAL, self._log_status)

    def _log_status(self) -> None:
        core = self._core
        passed = core.counts - self._logged
        self._logged = core.counts.copy()
        log.info(
            "status: %s in_flight=%d advertised=%s connections=%d",
            format_counters(passed),
            core.in_flight,
            "-" if core.advertised_value is None else f"{core.advertised_value:.1f}",
            self._connection_count(),
        )
        self.start()
