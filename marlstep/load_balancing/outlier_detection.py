"""Whether a server may have work: the states of one server, and the rule for how many may be out at once.

    new ──ok──▶ healthy ◀──ok── suspect ──too many failures──▶ ejected ──time over──▶ probing
                    └──a failure──▶ suspect                       ▲                      │
                                                                  └──── it failed ───────┘  (longer each time)
    probing ──it went well──▶ healthy, slowly

`new` has slow start as well: what has just begun, or come back, gets its full share only after a while.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from marlstep.load_balancing.estimators import FailureRate
from marlstep.units import SECOND


class ServerState(enum.Enum):
    NEW = "new"
    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"  # gets nothing
    PROBING = "probing"  # gets one request, or one connection, to show what it can do


@dataclass(slots=True, frozen=True)
class OutlierSettings:
    in_a_row: int = 5  # failures one after another that eject
    share: float = 0.5  # of failures that ejects, where enough is known
    enough: float = 10.0  # attempts, fading, that a share must stand on
    first: timedelta = 2 * SECOND  # of an ejection
    longest: timedelta = 60 * SECOND
    forgive: timedelta = 60 * SECOND  # of good health, after which an ejection counts as the first again
    slow_start: timedelta = 10 * SECOND
    least_share: float = 0.1  # of its weight, at the begin of slow start


@dataclass(slots=True)
class ServerHealth:
    """One server's. It tells what should be; the table says whether the server may be put out."""

    settings: OutlierSettings
    since: datetime  # in this state
    state: ServerState = ServerState.NEW
    rate: FailureRate = field(default_factory=FailureRate)
    in_a_row: int = 0
    ejections: int = 0  # of late: each is twice as long as the one before
    until: datetime | None = None  # of the ejection
    rising_since: datetime | None = None  # of slow start

    def __post_init__(self) -> None:
        self.rising_since = self.since

    def _to(self, state: ServerState, now: datetime) -> None:
        self.state, self.since = state, now

    def succeeded(self, now: datetime) -> None:
        self.rate.add(now, failed=False)
        self.in_a_row = 0
        if self.state is ServerState.PROBING:
            self.rising_since = now
            self.rate.clear()
        elif (
            self.state is ServerState.HEALTHY and self.ejections and now - self.since >= self.settings.forgive
        ):
            self.ejections = 0
        if self.state in (ServerState.NEW, ServerState.SUSPECT, ServerState.PROBING):
            self._to(ServerState.HEALTHY, now)

    def failed(self, now: datetime) -> bool:
        """True where the server should be ejected now."""
        self.rate.add(now, failed=True)
        self.in_a_row += 1
        if self.state in (ServerState.NEW, ServerState.HEALTHY):
            self._to(ServerState.SUSPECT, now)
        if self.state is ServerState.PROBING:
            return True
        if self.state is ServerState.EJECTED:
            return False
        told = self.settings
        many = self.rate.total >= told.enough and self.rate.share >= told.share
        return self.in_a_row >= told.in_a_row or many

    def eject(self, now: datetime) -> None:
        told = self.settings
        self.until = now + min(told.longest, told.first * (1 << min(self.ejections, 16)))
        self.ejections += 1
        self.in_a_row = 0
        self._to(ServerState.EJECTED, now)

    def look(self, now: datetime) -> None:
        """An ejection whose time is over ends in a probe."""
        if self.state is ServerState.EJECTED and self.until is not None and now >= self.until:
            self._to(ServerState.PROBING, now)

    def spare(self, now: datetime) -> None:
        """It should be out, but too many are: it stays, suspect, and counts anew."""
        self.in_a_row = 0
        self.rate.clear()
        self._to(ServerState.SUSPECT, now)

    def weight(self, now: datetime) -> float:
        """The share of its full work that it gets: less than 1 in slow start."""
        told = self.settings
        if self.rising_since is None:
            return 1.0
        risen = (now - self.rising_since) / told.slow_start
        if risen >= 1.0:
            self.rising_since = None
            return 1.0
        return told.least_share + (1 - told.least_share) * max(0.0, risen)
