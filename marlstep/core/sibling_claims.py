"""Claims of keyed work at the node's other processes, before this one may run it."""

from __future__ import annotations

import enum
from datetime import datetime

from marlstep.admission.settings import Effect
from marlstep.core.arrivals import ControllerArrivals, effective_arrival_time
from marlstep.core.idempotency import IdempotencyKey, KeyRecord, KeyTable, encode_label
from marlstep.core.interfaces import (
    ClaimResult,
    Request,
    Response,
    ResponseStatus,
    SiblingProcesses,
    Stage,
)
from marlstep.core.responses import ResponseDelivery
from marlstep.timer_queue import TimerQueue


class ClaimDecision(enum.Enum):
    """What becomes of a request whose claim has been decided."""

    ENQUEUE = "enqueue"
    FAIL = "fail"
    REJECT = "reject"


def decide_claim(result: ClaimResult, prior: KeyRecord | None, effect: Effect, digest: str) -> ClaimDecision:
    """Decide what a claim's result means for its request.

    Work that is known by now is repeated, unless it runs at most once or had another body: then the request fails,
    as the work may have run. Unknown work runs where the claim was granted. Otherwise an earlier attempt may have run
    in another process, and the request is rejected here.

    That rejection is an exception to what `response_rules` says of REJECTED: it promises that this attempt did not
    run, and no more. It keeps the work from running twice on this node, whose key is decided on again when the
    other process's retry window is over. A client that took it as leave to run the work on another node would run it
    there although the earlier attempt may have run here.

    Args:
        result: what the other processes said.
        prior: the work as it is known after they said it; None where it is not.
        effect: whether requests of the class may run again.
        digest: of the request's body; empty where it is not known.
    """
    if prior is not None:
        may_repeat = effect is not Effect.AT_MOST_ONCE and prior.matches_body(digest)
        return ClaimDecision.ENQUEUE if may_repeat else ClaimDecision.FAIL
    return ClaimDecision.ENQUEUE if result is ClaimResult.GRANTED else ClaimDecision.REJECT


class SiblingClaims:
    """Asks the other processes, and carries out what their replies mean.

    Attributes:
        siblings: the other processes; None while there are none.
    """

    def __init__(
        self,
        timeline: TimerQueue,
        keys: KeyTable,
        arrivals: ControllerArrivals,
        responses: ResponseDelivery,
    ) -> None:
        """Work on these collaborators, which the core shares among its parts."""
        self._timeline, self._keys = timeline, keys
        self._arrivals, self._responses = arrivals, responses
        self.siblings: SiblingProcesses | None = None

    def claim(self, request: Request, now: datetime) -> bool:
        """Claim the work of a request. Returns False where nobody has to be asked, and the request may go on."""
        siblings, key = self.siblings, request.idempotency_key
        if siblings is None or key is None:
            return False
        request.stage = Stage.CLAIMING

        def on_decided(result: ClaimResult) -> None:
            # It may be decided before this returns, and no response may leave before the frontend has its handle.
            self._timeline.soon(lambda: self._on_claim_decided(request, key, result))

        label = encode_label(request.id, request.inbound.digest)
        return siblings.claim(*key, label, now, on_decided)

    def _on_claim_decided(self, request: Request, key: IdempotencyKey, result: ClaimResult) -> None:
        granted = result is ClaimResult.GRANTED
        if granted:
            # The other process has entered this very request, and may have reported that entry back.
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
            case ClaimDecision.REJECT:
                self._responses.reject(request)

    def _return_grant(self, request: Request, key: IdempotencyKey, arrived_at: datetime) -> None:
        """Let the other processes hear that the work of a request that is over by now never ran."""
        self._keys.record(key, request.id, arrived_at, request.inbound.digest)
        self._keys.drop(key, request.id, even_if_retained=False)
