"""Pure functions that map responses to outcomes of attempts, and outcomes of attempts to outcomes of runs."""

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
    """Return the outcome of an attempt with a complete response.

    The attempt succeeded whatever the status, since an application error is a response too, except with one of the
    configured statuses by which a server reports that it did not run the request.
    """
    if status in rejection_statuses:
        return AttemptOutcome.REJECTED
    return AttemptOutcome.SUCCEEDED


def run_outcome(last_attempt: AttemptOutcome, may_have_run: bool) -> Outcome:
    """Return the outcome of a run after its last attempt.

    It is the outcome of the last attempt. However, if that attempt certainly did not run but an earlier one may have,
    it is the outcome of a lost connection: the client must not conclude that the request had no effect.

    Args:
        last_attempt: How the last attempt ended.
        may_have_run: Whether an attempt before it may have taken effect.

    """
    if last_attempt.never_ran and may_have_run:
        return Outcome.RESET
    return RUN_OUTCOMES[last_attempt]
