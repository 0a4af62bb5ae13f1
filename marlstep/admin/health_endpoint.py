"""The health endpoint: is this process ready, take the node out of service, put it back. Its address is `mgmt`.

GET  /admin/health     200 once requests can be run here, else 503
POST /admin/quiesce    every health check fails from now on; requests that still come are served
POST /admin/resume     back to service; 409 after SIGTERM
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from marlstep.admin.http import HttpError, HttpRequest, HttpResponse, HttpService, require_method
from marlstep.core.engine import Core
from marlstep.timer_queue import TimerQueue
from marlstep.units import SECOND

log = logging.getLogger(__name__)

REQUEST_TIMEOUT = 1 * SECOND  # for a complete request


class HealthEndpoint(HttpService):
    """Shows the serving state of the node, and lets the platform change it."""

    def __init__(
        self,
        core: Core,
        timeline: TimerQueue,
        on_serving_state_changed: Callable[[], None],
        max_connections: int,
    ) -> None:
        """Call `on_serving_state_changed` after each quiesce and resume that was carried out."""
        super().__init__(core, timeline, max_connections, REQUEST_TIMEOUT)
        self._on_serving_state_changed = on_serving_state_changed

    def serve(self, request: HttpRequest) -> HttpResponse:
        """Carry out a request. Raises HttpError."""
        state = self.core.serving_state
        match request.path:
            case "/admin/health":
                require_method(request, "GET")
                return HttpResponse(200 if state.can_serve else 503, self._state_json())
            case "/admin/quiesce":
                require_method(request, "POST")
                return self._change("quiesce", state.quiesce)
            case "/admin/resume":
                require_method(request, "POST")
                return self._change("resume", state.resume)
        raise HttpError(404, "no such call")

    def _change(self, name: str, change: Callable[[], bool]) -> HttpResponse:
        state = self.core.serving_state
        before = state.phase
        if not change():
            log.warning("%s rejected: reason=shutting_down", name)
            raise HttpError(409, "the node leaves")
        log.info("%s: state=%s previous_state=%s", name, state.phase.value, before.value)
        self._on_serving_state_changed()
        return HttpResponse(200, self._state_json())

    def _state_json(self) -> dict[str, object]:
        core = self.core
        return {
            "state": core.serving_state.phase.value,
            "in_hand": core.in_flight,
            "unanswered": core.unanswered,
        }
