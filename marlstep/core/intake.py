"""The intake of the core, which checks new requests. The controller later makes its own admission decision."""

from __future__ import annotations

import logging
from collections.abc import Callable

from marlstep.admission.settings import ClassSettings
from marlstep.core.arrivals import ControllerArrivals, effective_arrival_time
from marlstep.core.counters import ACCEPTED_COUNT, NO_CONFIG_COUNT, NO_KEY_ROOM_COUNT, RequestCounters
from marlstep.core.idempotency import KeyTable
from marlstep.core.intake_checks import check_id_free, check_repeat, check_served, key_of
from marlstep.core.interfaces import Backend, Frontend, InboundRequest, Request, ResponseHandle
from marlstep.core.key_memory import KeyMemory
from marlstep.core.request_registry import RequestRegistry
from marlstep.core.responses import ResponseDelivery
from marlstep.core.served_settings import ServedSettings
from marlstep.core.sibling_claims import SiblingClaims
from marlstep.core.work_identity import IdempotencyKey
from marlstep.timer_queue import TimerQueue
from marlstep.units import EPOCH, SECOND, span

log = logging.getLogger(__name__)

KEY_ROOM_LOG_INTERVAL = 1 * SECOND  # between two log lines about missing memory for keys
ID_KEY_SHARE_DIVISOR = 2  # ids are kept as keys in up to this part (1/n) of the memory for keys


class RequestIntake:
    """Accepts or rejects requests from frontends. The controller then decides separately whether to queue them.

    Attributes:
        accepts_work: returns whether the node has a cluster configuration; None on nodes that need none.
        config_versions: the versions of the cluster documents in force on this node, in the text form that requests
            record.
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
        key_memory: KeyMemory,
    ) -> None:
        """Initialize with the collaborators that the parts of the core share."""
        self._timeline, self._served, self._requests, self._keys = timeline, served, requests, keys
        self._counters, self._responses = counters, responses
        self._arrivals, self._claims, self._key_memory = arrivals, claims, key_memory
        self.accepts_work: Callable[[], bool] | None = None
        self.config_versions = ""
        self._key_room_logged_at = EPOCH

    def submit(
        self, frontend: Frontend, response_handle: ResponseHandle, backend: Backend, inbound: InboundRequest
    ) -> int:
        """Accept a request; see `Core.submit`."""
        now = self._timeline.now()
        class_settings = check_served(inbound, self._served, now)
        check_id_free(inbound, inbound.id in self._requests)
        key = self._key_of(inbound, class_settings)
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
            # Reject in a later iteration of the event loop, as the frontend doesn't have the handle yet.
            self._timeline.soon(lambda: self._reject_without_config(request))
            return request.handle
        is_new_work = bool(inbound.idempotency_key) and key is not None and prior is None
        if is_new_work and not self._key_memory.has_room_for_key(len(self._keys)):
            self._timeline.soon(lambda: self._reject_without_key_room(request))
            return request.handle
        if not (is_new_work and self._claims.claim(request, now)):
            self._arrivals.enqueue(request, prior)
        return request.handle

    def _key_of(self, inbound: InboundRequest, class_settings: ClassSettings) -> IdempotencyKey | None:
        """Return the key of a request. An id does without one if that left too little memory for clients' keys."""
        key = key_of(inbound, class_settings)
        if key is None or inbound.idempotency_key:
            return key
        return key if self._key_memory.has_room_for_key(ID_KEY_SHARE_DIVISOR * len(self._keys)) else None

    def _reject_without_key_room(self, request: Request) -> None:
        """Reject new work whose key would not fit into memory. The controller never sees this request."""
        if not request.is_settled:
            self._log_missing_key_room()
            self._counters.count(request, NO_KEY_ROOM_COUNT)
            self._responses.respond_without_outcome(request)

    def _log_missing_key_room(self) -> None:
        now = self._timeline.now()
        if now - self._key_room_logged_at >= KEY_ROOM_LOG_INTERVAL:
            self._key_room_logged_at = now
            log.warning("new work rejected, no memory for its key: keys=%d", len(self._keys))

    def _reject_without_config(self, request: Request) -> None:
        """Reject a request because the node has no configuration, unless its work may have run here before.

        The controller never sees this request.
        """
        if not request.is_settled:
            self._counters.count(request, NO_CONFIG_COUNT)
            self._responses.respond_without_outcome(request)
