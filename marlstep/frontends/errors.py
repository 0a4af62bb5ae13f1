"""Typed errors for invalid input from clients."""

from __future__ import annotations

import enum
from typing import ClassVar

from marlstep.errors import RemoteProtocolError

MAX_SHOWN_CHARACTERS = 32  # of the peer's input, in the text of an error and thus in the log


def printable_excerpt(found: str | bytes | None) -> str:
    """Return the beginning of the peer's input in printable form; `nothing` for None."""
    return "nothing" if found is None else repr(found[:MAX_SHOWN_CHARACTERS])


class FrameFault(enum.Enum):
    """Why reading from a RESP connection stops. The value completes `expected ...` in the error text."""

    HEAD = "a line with a count or a length"
    WORD_COUNT = "an array of as many words as a command has"
    WORD_LENGTH = "a word within its limit"
    WORD_END = "a line end after a word"
    TAG = "a frame with a tag"
    REPEATED_TAG = "a tag that was not used before"
    TIMEOUT = "a complete frame in time"


class MalformedFrameError(RemoteProtocolError):
    """No more frames are read from a RESP connection: the stream is malformed, or the peer broke a limit."""

    def __init__(self, fault: FrameFault, found: str | bytes | None, tag: int | None = None) -> None:
        """Create the error.

        Args:
            fault: which rule was broken.
            found: the input that broke it; None if there is none.
            tag: tag of the malformed frame, if it was read before the fault; `error` can be sent on it.
        """
        super().__init__(f"expected {fault.value}, got {printable_excerpt(found)}")
        self.fault, self.found, self.tag = fault, found, tag


class InvalidFieldError(RemoteProtocolError):
    """A frame is complete, but a field of its request is missing, malformed or out of bounds."""

    def __init__(self, name: str, expected: str, found: str | bytes | None) -> None:
        """`name` is the field's name on the wire; `found` is its value, or None if the field is missing."""
        super().__init__(f"field {name}: expected {expected}, got {printable_excerpt(found)}")
        self.name, self.expected, self.found = name, expected, found


class InvalidPacketError(RemoteProtocolError):
    """The uwsgi packet is malformed or not accepted. The error text is sent to the client."""

    status: ClassVar[int] = 400  # HTTP status of the response


class InvalidModifierError(InvalidPacketError):
    """The packet's first byte, modifier1, is not 0, so the packet is not a request."""

    def __init__(self, found: int) -> None:
        """`found` is the value of modifier1."""
        super().__init__(f"modifier1 is {found}; requests have 0")
        self.found = found


class NoVariablesError(InvalidPacketError):
    """The packet has no variables at all."""

    def __init__(self) -> None:
        """Create the error, which has no details."""
        super().__init__("a packet without variables")


class VariableSizeError(InvalidPacketError):
    """The size of a variable's name or value exceeds what is left of the block of variables."""

    def __init__(self, end: int, block_size: int) -> None:
        """`end` is where the name or value would end, in bytes from the block's start; `block_size` is in bytes."""
        super().__init__("a variable reaches past its block")
        self.end, self.block_size = end, block_size


class UnpairedVariableError(InvalidPacketError):
    """The last variable has a name and no value."""

    def __init__(self) -> None:
        """Create the error, which has no details."""
        super().__init__("a name without a value")


class InvalidContentLengthError(InvalidPacketError):
    """CONTENT_LENGTH is not a decimal number, or has too many digits."""

    def __init__(self, found: str) -> None:
        """`found` is the variable's value."""
        super().__init__("CONTENT_LENGTH is no length")
        self.found = found


class BodyTooLargeError(InvalidPacketError):
    """The body is larger than the configured limit."""

    status: ClassVar[int] = 413

    def __init__(self, size: str, limit: int) -> None:
        """`size` is CONTENT_LENGTH as the client sent it; `limit` is in bytes."""
        super().__init__(f"a body of {size} bytes")
        self.size, self.limit = size, limit


class IdempotencyKeyTooLongError(InvalidPacketError):
    """The idempotency key is over the length limit, which exists as keys are stored and sent to other processes."""

    def __init__(self, variable: str, limit: int) -> None:
        """`variable` is the name of the variable that carries the key; `limit` is in characters."""
        super().__init__(f"{variable} is over {limit} characters")
        self.variable, self.limit = variable, limit
