"""What the end of an attempt, and of a request's last attempt, means. Pure: no I/O."""

from __future__ import annotations

from collections.abc import Collection

from marlstep.admission.events import Outcome
from marlstep.load_balancing.retry_policy import AttemptOutcome

RUN_OUTCOMES = {
    AttemptOutcome.SUCCEEDED: Outcome.OK,
    AttemptOutcome.CONNECT_FAILED: Outcome.CONNECT_FAILED,
    AttemptOutcome.REJECTED: Outcome.REJECTED,
    AttemptOutcome.CONNECTION_LOST: Outcome.RESET,
    AttemptOutcome.CANCELLED: Outcome.CANCELLED,
}


def response_outcome(status: int, rejection_statuses: Collection[int]) -> AttemptOutcome:
    """Return what a complete response means.

    Rule: the attempt succeeded, whatever the status: errors of the application are its response. Exception: the
    operator's file lists statuses by which a server says that it did not run the request.
    """
    if status in rejection_statuses:
        return AttemptOutcome.REJECTED
    return AttemptOutcome.SUCCEEDED


def run_outcome(last_attempt: AttemptOutcome, may_have_run: bool) -> Outcome:
    """Return the outcome of a request that is not sent to another server any more.

    Rule: it is the outcome of the last attempt. Exception: if that attempt proves that it did not run, but an earlier
    one may have, the outcome is that of a lost connection; the client must not be told that nothing took effect.

    Args:
        last_attempt: How the last attempt ended.
        may_have_run: Whether an attempt before it may have taken effect.

    """
    if last_attempt.never_ran and may_have_run:
        return Outcome.RESET
    return RUN_OUTCOMES[last_attempt]
