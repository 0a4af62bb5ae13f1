"""Units of time: `datetime` and `timedelta` in the program, whole microseconds for the decision module.

This is the one place where the two are turned into each other.
"""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta

EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
MICROSECOND = timedelta(microseconds=1)
MILLISECOND = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
ZERO = timedelta(0)


def span_us(span: timedelta) -> int:
    """Convert a span to whole microseconds, rounded down."""
    return span // MICROSECOND


def instant_us(instant: datetime) -> int:
    """Convert an instant to whole microseconds since the epoch, rounded down."""
    return (instant - EPOCH) // MICROSECOND


def span(us: int) -> timedelta:
    """Convert microseconds to a span."""
    return timedelta(microseconds=us)


def instant(us: int) -> datetime:
    """Convert microseconds since the epoch to an instant."""
    return EPOCH + timedelta(microseconds=us)


def whole_ms(length: timedelta) -> int:
    """Convert a span to whole milliseconds, rounded up: a Retry-After must not be too short."""
    return -(-length // MILLISECOND)


class SystemClock:
    """The system's Unix clock. It stands still while the system's own is set back."""

    def __init__(self) -> None:
        """Start with no earlier reading."""
        self._last = EPOCH

    def now(self) -> datetime:
        """Give the time in UTC, never before an earlier reading."""
        self._last = max(self._last, datetime.now(UTC))
        return self._last


class SteadyClock:
    """The time since the machine started, sleep included, as if it had started at the epoch.

    Nobody sets it, and it doesn't tell the time of day: lease terms are counted by it, on this machine alone.
    """

    def now(self) -> datetime:
        """Give the time since the start of the machine, as an instant after the epoch."""
        return EPOCH + timedelta(microseconds=time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000)
