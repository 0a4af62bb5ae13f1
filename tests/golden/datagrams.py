"""Every datagram between nodes: with records in each state, without records, and with more records than fit."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from marlstep.cluster import wire
from marlstep.membership.messages import Ack, MembershipMessage, Nack, Ping, PingRequest
from marlstep.membership.records import MemberRecord, MemberState
from tests.golden.conversation import KEY, Conversation, Sample
from tests.golden.node_messages import RECORDS

MANY = tuple(
    MemberRecord(
        f"node-{number:02}", f"boot-{number}", 1_800_000_000_000 + number, number, state, "127.0.0.9:7009"
    )
    for number, state in enumerate([*MemberState] * 10)
)
SENDER = MemberRecord("n9", "b9", 1_800_000_000_009, 9, MemberState.ALIVE, "127.0.0.9:7009", "nörth", "")
RECORDS_KEPT = 17  # how many records of MANY fit into one datagram
DEFAULT_MESSAGES: dict[str, MembershipMessage] = {
    "Ping": Ping(number=31, node="n2"),
    "Ack": Ack(number=32),
    "PingFor": PingRequest(number=33, node="n3", address="127.0.0.3:7003"),
    "Nack": Nack(number=34),
}


@dataclass(slots=True, frozen=True)
class Datagram:
    """A datagram's fleet, sender and message."""

    fleet: str
    sender: MemberRecord
    message: MembershipMessage


def _datagram(message: MembershipMessage, records: tuple[MemberRecord, ...] = ()) -> Datagram:
    return Datagram("fleet-ä", SENDER, replace(message, records=records))


def _samples() -> Iterator[tuple[str, Sample]]:
    for tag, message in DEFAULT_MESSAGES.items():
        yield f"{tag}/full", Sample(_datagram(message, RECORDS))
        yield f"{tag}/defaults", Sample(_datagram(message))
        for record in RECORDS:
            yield f"{tag}/{record.state.value}", Sample(_datagram(message, (record,)))
        kept = MANY[:RECORDS_KEPT]
        yield f"{tag}/cut", Sample(_datagram(message, MANY), _datagram(message, kept))


def _write(datagram: Datagram) -> bytes:
    return wire.write_datagram(datagram.fleet, datagram.sender, datagram.message)


FRAMING = wire.datagram_framing(KEY)
CONVERSATION = Conversation(
    file="datagrams.json",
    samples=dict(_samples()),
    framing=FRAMING,
    write=_write,
    write_frame=lambda datagram: FRAMING.write(_write(datagram)),
    read=lambda body: Datagram(*wire.read_datagram(body)),
    message_path=(2,),
)
