"""Pure rules that map outcomes to the status of the final response. `responses` sends it.

A client may send a rejected request to another node, but not a failed or expired one that has an effect: REJECTED
promises that the request did not run, and that no earlier attempt of the same work is known or suspected to have run on
this node.
"""

from __future__ import annotations

from marlstep.admission.events import Outcome
from marlstep.core.interfaces import Request, ResponseStatus, Stage
from marlstep.core.key_record import KeyRecord

# Stages in which a request stands behind another attempt that runs or has run, or that a sibling may have run.
WAITS_FOR_OTHER_ATTEMPT = frozenset({Stage.CLAIMING, Stage.ATTACHED})


def work_may_have_run(request: Request, record: KeyRecord | None, original: Request | None) -> bool:
    """Decide whether the work of a request has run or may have run, in this attempt or in another one on this node.

    Rule: it may have if a run of this request may have begun, or if the request waits for another attempt. A request
    that the controller has not decided on yet may repeat known work as well: then the original request decides, and
    one that is not in flight in this process may have run.

    Args:
        request: the request.
        record: the record of the work under the request's key; None if the request has no key or its work is unknown.
        original: the original request of the work, which may be `request`; None if it is not in flight here.
    """
    if request.may_have_run or request.stage in WAITS_FOR_OTHER_ATTEMPT:
        return True
    return record is not None and (original is None or original.may_have_run)


def status_after_run(outcome: Outcome, *, known_to_have_run: bool) -> ResponseStatus:
    """Return the status for a request whose run has ended.

    DONE for a result, REJECTED if the outcome proves that the request never ran, FAILED otherwise. A request that is
    known to have run is never rejected: a later attempt to resume it may report an outcome such as NOT_STARTED.
    """
    if outcome is Outcome.OK:
        return ResponseStatus.DONE
    never_ran = outcome.never_ran and not known_to_have_run
    return ResponseStatus.REJECTED if never_ran else ResponseStatus.FAILED


def status_without_outcome(*, may_have_run: bool) -> ResponseStatus:
    """Return the status for a response that is due before the outcome is known.

    EXPIRED if a run has begun or may have begun, REJECTED if none has.
    """
    return ResponseStatus.EXPIRED if may_have_run else ResponseStatus.REJECTED


def may_reject(*, may_have_run: bool, has_effect: bool) -> bool:
    """Decide whether the controller's rejection may be sent as REJECTED.

    It may not for work that has an effect and may have run, as the client could run it again on another node.
    """
    return not (may_have_run and has_effect)


def status_of_failure(*, call_failed: bool) -> ResponseStatus:
    """Return the status for a request that the controller fails: FAILED after a failed call, else EXPIRED."""
    return ResponseStatus.FAILED if call_failed else ResponseStatus.EXPIRED


def status_of_repeat(outcome: Outcome) -> ResponseStatus:
    """Return the status for a repeat whose original request ended with this outcome.

    DONE for a result, FAILED otherwise, as the work may have run.
    """
    return ResponseStatus.DONE if outcome is Outcome.OK else ResponseStatus.FAILED
