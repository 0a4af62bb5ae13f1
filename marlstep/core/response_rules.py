"""Which final response an outcome gives. The rules are pure; `responses` delivers what they decide.

A client may send a rejected request elsewhere, and must not do so with a failed or expired one that has an effect:
REJECTED is a promise that this attempt did not run. It says nothing of earlier attempts of the same work: see the
exception in `sibling_claims.decide_claim`.
"""

from __future__ import annotations

from marlstep.admission.events import Outcome
from marlstep.core.interfaces import ResponseStatus


def status_after_run(outcome: Outcome, *, known_to_have_run: bool) -> ResponseStatus:
    """Return the status of the response to a request whose run has ended.

    DONE for a result. REJECTED where the outcome proves that nothing ran; a run that was seen to have begun is no
    such case, whatever the outcome of a later attempt to resume it says. FAILED otherwise.
    """
    if outcome is Outcome.OK:
        return ResponseStatus.DONE
    never_ran = outcome.never_ran and not known_to_have_run
    return ResponseStatus.REJECTED if never_ran else ResponseStatus.FAILED


def status_without_outcome(*, may_have_run: bool) -> ResponseStatus:
    """Return the status where the response is due before any outcome is known.

    EXPIRED if a run has begun or may have, REJECTED if none has.
    """
    return ResponseStatus.EXPIRED if may_have_run else ResponseStatus.REJECTED


def may_reject(*, may_have_run: bool, has_effect: bool) -> bool:
    """Decide whether the controller's rejection may be sent as such.

    Not for work with an effect that may have run: another node would run it again.
    """
    return not (may_have_run and has_effect)


def status_of_failure(*, call_failed: bool) -> ResponseStatus:
    """Return the status where the controller fails a request: FAILED after a failed call, else EXPIRED."""
    return ResponseStatus.FAILED if call_failed else ResponseStatus.EXPIRED


def status_of_repeat(outcome: Outcome) -> ResponseStatus:
    """Return the status of a repeat when the request that it repeats has ended so.

    DONE with the shared result, FAILED otherwise: the work may have run.
    """
    return ResponseStatus.DONE if outcome is Outcome.OK else ResponseStatus.FAILED
