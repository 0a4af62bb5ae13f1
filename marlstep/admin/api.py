"""The administration API: JSON over HTTP on a loopback address, authorized by a bearer token. Off by default.

GET  /v1/health              whether health checks pass, whether the node is draining, number of requests in flight
GET  /v1/counters            responses by status, runs and calls since the start of the process
GET  /v1/tenants             all tenants, each with its share, quota and counters
GET  /v1/tenants/NAME        one tenant
PUT  /v1/tenants/NAME        set the quota of a tenant: {"allowance_per_s": 25.0}
POST /v1/drain               begin the graceful shutdown, as on SIGTERM
GET  /v1/metrics             all metrics, in the text format of Prometheus
GET  /v1/parts               the optional components of this node, each with its status
GET  /v1/fleet/asked/PROCESS/NUMBER  what became of an order: its process and number are in the response to it
GET  /v1/NAME                resources of components, such as /v1/fleet, /v1/fleet/leases, /v1/fleet/rules/NAME
POST /v1/fleet/NAME          orders to components, such as /v1/fleet/rules/put, with arguments as a JSON object
"""

from __future__ import annotations

import hmac
import json
import logging
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from urllib.parse import unquote

from marlstep.admin.http import HttpError, HttpRequest, HttpResponse, HttpService
from marlstep.components.base import Component
from marlstep.core.engine import Core
from marlstep.timer_queue import TimerQueue
from marlstep.units import SECOND

log = logging.getLogger(__name__)

API_VERSION = "v1"
MAX_CONNECTIONS = 16
REQUEST_TIMEOUT = 10 * SECOND  # for a complete request
MAX_QUOTA_PER_S = 1e6
QUOTA_KEY = "allowance_per_s"
MAX_SHOWN_CHARACTERS = 64  # of a name or path from a client, in an error
VARIABLE = "*"  # in the path of a route: matches any segment, which is passed to the handler


class AdminApi(HttpService):
    """Dispatches requests to the handlers of ROUTES, and all others to the components."""

    def __init__(
        self,
        core: Core,
        timeline: TimerQueue,
        token: str,
        drain: Callable[[], None],
        components: Callable[[], Iterable[Component]] = tuple,
    ) -> None:
        """Initialize the API without a listening socket.

        Args:
            core: the core of the node.
            timeline: the timers of the connections.
            token: bearer token that every request must carry.
            drain: begins the graceful shutdown of the node.
            components: returns the optional components of the node.
        """
        super().__init__(core, timeline, MAX_CONNECTIONS, REQUEST_TIMEOUT)
        self._components = components
        self._token = token.encode()
        self._drain = drain

    def serve(self, request: HttpRequest) -> HttpResponse:
        """Handle a request. Raises HttpError if it lacks the token, is invalid or has an unknown path or method."""
        if not hmac.compare_digest(request.authorization, b"Bearer " + self._token):
            raise HttpError(401, "a bearer token is needed", WWW_Authenticate="Bearer")
        path = tuple(unquote(segment) for segment in request.path.split("/")[1:])
        for route in ROUTES:
            if route.method == request.method and route.matches(path):
                return route.handle(self, request, *route.variables(path))
        response = self._serve_component(request, path)
        if response is not None:
            return response
        if any(route.matches(path) for route in ROUTES if route.rejects_other_methods):
            raise HttpError(405, f"{request.method} is not for {request.path[:MAX_SHOWN_CHARACTERS]}")
        raise HttpError(404, "no such thing")

    def _serve_component(self, request: HttpRequest, path: tuple[str, ...]) -> HttpResponse | None:
        """Return the response of the first component that has the resource or order; None if no component has it."""
        match request.method, path:
            case "GET", (version, *name) if version == API_VERSION:
                resource = self._read_resource("/".join(name))
                return None if resource is None else HttpResponse(200, resource)
            case "POST", (version, "fleet", *name) if version == API_VERSION:
                result = self._execute_order("/".join(["fleet", *name]), request.body)
                return None if result is None else HttpResponse(202, result)
        return None

    def _read_resource(self, name: str) -> dict[str, object] | None:
        for component in self._components():
            resource = component.read_resource(name)
            if resource is not None:
                return resource
        return None

    def _execute_order(self, name: str, body: bytes) -> dict[str, object] | None:
        try:
            arguments = _parse_json_object(body or b"{}")
            for component in self._components():
                result = component.execute_order(name, arguments)
                if result is not None:
                    return result
        except (ValueError, KeyError, TypeError) as error:
            raise HttpError(400, f"no order: {error}") from error
        return None

    def get_health(self, _request: HttpRequest) -> HttpResponse:
        """Return whether health checks pass and how many requests are in flight."""
        core = self.core
        return HttpResponse(
            200,
            {
                "healthy": core.healthy,
                "draining": core.is_shutting_down,
                "unanswered": core.unanswered,
                "in_hand": core.in_flight,
            },
        )

    def get_counters(self, _request: HttpRequest) -> HttpResponse:
        """Return the counters since the start of the process."""
        return HttpResponse(200, dict(sorted(self.core.counts.items())))

    def get_tenants(self, _request: HttpRequest) -> HttpResponse:
        """Return all tenants."""
        return HttpResponse(200, [self._tenant_json(name) for name in self.core.tenants])

    def get_tenant(self, _request: HttpRequest, name: str) -> HttpResponse:
        """Return one tenant. Raises HttpError if it is unknown."""
        return HttpResponse(200, self._tenant_json(name))

    def put_tenant(self, request: HttpRequest, name: str) -> HttpResponse:
        """Change a tenant's quota. Raises HttpError if the tenant is unknown or the quota is invalid."""
        self._tenant_json(name)  # raises HttpError if the tenant is unknown
        self.core.set_quota(name, _read_quota_per_s(request.body))
        return HttpResponse(200, self._tenant_json(name))

    def post_drain(self, _request: HttpRequest) -> HttpResponse:
        """Begin the graceful shutdown."""
        log.warning("drain requested: source=admin_api")
        self._drain()
        return HttpResponse(202, {"draining": True})

    def get_components(self, _request: HttpRequest) -> HttpResponse:
        """Return the status of each component."""
        return HttpResponse(200, {component.name: component.status() for component in self._components()})

    def get_metrics(self, _request: HttpRequest) -> HttpResponse:
        """Return all metrics in the text format of Prometheus."""
        # Imported here so that prometheus_client is loaded only on use.
        from marlstep.admin.metrics import render_metrics

        values = {f"requests_{name}_total": float(count) for name, count in self.core.counts.items()}
        values["in_hand"] = float(self.core.in_flight)
        values["unanswered"] = float(self.core.unanswered)
        keys = self.core.idempotency_keys
        values["idempotency_keys"] = float(len(keys))
        values["kept_results_bytes"] = float(keys.results.kept_bytes)
        values["kept_results_dropped_total"] = float(keys.results.dropped)
        for component in self._components():
            values |= component.metrics()
        return HttpResponse(200, render_metrics(values))

    def _tenant_json(self, name: str) -> dict[str, object]:
        tenant = self.core.tenants.get(name)
        if tenant is None:
            raise HttpError(404, f"no tenant {name[:MAX_SHOWN_CHARACTERS]}")
        return {
            "name": name,
            "share": tenant.portion,
            QUOTA_KEY: tenant.quota_per_s,
            "counters": dict(sorted(self.core.tenant_counts[name].items())),
        }


