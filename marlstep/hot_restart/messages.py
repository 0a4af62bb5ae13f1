"""The messages between two processes of a node, in the frames of `marlstep/net/framing.py` with a CRC-32.

The other process may be of an older version: wire names and bytes stay, and stand beside each field as data.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import ClassVar, cast

from marlstep.net.codec import BOOLEAN, INTEGER, NUMBER, OBJECT, OPTIONAL_TEXT, TEXT, Codec, wire
from marlstep.net.framing import CorruptError as CorruptError  # what `read` raises
from marlstep.net.framing import Framing, crc
from marlstep.net.ring import Ring

MAX_MESSAGE_BYTES = 32 * 1024  # of one message, without its frame
FRAMING = Framing(b"MSH1", MAX_MESSAGE_BYTES, crc)


class HelloMissingError(CorruptError):
    """Another message came before the first one that must come, the hello."""

    def __init__(self, found: object) -> None:
        """`found` is what came in its place."""
        super().__init__(f"no hello: found={type(found).__name__}")


@dataclass(slots=True, frozen=True)
class Hello:
    """The first message each way: who sends it, and from the predecessor what the successor starts from."""

    wire_tag: ClassVar[str] = "Hello"

    generation: int = field(metadata=wire("generation", INTEGER))
    pid: int = field(metadata=wire("pid", INTEGER))
    wants_traffic: bool = field(metadata=wire("wanted", BOOLEAN), default=True)  # the node is not quiesced
    # the generation that the predecessor has as its successor already: connect to that one; 0: none
    successor_generation: int = field(metadata=wire("taken", INTEGER), default=0)
    measurements: dict[str, object] = field(metadata=wire("learnt", OBJECT), default_factory=dict)


@dataclass(slots=True, frozen=True)
class KeyStatus:
    """An idempotency key, and what is known of the attempt that it stands for.

    Its `request_label`, as in the messages below, is the request's id and the digest of its body: see `encode_label`.
    """

    wire_tag: ClassVar[str] = "Name"

    request_class: str = field(metadata=wire("kind", TEXT))
    idempotency_key: str = field(metadata=wire("once", TEXT))
    request_label: str = field(metadata=wire("id", TEXT))
    # 0: the attempt is in flight
    expires_at_us: int = field(metadata=wire("until_us", INTEGER), default=0)
    result: str | None = field(metadata=wire("result", OPTIONAL_TEXT), default=None)  # as latin-1
    finished: bool = field(metadata=wire("over", BOOLEAN), default=False)  # the attempt has ended


@dataclass(slots=True, frozen=True)
class KeyReleased:
    """The attempt that the key stood for never ran: the request may come again."""

    wire_tag: ClassVar[str] = "Gone"

    request_class: str = field(metadata=wire("kind", TEXT))
    idempotency_key: str = field(metadata=wire("once", TEXT))
    request_label: str = field(metadata=wire("id", TEXT))


@dataclass(slots=True, frozen=True)
class SnapshotComplete:
    """All keys that the predecessor knew at the beginning have been sent; from here on only changes."""

    wire_tag: ClassVar[str] = "Whole"


@dataclass(slots=True, frozen=True)
class ClaimRequest:
    """The successor asks whether a request may run. The predecessor responds."""

    wire_tag: ClassVar[str] = "Claim"

    number: int = field(metadata=wire("number", INTEGER))
    request_class: str = field(metadata=wire("kind", TEXT))
    idempotency_key: str = field(metadata=wire("once", TEXT))
    request_label: str = field(metadata=wire("id", TEXT))


@dataclass(slots=True, frozen=True)
class ClaimResponse:
    """Whether the request may run; if not, the key's status stood before this, where there is one."""

    wire_tag: ClassVar[str] = "Claimed"

    number: int = field(metadata=wire("number", INTEGER))
    granted: bool = field(metadata=wire("granted", BOOLEAN))


@dataclass(slots=True, frozen=True)
class CapacityGrant:
    """A share, 0 to 1, of the node's capacity that is the receiver's from now on."""

    wire_tag: ClassVar[str] = "Give"

    share: float = field(metadata=wire("share", NUMBER))


@dataclass(slots=True, frozen=True)
class SuccessorReady:
    """The successor accepts connections; the predecessor sends it back to acknowledge."""

    wire_tag: ClassVar[str] = "Ready"


@dataclass(slots=True, frozen=True)
class ServingStateChanged:
    """An operator quiesced or resumed the node at the other process."""

    wire_tag: ClassVar[str] = "Duty"

    wants_traffic: bool = field(metadata=wire("wanted", BOOLEAN))


@dataclass(slots=True, frozen=True)
class SuccessorDraining:
    """SIGTERM came to the successor. A predecessor that is too old to know the message closes the connection."""

    wire_tag: ClassVar[str] = "Leaves"

    # a process came after it and serves: the node goes on
    has_successor: bool = field(metadata=wire("succeeded", BOOLEAN))


@dataclass(slots=True, frozen=True)
class PredecessorDone:
    """The predecessor has nothing left: all of the node is the receiver's."""

    wire_tag: ClassVar[str] = "Done"


Message = (
    Hello
    | KeyStatus
    | KeyReleased
    | SnapshotComplete
    | ClaimRequest
    | ClaimResponse
    | CapacityGrant
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
        CapacityGrant,
        SuccessorReady,
        ServingStateChanged,
        SuccessorDraining,
        PredecessorDone,
    )
)


def write(message: Message) -> bytes:
    """Return a message in its frame."""
    return FRAMING.write(CODEC.write(message))


def read(ring: Ring) -> Message | None:
    """Take the next message; None until more has come. Raises CorruptError."""
    body = FRAMING.read(ring)
    return None if body is None else cast(Message, CODEC.read(body))
