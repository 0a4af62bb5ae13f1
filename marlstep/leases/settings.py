"""The clock rules of leases, in one place: who counts from when, and which margin each takes.

A holder counts from before it asked, the group from after it granted or renewed. Both clocks go true to within the
drift. With T the term and d the drift, a holder's clock shows T(1-d) when at most T of true time has passed, and the
group's shows T(1+d) when at least T has passed: so the holder has always stopped first.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.units import MILLISECOND, SECOND, ZERO

RULES = "rules/"  # before the names of leases under which nodes act on documents


@dataclass(slots=True, frozen=True)
class LeaseSettings:
    term: timedelta = 3 * SECOND
    drift: float = 0.01  # of any clock against true time, that is still guarded against
    most: int = 0  # leases that one node may hold; 0: any number
    rules: timedelta = ZERO  # term of the leases under which nodes act on documents; zero: there are none

    def term_of(self, name: str) -> timedelta:
        return self.rules if self.rules and name.startswith(RULES) else self.term

    @property
    def shortest(self) -> timedelta:
        return min(self.term, self.rules) if self.rules else self.term

    @property
    def renew_every(self) -> timedelta:
        return self.shortest / 3

    @property
    def answer_wait(self) -> timedelta:
        """Before another voter is asked in the place of one that does not answer."""
        return min(self.shortest / 6, 500 * MILLISECOND)

    def holder_until(self, asked: datetime, name: str = "") -> datetime:
        """By the holder's clock: to be over before the group's."""
        return asked + self.term_of(name) * (1 - self.drift)

    def group_until(self, granted: datetime, name: str = "") -> datetime:
        """By the clock of the voter that leads."""
        return granted + self.term_of(name) * (1 + self.drift)
