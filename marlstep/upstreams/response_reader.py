"""Incremental parser of one HTTP response, without I/O."""

from __future__ import annotations

from collections.abc import Callable

import httptools

from marlstep.upstreams.errors import MalformedResponseError, ResponseTooLargeError, TruncatedResponseError

MAX_BOOT_ID_LENGTH = 64  # characters; longer values are truncated
FIRST_FINAL_STATUS = 200  # lower statuses are informational, and another response follows
LENGTH_HEADERS = (b"content-length", b"transfer-encoding")


class ResponseReader:
    """One response: the unmodified bytes received so far, and whether the response is complete."""

    def __init__(self, limit_bytes: int, boot_id_header: bytes) -> None:
        """Initialize the reader with no data received.

        Args:
            limit_bytes: Largest response that is accepted.
            boot_id_header: Name of the header with the server's incarnation, in lower case.

        """
        self.data = bytearray()
        self.boot_id: str | None = None
        self.is_complete = False
        self._limit_bytes, self._boot_id_header = limit_bytes, boot_id_header
        self._parser = httptools.HttpResponseParser(self)
        self._headers_complete = False
        self._length_declared = False

    @property
    def status(self) -> int:
        """The status code; only valid once the response is complete."""
        return self._parser.get_status_code()

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises:
            MalformedResponseError: The data is not an HTTP response, or upgrades to another protocol.
            ResponseTooLargeError: The response is larger than the limit.

        """
        self.data += data
        try:
            if data:
                self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise MalformedResponseError(error) from error
        if len(self.data) > self._limit_bytes:
            raise ResponseTooLargeError(self._limit_bytes)

    def feed_eof(self, is_head_request: Callable[[], bool]) -> None:
        """Handle the end of the server's stream, which completes a response without a declared length.

        Args:
            is_head_request: Returns whether the request was a HEAD request, whose response declares the length of a
                body that does not follow. Called only if the result depends on it.

        Raises:
            TruncatedResponseError: The headers, or a body of the declared length, are incomplete.

        """
        if self.is_complete:
            return
        if not self._headers_complete or (self._length_declared and not is_head_request()):
            raise TruncatedResponseError(len(self.data))
        self.is_complete = True

    # Callbacks of the httptools parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record whether the response declares its length, and the server's incarnation."""
        name = name.lower()
        self._length_declared = self._length_declared or name in LENGTH_HEADERS
        if name == self._boot_id_header:
            self.boot_id = value.decode("latin-1")[:MAX_BOOT_ID_LENGTH]

    def on_headers_complete(self) -> None:
        """Record whether the headers of the final response are complete."""
        self._headers_complete = self._parser.get_status_code() >= FIRST_FINAL_STATUS

    def on_message_complete(self) -> None:
        """Record that the body is complete; without a declared length it ends only with the stream."""
        self.is_complete = self._headers_complete and self._length_declared
