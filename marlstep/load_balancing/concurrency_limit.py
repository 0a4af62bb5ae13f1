"""Adaptive concurrency limit: how many requests a server may have in flight at once.

The limit follows the gradient of latency, as Netflix's concurrency-limits does, and backs off on failures.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from marlstep.load_balancing.latency_estimators import WindowedMinimum
from marlstep.units import MILLISECOND, ZERO

MIN_GRADIENT = 0.5  # however slow the responses, the target is at least half the limit plus the headroom
MIN_UTILIZATION = 0.5  # share of the limit that was in flight at the peak, for the limit to count as in use


@dataclass(slots=True, frozen=True)
class ConcurrencyLimitSettings:
    """Settings of a concurrency limit. Limits are numbers of requests in flight at one server."""

    min_limit: float = 2.0
    max_limit: float = 256.0
    initial_limit: float = 8.0
    latency_tolerance: float = 1.5  # multiple of the baseline latency up to which the limit does not fall
    smoothing: float = 0.3  # share of the distance to the target by which one interval moves the limit
    backoff_ratio: float = 0.8  # factor applied to the limit after a failure
    interval: timedelta = 250 * MILLISECOND  # minimum time between adjustments, and between backoffs

    def clamp(self, limit: float) -> float:
        """Return the nearest limit within the bounds."""
        return max(self.min_limit, min(self.max_limit, limit))


def limit_after_interval(
    settings: ConcurrencyLimitSettings,
    limit: float,
    baseline_latency: timedelta,
    mean_latency: timedelta,
    max_in_flight: int,
) -> float:
    """Return the concurrency limit after one interval.

    The target is the limit times the gradient, plus the square root of the limit as headroom for a queue; `smoothing`
    determines how far the limit moves towards it. The gradient is the tolerated latency (a multiple of the baseline)
    divided by the mean latency, and at most 1.

    The limit does not rise unless it was in use: low latency below the limit says nothing about a higher limit.

    Args:
        settings: Bounds, tolerance and smoothing.
        limit: The limit during the interval, in requests in flight.
        baseline_latency: Latency of the server when it is not loaded.
        mean_latency: Mean latency of the interval's responses; above zero.
        max_in_flight: Highest number of requests in flight when a response was received.

    """
    latency_ratio = settings.latency_tolerance * (baseline_latency / mean_latency)
    gradient = max(MIN_GRADIENT, min(1.0, latency_ratio))
    target = limit * gradient + math.sqrt(limit)
    falls = target < limit
    was_in_use = max_in_flight >= MIN_UTILIZATION * limit
    if not falls and not was_in_use:
        return limit
    return settings.clamp(limit + settings.smoothing * (target - limit))


def limit_after_failure(settings: ConcurrencyLimitSettings, limit: float) -> float:
    """Return the concurrency limit after a failure or rejection (multiplicative decrease within the bounds)."""
    return settings.clamp(limit * settings.backoff_ratio)


@dataclass(slots=True)
class AdaptiveConcurrencyLimit:
    """The concurrency limit of one server, adjusted once per interval from the responses received in it."""

    settings: ConcurrencyLimitSettings = field(default_factory=ConcurrencyLimitSettings)
    value: float = 0.0  # current limit, in requests in flight; 0 selects `settings.initial_limit`
    baseline_latency: WindowedMinimum = field(default_factory=WindowedMinimum)
    _interval_start: datetime | None = None
    _last_backoff_at: datetime | None = None
    _latency_sum: timedelta = ZERO  # this and the next two fields cover the current interval
    _response_count: int = 0
    _max_in_flight: int = 0

    def __post_init__(self) -> None:
        """Use the initial limit if no limit is passed."""
        self.value = self.value or self.settings.initial_limit

    def record_response(self, now: datetime, latency: timedelta, in_flight: int) -> None:
        """Record a response, and adjust the limit once an interval has passed.

        Args:
            now: The current time.
            latency: Time from the start of the attempt to the response.
            in_flight: Requests in flight at the server, this one included.

        """
        self.baseline_latency.observe(now, latency)
        self._latency_sum += latency
        self._response_count += 1
        self._max_in_flight = max(self._max_in_flight, in_flight)
        if self._interval_start is None:
            self._interval_start = now
        elif now - self._interval_start >= self.settings.interval:
            self._finish_interval(now)

    def _finish_interval(self, now: datetime) -> None:
        baseline, mean = self.baseline_latency.value, self._latency_sum / self._response_count
        if baseline is not None and mean > ZERO:
            self.value = limit_after_interval(self.settings, self.value, baseline, mean, self._max_in_flight)
        self._interval_start = now
        self._latency_sum, self._response_count, self._max_in_flight = ZERO, 0, 0

    def record_failure(self, now: datetime) -> None:
        """Reduce the limit after a failure or rejection, at most once per interval.

        Failures in quick succession usually have the same overload as their cause, so only the first of them counts.
        """
        if self._last_backoff_at is None or now - self._last_backoff_at >= self.settings.interval:
            self._last_backoff_at = now
            self.value = limit_after_failure(self.settings, self.value)
