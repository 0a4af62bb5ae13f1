"""Rate-limited log lines about invalid client input, since hundreds of clients may misbehave at a time."""

from __future__ import annotations

import logging
from datetime import datetime

from marlstep.units import SECOND

log = logging.getLogger(__name__)

MAX_LINES_PER_SECOND = 5
PERIOD = SECOND


class RejectionLog:
    """Writes the first MAX_LINES_PER_SECOND lines of each second, and then how many it left out."""

    def __init__(self, now: datetime) -> None:
        """Initialize the log; the first period starts at `now`."""
        self._period_start = now
        self._count_in_period = 0

    def write(self, event: str, reason: str, now: datetime, details: str = "") -> None:
        """Log a rejection, unless the limit of the current second is reached.

        Args:
            event: what was rejected.
            reason: why; may contain input of the client.
            now: the time.
            details: fields to log before the reason, as `name=value`.
        """
        if now - self._period_start >= PERIOD:
            self._begin_period(now)
        self._count_in_period += 1
        if self._count_in_period <= MAX_LINES_PER_SECOND:
            log.warning("%s: %sreason=%s", event, details and f"{details} ", reason)

    def _begin_period(self, now: datetime) -> None:
        suppressed_count = self._count_in_period - MAX_LINES_PER_SECOND
        if suppressed_count > 0:
            log.warning("rejections not logged: count=%d", suppressed_count)
        self._count_in_period, self._period_start = 0, now
