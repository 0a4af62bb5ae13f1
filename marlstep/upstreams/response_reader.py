"""Reads one HTTP response out of the bytes that a server sends, without I/O."""

from __future__ import annotations

from collections.abc import Callable

import httptools

from marlstep.upstreams.errors import MalformedResponseError, ResponseTooLargeError, TruncatedResponseError

MAX_BOOT_ID_LENGTH = 64  # characters; the rest is cut off
FIRST_FINAL_STATUS = 200  # a response below it is informational, and another one follows
LENGTH_HEADERS = (b"content-length", b"transfer-encoding")


class ResponseReader:
    """One response: the bytes received so far, kept as they came, and whether they are complete."""

    def __init__(self, limit_bytes: int, boot_id_header: bytes) -> None:
        """`boot_id_header` is the name, in lower case, of the header that names the server's incarnation."""
        self.data = bytearray()
        self.boot_id: str | None = None
        self.is_complete = False
        self._limit_bytes, self._boot_id_header = limit_bytes, boot_id_header
        self._parser = httptools.HttpResponseParser(self)
        self._headers_complete = False
        self._length_declared = False

    @property
    def status(self) -> int:
        """The status code; valid once the response is complete."""
        return self._parser.get_status_code()

    def feed(self, data: bytes) -> None:
        """Take in what was received.

        Raises:
            MalformedResponseError: It is no HTTP response, or changes to another protocol.
            ResponseTooLargeError: There are more bytes than are allowed.

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
        """Take in that the server has ended its stream, which completes a response that declares no length.

        Args:
            is_head_request: Called only where it matters: the response to a HEAD request declares the length of a
                body that does not follow.

        Raises:
            TruncatedResponseError: There is more to come by what the response says itself.

        """
        if self.is_complete:
            return
        if not self._headers_complete or (self._length_declared and not is_head_request()):
            raise TruncatedResponseError(len(self.data))
        self.is_complete = True

    # Called by httptools.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note whether the response declares its length, and the server's incarnation."""
        name = name.lower()
        self._length_declared = self._length_declared or name in LENGTH_HEADERS
        if name == self._boot_id_header:
            self.boot_id = value.decode("latin-1")[:MAX_BOOT_ID_LENGTH]

    def on_headers_complete(self) -> None:
        """Note that the headers of the final response are complete."""
        self._headers_complete = self._parser.get_status_code() >= FIRST_FINAL_STATUS

    def on_message_complete(self) -> None:
        """Note that the body is complete; without a declared length only the end of the stream says so."""
        self.is_complete = self._headers_complete and self._length_declared
