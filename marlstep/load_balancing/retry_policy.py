"""Whether a request is sent to another server after an attempt that went wrong.

An attempt that proves that nothing ran may be followed by another for every request. One that may have run is followed
by another only where the request is idempotent, and only once: a request that brings down the server that runs it
would else bring down one after another.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.units import MILLISECOND

MIN_REMAINING_TIME = 5 * MILLISECOND  # to the deadline; with less no server would respond in time
MIN_CONNECT_TIMEOUT = 1 * MILLISECOND


class AttemptOutcome(enum.Enum):
    """How an attempt at one server ended."""

    SUCCEEDED = "succeeded"  # there is a response, whatever its status
    CONNECT_FAILED = "connect_failed"  # there was no connection: nothing ran
    REJECTED = "rejected"  # the server says that nothing ran
    CONNECTION_LOST = "connection_lost"  # the request was sent at least in part: it may have run
    CANCELLED = "cancelled"  # nobody waits for the response any more

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that nothing took effect."""
        return self in (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.REJECTED)


@dataclass(slots=True, frozen=True)
class RetryPolicy:
    """The retry state of one request: what bounds its attempts, and what the attempts so far came to.

    It is immutable; `attempt_started` and `next_attempt` return the policy that holds from then on.

    Attributes:
        is_idempotent: Whether the request may run twice.
        max_attempts: Bound on the attempts, each at another server.
        deadline: After which a response is of no use.
        attempted_servers: Handles of the servers that had an attempt.
        may_have_run: Whether an earlier attempt may have taken effect.

    """

    is_idempotent: bool
    max_attempts: int
    deadline: datetime
    attempted_servers: frozenset[int] = frozenset()
    may_have_run: bool = False

    def attempt_started(self, server: int) -> RetryPolicy:
        """Return the policy with one more server that had an attempt."""
        return RetryPolicy(
            self.is_idempotent,
            self.max_attempts,
            self.deadline,
            self.attempted_servers | {server},
            self.may_have_run,
        )

    def next_attempt(self, outcome: AttemptOutcome, now: datetime) -> RetryPolicy | None:
        """Decide whether the request goes to another server after an attempt ended.

        Rule: it does while there are attempts and time left, if the outcome proves that nothing ran. Exception: if
        the attempt may have run, it does only where the request is idempotent and no earlier attempt may have run.

        Args:
            outcome: How the attempt ended.
            now: The time, which is compared with the deadline.

        Returns:
            The policy for the next attempt, or None where the request is not sent again.

        """
        attempts_left = len(self.attempted_servers) < self.max_attempts
        time_left = self.deadline - now >= MIN_REMAINING_TIME
        if not (attempts_left and time_left):
            return None
        if outcome.never_ran:
            return self
        is_first_unsure = outcome is AttemptOutcome.CONNECTION_LOST and not self.may_have_run
        if not (is_first_unsure and self.is_idempotent):
            return None
        return RetryPolicy(
            self.is_idempotent, self.max_attempts, self.deadline, self.attempted_servers, may_have_run=True
        )

    def connect_timeout(self, now: datetime, configured: timedelta) -> timedelta:
        """Return how long a connection may take to open: as configured, but not beyond the deadline."""
        return max(MIN_CONNECT_TIMEOUT, min(configured, self.deadline - now))
