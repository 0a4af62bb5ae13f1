"""Messages between two processes of a node, in the frames of `marlstep/net/framing.py` with a CRC-32.

The other process may run an older version, so the wire names and bytes must not change. Each field declares its wire
name and type in its metadata.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import ClassVar, cast

from marlstep.net.codec import BOOLEAN, INTEGER, NUMBER, OBJECT, OPTIONAL_TEXT, TEXT, Codec, wire
from marlstep.net.framing import CorruptError as CorruptError  # raised by `read`
from marlstep.net.framing import Framing, crc
from marlstep.net.ring import Ring

MAX_MESSAGE_BYTES = 32 * 1024  # size of a message without its frame
FRAMING = Framing(b"MSH1", MAX_MESSAGE_BYTES, crc)


class HelloMissingError(CorruptError):
    """The first message of a connection is not a Hello."""

    def __init__(self, found: object) -> None:
        """Initialize the error with the message that was received instead."""
        super().__init__(f"expected Hello as the first message, got {type(found).__name__}")


@dataclass(slots=True, frozen=True)
class Hello:
    """The first message in each direction: the sender and, from the predecessor, initial state for the successor."""

    wire_tag: ClassVar[str] = "Hello"

    generation: int = field(metadata=wire("generation", INTEGER))
    pid: int = field(metadata=wire("pid", INTEGER))
    wants_traffic: bool = field(metadata=wire("wanted", BOOLEAN), default=True)  # the node is not quiesced
    # from a predecessor that already has a successor: that one's generation, to connect to instead; 0: none
    successor_generation: int = field(metadata=wire("taken", INTEGER), default=0)
    measurements: dict[str, object] = field(metadata=wire("learnt", OBJECT), default_factory=dict)


@dataclass(slots=True, frozen=True)
class KeyStatus:
    """An idempotency key and the status of its attempt.

    Here and in the messages below, `request_label` is the request's id with the digest of its work; see `WorkLabel`.
    """

    wire_tag: ClassVar[str] = "Name"

    request_class: str = field(metadata=wire("kind", TEXT))
    idempotency_key: str = field(metadata=wire("once", TEXT))
    request_label: str = field(metadata=wire("id", TEXT))
    # 0: the key does not expire yet, because its attempt is in flight
    expires_at_us: int = field(metadata=wire("until_us", INTEGER), default=0)
    result: str | None = field(metadata=wire("result", OPTIONAL_TEXT), default=None)  # decoded as latin-1
    finished: bool = field(metadata=wire("over", BOOLEAN), default=False)  # the attempt has ended


@dataclass(slots=True, frozen=True)
class KeyReleased:
    """The attempt for the key never ran, so the request may be sent again."""

    wire_tag: ClassVar[str] = "Gone"

    request_class: str = field(metadata=wire("kind", TEXT))
    idempotency_key: str = field(metadata=wire("once", TEXT))
    request_label: str = field(metadata=wire("id", TEXT))


@dataclass(slots=True, frozen=True)
class SnapshotComplete:
    """All keys that the predecessor knew when the connection opened have been sent; only changes follow."""

    wire_tag: ClassVar[str] = "Whole"


@dataclass(slots=True, frozen=True)
class ClaimRequest:
    """The successor asks the predecessor whether a request may run; answered by ClaimResponse."""

    wire_tag: ClassVar[str] = "Claim"

    number: int = field(metadata=wire("number", INTEGER))
    request_class: str = field(metadata=wire("kind", TEXT))
    idempotency_key: str = field(metadata=wire("once", TEXT))
    request_label: str = field(metadata=wire("id", TEXT))


@dataclass(slots=True, frozen=True)
class ClaimResponse:
    """Whether the claimed request may run. If not, the key's status, if known, has been sent before this message."""

    wire_tag: ClassVar[str] = "Claimed"

    number: int = field(metadata=wire("number", INTEGER))
    granted: bool = field(metadata=wire("granted", BOOLEAN))


@dataclass(slots=True, frozen=True)
class CapacityGrant:
    """A capacity share, 0 to 1 of the node's capacity, that the receiver owns from now on."""

    wire_tag: ClassVar[str] = "Give"

    capacity_share: float = field(metadata=wire("share", NUMBER))


@dataclass(slots=True, frozen=True)
class SuccessorReady:
    """The successor accepts connections; the predecessor returns the same message as acknowledgement."""

    wire_tag: ClassVar[str] = "Ready"


@dataclass(slots=True, frozen=True)
class ServingStateChanged:
    """An operator quiesced or resumed the node at the sending process."""

    wire_tag: ClassVar[str] = "Duty"

    wants_traffic: bool = field(metadata=wire("wanted", BOOLEAN))


@dataclass(slots=True, frozen=True)
class SuccessorDraining:
    """The successor received SIGTERM. A predecessor of a version without this message closes the connection."""

    wire_tag: ClassVar[str] = "Leaves"

    # whether the sender has a serving successor of its own, so that the node keeps serving
    has_successor: bool = field(metadata=wire("succeeded", BOOLEAN))


@dataclass(slots=True, frozen=True)
class PredecessorDone:
    """The predecessor has handed over everything; the receiver owns all remaining capacity."""

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
    """Encode a message with its frame."""
    return FRAMING.write(CODEC.write(message))


def read(ring: Ring) -> Message | None:
    """Remove and return the next message; None if it is incomplete.

    Raises:
        CorruptError: the data is no valid frame or message.
    """
    body = FRAMING.read(ring)
    return None if body is None else cast(Message, CODEC.read(body))
