"""The operators' door: is this process well, empty the node, back to work. Its address is `mgmt`.

GET  /admin/health     200 once requests can be run here, else 503
POST /admin/quiesce    every health check is bad from now on; what still comes is served
POST /admin/resume     back to work; 409 after the notice to leave
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from marlstep.admin.http import Call, Problem, Surface, method_for
from marlstep.core.engine import Core
from marlstep.timer_queue import TimerQueue
from marlstep.units import SECOND

log = logging.getLogger(__name__)

PATIENCE = 1 * SECOND  # for a whole call


class Door(Surface):
    def __init__(
        self, core: Core, timeline: TimerQueue, changed: Callable[[], None], connections: int
    ) -> None:
        super().__init__(core, timeline, connections, PATIENCE)
        self._changed = changed

    def serve(self, call: Call) -> tuple[int, object]:
        match call.path:
            case "/admin/health":
                method_for(call, "GET")
                return 200 if self.core.serving_state.can_serve else 503, self._state()
            case "/admin/quiesce":
                method_for(call, "POST")
                return self._ask("quiesce", self.core.serving_state.quiesce)
            case "/admin/resume":
                method_for(call, "POST")
                return self._ask("resume", self.core.serving_state.resume)
        raise Problem(404, "no such call")

    def _ask(self, what: str, change: Callable[[], bool]) -> tuple[int, object]:
        before = self.core.serving_state.phase
        if not change():
            log.warning("%s asked for at the door: too late, the node leaves", what)
            raise Problem(409, "the node leaves")
        log.info(
            "%s asked for at the door: %s, was %s", what, self.core.serving_state.phase.value, before.value
        )
        self._changed()
        return 200, self._state()

    def _state(self) -> dict[str, object]:
        core = self.core
        return {
            "state": core.serving_state.phase.value,
            "in_hand": core.in_flight,
            "unanswered": core.unanswered,
        }
