"""Lease settings, and the clock rules that make a lease expire on its holder before it expires on the leader.

The holder counts a lease's term from before it sent its request, the leader from after it granted or renewed the lease.
Both clocks are accurate to within the drift. With a term of T and a drift of d, at most T of true time has passed when
the holder's clock has advanced by T(1-d), and at least T has passed when the leader's has advanced by T(1+d). So the
holder always stops first.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.leases.names import CONFIG_LEASE_PREFIX as CONFIG_LEASE_PREFIX
from marlstep.leases.names import is_config_lease
from marlstep.units import MILLISECOND, SECOND, ZERO

RENEWALS_PER_TERM = 3
RESPONSE_TIMEOUTS_PER_TERM = 6
MAX_RESPONSE_TIMEOUT = 500 * MILLISECOND


@dataclass(slots=True, frozen=True)
class LeaseSettings:
    """Lease terms and limits, which must be the same on all nodes."""

    term: timedelta = 3 * SECOND
    drift: float = 0.01  # largest tolerated error of any clock, as a fraction of true time
    max_per_node: int = 0  # maximum number of task leases of one process of a node; 0: no limit
    config_term: timedelta = ZERO  # term of configuration leases; zero: there are none

    def term_of(self, name: str) -> timedelta:
        """Return the term of the named lease."""
        return self.config_term if self.config_term and is_config_lease(name) else self.term

    @property
    def shortest_term(self) -> timedelta:
        """The shortest term of any lease."""
        return min(self.term, self.config_term) if self.config_term else self.term

    @property
    def renewal_interval(self) -> timedelta:
        """The time between two heartbeats of a holder."""
        return self.shortest_term / RENEWALS_PER_TERM

    @property
    def response_timeout(self) -> timedelta:
        """How long a client waits for a voter's response before it switches to another voter."""
        return min(self.shortest_term / RESPONSE_TIMEOUTS_PER_TERM, MAX_RESPONSE_TIMEOUT)

    def holder_expiry(self, requested_at: datetime, name: str = "") -> datetime:
        """Return when the holder must stop acting on the lease, by its own clock: before the leader's expiry."""
        return requested_at + self.term_of(name) * (1 - self.drift)

    def leader_expiry(self, granted_at: datetime, name: str = "") -> datetime:
        """Return when the leader may end the lease, by the leader's clock."""
        return granted_at + self.term_of(name) * (1 + self.drift)
