"""Connections of the senders of a replay: RESP with several open requests each, uwsgi with one request each."""

from __future__ import annotations

from collections.abc import Callable

import httptools

from marlstep.core.interfaces import ResponseStatus
from marlstep.frontends.resp_wire import FrameReader, read_fields, write_frame
from marlstep.net.stream import RingStream
from marlstep.traces.replay.campaign import Attempt

RING_SIZE = 64 * 1024  # size of the buffer in bytes, in each direction
MAX_OPEN_REQUESTS = 32  # limit of open requests on one RESP connection
PARTIAL_PREFIX = b"poor"  # prefix of the body of a response whose call was skipped
RETRY_AFTER_HEADER = b"retry-after"
CLOSING_TAG = 0  # tag of the frame with which a node announces that it closes the connection
STATUS_BY_WORD = {b"done": ResponseStatus.DONE, b"later": ResponseStatus.REJECTED}
STATUS_BY_HTTP = {200: ResponseStatus.DONE, 503: ResponseStatus.REJECTED, 504: ResponseStatus.EXPIRED}

# Arguments: id of the attempt, status, Retry-After in microseconds, whether a call was skipped.
OnResponse = Callable[[str, ResponseStatus, int, bool], None]


class RespConnection(RingStream):
    """One connection to a RESP frontend.

    Attributes:
        open: Ids of the attempts without a response, by tag.
        closing: Whether the node accepts no more requests on the connection, or it is closed.
    """

    def __init__(self, on_response: OnResponse, on_close: Callable[[RespConnection], None]) -> None:
        """Initialize the connection; the caller connects it.

        Args:
            on_response: Called with each response.
            on_close: Called when the node announces that it closes the connection, and when it is closed.
        """
        super().__init__(RING_SIZE)
        self.open: dict[int, str] = {}
        self.closing = False
        self._frames = FrameReader()
        self._tag = CLOSING_TAG
        self._on_response, self._on_close = on_response, on_close

    @property
    def has_room(self) -> bool:
        """Whether another request may be sent on the connection."""
        return not self.closing and len(self.open) < MAX_OPEN_REQUESTS and self.connected

    def send_request(self, attempt: Attempt, fields: str, body: bytes) -> None:
        """Send a request.

        Args:
            attempt: Attempt that the request belongs to.
            fields: Fields of the request in their form on the wire.
            body: Body of the request.
        """
        self._tag += 1
        self.open[self._tag] = attempt.id
        request_class = attempt.work.planned.request_class.encode()
        self.send(write_frame(b"EXEC", b"%d" % self._tag, request_class, fields.encode(), body))

    def data_received(self) -> None:
        """Read all complete frames."""
        while (words := self._frames.next(self.inbox)) is not None:
            self._read_frame(words)
        if (self.closing and not self.open) or self.at_eof:
            self.finish()

    def _read_frame(self, words: list[bytes]) -> None:
        tag = int(words[0])
        if tag == CLOSING_TAG:
            self.closing = True
            self._on_close(self)
            return
        attempt_id = self.open.pop(tag, None)
        if attempt_id is None:
            return
        fields = read_fields(words[2]) if len(words) > 2 else {}
        body = words[3] if len(words) > 3 else b""
        status = STATUS_BY_WORD.get(words[1], ResponseStatus.FAILED)
        retry_after_us = int(fields.get("after", "0")) * 1000
        self._on_response(attempt_id, status, retry_after_us, body.startswith(PARTIAL_PREFIX))

    def closed(self) -> None:
        """Stop using the connection; its open requests stay without a response."""
        self.closing = True
        self._on_close(self)


class UwsgiConnection(RingStream):
    """A connection to a uwsgi frontend, with a single request."""

    def __init__(self, attempt_id: str, packet: bytes, on_response: OnResponse) -> None:
        """Initialize the connection; the caller connects it.

        Args:
            attempt_id: Id of the attempt.
            packet: Encoded request, sent once the connection is open.
            on_response: Called with the response.
        """
        super().__init__(RING_SIZE)
        self._id, self._packet, self._on_response = attempt_id, packet, on_response
        self._parser = httptools.HttpResponseParser(self)
        self._body = b""
        self._retry_after_us = 0

    def opened(self) -> None:
        """Send the request."""
        self.send(self._packet)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record the Retry-After header of the response, which is in seconds."""
        if name.lower() == RETRY_AFTER_HEADER:
            self._retry_after_us = int(value) * 1_000_000

    def on_body(self, body: bytes) -> None:
        """Append a part of the body of the response."""
        self._body += body

    def on_message_complete(self) -> None:
        """Report the response and close the connection."""
        status = STATUS_BY_HTTP.get(self._parser.get_status_code(), ResponseStatus.FAILED)
        self._on_response(self._id, status, self._retry_after_us, self._body.startswith(PARTIAL_PREFIX))
        self.finish()

    def data_received(self) -> None:
        """Parse the received data."""
        data = self.inbox.take(self.inbox.used)
        if data:
            self._parser.feed_data(data)
        if self.at_eof:
            self.finish()

    def closed(self) -> None:
        """Do nothing; a lost request stays without a response."""
