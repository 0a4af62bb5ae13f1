"""HTTP/1.1 server with one request per connection, for the administration API and the health endpoint.

A connection that has not sent a complete request is closed after a timeout, or earlier if such connections fill a
quarter of the connection table, the oldest first. So clients that send nothing can't block complete requests. When the
node stops, accepted connections are still read and answered for a short time.
"""

from __future__ import annotations

import asyncio
import json
import logging
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import NamedTuple

import httptools

from marlstep.core.engine import Core
from marlstep.core.interfaces import Response
from marlstep.errors import MarlstepError
from marlstep.frontends.base import Connection, Listener
from marlstep.timer_queue import TimerQueue
from marlstep.units import MILLISECOND

log = logging.getLogger(__name__)

RING_SIZE = 2 * 1024  # bytes; may be smaller than a request, as the parser is incremental
MAX_HEAD_BYTES = 8 * 1024
MAX_BODY_BYTES = 4 * 1024
FINISH_POLL_INTERVAL = 2 * MILLISECOND  # between checks for open connections while the service finishes
TEXT_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"  # Prometheus text format
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
    """A request is answered with an error response; the message is sent as `error` in its body."""

    def __init__(self, status: int, reason: str, **headers: str) -> None:
        """Initialize the error.

        Args:
            status: HTTP status of the response.
            reason: error text in the body.
            **headers: additional headers; `_` in a name stands for `-`.
        """
        super().__init__(reason)
        self.status, self.headers = status, headers


@dataclass(slots=True, frozen=True)
class HttpRequest:
    """A complete request."""

    method: str
    path: str  # without the query
    authorization: bytes  # value of the Authorization header; empty without one
    body: bytes


class HttpResponse(NamedTuple):
    """The response to a request. A body of bytes is sent as text, anything else as JSON."""

    status: int
    body: object


class HttpConnection(Connection):
    """A connection that is closed after one request and its response."""

    def __init__(self, service: HttpService) -> None:
        """Initialize the connection of a client of the service, with no data read."""
        super().__init__(service, RING_SIZE)
        self._service = service
        self._parser = httptools.HttpRequestParser(self)
        self._head_bytes = 0  # bytes received until the head was complete
        self._in_body = False
        self._url, self._authorization, self._body = b"", b"", b""
        self._responded = False

    def data_received(self) -> None:
        """Parse the received bytes; reject a request that is too long or malformed."""
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

    # Callbacks of the httptools parser.

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target, which may arrive in several."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the Authorization header; ignore all others."""
        if name.lower() == b"authorization":
            self._authorization = value

    def on_headers_complete(self) -> None:
        """Stop counting bytes for the limit of the head."""
        self._in_body = True

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body; reject the request if the body is too long."""
        self._body += body
        if len(self._body) > MAX_BODY_BYTES:
            self._reject(HttpError(413, f"the body is over {MAX_BODY_BYTES} bytes"))

    def on_message_complete(self) -> None:
        """Serve the request, unless the connection has already responded."""
        if self._responded:
            return  # the request was rejected, or it is a second one on the connection
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

    # Methods of Connection that the listener calls.

    def send_response(self, number: int, response: Response) -> None:
        """Do nothing: this connection submits no requests to the core."""

    def cancel_requests(self) -> None:
        """Do nothing: a request is served as soon as it is complete, so none is ever open."""

    def timed_out(self) -> None:
        """Reject a request that was not complete within the timeout."""
        self._reject(HttpError(408, "no whole call came in time"))
        self.finish()

    def drain(self) -> None:
        """Stay open: the request is answered as soon as it is complete. `HttpService.finish` bounds the wait."""


class HttpService(Listener):
    """An HTTP listener. Subclasses implement `serve`."""

    def __init__(
        self, core: Core, timeline: TimerQueue, max_connections: int, request_timeout: timedelta
    ) -> None:
        """Initialize the service without a listening socket.

        Args:
            core: the core of the node.
            timeline: the timers of the connections.
            max_connections: limit of the connections at a time.
            request_timeout: time within which a connection must send a complete request.
        """
        super().__init__(core, timeline, max_connections, request_timeout)

    def make(self) -> HttpConnection:
        """Create the connection for a client that has connected."""
        return HttpConnection(self)

    async def finish(self, limit: timedelta) -> None:
        """Stop accepting, answer the requests on accepted connections, and close the connections.

        Args:
            limit: time after which connections without a complete request are closed unanswered.
        """
        self.stop_accepting()
        finished = asyncio.get_running_loop().create_future()
        self._complete_when_idle(self.timeline.now() + limit, finished)
        await finished
        for connection in self.connections:
            connection.finish()

    def _complete_when_idle(self, at_latest: datetime, finished: asyncio.Future[None]) -> None:
        now = self.timeline.now()
        if (self.accepting or len(self.connections)) and now < at_latest:
            self.timeline.at(
                now + FINISH_POLL_INTERVAL, lambda: self._complete_when_idle(at_latest, finished)
            )
        else:
            finished.set_result(None)

    def serve(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request. Raises HttpError to respond with an error."""
        raise NotImplementedError


def require_method(request: HttpRequest, *allowed: str) -> None:
    """Check the method of a request. Raises HttpError 405 with the allowed methods for any other."""
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
