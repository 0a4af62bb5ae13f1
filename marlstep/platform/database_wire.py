"""The wire protocol of the database: encodes calls and parses replies. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from marlstep.admission.events import Outcome
from marlstep.net.lines import LineProtocolError, parse_length
from marlstep.units import whole_ms

RING_SIZE = 16 * 1024  # bytes
LINE_LIMIT = 256  # bytes
BODY_LIMIT = RING_SIZE - LINE_LIMIT  # bytes; the protocol specifies 4 KiB for results
MAX_SHOWN_CHARACTERS = 64  # of an unknown reply, in error messages
MIN_TIME_LEFT_MS = 1
ROWS_WORD = "ROWS"  # the reply has a result as its body

OUTCOMES = {
    "FULL": Outcome.REJECTED,
    "FAIL": Outcome.ERROR,
    "TIMEOUT": Outcome.TIMEOUT,
    "NONE": Outcome.NOT_STARTED,
}


class UnknownReplyError(LineProtocolError):
    """A reply is not one that the protocol defines."""

    def __init__(self, words: list[str]) -> None:
        """Initialize the error with the words of the line of the reply."""
        super().__init__(
            f"expected a reply of the database protocol, got {' '.join(words)[:MAX_SHOWN_CHARACTERS]!r}"
        )
        self.words = words


@dataclass(slots=True)
class Reply:
    """The reply to a call, without its result."""

    call_id: str
    outcome: Outcome


def reply_body_length(words: list[str]) -> int | None:
    """Return the length in bytes of the result that follows a line, or None if the reply has no result.

    Raises:
        InvalidLengthError: the length is not a decimal number or exceeds BODY_LIMIT.
    """
    return parse_length(words[2], BODY_LIMIT) if len(words) == 3 and words[1] == ROWS_WORD else None


def parse_reply(words: list[str]) -> Reply:
    """Return the reply that a line contains.

    Raises:
        UnknownReplyError: the line is not a reply that the protocol defines.
    """
    match words:
        case [call_id, "ROWS", _]:
            return Reply(call_id, Outcome.OK)
        case [call_id, word] if word in OUTCOMES:
            return Reply(call_id, OUTCOMES[word])
        case _:
            raise UnknownReplyError(words)


def encode_call(call_id: str, body: bytes, time_left: timedelta) -> bytes:
    """Return the bytes of a call.

    Args:
        call_id: identifies the call; its reply carries the same id.
        body: of the call.
        time_left: after which the database gives the call up; sent as at least MIN_TIME_LEFT_MS.
    """
    time_left_ms = max(MIN_TIME_LEFT_MS, whole_ms(time_left))
    return f"Q {call_id} {time_left_ms} {len(body)}\r\n".encode() + body + b"\r\n"
