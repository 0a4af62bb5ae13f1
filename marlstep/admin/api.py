"""The administration API: JSON over HTTP on a loopback address, behind a bearer token. Off by default.

GET  /v1/health              is it well, does it drain, how much is in hand
GET  /v1/counters            answers by verdict, runs and calls since the start
GET  /v1/tenants             each with its share, allowance and counters
PUT  /v1/tenants/NAME        {"allowance_per_s": 25.0}
POST /v1/drain               the notice to leave
"""

from __future__ import annotations

import hmac
import json
import logging
import math
from collections.abc import Callable
from urllib.parse import unquote

import httptools

from marlstep.core.engine import Core
from marlstep.core.model import Answer
from marlstep.fronts.base import Connection, Listener
from marlstep.timeline import Timeline
from marlstep.units import SECOND

log = logging.getLogger(__name__)

RING_SIZE = 8 * 1024
HEAD_LIMIT = 8 * 1024
BODY_LIMIT = 4 * 1024
CONNECTIONS = 16
TIMEOUT = 10 * SECOND
MOST_PER_S = 1e6  # an allowance
REASONS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    413: "Content Too Large",
}


class Problem(Exception):
    """What the client is told instead of a result."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class AdminConnection(Connection):
    """One request, one response, then the close."""

    def __init__(self, front: Admin) -> None:
        super().__init__(front, RING_SIZE)
        self.front = front
        self._parser = httptools.HttpRequestParser(self)
        self._read = 0
        self._path, self._token, self._body = b"", b"", b""
        self._answered = False

    def received(self) -> None:
        data = self.inbox.take(self.inbox.used)
        self._read += len(data)
        try:
            if data and not self._answered:
                self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._respond(400, {"error": "no upgrade here"})
        except httptools.HttpParserError as fault:
            self._respond(400, {"error": f"malformed request: {fault}"})
        if self._read > HEAD_LIMIT + BODY_LIMIT:
            self._respond(413, {"error": "the request is too large"})
        elif self.at_end:
            self.finish()

    # What httptools calls.

    def on_url(self, url: bytes) -> None:
        self._path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"authorization":
            self._token = value

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        try:
            if not hmac.compare_digest(self._token, b"Bearer " + self.front.token):
                raise Problem(401, "a bearer token is needed")
            method = self._parser.get_method().decode("latin-1")
            status, result = self.front.serve(method, self._path.decode("latin-1"), self._body)
        except Problem as fault:
            status, result = fault.status, {"error": str(fault)}
        self._respond(status, result)

    def _respond(self, status: int, result: object) -> None:
        if self._answered:
            return
        self._answered = True
        body = json.dumps(result).encode() + b"\n"
        challenge = "WWW-Authenticate: Bearer\r\n" if status == 401 else ""
        head = (
            f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: application/json\r\n{challenge}"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.send(head.encode() + body)
        self.finish()

    # What the front's base asks for.

    def answer(self, number: int, answer: Answer) -> None:
        """No request of the core comes from here."""

    def gone(self) -> None:
        """Nothing is open here for long."""

    def overdue(self) -> None:
        self.finish()

    def leave(self) -> None:
        self.finish()


class Admin(Listener):
    def __init__(self, core: Core, timeline: Timeline, token: str, drain: Callable[[], None]) -> None:
        super().__init__(core, timeline, CONNECTIONS, TIMEOUT)
        self.token = token.encode()
        self._drain = drain

    def make(self) -> AdminConnection:
        return AdminConnection(self)

    def serve(self, method: str, path: str, body: bytes) -> tuple[int, object]:
        parts = [unquote(part) for part in path.split("?", 1)[0].split("/")[1:]]
        match method, parts:
            case "GET", ["v1", "health"]:
                return 200, {
                    "healthy": self.core.healthy,
                    "draining": self.core.draining,
                    "unanswered": self.core.unanswered,
                    "in_hand": self.core.in_hand,
                }
            case "GET", ["v1", "counters"]:
                return 200, dict(sorted(self.core.counts.items()))
            case "GET", ["v1", "tenants"]:
                return 200, [self._tenant(name) for name in self.core.tenants]
            case "GET", ["v1", "tenants", name]:
                return 200, self._tenant(name)
            case "PUT", ["v1", "tenants", name]:
                self._tenant(name)
                self.core.allow(name, self._allowance(body))
                return 200, self._tenant(name)
            case "POST", ["v1", "drain"]:
                log.warning("drain asked for by the administration")
                self._drain()
                return 202, {"draining": True}
            case _, ["v1", "health" | "counters" | "tenants" | "drain"] | ["v1", "tenants", _]:
                raise Problem(405, f"{method} is not for {path[:64]}")
        raise Problem(404, "no such thing")

    def _tenant(self, name: str) -> dict[str, object]:
        tenant = self.core.tenants.get(name)
        if tenant is None:
            raise Problem(404, f"no tenant {name[:64]}")
        counts = self.core.tenant_counts[name]
        return {
            "name": name,
            "share": tenant.portion,
            "allowance_per_s": tenant.allowance_per_s,
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
