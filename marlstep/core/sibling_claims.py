"""Claims of keyed work at the sibling processes, which must grant them before this process may run the work."""

from __future__ import annotations

import enum
from datetime import datetime

from marlstep.admission.settings import Effect
from marlstep.core.arrivals import ControllerArrivals, effective_arrival_time
from marlstep.core.idempotency import KeyTable
from marlstep.core.interfaces import (
    ClaimResult,
    Request,
    Response,
    ResponseStatus,
    SiblingProcesses,
    Stage,
)
from marlstep.core.key_record import KeyRecord
from marlstep.core.responses import ResponseDelivery
from marlstep.core.work_identity import IdempotencyKey, WorkLabel
from marlstep.timer_queue import TimerQueue


class ClaimDecision(enum.Enum):
    """What to do with a request whose claim has been decided."""

    ENQUEUE = "enqueue"
    FAIL = "fail"


def decide_claim(result: ClaimResult, prior: KeyRecord | None, effect: Effect, digest: str) -> ClaimDecision:
    """Decide what to do with a request, given the result of its claim.

    Rule: work runs only if its claim was granted; otherwise an earlier attempt may have run in a sibling process, and
    the request fails. It is not rejected, as a client may send rejected work to another node. Exception: work that is
    known by now is not run again by a repeat but gives it its result, if the repeat is permitted and has its digest.

    Args:
        result: the reply of the sibling processes.
        prior: the record of the work at the time of the reply; None if the work is unknown.
        effect: the effect of the request's class, which says whether repeats are allowed.
        digest: the digest of the request's work; empty if unknown.
    """
    if prior is not None:
        may_repeat = effect is not Effect.AT_MOST_ONCE and prior.is_same_work(digest)
        return ClaimDecision.ENQUEUE if may_repeat else ClaimDecision.FAIL
    return ClaimDecision.ENQUEUE if result is ClaimResult.GRANTED else ClaimDecision.FAIL


class SiblingClaims:
    """Claims keyed work at the sibling processes, and applies their replies.

    Attributes:
        siblings: the sibling processes; None while there are none.
    """

    def __init__(
        self,
        timeline: TimerQueue,
        keys: KeyTable,
        arrivals: ControllerArrivals,
        responses: ResponseDelivery,
    ) -> None:
        """Initialize with the collaborators that the parts of the core share, and no siblings."""
        self._timeline, self._keys = timeline, keys
        self._arrivals, self._responses = arrivals, responses
        self.siblings: SiblingProcesses | None = None

    def claim(self, request: Request, now: datetime) -> bool:
        """Claim the work of a request. Returns False if no sibling has to be asked and the request can be queued."""
        siblings, key = self.siblings, request.idempotency_key
        if siblings is None or key is None:
            return False
        request.stage = Stage.CLAIMING

        def on_decided(result: ClaimResult) -> None:
            # The claim may be decided before `claim` returns, but the frontend must get the handle before a response.
            self._timeline.soon(lambda: self._on_claim_decided(request, key, result))

        label = WorkLabel(request.id, request.inbound.digest, key.scope).encode()
        return siblings.claim(key.request_class, key.name, label, now, on_decided)

    def _on_claim_decided(self, request: Request, key: IdempotencyKey, result: ClaimResult) -> None:
        granted = result is ClaimResult.GRANTED
        if granted:
            # The sibling has recorded this request under the key, and may have reported that entry back.
            self._keys.drop_remote(key, request.id)
        inbound = request.inbound
        arrived_at = effective_arrival_time(self._timeline.now(), inbound.arrived_at)
        prior = self._keys.find(key, arrived_at)
        if request.stage is not Stage.CLAIMING:
            if granted and prior is None:
                self._return_grant(request, key, arrived_at)
            return
        match decide_claim(result, prior, request.class_settings.effect, inbound.digest):
            case ClaimDecision.ENQUEUE:
                self._arrivals.enqueue(request, prior)
            case ClaimDecision.FAIL:
                self._responses.respond(request, Response(ResponseStatus.FAILED))

    def _return_grant(self, request: Request, key: IdempotencyKey, arrived_at: datetime) -> None:
        """Notify the siblings that the granted work never ran, as its request has finished meanwhile.

        Recording the key and dropping it again reports the drop to the siblings through `KeyTable.on_changed`.
        """
        self._keys.record(key, request.id, arrived_at, request.inbound.digest)
        self._keys.drop(key, request.id, even_if_retained=False)
