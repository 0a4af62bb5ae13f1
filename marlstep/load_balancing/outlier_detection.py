"""Outlier detection, as in Envoy: when a server is ejected from its pool, and how it returns to service.

    new ──success──▶ healthy ◀──success── suspect ──too many failures──▶ ejected ──time over──▶ probing
                        └──failure──▶ suspect                               ▲                     │
                                                                            └────── failure ──────┘
    probing ──success──▶ healthy, in slow start

Each ejection lasts longer than the one before, up to a maximum. A server that is new or has recovered is in slow start:
its share of requests rises to the full share over `slow_start_time`.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from marlstep.load_balancing.failure_rate import FailureRate
from marlstep.units import SECOND

MAX_EJECTION_DOUBLINGS = 16  # bounds the power of two; after so many doublings an ejection is at its maximum


class ServerHealthState(enum.Enum):
    """The health of one server."""

    NEW = "new"
    HEALTHY = "healthy"
    # Its last attempt failed, or it was kept in service because too many servers were ejected.
    SUSPECT = "suspect"
    EJECTED = "ejected"  # receives no requests
    # Receives one request. The next attempt that ends decides, even if it was started before the ejection.
    PROBING = "probing"


STATE_AFTER_SUCCESS = {
    ServerHealthState.NEW: ServerHealthState.HEALTHY,
    ServerHealthState.HEALTHY: ServerHealthState.HEALTHY,
    ServerHealthState.SUSPECT: ServerHealthState.HEALTHY,
    ServerHealthState.PROBING: ServerHealthState.HEALTHY,
    ServerHealthState.EJECTED: ServerHealthState.EJECTED,  # the attempt was started before the ejection
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

    consecutive_failures: int = 5  # number that ejects a server
    failure_share: float = 0.5  # failed share of the recent attempts that ejects a server
    min_samples: float = 10.0  # decaying count of attempts below which the failure share is ignored
    base_ejection_time: timedelta = 2 * SECOND  # of the first ejection; doubles with each further one
    max_ejection_time: timedelta = 60 * SECOND
    ejection_count_reset_after: timedelta = 60 * SECOND  # time in the state HEALTHY that resets `ejections`
    slow_start_time: timedelta = 10 * SECOND
    min_slow_start_weight: float = 0.1  # share of its full load that a server gets when slow start begins


def should_eject(
    settings: OutlierDetectionSettings, consecutive_failures: int, attempts: float, failure_share: float
) -> bool:
    """Return whether a server in regular service should be ejected after a failure.

    It should if too many attempts in a row failed, or if too large a share of its recent attempts failed. The share
    counts only from a minimum number of attempts on, since one failure among few attempts is already a large share.

    Args:
        settings: The thresholds.
        consecutive_failures: Failures since the last success, this one included.
        attempts: Decaying count of recent attempts.
        failure_share: Failed share of the recent attempts, from 0 to 1.

    """
    failed_in_a_row = consecutive_failures >= settings.consecutive_failures
    has_enough_samples = attempts >= settings.min_samples
    fails_too_often = failure_share >= settings.failure_share
    return failed_in_a_row or (has_enough_samples and fails_too_often)


def ejection_allowed(ejected: int, members: int, max_ejected_share: float) -> bool:
    """Return whether one more server of a pool may be ejected.

    At most the given share of the members may be ejected at once. If more servers fail, the fault is as likely to be on
    this node's side, and the remaining servers would be overloaded. The product is not rounded up: with the default of
    `PoolSettings`, a pool of one or two servers ejects none.

    Args:
        ejected: Number of members that are currently ejected or probed.
        members: Number of all members of the pool.
        max_ejected_share: Share of the members, from 0 to 1.

    """
    return ejected + 1 <= max_ejected_share * members


def ejection_time(settings: OutlierDetectionSettings, earlier_ejections: int) -> timedelta:
    """Return how long a server is ejected: the time doubles with each earlier ejection, up to the maximum.

    The count of earlier ejections is reset once the server has been healthy for `ejection_count_reset_after`.
    """
    doublings = min(earlier_ejections, MAX_EJECTION_DOUBLINGS)
    return min(settings.max_ejection_time, settings.base_ejection_time * (1 << doublings))


def slow_start_weight(settings: OutlierDetectionSettings, elapsed: timedelta) -> float:
    """Return the share of its full load that a server gets in slow start; 1 once slow start is over.

    The share rises linearly from the minimum, so that a server that has just started can fill its caches and open its
    connections before it gets the full load.

    Args:
        settings: Length of slow start and the minimum share.
        elapsed: Time since slow start began.

    """
    progress = elapsed / settings.slow_start_time
    if progress >= 1.0:
        return 1.0
    return settings.min_slow_start_weight + (1 - settings.min_slow_start_weight) * max(0.0, progress)


@dataclass(slots=True)
class ServerHealth:
    """The health of one server. The pool, which has the state of all servers, decides whether to eject it."""

    settings: OutlierDetectionSettings
    state_since: datetime
    state: ServerHealthState = ServerHealthState.NEW
    failure_rate: FailureRate = field(default_factory=FailureRate)
    consecutive_failures: int = 0
    ejections: int = 0  # since the count was last reset; see `ejection_count_reset_after`
    ejected_until: datetime | None = None  # end of the last ejection; None if never ejected
    slow_start_since: datetime | None = None  # None if not in slow start

    def __post_init__(self) -> None:
        """Put the new server in slow start."""
        self.slow_start_since = self.state_since

    def record_success(self, now: datetime) -> None:
        """Record a successful attempt."""
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
            self.state is ServerHealthState.HEALTHY
            and now - self.state_since >= self.settings.ejection_count_reset_after
        )

    def record_failure(self, now: datetime) -> bool:
        """Record a failed attempt, and return whether the server should be ejected now.

        A server that fails its probe should be ejected again. For a server that is already ejected the result is False.
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
        """Eject the server for a time that doubles with each ejection."""
        self.ejected_until = now + ejection_time(self.settings, self.ejections)
        self.ejections += 1
        self.consecutive_failures = 0
        self._enter(ServerHealthState.EJECTED, now)

    def keep_in_service(self, now: datetime) -> None:
        """Mark the server as suspect and reset its failure counts; used when too many servers are ejected already."""
        self.consecutive_failures = 0
        self.failure_rate.reset()
        self._enter(ServerHealthState.SUSPECT, now)

    def end_ejection_if_due(self, now: datetime) -> None:
        """Change the state from EJECTED to PROBING if the ejection time has passed."""
        if (
            self.state is ServerHealthState.EJECTED
            and self.ejected_until is not None
            and now >= self.ejected_until
        ):
            self._enter(ServerHealthState.PROBING, now)

    def weight(self, now: datetime) -> float:
        """Return the share of its full load that the server gets; greater than 0, at most 1.

        The first call after the slow-start time has passed ends slow start and sets `slow_start_since` to None.
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
