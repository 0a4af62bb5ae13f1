"""Messages between failure detectors, after SWIM and Lifeguard.

Each message piggybacks membership records (SWIM, section 4.1). None is retransmitted.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import ClassVar

from marlstep.membership.records import MemberRecord, read_records, write_records
from marlstep.net.codec import INTEGER, TEXT, ValueType, wire

RECORDS = ValueType(read_records, write_records)


@dataclass(slots=True, frozen=True)
class Ping:
    """Probe of `node`, which is named since another node may have taken its address (SWIM, section 3.1)."""

    wire_tag: ClassVar[str] = "Ping"

    number: int = field(metadata=wire("number", INTEGER))
    node: str = field(metadata=wire("node", TEXT))
    records: tuple[MemberRecord, ...] = field(metadata=wire("records", RECORDS), default=())


@dataclass(slots=True, frozen=True)
class Ack:
    """Acknowledgement of the ping with that number."""

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
    """An indirect probe had no answer in time, but this request did arrive (Lifeguard, section IV-A)."""

    wire_tag: ClassVar[str] = "Nack"

    number: int = field(metadata=wire("number", INTEGER))
    records: tuple[MemberRecord, ...] = field(metadata=wire("records", RECORDS), default=())


@dataclass(slots=True, frozen=True)
class StateExchange:
    """One page of all records that a node has, over a stream: memberlist's push-pull anti-entropy."""

    answer: bool  # the receiver is to send its own records; set on the last page alone
    records: tuple[MemberRecord, ...] = ()


MembershipMessage = Ping | Ack | PingRequest | Nack | StateExchange
MEMBERSHIP_MESSAGES = (Ping, Ack, PingRequest, Nack, StateExchange)


@dataclass(slots=True, frozen=True)
class OutboundMessage:
    """A message that the failure detector's caller is to send."""

    address: str
    message: MembershipMessage
    over_stream: bool = False  # too large for a datagram
