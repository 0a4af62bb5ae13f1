"""What is learned of a server from its answers: how long they take, and how many it can work on at once.

Spans are `timedelta`. Nothing here looks at a clock: the time is passed in, and never goes backwards.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from marlstep.units import MILLISECOND, SECOND, ZERO


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


@dataclass(slots=True, frozen=True)
class ConcurrencyLimitSettings:
    min_limit: float = 2.0  # requests at once; the floor of every limit
    max_limit: float = 256.0
    initial_limit: float = 8.0
    latency_tolerance: float = 1.5  # times the floor that an answer may take before the limit falls
    smoothing: float = 0.3  # of the way to the new limit in each step
    backoff_ratio: float = 0.8  # what a failure leaves of the limit
    interval: timedelta = 250 * MILLISECOND  # between two steps


@dataclass(slots=True)
class AdaptiveConcurrencyLimit:
    """How many requests a server gets at once.

    Answers that take longer than their floor lower it (the gradient), a failure cuts it (multiplicative decrease),
    and it grows only while it is in use: a limit that no load has tested says nothing.
    """

    settings: ConcurrencyLimitSettings = field(default_factory=ConcurrencyLimitSettings)
    value: float = 0.0
    floor: WindowedMinimum = field(default_factory=WindowedMinimum)
    _interval_start: datetime | None = None
    _last_backoff_at: datetime | None = None
    _latency_sum: timedelta = ZERO
    _response_count: int = 0
    _max_in_flight: int = 0

    def __post_init__(self) -> None:
        self.value = self.value or self.settings.initial_limit

    def record_response(self, now: datetime, latency: timedelta, in_flight: int) -> None:
        """`in_flight` counts the answered one as well."""
        self.floor.observe(now, latency)
        self._latency_sum += latency
        self._response_count += 1
        self._max_in_flight = max(self._max_in_flight, in_flight)
        if self._interval_start is None:
            self._interval_start = now
        elif now - self._interval_start >= self.settings.interval:
            self._step(now)

    def _step(self, now: datetime) -> None:
        settings = self.settings
        floor, mean = self.floor.value, self._latency_sum / self._response_count
        if floor is not None and mean > ZERO:
            gradient = max(0.5, min(1.0, settings.latency_tolerance * (floor / mean)))
            wanted = self.value * gradient + math.sqrt(self.value)
            if wanted < self.value or self._max_in_flight * 2 >= self.value:
                self._set(self.value + settings.smoothing * (wanted - self.value))
        self._interval_start, self._latency_sum, self._response_count, self._max_in_flight = now, ZERO, 0, 0

    def record_failure(self, now: datetime) -> None:
        """A failure that speaks of load or trouble. Those of one step are one sign, and cut once."""
        if self._last_backoff_at is None or now - self._last_backoff_at >= self.settings.interval:
            self._last_backoff_at = now
            self._set(self.value * self.settings.backoff_ratio)

    def _set(self, value: float) -> None:
        self.value = max(self.settings.min_limit, min(self.settings.max_limit, value))


@dataclass(slots=True)
class FailureRate:
    """The share of attempts that failed, lately: both counts fade with the same half-life."""

    half_life: timedelta = 5 * SECOND
    attempts: float = 0.0
    failures: float = 0.0
    updated_at: datetime | None = None

    def add(self, now: datetime, failed: bool) -> None:
        retained = self.retained_share(now)
        self.attempts = self.attempts * retained + 1
        self.failures = self.failures * retained + failed
        self.updated_at = now

    def retained_share(self, now: datetime) -> float:
        if self.updated_at is None:
            return 0.0
        return float(0.5 ** (max(ZERO, now - self.updated_at) / self.half_life))

    @property
    def failure_share(self) -> float:
        return self.failures / self.attempts if self.attempts > 0 else 0.0

    def reset(self) -> None:
        self.attempts = self.failures = 0.0
