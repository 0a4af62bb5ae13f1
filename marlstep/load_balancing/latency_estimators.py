"""Estimates of a server's latency from its responses.

The estimators read no clock: the time of each observation is passed in, and never decreases.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.units import SECOND, ZERO


@dataclass(slots=True)
class PeakEwma:
    """An exponentially weighted moving average of latency that rises at once and decays slowly.

    A server that becomes slow must be rated as slow from its first slow response on, since further requests are already
    waiting behind that one. A single fast response may be an exception, so it lowers the estimate only partially.
    """

    decay_time: timedelta = 10 * SECOND  # time constant: after it, the weight of the previous value is 1/e
    value: timedelta | None = None  # None until the first response
    updated_at: datetime | None = None

    def observe(self, now: datetime, sample: timedelta) -> None:
        """Update the average with the latency of one response."""
        if self.value is None or sample >= self.value:
            self.value = sample
        else:
            self.value = sample + (self.value - sample) * self.retained_share(now)
        self.updated_at = now

    def retained_share(self, now: datetime) -> float:
        """Return the remaining weight of the current value, from 1 down to 0; 0 before the first observation."""
        if self.updated_at is None:
            return 0.0
        return math.exp(-(max(ZERO, now - self.updated_at) / self.decay_time))


@dataclass(slots=True)
class WindowedMinimum:
    """The lowest latency in the current and the previous window: an estimate of the server's latency without load.

    Older samples are dropped, so that a server that has moved to a slower machine gets a new baseline.
    """

    window: timedelta = 30 * SECOND
    _window_start: datetime | None = None
    _current: timedelta | None = None  # minimum of the current window
    _previous: timedelta | None = None  # minimum of the previous window

    def observe(self, now: datetime, sample: timedelta) -> None:
        """Update the minimum of the current window with the latency of one response."""
        if self._window_start is None or now - self._window_start >= self.window:
            self._previous, self._current, self._window_start = self._current, None, now
        self._current = sample if self._current is None else min(self._current, sample)

    @property
    def value(self) -> timedelta | None:
        """The minimum of both windows; None before the first observation."""
        minimums = [minimum for minimum in (self._current, self._previous) if minimum is not None]
        return min(minimums, default=None)
