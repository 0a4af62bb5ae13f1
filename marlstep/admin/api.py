"""The administration API: JSON over HTTP on a loopback address, behind a bearer token. Off by default.

GET  /v1/health              is it well, does it drain, how much is in hand
GET  /v1/counters            answers by verdict, runs and calls since the start
GET  /v1/tenants             each with its share, allowance and counters
PUT  /v1/tenants/NAME        {"allowance_per_s": 25.0}
POST /v1/drain               the notice to leave
GET  /v1/metrics             all figures, in the text format of Prometheus
GET  /v1/parts               the optional parts of this node, each with its status
GET  /v1/fleet               this node's place in its fleet; /v1/fleet/leases, /v1/fleet/log
GET  /v1/fleet/rules         the documents, as this node has them; /v1/fleet/rules/NAME with its versions
POST /v1/fleet/rules/part    a piece of a new version; put, withdraw, fix and unfix likewise
GET  /v1/fleet/asked         what became of those
"""

from __future__ import annotations

import hmac
import json
import logging
import math
from collections.abc import Callable, Iterable
from urllib.parse import unquote

from marlstep.admin.http import Call, Problem, Surface
from marlstep.components.base import Component
from marlstep.core.engine import Core
from marlstep.timer_queue import TimerQueue
from marlstep.units import SECOND

log = logging.getLogger(__name__)

CONNECTIONS = 16
TIMEOUT = 10 * SECOND
MOST_PER_S = 1e6  # an allowance


class Admin(Surface):
    def __init__(
        self,
        core: Core,
        timeline: TimerQueue,
        token: str,
        drain: Callable[[], None],
        parts: Callable[[], Iterable[Component]] = tuple,
    ) -> None:
        super().__init__(core, timeline, CONNECTIONS, TIMEOUT)
        self._parts = parts
        self.token = token.encode()
        self._drain = drain

    def serve(self, call: Call) -> tuple[int, object]:
        if not hmac.compare_digest(call.token, b"Bearer " + self.token):
            raise Problem(401, "a bearer token is needed", WWW_Authenticate="Bearer")
        parts = [unquote(part) for part in call.path.split("/")[1:]]
        match call.method, parts:
            case "GET", ["v1", "health"]:
                return 200, {
                    "healthy": self.core.healthy,
                    "draining": self.core.draining,
                    "unanswered": self.core.unanswered,
                    "in_hand": self.core.in_flight,
                }
            case "GET", ["v1", "counters"]:
                return 200, dict(sorted(self.core.counts.items()))
            case "GET", ["v1", "tenants"]:
                return 200, [self._tenant(name) for name in self.core.tenants]
            case "GET", ["v1", "tenants", name]:
                return 200, self._tenant(name)
            case "PUT", ["v1", "tenants", name]:
                self._tenant(name)
                self.core.set_quota(name, self._allowance(call.body))
                return 200, self._tenant(name)
            case "POST", ["v1", "drain"]:
                log.warning("drain asked for by the administration")
                self._drain()
                return 202, {"draining": True}
            case "GET", ["v1", "parts"]:
                return 200, {part.name: part.status() for part in self._parts()}
            case "GET", ["v1", "metrics"]:
                return 200, self._metrics()
            case "GET", ["v1", *rest] if (told := self._of_parts("/".join(rest))) is not None:
                return 200, told
            case "POST", ["v1", "fleet", *rest] if (told := self._order(rest, call.body)) is not None:
                return 202, told
            case _, ["v1", "health" | "counters" | "tenants" | "drain"] | ["v1", "tenants", _]:
                raise Problem(405, f"{call.method} is not for {call.path[:64]}")
        raise Problem(404, "no such thing")

    def _of_parts(self, name: str) -> dict[str, object] | None:
        return next((told for part in self._parts() if (told := part.read_resource(name)) is not None), None)

    def _order(self, rest: list[str], body: bytes) -> dict[str, object] | None:
        try:
            told = json.loads(body or b"{}")
            if not isinstance(told, dict):
                raise ValueError("the body must be an object")
            name = "/".join(["fleet", *rest])
            return next(
                (one for part in self._parts() if (one := part.execute_order(name, told)) is not None), None
            )
        except (ValueError, KeyError, TypeError) as fault:
            raise Problem(400, f"no order: {fault}") from fault

    def _metrics(self) -> bytes:
        from marlstep.admin.metrics import written  # its library is loaded with the first call

        figures = {f"requests_{name}_total": float(count) for name, count in self.core.counts.items()}
        figures |= {"in_hand": float(self.core.in_flight), "unanswered": float(self.core.unanswered)}
        for part in self._parts():
            figures |= part.metrics()
        return written(figures)

    def _tenant(self, name: str) -> dict[str, object]:
        tenant = self.core.tenants.get(name)
        if tenant is None:
            raise Problem(404, f"no tenant {name[:64]}")
        counts = self.core.tenant_counts[name]
        return {
            "name": name,
            "share": tenant.portion,
            "allowance_per_s": tenant.quota_per_s,
            "counters": dict(sorted(counts.items())),
        }

    @staticmethod
    def _allowance(body: bytes) -> float:
        try:
            raw = json.loads(body)
        except ValueError as fault:
            raise Problem(400, f"the body is not JSON: {fault}") from fault
        if not isinstance(raw, dict) or set(raw) != {"allowance_per_s"}:
            raise Problem(400, "the body must hold allowance_per_s and nothing else")
        value = raw["allowance_per_s"]
        good = isinstance(value, int | float) and not isinstance(value, bool)
        if not good or not math.isfinite(value) or not 0 <= value <= MOST_PER_S:
            raise Problem(400, f"allowance_per_s must be a number from 0 to {MOST_PER_S:g}")
        return float(value)
