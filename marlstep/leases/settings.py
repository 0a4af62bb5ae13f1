"""The clock rules of leases, in one place: who counts from when, and which margin each takes.

A holder counts from before it asked, the group from after it granted or renewed. Both clocks go true to within the
drift. With T the term and d the drift, a holder's clock shows T(1-d) when at most T of true time has passed, and the
group's shows T(1+d) when at least T has passed: so the holder has always stopped first.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.units import MILLISECOND, SECOND, ZERO

CONFIG_LEASE_PREFIX = "rules/"  # before the names of leases under which nodes act on documents


@dataclass(slots=True, frozen=True)
class LeaseSettings:
    term: timedelta = 3 * SECOND
    drift: float = 0.01  # of any clock against true time, that is still guarded against
    max_per_node: int = 0  # leases that one node may hold; 0: any number
    config_term: timedelta = (
        ZERO  # term of the leases under which nodes act on documents; zero: there are none
    )

    def term_of(self, name: str) -> timedelta:
        return self.config_term if self.config_term and name.startswith(CONFIG_LEASE_PREFIX) else self.term

    @property
    def shortest_term(self) -> timedelta:
        return min(self.term, self.config_term) if self.config_term else self.term

    @property
    def renewal_interval(self) -> timedelta:
        return self.shortest_term / 3

    @property
    def response_timeout(self) -> timedelta:
        """Before another voter is asked in the place of one that does not answer."""
        return min(self.shortest_term / 6, 500 * MILLISECOND)

    def holder_expiry(self, asked: datetime, name: str = "") -> datetime:
        """By the holder's clock: to be over before the group's."""
        return asked + self.term_of(name) * (1 - self.drift)

    def leader_expiry(self, granted: datetime, name: str = "") -> datetime:
        """By the clock of the voter that leads."""
        return granted + self.term_of(name) * (1 + self.drift)
