"""Streams of lines of words. Some lines are followed by a body, whose length is their last word."""

from __future__ import annotations

import logging

from marlstep.net.ring import LineTooLongError
from marlstep.net.stream import RingStream

log = logging.getLogger(__name__)


class LineProtocolError(ValueError):
    """The peer wrote what leaves it open where the next line begins."""


def parse_length(word: str, limit: int) -> int:
    if not (word.isascii() and word.isdigit() and len(word) < 10) or int(word) > limit:
        raise LineProtocolError(f"not a length: {word[:32]!r}")
    return int(word)


class LineStream(RingStream):
    """Cuts the stream into messages. Broken framing ends the connection, as does the end of the peer."""

    def __init__(self, ring_size: int, line_limit: int) -> None:
        super().__init__(ring_size)
        self._line_limit = line_limit
        self._words: list[str] | None = None  # of a message whose body is not whole yet
        self._length = 0

    @property
    def partial(self) -> bool:
        """Part of a message has been read."""
        return self._words is not None or self.inbox.used > 0

    def body_length(self, words: list[str]) -> int | None:
        """How long the body behind this line is; None where none follows. May raise LineProtocolError."""
        raise NotImplementedError

    def message(self, words: list[str], body: bytes) -> None:
        """One whole message. May raise LineProtocolError."""
        raise NotImplementedError

    def received(self) -> None:
        try:
            while self._next():
                pass
        except (LineProtocolError, LineTooLongError) as fault:
            log.error("%s dropped: %s", type(self).__name__, fault)
            self.abort()
        if self.at_end:
            self.abort()

    def _next(self) -> bool:
        if self._words is None:
            line = self.inbox.line(self._line_limit)
            if line is None:
                return False
            words = line.decode("ascii", "replace").split(" ")
            size = self.body_length(words)
            if size is None:
                self.message(words, b"")
                return True
            self._words, self._length = words, size
        if self.inbox.used < self._length + 2:
            return False
        body = self.inbox.take(self._length)
        if self.inbox.take(2) != b"\r\n":
            raise LineProtocolError("a body longer than its length")
        words, self._words = self._words, None
        self.message(words, body)
        return True