@dataclass(slots=True, frozen=True)
class Route:
    """A handler for one HTTP method on one path.

    Attributes:
        method: the HTTP method.
        path: segments of the path; `*` matches any segment, which is passed to the handler.
        handle: handler, called with the API, the request and the variable segments.
        rejects_other_methods: whether another method on the path gets 405; if not, it is handled like an unknown path.
    """

    method: str
    path: tuple[str, ...]
    handle: Callable[..., HttpResponse]
    rejects_other_methods: bool = True

    def matches(self, path: tuple[str, ...]) -> bool:
        """Return whether the path matches that of the route."""
        if len(path) != len(self.path):
            return False
        return all(expected in (VARIABLE, segment) for expected, segment in zip(self.path, path, strict=True))

    def variables(self, path: tuple[str, ...]) -> list[str]:
        """Return the variable segments of a path that matches the route."""
        return [segment for expected, segment in zip(self.path, path, strict=True) if expected == VARIABLE]


ROUTES = (
    Route("GET", (API_VERSION, "health"), AdminApi.get_health),
    Route("GET", (API_VERSION, "counters"), AdminApi.get_counters),
    Route("GET", (API_VERSION, "tenants"), AdminApi.get_tenants),
    Route("GET", (API_VERSION, "tenants", VARIABLE), AdminApi.get_tenant),
    Route("PUT", (API_VERSION, "tenants", VARIABLE), AdminApi.put_tenant),
    Route("POST", (API_VERSION, "drain"), AdminApi.post_drain),
    Route("GET", (API_VERSION, "parts"), AdminApi.get_components, rejects_other_methods=False),
    Route("GET", (API_VERSION, "metrics"), AdminApi.get_metrics, rejects_other_methods=False),
)


def _parse_json_object(body: bytes) -> dict[str, object]:
    value = json.loads(body)
    if not isinstance(value, dict):
        raise HttpError(400, "no order: the body must be an object")
    return value


def _read_quota_per_s(body: bytes) -> float:
    try:
        raw = json.loads(body)
    except ValueError as error:
        raise HttpError(400, f"the body is not JSON: {error}") from error
    if not isinstance(raw, dict) or set(raw) != {QUOTA_KEY}:
        raise HttpError(400, f"the body must hold {QUOTA_KEY} and nothing else")
    value = raw[QUOTA_KEY]
    if not _is_quota(value):
        raise HttpError(400, f"{QUOTA_KEY} must be a number from 0 to {MAX_QUOTA_PER_S:g}")
    return float(value)


def _is_quota(value: object) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return math.isfinite(value) and 0 <= value <= MAX_QUOTA_PER_S
