"""The intake of the core: the way of a request from its frontend to the controller, which has an intake of its own."""

from __future__ import annotations

from collections.abc import Callable

from marlstep.core.arrivals import ControllerArrivals, effective_arrival_time
from marlstep.core.counters import ACCEPTED_COUNT, NO_CONFIG_COUNT, RequestCounters
from marlstep.core.idempotency import KeyTable
from marlstep.core.intake_checks import check_id_free, check_repeat, check_served, key_of
from marlstep.core.interfaces import Backend, Frontend, InboundRequest, Request, ResponseHandle
from marlstep.core.request_registry import RequestRegistry
from marlstep.core.responses import ResponseDelivery
from marlstep.core.served_settings import ServedSettings
from marlstep.core.sibling_claims import SiblingClaims
from marlstep.timer_queue import TimerQueue
from marlstep.units import span


class RequestIntake:
    """Accepts requests into the core or rejects them; whether the controller queues them is another decision.

    Attributes:
        accepts_work: whether there is a configuration to accept work under; None where there always is one.
        config_versions: of the documents that this node acts on, as requests record them.
    """

    def __init__(
        self,
        timeline: TimerQueue,
        served: ServedSettings,
        requests: RequestRegistry,
        keys: KeyTable,
        counters: RequestCounters,
        responses: ResponseDelivery,
        arrivals: ControllerArrivals,
        claims: SiblingClaims,
    ) -> None:
        """Work on these collaborators, which the core shares among its parts."""
        self._timeline, self._served, self._requests, self._keys = timeline, served, requests, keys
        self._counters, self._responses = counters, responses
        self._arrivals, self._claims = arrivals, claims
        self.accepts_work: Callable[[], bool] | None = None
        self.config_versions = ""

    def submit(
        self, frontend: Frontend, response_handle: ResponseHandle, backend: Backend, inbound: InboundRequest
    ) -> int:
        """Accept a request, as `Core.submit` says."""
        now = self._timeline.now()
        class_settings = check_served(inbound, self._served, now)
        check_id_free(inbound, inbound.id in self._requests)
        key = key_of(inbound, class_settings)
        prior = self._keys.find(key, effective_arrival_time(now, inbound.arrived_at)) if key else None
        check_repeat(inbound, class_settings, prior)
        request = Request(
            inbound,
            class_settings,
            frontend,
            response_handle,
            backend,
            # The deadline counts from the stated arrival time, so a client clock that runs ahead delays it by as
            # much. Idempotency keys don't trust that clock (see `effective_arrival_time`), and neither does the
            # controller, which responds at its own deadline. This deadline is only the fallback.
            max(now, inbound.arrived_at + span(class_settings.deadline_us)),
            config_versions=self.config_versions,
            idempotency_key=key,
        )
        self._requests.add(request)
        self._responses.track_response(request)
        self._counters.count(request, ACCEPTED_COUNT)
        if self.accepts_work is not None and not self.accepts_work():
            # In a turn of its own: the frontend doesn't have the handle yet.
            self._timeline.soon(lambda: self._reject_without_config(request))
            return request.handle
        is_new_work = key is not None and prior is None
        if not (is_new_work and self._claims.claim(request, now)):
            self._arrivals.enqueue(request, prior)
        return request.handle

    def _reject_without_config(self, request: Request) -> None:
        """Reject a request that there is no configuration for; the controller never hears of it."""
        if not request.is_settled:
            self._counters.count(request, NO_CONFIG_COUNT)
            self._responses.reject(request)
