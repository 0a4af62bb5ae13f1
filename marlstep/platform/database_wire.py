"""The words of the database's wire, mapped once: calls as bytes, replies as types. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from marlstep.admission.events import Outcome
from marlstep.net.lines import LineProtocolError, parse_length
from marlstep.units import whole_ms

RING_SIZE = 16 * 1024  # bytes
LINE_LIMIT = 256  # bytes
BODY_LIMIT = RING_SIZE - LINE_LIMIT  # bytes; the protocol names 4 KiB for results
MAX_SHOWN_CHARACTERS = 64  # of an unknown reply, in the log
MIN_TIME_LEFT_MS = 1
ROWS_WORD = "ROWS"  # a result follows

OUTCOMES = {
    "FULL": Outcome.REJECTED,
    "FAIL": Outcome.ERROR,
    "TIMEOUT": Outcome.TIMEOUT,
    "NONE": Outcome.NOT_STARTED,
}


class UnknownReplyError(LineProtocolError):
    """A reply is none of those that the protocol has."""

    def __init__(self, words: list[str]) -> None:
        """`words` are those of the reply's line."""
        super().__init__(f"unknown reply {' '.join(words)[:MAX_SHOWN_CHARACTERS]!r}")
        self.words = words


@dataclass(slots=True)
class Reply:
    """How a call ended."""

    call_id: str
    outcome: Outcome


def reply_body_length(words: list[str]) -> int | None:
    """Return the length in bytes of the result that follows a line; None where none does. Raises LineProtocolError."""
    return parse_length(words[2], BODY_LIMIT) if len(words) == 3 and words[1] == ROWS_WORD else None


def parse_reply(words: list[str]) -> Reply:
    """Return the reply of a line. Raises UnknownReplyError."""
    match words:
        case [call_id, "ROWS", _]:
            return Reply(call_id, Outcome.OK)
        case [call_id, word] if word in OUTCOMES:
            return Reply(call_id, OUTCOMES[word])
        case _:
            raise UnknownReplyError(words)


def encode_call(call_id: str, body: bytes, time_left: timedelta) -> bytes:
    """Return the bytes of a call; the database gives up after the time that is left, at least a millisecond."""
    time_left_ms = max(MIN_TIME_LEFT_MS, whole_ms(time_left))
    return f"Q {call_id} {time_left_ms} {len(body)}\r\n".encode() + body + b"\r\n"
