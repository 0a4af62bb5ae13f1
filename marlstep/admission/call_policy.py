"""Downstream calls: how often a call is made, how long it is waited for, and when it is left out.

Everything here is about one step of one request: a run that stands at a call may make it several times, and
goes on without it or fails when the attempts are used up.
"""

from __future__ import annotations

from dataclasses import dataclass

CALL_TIMEOUT_FACTOR = 5.0  # of the time that calls take; an attempt that may be repeated is abandoned then
CALL_RESERVE_FRACTION = 0.5  # of the allowed mean of calls in flight, each for the stock and for its refill
MAX_CALL_ATTEMPTS = 3  # for one step of a request
MAX_CALL_ATTEMPTS_NEVER_RAN = 6  # for one step whose run needs the call


@dataclass(slots=True, frozen=True)
class CallRetryPolicy:
    """How often one call of a request may be attempted.

    An attempt that may have taken effect is repeated for idempotent requests only. One that provably never
    ran may always be repeated; more often if the run can't go on without the call.

    Attributes:
        max_attempts: that may have taken effect.
        max_attempts_never_ran: that never ran.
    """

    max_attempts: int
    max_attempts_never_ran: int

    @classmethod
    def of_request(cls, is_idempotent: bool, can_skip_call: bool) -> CallRetryPolicy:
        """Return the policy for a request, by whether it may run twice and may go on without the call."""
        return cls(
            max_attempts=MAX_CALL_ATTEMPTS if is_idempotent else 1,
            max_attempts_never_ran=MAX_CALL_ATTEMPTS if can_skip_call else MAX_CALL_ATTEMPTS_NEVER_RAN,
        )

    def allows_another_after(self, attempts: int) -> bool:
        """Return whether one more attempt that may take effect could follow the one that is made now.

        Args:
            attempts: made so far that may have taken effect, without the one that is made now.
        """
        return attempts + 1 < self.max_attempts

    def is_exhausted(self, attempts: int, attempts_never_ran: int) -> bool:
        """Return whether no further attempt may be made.

        Args:
            attempts: made so far that may have taken effect.
            attempts_never_ran: made so far that never ran.
        """
        return attempts >= self.max_attempts or attempts_never_ran >= self.max_attempts_never_ran


def backoff_us(attempts_never_ran: int, tick_us: int) -> int:
    """Return how long to wait before the next attempt, in microseconds.

    A tick, doubled for each attempt that never ran after the first: what rejects calls needs time to
    recover.

    Args:
        attempts_never_ran: of this step that never ran.
        tick_us: the controller's shortest wait, in microseconds.
    """
    return tick_us << max(0, attempts_never_ran - 1)


def latest_useful_reply_at(
    deadline_at: int, objective_at: int, can_skip_call: bool, remaining_us: int
) -> int:
    """Return the time after which the reply to a call is of no use, in microseconds.

    A run that needs the call can use its reply until the deadline. One that may skip it is better finished
    without the call within its objective than with it later, so the rest of the run has to fit in after the
    reply.

    Args:
        deadline_at: of the request, in microseconds.
        objective_at: end of its latency objective, in microseconds.
        can_skip_call: whether the run may go on without the call.
        remaining_us: time to allow between the reply and the response, in microseconds.
    """
    if not can_skip_call:
        return deadline_at
    return min(deadline_at, objective_at - remaining_us)


def attempt_timeout_us(call_us: float, attempts: int) -> int:
    """Return how long an attempt that can be repeated is waited for, in microseconds.

    A reply that does not come may come to another attempt. Each attempt is given twice the time of the one
    before.

    Args:
        call_us: what calls take, in microseconds.
        attempts: made so far that may have taken effect.
    """
    return int(CALL_TIMEOUT_FACTOR * call_us) << attempts


def reserve_timeout_us(slow_call_us: int, available_us: float) -> int:
    """Return how long a call may draw on the reserve of calls in flight, in microseconds.

    At most half of what the reserve holds, so that one call does not use it up, but always long enough for a
    call that is not slow.

    Args:
        slow_call_us: from which on a call counts as slow, in microseconds.
        available_us: what the reserve holds, in microseconds.
    """
    return max(slow_call_us, int(available_us / 2))


def min_reserve_us(capacity_us: float, slow_call_us: int, abandoned_call_us: int) -> float:
    """Return what the reserve must hold before a call is made, in microseconds.

    Enough for a call that is not slow and then stays in the dependency after it is abandoned; a reserve too
    small for that must be full.

    Args:
        capacity_us: of the reserve, in microseconds.
        slow_call_us: from which on a call counts as slow, in microseconds.
        abandoned_call_us: for which an abandoned call stays in the dependency, in microseconds.
    """
    return min(capacity_us, slow_call_us + abandoned_call_us)
