"""Retry, timeout and skip policy for downstream calls.

The rules apply to one step of one request: a run that needs a call may attempt it several times, and
continues without the call or fails once the attempts are exhausted.
"""

from __future__ import annotations

from dataclasses import dataclass

CALL_TIMEOUT_FACTOR = 5.0  # of the call duration; an attempt that can be retried is abandoned after this time
# Of the allowed mean of calls in flight; the rate of the reserve, from which its capacity follows.
CALL_RESERVE_FRACTION = 0.5
MAX_CALL_ATTEMPTS = 3  # per step of a request
MAX_CALL_ATTEMPTS_NEVER_RAN = 6  # per step, if the run cannot continue without the call


@dataclass(slots=True, frozen=True)
class CallRetryPolicy:
    """How often one downstream call of a request may be attempted.

    An attempt that may have taken effect is retried for idempotent requests only. An attempt that provably
    never ran may always be retried, and more often if the run cannot continue without the call.

    Attributes:
        max_attempts: Maximum number of attempts that may have taken effect.
        max_attempts_never_ran: Maximum number of attempts that never ran.
    """

    max_attempts: int
    max_attempts_never_ran: int

    @classmethod
    def of_request(cls, is_idempotent: bool, can_skip_call: bool) -> CallRetryPolicy:
        """Return the policy for a request that is idempotent or not, and can skip the call or not."""
        return cls(
            max_attempts=MAX_CALL_ATTEMPTS if is_idempotent else 1,
            max_attempts_never_ran=MAX_CALL_ATTEMPTS if can_skip_call else MAX_CALL_ATTEMPTS_NEVER_RAN,
        )

    def allows_another_after(self, attempts: int) -> bool:
        """Return whether the attempt that starts now could be followed by another one.

        Args:
            attempts: Earlier attempts that may have taken effect, not counting the one that starts now.
        """
        return attempts + 1 < self.max_attempts

    def is_exhausted(self, attempts: int, attempts_never_ran: int) -> bool:
        """Return whether no further attempt may be made.

        Args:
            attempts: Attempts so far that may have taken effect.
            attempts_never_ran: Attempts so far that never ran.
        """
        return attempts >= self.max_attempts or attempts_never_ran >= self.max_attempts_never_ran


def backoff_us(attempts_never_ran: int, tick_us: int) -> int:
    """Return how long to wait before the next attempt, in microseconds.

    The backoff is one tick, doubled for each attempt that never ran after the first, since a dependency that
    rejects calls needs time to recover.

    Args:
        attempts_never_ran: Attempts of this step that never ran.
        tick_us: The controller's shortest wait, in microseconds.
    """
    return tick_us << max(0, attempts_never_ran - 1)


def latest_useful_reply_at(
    deadline_at: int, objective_at: int, can_skip_call: bool, remaining_us: int
) -> int:
    """Return the latest time at which the reply to a call is still useful, in microseconds.

    A run that needs the call can use the reply until the deadline. For a run that can skip the call, a
    response within the objective without the call is better than a later one with it, so the reply must leave
    enough time for the rest of the run.

    Args:
        deadline_at: The deadline of the request, in microseconds.
        objective_at: The end of its latency objective, in microseconds.
        can_skip_call: Whether the run can continue without the call.
        remaining_us: Time to allow between the reply and the response, in microseconds.
    """
    if not can_skip_call:
        return deadline_at
    return min(deadline_at, objective_at - remaining_us)


def attempt_timeout_us(call_us: float, attempts: int) -> int:
    """Return the timeout of an attempt that can be retried, in microseconds.

    If a reply is lost, another attempt may still get one. The timeout doubles with each attempt.

    Args:
        call_us: Mean duration of calls, in microseconds.
        attempts: Attempts so far that may have taken effect.
    """
    return int(CALL_TIMEOUT_FACTOR * call_us) << attempts


def reserve_timeout_us(slow_call_us: int, available_us: float) -> int:
    """Return how much of the reserve one call may use, in microseconds.

    This is at most half of the available reserve, so that one call does not use it up, but always long enough
    for a call that is not slow.

    Args:
        slow_call_us: Duration above which a call counts as slow, in microseconds.
        available_us: Time available in the reserve, in microseconds.
    """
    return max(slow_call_us, int(available_us / 2))


def min_reserve_us(capacity_us: float, slow_call_us: int, abandoned_call_us: int) -> float:
    """Return how much must be available in the reserve before a call is made, in microseconds.

    This covers a call that is not slow and then stays in the dependency after it is abandoned. A reserve too
    small for that must be full.

    Args:
        capacity_us: Capacity of the reserve, in microseconds.
        slow_call_us: Duration above which a call counts as slow, in microseconds.
        abandoned_call_us: How long an abandoned call stays in the dependency, in microseconds.
    """
    return min(capacity_us, slow_call_us + abandoned_call_us)
