"""Estimates of a server's latency."""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.units import SECOND, ZERO


@dataclass(slots=True)
class PeakEwma:
    """A moving mean that rises at once and falls slowly.

    A server that becomes slow must be known as slow by its first slow answer, as those behind it wait already; one
    that was quick once may have been lucky. `decay_time` is the time in which a difference shrinks to 1/e.
    """

    decay_time: timedelta = 10 * SECOND
    value: timedelta | None = None  # None: nothing is known
    updated_at: datetime | None = None

    def observe(self, now: datetime, sample: timedelta) -> None:
        retained = self.retained_share(now)
        if self.value is None or sample >= self.value:
            self.value = sample
        else:
            self.value = sample + (self.value - sample) * retained
        self.updated_at = now

    def retained_share(self, now: datetime) -> float:
        """The share of what was known that counts still, from 1 down to 0."""
        if self.updated_at is None:
            return 0.0
        return math.exp(-(max(ZERO, now - self.updated_at) / self.decay_time))


@dataclass(slots=True)
class WindowedMinimum:
    """The least sample of the last one to two windows: what an answer takes where nothing is in its way.

    It is forgotten in time, so that a server that was moved to a slower machine is not held to its old figure.
    """

    window: timedelta = 30 * SECOND
    _window_start: datetime | None = None
    _current: timedelta | None = None
    _previous: timedelta | None = None

    def observe(self, now: datetime, sample: timedelta) -> None:
        if self._window_start is None or now - self._window_start >= self.window:
            self._previous, self._current, self._window_start = self._current, None, now
        self._current = sample if self._current is None else min(self._current, sample)

    @property
    def value(self) -> timedelta | None:
        known = [one for one in (self._current, self._previous) if one is not None]
        return min(known, default=None)
