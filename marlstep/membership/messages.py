"""What detectors write to each other. Each carries records on its back; none is sent again by itself."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import ClassVar

from marlstep.membership.records import MemberRecord, read_records, write_records
from marlstep.net.codec import INTEGER, TEXT, ValueType, wire

RECORDS = ValueType(read_records, write_records)


@dataclass(slots=True, frozen=True)
class Ping:
    """Are you there? `node` is who is meant: an address may have another by now."""

    wire_tag: ClassVar[str] = "Ping"

    number: int = field(metadata=wire("number", INTEGER))
    node: str = field(metadata=wire("node", TEXT))
    records: tuple[MemberRecord, ...] = field(metadata=wire("records", RECORDS), default=())


@dataclass(slots=True, frozen=True)
class Ack:
    wire_tag: ClassVar[str] = "Ack"

    number: int = field(metadata=wire("number", INTEGER))
    records: tuple[MemberRecord, ...] = field(metadata=wire("records", RECORDS), default=())


@dataclass(slots=True, frozen=True)
class PingRequest:
    """I had no answer from `node`: ask it in my place."""

    wire_tag: ClassVar[str] = "PingFor"

    number: int = field(metadata=wire("number", INTEGER))
    node: str = field(metadata=wire("node", TEXT))
    address: str = field(metadata=wire("address", TEXT))
    records: tuple[MemberRecord, ...] = field(metadata=wire("records", RECORDS), default=())


@dataclass(slots=True, frozen=True)
class Nack:
    """I asked, and had no answer either: but yours came here, and you hear me."""

    wire_tag: ClassVar[str] = "Nack"

    number: int = field(metadata=wire("number", INTEGER))
    records: tuple[MemberRecord, ...] = field(metadata=wire("records", RECORDS), default=())


@dataclass(slots=True, frozen=True)
class StateExchange:
    """All that is known, in parts, over a line; `answer`: and now yours."""

    answer: bool
    records: tuple[MemberRecord, ...] = ()


MembershipMessage = Ping | Ack | PingRequest | Nack | StateExchange
MEMBERSHIP_MESSAGES = (Ping, Ack, PingRequest, Nack, StateExchange)
