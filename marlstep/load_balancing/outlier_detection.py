"""Whether a server may have work: the states of one server, and the rule for how too_large_a_share may be out at once.

    new ──ok──▶ healthy ◀──ok── suspect ──too too_large_a_share failures──▶ ejected ──time over──▶ probing
                    └──a failure──▶ suspect                       ▲                      │
                                                                  └──── it failed ───────┘  (longer each time)
    probing ──it went well──▶ healthy, slowly

`new` has slow start as well: what has just begun, or come back, gets its full share only after a while.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from marlstep.load_balancing.failure_rate import FailureRate
from marlstep.units import SECOND


class ServerState(enum.Enum):
    NEW = "new"
    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"  # gets nothing
    PROBING = "probing"  # gets one request, or one connection, to show what it can do


@dataclass(slots=True, frozen=True)
class OutlierDetectionSettings:
    consecutive_failures: int = 5  # failures one after another that eject
    failure_share: float = 0.5  # of failures that ejects, where enough is known
    min_samples: float = 10.0  # attempts, fading, that a share must stand on
    base_ejection_time: timedelta = 2 * SECOND  # of an ejection
    max_ejection_time: timedelta = 60 * SECOND
    forgive_after: timedelta = (
        60 * SECOND
    )  # of good health, after which an ejection counts as the first again
    slow_start_time: timedelta = 10 * SECOND
    min_slow_start_weight: float = 0.1  # of its weight, at the begin of slow start


@dataclass(slots=True)
class ServerHealth:
    """One server's. It tells what should be; the table says whether the server may be put out."""

    settings: OutlierDetectionSettings
    state_since: datetime  # in this state
    state: ServerState = ServerState.NEW
    failure_rate: FailureRate = field(default_factory=FailureRate)
    consecutive_failures: int = 0
    ejections: int = 0  # of late: each is twice as long as the one before
    ejected_until: datetime | None = None  # of the ejection
    slow_start_since: datetime | None = None  # of slow start

    def __post_init__(self) -> None:
        self.slow_start_since = self.state_since

    def _enter(self, state: ServerState, now: datetime) -> None:
        self.state, self.state_since = state, now

    def record_success(self, now: datetime) -> None:
        self.failure_rate.add(now, failed=False)
        self.consecutive_failures = 0
        if self.state is ServerState.PROBING:
            self.slow_start_since = now
            self.failure_rate.reset()
        elif (
            self.state is ServerState.HEALTHY
            and self.ejections
            and now - self.state_since >= self.settings.forgive_after
        ):
            self.ejections = 0
        if self.state in (ServerState.NEW, ServerState.SUSPECT, ServerState.PROBING):
            self._enter(ServerState.HEALTHY, now)

    def record_failure(self, now: datetime) -> bool:
        """True where the server should be ejected now."""
        self.failure_rate.add(now, failed=True)
        self.consecutive_failures += 1
        if self.state in (ServerState.NEW, ServerState.HEALTHY):
            self._enter(ServerState.SUSPECT, now)
        if self.state is ServerState.PROBING:
            return True
        if self.state is ServerState.EJECTED:
            return False
        settings = self.settings
        too_large_a_share = (
            self.failure_rate.attempts >= settings.min_samples
            and self.failure_rate.failure_share >= settings.failure_share
        )
        return self.consecutive_failures >= settings.consecutive_failures or too_large_a_share

    def eject(self, now: datetime) -> None:
        settings = self.settings
        self.ejected_until = now + min(
            settings.max_ejection_time, settings.base_ejection_time * (1 << min(self.ejections, 16))
        )
        self.ejections += 1
        self.consecutive_failures = 0
        self._enter(ServerState.EJECTED, now)

    def end_ejection_if_due(self, now: datetime) -> None:
        """An ejection whose time is over ends in a probe."""
        if self.state is ServerState.EJECTED and self.ejected_until is not None and now >= self.ejected_until:
            self._enter(ServerState.PROBING, now)

    def keep_in_service(self, now: datetime) -> None:
        """It should be out, but too many are: it stays, suspect, and counts anew."""
        self.consecutive_failures = 0
        self.failure_rate.reset()
        self._enter(ServerState.SUSPECT, now)

    def slow_start_weight(self, now: datetime) -> float:
        """The share of its full work that it gets: less than 1 in slow start."""
        settings = self.settings
        if self.slow_start_since is None:
            return 1.0
        elapsed_share = (now - self.slow_start_since) / settings.slow_start_time
        if elapsed_share >= 1.0:
            self.slow_start_since = None
            return 1.0
        return settings.min_slow_start_weight + (1 - settings.min_slow_start_weight) * max(0.0, elapsed_share)
