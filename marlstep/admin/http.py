"""HTTP/1.1 for operators, one request to a connection: what the administration API and the health endpoint share.

A connection without a complete request is closed after a timeout, or as soon as such connections fill a quarter of
the table, the oldest first. So a complete request waits for none of them.
"""

from __future__ import annotations

import json
import logging
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

import httptools

from marlstep.core.engine import Core
from marlstep.core.interfaces import Response
from marlstep.errors import MarlstepError
from marlstep.frontends.base import Connection, Listener
from marlstep.timer_queue import TimerQueue

log = logging.getLogger(__name__)

RING_SIZE = 2 * 1024  # bytes; the parser keeps its place from one read to the next
MAX_HEAD_BYTES = 8 * 1024
MAX_BODY_BYTES = 4 * 1024
TEXT_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"  # of metrics
JSON_CONTENT_TYPE = "application/json"
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


class HttpError(MarlstepError):
    """An error response to one request."""

    def __init__(self, status: int, reason: str, **headers: str) -> None:
        """Respond with the status and the reason; `_` in the name of a header stands for `-`."""
        super().__init__(reason)
        self.status, self.headers = status, headers


@dataclass(slots=True, frozen=True)
class HttpRequest:
    """One complete request, as it was read."""

    method: str
    path: str  # without the query
    authorization: bytes  # value of that header; empty without one
    body: bytes


class HttpResponse(NamedTuple):
    """What a request is responded with: bytes as they are, anything else as JSON."""

    status: int
    body: object


class HttpConnection(Connection):
    """One request, one response, then the close."""

    def __init__(self, service: HttpService) -> None:
        """Read a request for the service."""
        super().__init__(service, RING_SIZE)
        self._service = service
        self._parser = httptools.HttpRequestParser(self)
        self._head_bytes = 0  # read before the head was complete
        self._in_body = False
        self._url, self._authorization, self._body = b"", b"", b""
        self._responded = False

    def data_received(self) -> None:
        """Read what has come; reject what is too long or malformed."""
        data = self.inbox.take(self.inbox.used)
        if not self._in_body:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES:
                self._reject(HttpError(431, f"the head is over {MAX_HEAD_BYTES} bytes"))
        try:
            if data and not self._responded:
                self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(HttpError(400, "no upgrade here"))
        except httptools.HttpParserError as error:
            self._reject(HttpError(400, f"malformed request: {error}"))
        if self.at_eof:
            self.finish()

    # What httptools calls.

    def on_url(self, url: bytes) -> None:
        """Take a piece of the request's target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note the header that holds the token."""
        if name.lower() == b"authorization":
            self._authorization = value

    def on_headers_complete(self) -> None:
        """Count no more bytes of the head."""
        self._in_body = True

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body; reject one that is too long."""
        self._body += body
        if len(self._body) > MAX_BODY_BYTES:
            self._reject(HttpError(413, f"the body is over {MAX_BODY_BYTES} bytes"))

    def on_message_complete(self) -> None:
        """Serve the request, unless it was rejected or another was served before it."""
        if self._responded:
            return  # rejected, or a second request behind the first: there is one to a connection
        self._service.connections.mark_proven(self)
        method = self._parser.get_method().decode("latin-1")
        path = self._url.decode("latin-1").split("?", 1)[0]
        try:
            response = self._service.serve(HttpRequest(method, path, self._authorization, self._body))
        except HttpError as error:
            self._reject(error)
        except Exception:
            log.exception("request failed: method=%s path=%s", method, path[:64])
            self._reject(HttpError(500, "a fault of the node's own; it is in the log"))
        else:
            self._respond(response, {})

    def _reject(self, error: HttpError) -> None:
        self._respond(HttpResponse(error.status, {"error": str(error)}), error.headers)

    def _respond(self, response: HttpResponse, headers: dict[str, str]) -> None:
        if self._responded:
            return
        self._responded = True
        self.send(_write_response(response, headers))
        self.finish()

    # What the listener asks for.

    def send_response(self, number: int, response: Response) -> None:
        """Do nothing: no request of the core comes from here."""

    def cancel_requests(self) -> None:
        """Do nothing: a response is sent as soon as its request is complete."""

    def timed_out(self) -> None:
        """Respond to a request that was not completed in time."""
        self._reject(HttpError(408, "no whole call came in time"))
        self.finish()

    def drain(self) -> None:
        """Close: the node shuts down."""
        self.finish()


class HttpService(Listener):
    """One address for operators. Subclasses give `serve`."""

    def __init__(
        self, core: Core, timeline: TimerQueue, max_connections: int, request_timeout: timedelta
    ) -> None:
        """Close connections that have not sent a complete request within the timeout."""
        super().__init__(core, timeline, max_connections, request_timeout)

    def make(self) -> HttpConnection:
        """Make the connection of a client that was accepted."""
        return HttpConnection(self)

    def serve(self, request: HttpRequest) -> HttpResponse:
        """Carry out a request. Raises HttpError."""
        raise NotImplementedError


def require_method(request: HttpRequest, *allowed: str) -> None:
    """Check the method of a request. Raises HttpError, which names those allowed."""
    if request.method not in allowed:
        reason = f"{request.method[:16]} is not for {request.path[:64]}"
        raise HttpError(405, reason, Allow=", ".join(allowed))


def _write_response(response: HttpResponse, headers: dict[str, str]) -> bytes:
    if isinstance(response.body, bytes):
        body, content_type = response.body, TEXT_CONTENT_TYPE
    else:
        body, content_type = json.dumps(response.body).encode() + b"\n", JSON_CONTENT_TYPE
    lines = [
        f"HTTP/1.1 {response.status} {REASONS[response.status]}",
        f"Content-Type: {content_type}",
        *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body
