"""Whether an attempt that went wrong is made again, on another server.

What proves that nothing ran may go on for any class. What may have reached a server is sent again only where its
class may run twice, and once: a server that dies under a request would else be followed by the next.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from marlstep.units import MILLISECOND

MIN_TIME_LEFT = 5 * MILLISECOND  # of time left: with less no server would answer


class AttemptOutcome(enum.Enum):
    """How an attempt on one server ended."""

    WELL = "well"
    NOT_REACHED = "not reached"  # no connection: nothing ran
    REFUSED = "refused"  # the server says that nothing ran
    BROKEN = "broken"  # the request had begun to leave: it may have run
    GIVEN_UP = "given up"  # nobody waits any more

    @property
    def never_ran(self) -> bool:
        return self in (AttemptOutcome.NOT_REACHED, AttemptOutcome.REFUSED)


@dataclass(slots=True)
class RetryPolicy:
    """The attempts of one request."""

    safe: bool  # its class may run twice
    most: int
    due: datetime
    attempted_servers: set[int] = field(default_factory=set)  # handles of servers
    resent: bool = False

    def attempt_started(self, handle: int) -> None:
        self.attempted_servers.add(handle)

    def should_retry(self, end: AttemptOutcome, now: datetime) -> bool:
        """May the request go to a server that it has not been to?"""
        if len(self.attempted_servers) >= self.most or self.due - now < MIN_TIME_LEFT:
            return False
        if end.never_ran:
            return True
        if end is not AttemptOutcome.BROKEN or not self.safe or self.resent:
            return False
        self.resent = True
        return True

    def left(self, now: datetime, most: timedelta) -> timedelta:
        """For a connection to stand: never past the time that the request has."""
        return max(MILLISECOND, min(most, self.due - now))
