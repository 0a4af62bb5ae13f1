"""What nodes write to each other: frames under the fleet's key, each with one message and who it is from and for."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import ClassVar

import orjson

from marlstep.consensus.replica_messages import MESSAGES, Message
from marlstep.membership.messages import RECORDS, Ack, MembershipMessage, Nack, Ping, PingRequest
from marlstep.membership.records import MemberRecord, is_address, read_records, write_records
from marlstep.net.codec import BOOLEAN, Codec, wire
from marlstep.net.framing import CorruptError, Framing, keyed

STREAM_MARK = b"MSF1"
MAX_MESSAGE_BYTES = 60 * 1024  # of one message


@dataclass(slots=True, frozen=True)
class Envelope:
    """`sender` and `to` are identities of voters, names of processes, or of nodes."""

    fleet: str
    group: str  # of voters; empty where the sender does not know it yet
    sender: str
    to: str
    message: Message | ExchangeMessage


@dataclass(slots=True, frozen=True)
class ExchangeMessage:
    """An exchange of members, over a line: who says so, and what it knows."""

    wire_tag: ClassVar[str] = "Exchanged"

    sender: tuple[MemberRecord, ...] = field(metadata=wire("me", RECORDS))
    answer: bool = field(metadata=wire("answer", BOOLEAN))
    records: tuple[MemberRecord, ...] = field(metadata=wire("records", RECORDS))


CODEC = Codec((*MESSAGES, ExchangeMessage), ignore_unknown_keys=True)
DATAGRAMS = Codec((Ping, Ack, PingRequest, Nack), ignore_unknown_keys=True)
DATAGRAM_MARK = b"MSD1"
MAX_DATAGRAM_BYTES = 1_400  # bytes, with the frame: it goes through any network in one piece


def datagram_framing(key: bytes) -> Framing:
    return Framing(DATAGRAM_MARK, MAX_DATAGRAM_BYTES, keyed(key[:64]))


def write_datagram(fleet: str, sender: MemberRecord, message: MembershipMessage) -> bytes:
    """The body of a datagram, with as many of the records as it has place for. Raises ValueError."""
    carried = len(message.records)
    while True:
        fitting = replace(message, records=message.records[:carried])
        body = orjson.dumps([fleet, write_records([sender])[0], DATAGRAMS.dump(fitting)])
        if len(body) <= MAX_DATAGRAM_BYTES - 64 or not carried:
            return body
        carried -= 1


def read_datagram(body: bytes) -> tuple[str, MemberRecord, MembershipMessage]:
    """Raises CorruptError."""
    try:
        fleet, sender, told = orjson.loads(body)
        [record] = read_records([sender])
    except (ValueError, TypeError) as fault:
        raise CorruptError(f"no datagram: {fault!r}") from fault
    message = DATAGRAMS.load(told)
    assert isinstance(message, Ping | Ack | PingRequest | Nack)
    if not isinstance(fleet, str):
        raise CorruptError("a datagram names its fleet")
    if isinstance(message, PingRequest) and not is_address(message.address):
        raise CorruptError("who is to be asked has no address")
    return fleet, record, message


def stream_framing(key: bytes) -> Framing:
    return Framing(STREAM_MARK, MAX_MESSAGE_BYTES, keyed(key[:64]))


def write_envelope(envelope: Envelope) -> bytes:
    """The body of a frame."""
    names = (envelope.fleet, envelope.group, envelope.sender, envelope.to)
    return orjson.dumps([*names, CODEC.dump(envelope.message)])


def read_envelope(body: bytes) -> Envelope:
    """Raises CorruptError."""
    try:
        fleet, group, sender, to, told = orjson.loads(body)
    except (ValueError, TypeError) as fault:
        raise CorruptError(f"no envelope: {fault!r}") from fault
    if not all(isinstance(part, str) for part in (fleet, group, sender, to)):
        raise CorruptError("an envelope's names must be text")
    message = CODEC.load(told)
    assert isinstance(message, (*MESSAGES, ExchangeMessage))
    return Envelope(fleet, group, sender, to, message)
