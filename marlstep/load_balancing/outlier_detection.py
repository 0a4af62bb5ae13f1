"""Outlier detection, as Envoy names it: when a server is ejected from its pool, and how it comes back.

    new ──ok──▶ healthy ◀──ok── suspect ──too many failures──▶ ejected ──time over──▶ probing
                    └──a failure──▶ suspect                       ▲                      │
                                                                  └──── it failed ───────┘  (longer each time)
    probing ──ok──▶ healthy, in slow start

A server that is new, or that recovered, is in slow start: its share of requests rises to the full one over a while.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from marlstep.load_balancing.failure_rate import FailureRate
from marlstep.units import SECOND

MAX_EJECTION_DOUBLINGS = 16  # bounds the power of two; by then any ejection is at its maximum


class ServerHealthState(enum.Enum):
    """The health of one server."""

    NEW = "new"
    HEALTHY = "healthy"
    SUSPECT = "suspect"  # its last attempt failed, or it was kept in service although it should be ejected
    EJECTED = "ejected"  # gets no requests
    PROBING = (
        "probing"  # gets one request; the next attempt that ends decides, also one from before the ejection
    )


STATE_AFTER_SUCCESS = {
    ServerHealthState.NEW: ServerHealthState.HEALTHY,
    ServerHealthState.HEALTHY: ServerHealthState.HEALTHY,
    ServerHealthState.SUSPECT: ServerHealthState.HEALTHY,
    ServerHealthState.PROBING: ServerHealthState.HEALTHY,
    ServerHealthState.EJECTED: ServerHealthState.EJECTED,  # of an attempt from before the ejection
}
STATE_AFTER_FAILURE = {
    ServerHealthState.NEW: ServerHealthState.SUSPECT,
    ServerHealthState.HEALTHY: ServerHealthState.SUSPECT,
    ServerHealthState.SUSPECT: ServerHealthState.SUSPECT,
    ServerHealthState.PROBING: ServerHealthState.PROBING,
    ServerHealthState.EJECTED: ServerHealthState.EJECTED,
}


@dataclass(slots=True, frozen=True)
class OutlierDetectionSettings:
    """When a server is ejected, for how long, and how its share of requests rises afterwards."""

    consecutive_failures: int = 5  # that eject a server
    failure_share: float = 0.5  # of recent attempts that ejects a server
    min_samples: float = 10.0  # recent attempts, decaying, from which the failure share counts
    base_ejection_time: timedelta = 2 * SECOND  # of the first ejection; each further one lasts twice as long
    max_ejection_time: timedelta = 60 * SECOND
    forgive_after: timedelta = 60 * SECOND  # of health, after which earlier ejections are forgotten
    slow_start_time: timedelta = 10 * SECOND
    min_slow_start_weight: float = 0.1  # share of its requests that a server gets when slow start begins


def should_eject(
    settings: OutlierDetectionSettings, consecutive_failures: int, attempts: float, failure_share: float
) -> bool:
    """Decide whether a server in regular service is to be ejected after a failure.

    Rule: it failed too many times in a row, or too large a share of its recent attempts failed. The share counts only
    from a minimum of attempts on, since the first failure of few would otherwise be a large share.

    Args:
        settings: The thresholds.
        consecutive_failures: Failures since the last success, this one included.
        attempts: Recent attempts, decaying.
        failure_share: Failed share of them, from 0 to 1.

    """
    failed_in_a_row = consecutive_failures >= settings.consecutive_failures
    has_enough_samples = attempts >= settings.min_samples
    fails_too_often = failure_share >= settings.failure_share
    return failed_in_a_row or (has_enough_samples and fails_too_often)


def ejection_allowed(ejected: int, members: int, max_ejected_share: float) -> bool:
    """Decide whether a pool may lose one more server to an ejection.

    Rule: no more than the given share of its members is ejected at once. With more in trouble the fault is as likely
    on this node's side, and the servers that are left would be overloaded. The share is not rounded up: by the default
    of `PoolSettings`, a pool of one or two servers ejects none.

    Args:
        ejected: Members that are ejected or probed now.
        members: All members of the pool.
        max_ejected_share: Share of the members, from 0 to 1.

    """
    return ejected + 1 <= max_ejected_share * members


def ejection_time(settings: OutlierDetectionSettings, earlier_ejections: int) -> timedelta:
    """Return how long a server is ejected: twice as long after each earlier ejection, up to the maximum.

    Earlier ejections are forgotten after a while in health (`forgive_after`).
    """
    doublings = min(earlier_ejections, MAX_EJECTION_DOUBLINGS)
    return min(settings.max_ejection_time, settings.base_ejection_time * (1 << doublings))


def slow_start_weight(settings: OutlierDetectionSettings, elapsed: timedelta) -> float:
    """Return the share of its requests that a server gets in slow start; 1 once slow start is over.

    Rule: the share rises linearly from the minimum, so that caches and connections of a server that has just started
    are not overrun.

    Args:
        settings: Length of slow start and the minimum.
        elapsed: Since slow start began.

    """
    progress = elapsed / settings.slow_start_time
    if progress >= 1.0:
        return 1.0
    return settings.min_slow_start_weight + (1 - settings.min_slow_start_weight) * max(0.0, progress)


@dataclass(slots=True)
class ServerHealth:
    """The health of one server. Whether an ejection is carried out is decided by the pool, which sees all servers."""

    settings: OutlierDetectionSettings
    state_since: datetime
    state: ServerHealthState = ServerHealthState.NEW
    failure_rate: FailureRate = field(default_factory=FailureRate)
    consecutive_failures: int = 0
    ejections: int = 0  # that are not forgotten yet
    ejected_until: datetime | None = None  # end of the last ejection; None: never ejected
    slow_start_since: datetime | None = None  # None: not in slow start

    def __post_init__(self) -> None:
        """Begin slow start."""
        self.slow_start_since = self.state_since

    def record_success(self, now: datetime) -> None:
        """Take in a successful attempt."""
        self.failure_rate.add(now, failed=False)
        self.consecutive_failures = 0
        if self.state is ServerHealthState.PROBING:
            self.slow_start_since = now
            self.failure_rate.reset()
        elif self._was_healthy_long_enough(now):
            self.ejections = 0
        self._enter_if_changed(STATE_AFTER_SUCCESS[self.state], now)

    def _was_healthy_long_enough(self, now: datetime) -> bool:
        return (
            self.state is ServerHealthState.HEALTHY and now - self.state_since >= self.settings.forgive_after
        )

    def record_failure(self, now: datetime) -> bool:
        """Take in a failed attempt, and return whether the server should be ejected now.

        A server that fails its probe should be ejected again; one that is ejected already stays as it is.
        """
        self.failure_rate.add(now, failed=True)
        self.consecutive_failures += 1
        self._enter_if_changed(STATE_AFTER_FAILURE[self.state], now)
        if self.state is ServerHealthState.PROBING:
            return True
        if self.state is ServerHealthState.EJECTED:
            return False
        rate = self.failure_rate
        return should_eject(self.settings, self.consecutive_failures, rate.attempts, rate.failure_share)

    def eject(self, now: datetime) -> None:
        """Take the server out of service for a time that doubles with each ejection."""
        self.ejected_until = now + ejection_time(self.settings, self.ejections)
        self.ejections += 1
        self.consecutive_failures = 0
        self._enter(ServerHealthState.EJECTED, now)

    def keep_in_service(self, now: datetime) -> None:
        """Keep a server that should be ejected, as too many are already; its failures are counted anew."""
        self.consecutive_failures = 0
        self.failure_rate.reset()
        self._enter(ServerHealthState.SUSPECT, now)

    def end_ejection_if_due(self, now: datetime) -> None:
        """Let the server be probed once its ejection time is over."""
        if (
            self.state is ServerHealthState.EJECTED
            and self.ejected_until is not None
            and now >= self.ejected_until
        ):
            self._enter(ServerHealthState.PROBING, now)

    def weight(self, now: datetime) -> float:
        """Return the share of its requests that the server gets, from above 0 to 1.

        The first call after the slow-start time ends slow start, which `slow_start_since` shows from then on.
        """
        if self.slow_start_since is None:
            return 1.0
        elapsed = now - self.slow_start_since
        if elapsed >= self.settings.slow_start_time:
            self.slow_start_since = None
            return 1.0
        return slow_start_weight(self.settings, elapsed)

    def _enter_if_changed(self, state: ServerHealthState, now: datetime) -> None:
        if state is not self.state:
            self._enter(state, now)

    def _enter(self, state: ServerHealthState, now: datetime) -> None:
        self.state, self.state_since = state, now
