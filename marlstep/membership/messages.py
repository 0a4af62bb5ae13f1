"""Messages between failure detectors, as in SWIM and Lifeguard.

Each message piggybacks membership records (SWIM, section 4.1). Lost messages are not retransmitted.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import ClassVar

from marlstep.membership.records import MemberRecord, read_records, write_records
from marlstep.net.codec import INTEGER, TEXT, ValueType, wire

RECORDS = ValueType(read_records, write_records)


@dataclass(slots=True, frozen=True)
class Ping:
    """Probe of `node` (SWIM, section 3.1). The name is sent since another node may have taken over the address."""

    wire_tag: ClassVar[str] = "Ping"

    number: int = field(metadata=wire("number", INTEGER))
    node: str = field(metadata=wire("node", TEXT))
    records: tuple[MemberRecord, ...] = field(metadata=wire("records", RECORDS), default=())


@dataclass(slots=True, frozen=True)
class Ack:
    """Acknowledgement of the ping with this number."""

    wire_tag: ClassVar[str] = "Ack"

    number: int = field(metadata=wire("number", INTEGER))
    records: tuple[MemberRecord, ...] = field(metadata=wire("records", RECORDS), default=())


@dataclass(slots=True, frozen=True)
class PingRequest:
    """Request for an indirect probe: ping `node` on behalf of the sender (SWIM's ping-req, section 3.1)."""

    wire_tag: ClassVar[str] = "PingFor"

    number: int = field(metadata=wire("number", INTEGER))
    node: str = field(metadata=wire("node", TEXT))
    address: str = field(metadata=wire("address", TEXT))
    records: tuple[MemberRecord, ...] = field(metadata=wire("records", RECORDS), default=())


@dataclass(slots=True, frozen=True)
class Nack:
    """Notice that an indirect probe got no ack in time, although its request arrived (Lifeguard, section IV-A)."""

    wire_tag: ClassVar[str] = "Nack"

    number: int = field(metadata=wire("number", INTEGER))
    records: tuple[MemberRecord, ...] = field(metadata=wire("records", RECORDS), default=())


@dataclass(slots=True, frozen=True)
class StateExchange:
    """One page of all records of a node, sent over a stream: memberlist's push-pull anti-entropy."""

    answer: bool  # whether the receiver has to send its own records; set only on the last page
    records: tuple[MemberRecord, ...] = ()


MembershipMessage = Ping | Ack | PingRequest | Nack | StateExchange
MEMBERSHIP_MESSAGES = (Ping, Ack, PingRequest, Nack, StateExchange)


@dataclass(slots=True, frozen=True)
class OutboundMessage:
    """A message that the failure detector's caller has to send to `address`."""

    address: str
    message: MembershipMessage
    over_stream: bool = False  # send over a stream, since the message may be too large for a datagram
