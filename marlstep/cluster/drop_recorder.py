"""Counts messages and connections that the cluster's transport drops, and logs them at a bounded rate."""

from __future__ import annotations

import logging
from collections import Counter
from datetime import datetime

from marlstep.timer_queue import TimerQueue
from marlstep.units import SECOND

log = logging.getLogger(__name__)

LOG_INTERVAL = 10 * SECOND  # minimum time between two log lines with the same reason


class DropRecorder:
    """Records dropped messages and connections by reason. A reason is also part of a metric's name."""

    def __init__(self, timeline: TimerQueue) -> None:
        """Initialize the recorder with no drops; `timeline` provides the time for the rate limit of log lines."""
        self.counts: Counter[str] = Counter()
        self._timeline = timeline
        self._logged_at: dict[str, datetime] = {}

    def record(self, reason: str, detail: str) -> None:
        """Count a drop, and log it unless one with the same reason was logged in the last ten seconds."""
        self.counts[reason] += 1
        now = self._timeline.now()
        logged_at = self._logged_at.get(reason)
        if logged_at is None or now > logged_at + LOG_INTERVAL:
            self._logged_at[reason] = now
            log.warning(
                "transport: dropped reason=%r count=%d detail=%s", reason, self.counts[reason], detail
            )
