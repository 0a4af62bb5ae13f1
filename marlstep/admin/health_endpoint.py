"""The health endpoint: reports readiness, takes the node out of service and returns it. Its address is `mgmt`.

GET  /admin/health     200 from the time when the process is ready until its drain begins, else 503
POST /admin/quiesce    make protocol health checks fail; arriving requests are still served; 409 after SIGTERM
POST /admin/resume     undo a quiesce; 409 after SIGTERM
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
    """Reports the serving state of the node and lets the platform change it."""

    def __init__(
        self,
        core: Core,
        timeline: TimerQueue,
        on_serving_state_changed: Callable[[], None],
        max_connections: int,
    ) -> None:
        """Initialize the endpoint without a listening socket.

        Args:
            core: the core of the node, which holds the serving state.
            timeline: the timers of the connections.
            on_serving_state_changed: called after each accepted quiesce or resume, also if it changed nothing.
            max_connections: limit of the connections at a time.
        """
        super().__init__(core, timeline, max_connections, REQUEST_TIMEOUT)
        self._on_serving_state_changed = on_serving_state_changed

    def serve(self, request: HttpRequest) -> HttpResponse:
        """Handle a request. Raises HttpError for an unknown path, a wrong method, or a change during a shutdown."""
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
