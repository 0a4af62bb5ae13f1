"""Whether an attempt that went wrong is made again, on another server.

What proves that nothing ran may go on for any class. What may have reached a server is sent again only where its
class may run twice, and once: a server that dies under a request would else be followed by the next.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from marlstep.units import MILLISECOND

MIN_REMAINING_TIME = 5 * MILLISECOND  # of time left: with less no server would answer


class AttemptOutcome(enum.Enum):
    """How an attempt on one server ended."""

    SUCCEEDED = "well"
    CONNECT_FAILED = "not reached"  # no connection: nothing ran
    REJECTED = "refused"  # the server says that nothing ran
    CONNECTION_LOST = "broken"  # the request had begun to leave: it may have run
    CANCELLED = "given up"  # nobody waits any more

    @property
    def never_ran(self) -> bool:
        return self in (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.REJECTED)


@dataclass(slots=True)
class RetryPolicy:
    """The attempts of one request."""

    is_idempotent: bool  # its class may run twice
    max_attempts: int
    deadline: datetime
    attempted_servers: set[int] = field(default_factory=set)  # handles of servers
    may_have_run: bool = False

    def attempt_started(self, handle: int) -> None:
        self.attempted_servers.add(handle)

    def should_retry(self, end: AttemptOutcome, now: datetime) -> bool:
        """May the request go to a server that it has not been to?"""
        if len(self.attempted_servers) >= self.max_attempts or self.deadline - now < MIN_REMAINING_TIME:
            return False
        if end.never_ran:
            return True
        if end is not AttemptOutcome.CONNECTION_LOST or not self.is_idempotent or self.may_have_run:
            return False
        self.may_have_run = True
        return True

    def connect_timeout(self, now: datetime, configured: timedelta) -> timedelta:
        """For a connection to stand: never past the time that the request has."""
        return max(MILLISECOND, min(configured, self.deadline - now))
