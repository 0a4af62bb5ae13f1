"""What a client can send wrong, as typed errors. All of them are the peer's fault."""

from __future__ import annotations

import enum
from typing import ClassVar

from marlstep.errors import RemoteProtocolError

MAX_SHOWN_CHARACTERS = 32  # of what a peer sent, in an error's text and so in the log


def shown(found: str | bytes | None) -> str:
    """Return a short printable form of what a peer sent; `nothing` where it sent none of it."""
    return "nothing" if found is None else repr(found[:MAX_SHOWN_CHARACTERS])


class FrameFault(enum.Enum):
    """Why the stream of a RESP connection is read no further; the value is what was expected in its place."""

    HEAD = "a line with a count or a length"
    WORD_COUNT = "an array of as many words as a command has"
    WORD_LENGTH = "a word within its limit"
    WORD_END = "a line end after a word"
    TAG = "a frame with a tag"
    REPEATED_TAG = "a tag that was not used before"
    TIMEOUT = "a complete frame in time"
    INVALID_REQUESTS = "fewer invalid requests"


class MalformedFrameError(RemoteProtocolError):
    """The stream of a RESP connection can't be divided into frames from here on, or is not to be."""

    def __init__(self, fault: FrameFault, found: str | bytes | None, tag: int | None = None) -> None:
        """Describe the fault.

        Args:
            fault: what is wrong.
            found: what came in its place, if anything.
            tag: of the frame that is malformed, if it had been read by then; a response on it can be sent.
        """
        super().__init__(f"expected {fault.value}, got {shown(found)}")
        self.fault, self.found, self.tag = fault, found, tag


class InvalidFieldError(RemoteProtocolError):
    """A frame is complete, but one of the fields of its request is missing or wrong."""

    def __init__(self, name: str, expected: str, found: str | bytes | None) -> None:
        """`name` is the field's name on the wire; `found` is None where the field is missing."""
        super().__init__(f"field {name}: expected {expected}, got {shown(found)}")
        self.name, self.expected, self.found = name, expected, found


class InvalidPacketError(RemoteProtocolError):
    """What came is no uwsgi packet that this frontend accepts. The text goes to the client."""

    status: ClassVar[int] = 400  # of the HTTP response that the client gets


class InvalidModifierError(InvalidPacketError):
    """The packet's first byte does not say that it is a request."""

    def __init__(self, found: int) -> None:
        """`found` is the first byte."""
        super().__init__(f"modifier1 is {found}; requests have 0")
        self.found = found


class NoVariablesError(InvalidPacketError):
    """The packet has no variables at all."""

    def __init__(self) -> None:
        """There is nothing to add."""
        super().__init__("a packet without variables")


class VariableSizeError(InvalidPacketError):
    """The size of a variable's name or value reaches past the variables' block."""

    def __init__(self, end: int, block_size: int) -> None:
        """`end` and `block_size` are in bytes from the block's start."""
        super().__init__("a variable reaches past its block")
        self.end, self.block_size = end, block_size


class UnpairedVariableError(InvalidPacketError):
    """The last variable has a name and no value."""

    def __init__(self) -> None:
        """There is nothing to add."""
        super().__init__("a name without a value")


class InvalidContentLengthError(InvalidPacketError):
    """CONTENT_LENGTH is no number."""

    def __init__(self, found: str) -> None:
        """`found` is the variable's value."""
        super().__init__("CONTENT_LENGTH is no length")
        self.found = found


class BodyTooLargeError(InvalidPacketError):
    """The body is larger than the operator allows."""

    status: ClassVar[int] = 413

    def __init__(self, size: str, limit: int) -> None:
        """`size` is as the client wrote it; `limit` is in bytes."""
        super().__init__(f"a body of {size} bytes")
        self.size, self.limit = size, limit


class IdempotencyKeyTooLongError(InvalidPacketError):
    """The variable that names the work is longer than a key that is stored and sent to other processes may be."""

    def __init__(self, variable: str, limit: int) -> None:
        """`limit` is in characters."""
        super().__init__(f"{variable} is over {limit} characters")
        self.variable, self.limit = variable, limit
