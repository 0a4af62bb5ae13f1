"""Emulator of the database: responds to every call with the same rows after a fixed latency."""

from __future__ import annotations

from marlstep.emulators.machine_driver import LoopClock
from marlstep.net.lines import LineStream, parse_length

RING_BYTES = 256 * 1024
MAX_LINE_BYTES = 8 * 1024
MAX_BODY_BYTES = 64 * 1024
QUERY = "Q"
QUERY_WORDS = 4  # words in the line of a call; the last is the length of the body


class DatabaseEmulator:
    """State shared by all connections to the emulated database.

    Attributes:
        clock: times the responses.
        latency_us: time between a call and its response, in microseconds.
        calls: number of calls received on all connections.
    """

    def __init__(self, clock: LoopClock, latency_us: int) -> None:
        """Initialize the database with no calls received."""
        self.clock, self.latency_us = clock, latency_us
        self.calls = 0


class DatabaseConnection(LineStream):
    """A connection from a node to the emulated database."""

    def __init__(self, database: DatabaseEmulator) -> None:
        """Initialize a connection whose calls are counted in `database` and answered after its latency."""
        super().__init__(RING_BYTES, MAX_LINE_BYTES)
        self._database = database

    def body_length(self, words: list[str]) -> int | None:
        """Return the length of a call's body in bytes; None if the line is not a call.

        Raises:
            LineProtocolError: the length is not a number, or is over the limit.
        """
        return parse_length(words[-1], MAX_BODY_BYTES) if is_query(words) else None

    def message(self, words: list[str], body: bytes) -> None:  # noqa: ARG002 - the rows are the same for every body
        """Schedule the response to a call after the database's latency; ignore other lines."""
        if not is_query(words):
            return
        database = self._database
        database.calls += 1
        reply = f"{words[1]} ROWS 4\r\nrows\r\n".encode()
        database.clock.call_at(database.clock.now_us() + database.latency_us, lambda: self.send(reply))

    def closed(self) -> None:
        """Do nothing: a node that closes a connection has abandoned the calls on it."""


def is_query(words: list[str]) -> bool:
    """Return whether a line announces a call."""
    return words[0] == QUERY and len(words) == QUERY_WORDS
