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
    that was quick once may have been lucky. `fall` is the time in which a difference shrinks to 1/e.
    """

    fall: timedelta = 10 * SECOND
    value: timedelta | None = None  # None: nothing is known
    seen: datetime | None = None

    def observe(self, now: datetime, sample: timedelta) -> None:
        kept = self.kept(now)
        if self.value is None or sample >= self.value:
            self.value = sample
        else:
            self.value = sample + (self.value - sample) * kept
        self.seen = now

    def kept(self, now: datetime) -> float:
        """The share of what was known that counts still, from 1 down to 0."""
        if self.seen is None:
            return 0.0
        return math.exp(-(max(ZERO, now - self.seen) / self.fall))


@dataclass(slots=True)
class WindowedMinimum:
    """The least sample of the last one to two windows: what an answer takes where nothing is in its way.

    It is forgotten in time, so that a server that was moved to a slower machine is not held to its old figure.
    """

    window: timedelta = 30 * SECOND
    _begun: datetime | None = None
    _now: timedelta | None = None
    _before: timedelta | None = None

    def observe(self, now: datetime, sample: timedelta) -> None:
        if self._begun is None or now - self._begun >= self.window:
            self._before, self._now, self._begun = self._now, None, now
        self._now = sample if self._now is None else min(self._now, sample)

    @property
    def value(self) -> timedelta | None:
        known = [one for one in (self._now, self._before) if one is not None]
        return min(known, default=None)


@dataclass(slots=True, frozen=True)
class ConcurrencyLimitSettings:
    least: float = 2.0  # requests at once; the floor of every limit
    most: float = 256.0
    start: float = 8.0
    tolerance: float = 1.5  # times the floor that an answer may take before the limit falls
    smooth: float = 0.3  # of the way to the new limit in each step
    back: float = 0.8  # what a failure leaves of the limit
    every: timedelta = 250 * MILLISECOND  # between two steps


@dataclass(slots=True)
class AdaptiveConcurrencyLimit:
    """How many requests a server gets at once.

    Answers that take longer than their floor lower it (the gradient), a failure cuts it (multiplicative decrease),
    and it grows only while it is in use: a limit that no load has tested says nothing.
    """

    settings: ConcurrencyLimitSettings = field(default_factory=ConcurrencyLimitSettings)
    value: float = 0.0
    floor: WindowedMinimum = field(default_factory=WindowedMinimum)
    _stepped: datetime | None = None
    _cut: datetime | None = None
    _sum: timedelta = ZERO
    _count: int = 0
    _most_in_flight: int = 0

    def __post_init__(self) -> None:
        self.value = self.value or self.settings.start

    def answered(self, now: datetime, took: timedelta, in_flight: int) -> None:
        """`in_flight` counts the answered one as well."""
        self.floor.observe(now, took)
        self._sum += took
        self._count += 1
        self._most_in_flight = max(self._most_in_flight, in_flight)
        if self._stepped is None:
            self._stepped = now
        elif now - self._stepped >= self.settings.every:
            self._step(now)

    def _step(self, now: datetime) -> None:
        told = self.settings
        floor, mean = self.floor.value, self._sum / self._count
        if floor is not None and mean > ZERO:
            gradient = max(0.5, min(1.0, told.tolerance * (floor / mean)))
            wanted = self.value * gradient + math.sqrt(self.value)
            if wanted < self.value or self._most_in_flight * 2 >= self.value:
                self._set(self.value + told.smooth * (wanted - self.value))
        self._stepped, self._sum, self._count, self._most_in_flight = now, ZERO, 0, 0

    def failed(self, now: datetime) -> None:
        """A failure that speaks of load or trouble. Those of one step are one sign, and cut once."""
        if self._cut is None or now - self._cut >= self.settings.every:
            self._cut = now
            self._set(self.value * self.settings.back)

    def _set(self, value: float) -> None:
        self.value = max(self.settings.least, min(self.settings.most, value))


@dataclass(slots=True)
class FailureRate:
    """The share of attempts that failed, lately: both counts fade with the same half-life."""

    half_life: timedelta = 5 * SECOND
    total: float = 0.0
    failed: float = 0.0
    seen: datetime | None = None

    def add(self, now: datetime, failed: bool) -> None:
        kept = self.kept(now)
        self.total = self.total * kept + 1
        self.failed = self.failed * kept + failed
        self.seen = now

    def kept(self, now: datetime) -> float:
        if self.seen is None:
            return 0.0
        return float(0.5 ** (max(ZERO, now - self.seen) / self.half_life))

    @property
    def share(self) -> float:
        return self.failed / self.total if self.total > 0 else 0.0

    def clear(self) -> None:
        self.total = self.failed = 0.0
