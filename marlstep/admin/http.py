"""HTTP/1.1 for operators, one call to a connection: what the administration API and the door have in common.

A caller that holds its connection without a whole call is given up after a second or so, or as soon as such callers
fill a quarter of the table, the oldest first. So a good call waits for none of them.
"""

from __future__ import annotations

import json
import logging
from dataclasses import dataclass
from datetime import timedelta

import httptools

from marlstep.core.engine import Core
from marlstep.core.interfaces import Response
from marlstep.frontends.base import Connection, Listener
from marlstep.timer_queue import TimerQueue

log = logging.getLogger(__name__)

RING_SIZE = 2 * 1024  # the parser keeps its place from one read to the next
HEAD_LIMIT = 8 * 1024
BODY_LIMIT = 4 * 1024
REASONS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class Problem(Exception):
    """What the client is told instead of a result."""

    def __init__(self, status: int, why: str, **headers: str) -> None:
        super().__init__(why)
        self.status, self.headers = status, headers


@dataclass(slots=True, frozen=True)
class Call:
    """One whole call, as it was read."""

    method: str
    path: str  # without the query
    token: bytes  # what stands in Authorization
    body: bytes


class HttpConnection(Connection):
    """One call, one response, then the close."""

    def __init__(self, surface: Surface) -> None:
        super().__init__(surface, RING_SIZE)
        self._surface = surface
        self._parser = httptools.HttpRequestParser(self)
        self._head = 0  # bytes read before the head was whole
        self._in_body = False
        self._url, self._token, self._body = b"", b"", b""
        self._answered = False

    def data_received(self) -> None:
        data = self.inbox.take(self.inbox.used)
        if not self._in_body:
            self._head += len(data)
            if self._head > HEAD_LIMIT:
                self._refuse(Problem(431, f"the head is over {HEAD_LIMIT} bytes"))
        try:
            if data and not self._answered:
                self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(Problem(400, "no upgrade here"))
        except httptools.HttpParserError as fault:
            self._refuse(Problem(400, f"malformed request: {fault}"))
        if self.at_eof:
            self.finish()

    # What httptools calls.

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"authorization":
            self._token = value

    def on_headers_complete(self) -> None:
        self._in_body = True

    def on_body(self, body: bytes) -> None:
        self._body += body
        if len(self._body) > BODY_LIMIT:
            self._refuse(Problem(413, f"the body is over {BODY_LIMIT} bytes"))

    def on_message_complete(self) -> None:
        if self._answered:
            return  # refused already, or a second call behind the first: one to a connection
        self._surface.connections.mark_proven(self)
        method = self._parser.get_method().decode("latin-1")
        path = self._url.decode("latin-1").split("?", 1)[0]
        try:
            status, result = self._surface.serve(Call(method, path, self._token, self._body))
        except Problem as fault:
            self._refuse(fault)
        except Exception:
            log.exception("%s %s failed", method, path[:64])
            self._refuse(Problem(500, "a fault of the node's own; it is in the log"))
        else:
            self._respond(status, result, {})

    def _refuse(self, fault: Problem) -> None:
        self._respond(fault.status, {"error": str(fault)}, fault.headers)

    def _respond(self, status: int, result: object, headers: dict[str, str]) -> None:
        if self._answered:
            return
        self._answered = True
        text = isinstance(result, bytes)
        body = result if isinstance(result, bytes) else json.dumps(result).encode() + b"\n"
        kind = "text/plain; version=0.0.4; charset=utf-8" if text else "application/json"
        lines = [f"HTTP/1.1 {status} {REASONS[status]}", f"Content-Type: {kind}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
        self.send("\r\n".join(lines).encode() + body)
        self.finish()

    # What the listener asks for.

    def send_response(self, number: int, response: Response) -> None:
        """No request of the core comes from here."""

    def cancel_requests(self) -> None:
        """Nothing is open here for long."""

    def timed_out(self) -> None:
        self._refuse(Problem(408, "no whole call came in time"))
        self.finish()

    def drain(self) -> None:
        self.finish()


class Surface(Listener):
    """One address for operators. Subclasses give `serve`."""

    def __init__(self, core: Core, timeline: TimerQueue, connections: int, patience: timedelta) -> None:
        super().__init__(core, timeline, connections, patience)

    def make(self) -> HttpConnection:
        return HttpConnection(self)

    def serve(self, call: Call) -> tuple[int, object]:
        """Do what the call asks for: a status and what is told, bytes as they are. May raise Problem."""
        raise NotImplementedError


def method_for(call: Call, *allowed: str) -> None:
    if call.method not in allowed:
        raise Problem(405, f"{call.method[:16]} is not for {call.path[:64]}", Allow=", ".join(allowed))
