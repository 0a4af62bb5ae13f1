"""How many requests a server gets at once."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from marlstep.load_balancing.latency_estimators import WindowedMinimum
from marlstep.units import MILLISECOND, ZERO


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
