"""Base class of line-based protocols: a message is a line of words, optionally followed by a body of given length."""

from __future__ import annotations

import logging

from marlstep.errors import RemoteProtocolError
from marlstep.net.ring import LineTooLongError
from marlstep.net.stream import RingStream

log = logging.getLogger(__name__)

MAX_LENGTH_DIGITS = 9
MAX_SHOWN_CHARACTERS = 32  # of an invalid word, in the log
BODY_END = b"\r\n"
BODY_END_BYTES = len(BODY_END)


class LineProtocolError(RemoteProtocolError):
    """The peer broke the protocol, so the start of its next message is unknown."""


class InvalidLengthError(LineProtocolError):
    """The word with the length of a body is not a number, or exceeds the limit."""

    def __init__(self, word: str, limit: int) -> None:
        """`word` is the invalid word, `limit` the maximum length of a body in bytes."""
        super().__init__(f"expected a length of 0 to {limit}, got {word[:MAX_SHOWN_CHARACTERS]!r}")
        self.word, self.limit = word, limit


class UnterminatedBodyError(LineProtocolError):
    """A body is not followed by a line end."""

    def __init__(self, found: bytes) -> None:
        """`found` are the bytes in place of the line end."""
        super().__init__(f"expected {BODY_END!r} after a body, found {found!r}")
        self.found = found


def parse_length(word: str, limit: int) -> int:
    """Return the length of a body in bytes. Raises InvalidLengthError if it is not a number from 0 to `limit`."""
    is_number = word.isascii() and word.isdigit() and len(word) <= MAX_LENGTH_DIGITS
    if not is_number or int(word) > limit:
        raise InvalidLengthError(word, limit)
    return int(word)


class LineStream(RingStream):
    """A connection that divides its stream into messages.

    It is aborted when the peer breaks the protocol or ends its stream.
    """

    def __init__(self, ring_size: int, line_limit: int) -> None:
        """`ring_size` and `line_limit` are in bytes; a body with its line end must fit into the ring."""
        super().__init__(ring_size)
        self._line_limit = line_limit
        self._words: list[str] | None = None  # the line of a message whose body is incomplete
        self._length = 0

    @property
    def partial(self) -> bool:
        """Whether a part of a message has been read."""
        return self._words is not None or self.inbox.used > 0

    def body_length(self, words: list[str]) -> int | None:
        """Return the length in bytes of the body after this line; None if it has none. May raise LineProtocolError."""
        raise NotImplementedError

    def message(self, words: list[str], body: bytes) -> None:
        """Handle a complete message. May raise LineProtocolError."""
        raise NotImplementedError

    def data_received(self) -> None:
        """Handle all complete messages."""
        try:
            while self._read_message():
                pass
        except (LineProtocolError, LineTooLongError) as error:
            self._abort_for(error)
        if self.at_eof:
            self.abort()

    def _abort_for(self, error: RemoteProtocolError) -> None:
        log.error(
            "connection aborted: reason=protocol_error connection=%s error=%s", type(self).__name__, error
        )
        self.abort()

    def _read_message(self) -> bool:
        """Read and handle the next message; False if it is incomplete."""
        inbox = self.inbox
        if self._words is None:
            line = inbox.line(self._line_limit)
            if line is None:
                return False
            words = line.decode("ascii", "replace").split(" ")
            size = self.body_length(words)
            if size is None:
                self.message(words, b"")
                return True
            self._words, self._length = words, size
        size_with_end = self._length + BODY_END_BYTES
        if inbox.used < size_with_end:
            return False
        body_with_end = inbox.take(size_with_end)
        if not body_with_end.endswith(BODY_END):
            raise UnterminatedBodyError(body_with_end[self._length :])
        words, self._words = self._words, None
        self.message(words, body_with_end[: self._length])
        return True
