"""Counts what the cluster's transport drops, and logs each reason at a bounded rate."""

from __future__ import annotations

import logging
from collections import Counter
from datetime import datetime

from marlstep.timer_queue import TimerQueue
from marlstep.units import SECOND

log = logging.getLogger(__name__)

LOG_INTERVAL = 10 * SECOND  # between two lines about the same reason


class DropRecorder:
    """Records dropped messages and connections, by reason. A reason is also the name of a metric."""

    def __init__(self, timeline: TimerQueue) -> None:
        """`timeline` gives the time by which log lines are spaced."""
        self.counts: Counter[str] = Counter()
        self._timeline = timeline
        self._logged_at: dict[str, datetime] = {}

    def record(self, reason: str, detail: str) -> None:
        """Count a drop; log it unless one for the same reason was logged in the last ten seconds."""
        self.counts[reason] += 1
        now = self._timeline.now()
        logged_at = self._logged_at.get(reason)
        if logged_at is None or now > logged_at + LOG_INTERVAL:
            self._logged_at[reason] = now
            log.warning(
                "transport: dropped reason=%r count=%d detail=%s", reason, self.counts[reason], detail
            )
