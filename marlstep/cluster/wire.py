"""Encoding of messages between nodes: envelopes and datagrams, in frames authenticated with the fleet's key."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import ClassVar

import orjson

from marlstep.consensus.replica_messages import MESSAGES, Message
from marlstep.membership.messages import RECORDS, Ack, MembershipMessage, Nack, Ping, PingRequest
from marlstep.membership.records import MemberRecord, is_address, read_records, write_records
from marlstep.net.codec import BOOLEAN, Codec, MalformedMessageError, wire
from marlstep.net.framing import Framing, keyed

STREAM_MAGIC = b"MSF1"
MAX_MESSAGE_BYTES = 60 * 1024  # for one envelope
MAX_KEY_BYTES = 64  # limit of BLAKE2b; the rest of a longer key is not used
MAX_FRAME_HEADER_BYTES = 64  # upper bound; reserved in the size of a datagram


@dataclass(slots=True, frozen=True)
class Envelope:
    """A message with its sender and its recipient.

    `sender` and `to` are identities of replicas, or names of processes or nodes.
    """

    fleet: str
    group: str  # the Raft group; empty if the sender does not know it yet
    sender: str
    to: str
    message: Message | ExchangeMessage


@dataclass(slots=True, frozen=True)
class ExchangeMessage:
    """A part of a full exchange of membership records, over a stream."""

    wire_tag: ClassVar[str] = "Exchanged"

    sender: tuple[MemberRecord, ...] = field(metadata=wire("me", RECORDS))  # the sender's own record
    # Whether the receiver must send its records in return.
    answer: bool = field(metadata=wire("answer", BOOLEAN))
    records: tuple[MemberRecord, ...] = field(metadata=wire("records", RECORDS))


CODEC = Codec[Message | ExchangeMessage]((*MESSAGES, ExchangeMessage), ignore_unknown_keys=True)
DATAGRAMS = Codec[MembershipMessage]((Ping, Ack, PingRequest, Nack), ignore_unknown_keys=True)
DATAGRAM_MAGIC = b"MSD1"
MAX_DATAGRAM_BYTES = 1_400  # including the frame; fits into one packet on all common networks


def datagram_framing(key: bytes) -> Framing:
    """Return the framing of datagrams with the fleet's key."""
    return Framing(DATAGRAM_MAGIC, MAX_DATAGRAM_BYTES, keyed(key[:MAX_KEY_BYTES]))


def write_datagram(fleet: str, sender: MemberRecord, message: MembershipMessage) -> bytes:
    """Return the body of a datagram with as many of the message's records as fit."""
    record_count = len(message.records)
    while True:
        truncated_message = replace(message, records=message.records[:record_count])
        body = orjson.dumps([fleet, write_records([sender])[0], DATAGRAMS.dump(truncated_message)])
        if len(body) <= MAX_DATAGRAM_BYTES - MAX_FRAME_HEADER_BYTES or not record_count:
            return body
        record_count -= 1


def read_datagram(body: bytes) -> tuple[str, MemberRecord, MembershipMessage]:
    """Return the fleet, the sender's record and the message of a datagram.

    Raises:
        MalformedMessageError: the body is malformed.
    """
    try:
        fleet, sender, dumped_message = orjson.loads(body)
        [record] = read_records([sender])
    except (ValueError, TypeError) as fault:
        raise MalformedMessageError("datagram", fault) from fault
    message = DATAGRAMS.load(dumped_message)
    if not isinstance(fleet, str):
        raise MalformedMessageError("datagram", "expected the name of the fleet to be a string")
    if isinstance(message, PingRequest) and not is_address(message.address):
        raise MalformedMessageError("datagram", f"expected a target's address, found {message.address!r}")
    return fleet, record, message


def stream_framing(key: bytes) -> Framing:
    """Return the framing of streams with the fleet's key."""
    return Framing(STREAM_MAGIC, MAX_MESSAGE_BYTES, keyed(key[:MAX_KEY_BYTES]))


def write_envelope(envelope: Envelope) -> bytes:
    """Return the body of a stream's frame that contains the envelope."""
    names = (envelope.fleet, envelope.group, envelope.sender, envelope.to)
    return orjson.dumps([*names, CODEC.dump(envelope.message)])


def read_envelope(body: bytes) -> Envelope:
    """Return the envelope in a frame's body.

    Raises:
        MalformedMessageError: the body is malformed.
    """
    try:
        fleet, group, sender, to, dumped_message = orjson.loads(body)
    except (ValueError, TypeError) as fault:
        raise MalformedMessageError("envelope", fault) from fault
    if not all(isinstance(name, str) for name in (fleet, group, sender, to)):
        raise MalformedMessageError("envelope", "expected all names to be strings")
    return Envelope(fleet, group, sender, to, CODEC.load(dumped_message))
