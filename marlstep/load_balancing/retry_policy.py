"""Retry policy: whether a request is sent to another server after a failed attempt.

Any request is retried after an attempt that certainly did not run. After an attempt that may have run, a request is
retried only if it is idempotent, and only once: otherwise a request that crashes the server that runs it would crash
one server after another.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.units import MILLISECOND

MIN_REMAINING_TIME = 5 * MILLISECOND  # before the deadline; with less, no server would respond in time
MIN_CONNECT_TIMEOUT = 1 * MILLISECOND


class AttemptOutcome(enum.Enum):
    """How an attempt at one server ended."""

    SUCCEEDED = "succeeded"  # a response was received, whatever its status
    CONNECT_FAILED = "connect_failed"  # no connection was established: nothing ran
    REJECTED = "rejected"  # the server reported that nothing ran
    CONNECTION_LOST = "connection_lost"  # the request was sent at least partially: it may have run
    CANCELLED = "cancelled"  # no client waits for the response any more

    @property
    def never_ran(self) -> bool:
        """Whether this outcome rules out that the attempt had an effect."""
        return self in (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.REJECTED)


@dataclass(slots=True, frozen=True)
class RetryPolicy:
    """The retry state of one request: the bounds on its attempts, and the attempts so far.

    Instances are immutable; `attempt_started` and `next_attempt` return the updated policy.

    Attributes:
        is_idempotent: Whether the request may run more than once.
        max_attempts: Maximum number of attempts, each at a different server.
        deadline: Time after which a response is of no use.
        attempted_servers: Handles of the servers to which the request has been sent.
        may_have_run: Whether an earlier attempt may have taken effect.

    """

    is_idempotent: bool
    max_attempts: int
    deadline: datetime
    attempted_servers: frozenset[int] = frozenset()
    may_have_run: bool = False

    def attempt_started(self, server: int) -> RetryPolicy:
        """Return the policy after an attempt at `server` (a handle) has started."""
        return RetryPolicy(
            self.is_idempotent,
            self.max_attempts,
            self.deadline,
            self.attempted_servers | {server},
            self.may_have_run,
        )

    def next_attempt(self, outcome: AttemptOutcome, now: datetime) -> RetryPolicy | None:
        """Decide whether the request is sent to another server after an attempt has ended.

        It is, while attempts and time are left, if the outcome rules out that the attempt ran. If the attempt may have
        run, it is only if the request is idempotent and no earlier attempt may have run.

        Args:
            outcome: How the attempt ended.
            now: The current time.

        Returns:
            The policy for the next attempt, or None if the request is not sent again.

        """
        attempts_left = len(self.attempted_servers) < self.max_attempts
        time_left = self.deadline - now >= MIN_REMAINING_TIME
        if not (attempts_left and time_left):
            return None
        if outcome.never_ran:
            return self
        is_first_ambiguous_outcome = outcome is AttemptOutcome.CONNECTION_LOST and not self.may_have_run
        if not (is_first_ambiguous_outcome and self.is_idempotent):
            return None
        return RetryPolicy(
            self.is_idempotent, self.max_attempts, self.deadline, self.attempted_servers, may_have_run=True
        )

    def connect_timeout(self, now: datetime, configured: timedelta) -> timedelta:
        """Return the connect timeout: the configured one, shortened to the time left before the deadline."""
        return max(MIN_CONNECT_TIMEOUT, min(configured, self.deadline - now))
