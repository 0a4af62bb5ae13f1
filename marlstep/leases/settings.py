"""Clock rules of leases: from when each side counts a lease's term, and with which margin.

A holder counts from before it sent its request, the leader from after it granted or renewed the lease. Both clocks run
true to within the drift. With T the term and d the drift, the holder's clock shows T(1-d) when at most T of true time
has passed, and the leader's shows T(1+d) when at least T has passed: so the holder has always stopped first.
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
    """Terms and limits, the same on all nodes."""

    term: timedelta = 3 * SECOND
    drift: float = 0.01  # largest error of any clock, as a share of true time, that is guarded against
    max_per_node: int = 0  # leases that one node may hold; 0: any number
    config_term: timedelta = ZERO  # term of the leases on replicated configuration; zero: there are none

    def term_of(self, name: str) -> timedelta:
        """The term of the lease of that name."""
        return self.config_term if self.config_term and is_config_lease(name) else self.term

    @property
    def shortest_term(self) -> timedelta:
        """The shortest term of any lease."""
        return min(self.term, self.config_term) if self.config_term else self.term

    @property
    def renewal_interval(self) -> timedelta:
        """The time from one heartbeat of a holder to the next."""
        return self.shortest_term / RENEWALS_PER_TERM

    @property
    def response_timeout(self) -> timedelta:
        """How long one voter may leave a request unanswered before another is asked."""
        return min(self.shortest_term / RESPONSE_TIMEOUTS_PER_TERM, MAX_RESPONSE_TIMEOUT)

    def holder_expiry(self, requested_at: datetime, name: str = "") -> datetime:
        """When the holder stops, by its own clock: before the leader's expiry."""
        return requested_at + self.term_of(name) * (1 - self.drift)

    def leader_expiry(self, granted_at: datetime, name: str = "") -> datetime:
        """When the leader may end the lease, by the leader's clock."""
        return granted_at + self.term_of(name) * (1 + self.drift)
