"""What the two processes write to each other, in the frames of `marlstep/net/framing.py` with a CRC 32."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import ClassVar, cast

from marlstep.net.codec import BOOLEAN, INTEGER, NUMBER, OBJECT, OPTIONAL_TEXT, TEXT, Codec, wire
from marlstep.net.framing import CorruptError as CorruptError  # what `read` raises
from marlstep.net.framing import Framing, crc
from marlstep.net.ring import Ring

MAX_MESSAGE_BYTES = 32 * 1024  # of one message
FRAMING = Framing(b"MSH1", MAX_MESSAGE_BYTES, crc)


@dataclass(slots=True, frozen=True)
class Hello:
    """The first message each way."""

    wire_tag: ClassVar[str] = "Hello"

    generation: int = field(metadata=wire("generation", INTEGER))
    pid: int = field(metadata=wire("pid", INTEGER))
    wants_traffic: bool = field(metadata=wire("wanted", BOOLEAN), default=True)  # the node is not quiesced
    # the generation that the elder has as its younger already: go there
    successor_generation: int = field(metadata=wire("taken", INTEGER), default=0)
    learned_state: dict[str, object] = field(metadata=wire("learnt", OBJECT), default_factory=dict)


@dataclass(slots=True, frozen=True)
class KeyStatus:
    """A piece of work with an effect, and the try that stands for it."""

    wire_tag: ClassVar[str] = "Name"

    request_class: str = field(metadata=wire("kind", TEXT))
    idempotency_key: str = field(metadata=wire("once", TEXT))
    request_id: str = field(metadata=wire("id", TEXT))
    until_us: int = field(metadata=wire("until_us", INTEGER), default=0)  # 0: as long as that try is in hand
    result: str | None = field(metadata=wire("result", OPTIONAL_TEXT), default=None)  # as latin-1
    finished: bool = field(metadata=wire("over", BOOLEAN), default=False)  # that try has ended


@dataclass(slots=True, frozen=True)
class KeyReleased:
    """That try of the work never ran: it may come again."""

    wire_tag: ClassVar[str] = "Gone"

    request_class: str = field(metadata=wire("kind", TEXT))
    idempotency_key: str = field(metadata=wire("once", TEXT))
    request_id: str = field(metadata=wire("id", TEXT))


@dataclass(slots=True, frozen=True)
class SnapshotComplete:
    """All names that the elder knows have been told; from here on only changes."""

    wire_tag: ClassVar[str] = "Whole"


@dataclass(slots=True, frozen=True)
class ClaimRequest:
    """May this try be held? The elder answers."""

    wire_tag: ClassVar[str] = "Claim"

    number: int = field(metadata=wire("number", INTEGER))
    request_class: str = field(metadata=wire("kind", TEXT))
    idempotency_key: str = field(metadata=wire("once", TEXT))
    request_id: str = field(metadata=wire("id", TEXT))


@dataclass(slots=True, frozen=True)
class ClaimResponse:
    """The work is yours; or the name stood before it, and says what is known of it."""

    wire_tag: ClassVar[str] = "Claimed"

    number: int = field(metadata=wire("number", INTEGER))
    granted: bool = field(metadata=wire("granted", BOOLEAN))


@dataclass(slots=True, frozen=True)
class GrantShare:
    """A share of the node's room, from now on yours."""

    wire_tag: ClassVar[str] = "Give"

    share: float = field(metadata=wire("share", NUMBER))


@dataclass(slots=True, frozen=True)
class SuccessorReady:
    """The younger takes connections; the elder acknowledges it."""

    wire_tag: ClassVar[str] = "Ready"


@dataclass(slots=True, frozen=True)
class ServingStateChanged:
    """The node was quiesced, or resumed, at the other's door."""

    wire_tag: ClassVar[str] = "Duty"

    wants_traffic: bool = field(metadata=wire("wanted", BOOLEAN))


@dataclass(slots=True, frozen=True)
class SuccessorDraining:
    """The younger was told to leave as well. An elder that knows no such word drops the line."""

    wire_tag: ClassVar[str] = "Leaves"

    # by a process that came after it: the node goes on
    has_successor: bool = field(metadata=wire("succeeded", BOOLEAN))


@dataclass(slots=True, frozen=True)
class PredecessorDone:
    """The elder has nothing left: all is yours."""

    wire_tag: ClassVar[str] = "Done"


Message = (
    Hello
    | KeyStatus
    | KeyReleased
    | SnapshotComplete
    | ClaimRequest
    | ClaimResponse
    | GrantShare
    | SuccessorReady
    | ServingStateChanged
    | SuccessorDraining
    | PredecessorDone
)
CODEC = Codec(
    (
        Hello,
        KeyStatus,
        KeyReleased,
        SnapshotComplete,
        ClaimRequest,
        ClaimResponse,
        GrantShare,
        SuccessorReady,
        ServingStateChanged,
        SuccessorDraining,
        PredecessorDone,
    )
)


def write(message: Message) -> bytes:
    return FRAMING.write(CODEC.write(message))


def read(ring: Ring) -> Message | None:
    """The next message; None until more is read. Raises CorruptError."""
    body = FRAMING.read(ring)
    return None if body is None else cast(Message, CODEC.read(body))
