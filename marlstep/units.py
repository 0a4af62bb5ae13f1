"""Units of time: `datetime` and `timedelta` in most of the program, whole microseconds in `marlstep.admission`.

Only this module converts between the two.
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


def whole_ms(duration: timedelta) -> int:
    """Convert a span to whole milliseconds, rounded up so that a Retry-After is never too short."""
    return -(-duration // MILLISECOND)


class SystemClock:
    """The system's wall clock, made non-decreasing: it stands still after the system clock has been set back."""

    def __init__(self) -> None:
        """Initialize the clock with no earlier reading."""
        self._last = EPOCH

    def now(self) -> datetime:
        """Return the current UTC time, never before an earlier reading."""
        self._last = max(self._last, datetime.now(UTC))
        return self._last


class SteadyClock:
    """The time since boot, including suspend (CLOCK_BOOTTIME), as an instant after the epoch.

    It is never adjusted and is not the time of day. Lease durations are measured with it, so its readings must not be
    compared between machines.
    """

    def now(self) -> datetime:
        """Return the time since boot, as an instant after the epoch."""
        return EPOCH + timedelta(microseconds=time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000)
