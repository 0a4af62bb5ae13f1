"""Encoding of membership messages as datagrams and over streams, and opening of the datagram socket."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from marlstep.cluster import wire
from marlstep.cluster.context import ProcessState
from marlstep.cluster.lifecycle import Lifecycle
from marlstep.membership.messages import Ack, Nack, Ping, PingRequest
from marlstep.membership.records import MemberRecord, read_records, write_records
from marlstep.net.framing import CorruptError
from tests.membership.support import record


def addressed_record(node: str, incarnation: int = 0) -> MemberRecord:
    return replace(record(node, incarnation=incarnation), address="10.1.2.3:7001")


def test_messages_survive_a_round_trip_and_datagrams_fit_into_one_packet() -> None:
    records = tuple(addressed_record(f"node-{number}", number) for number in range(60))
    for message in (
        Ping(1, "b", records),
        Ack(2, records),
        PingRequest(3, "b", "127.0.0.1:1", records),
        Nack(4),
    ):
        body = wire.write_datagram("f", addressed_record("a"), message)
        frame = wire.datagram_framing(b"k" * 32).write(body)
        assert len(frame) <= wire.MAX_DATAGRAM_BYTES
        cluster, sender, read = wire.read_datagram(body)
        assert (cluster, sender) == ("f", addressed_record("a")) and type(read) is type(message)
        assert read.records == message.records[: len(read.records)] and (
            len(read.records) > 5 or not message.records
        )
    exchange = wire.ExchangeMessage((addressed_record("a"),), True, records)
    envelope = wire.read_envelope(wire.write_envelope(wire.Envelope("f", "", "a/1", "b", exchange)))
    assert envelope.message == exchange
    assert read_records(json.loads(json.dumps(write_records(records)))) == records


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'["f",[],["Ping",{}]]',
        b'["f",["a","b",-1,0,"alive","1.1.1.1:1","",""],["Ack",{"number":1}]]',
        b'["f",["a","b",1,0,"there","1.1.1.1:1","",""],["Ack",{"number":1}]]',
        b'[1,["a","b",1,0,"alive","1.1.1.1:1","",""],["Ack",{"number":1}]]',
        b'["f",["a","b",1,0,"alive","1.1.1.1:1","",""],["Told",{"number":1}]]',
        *(
            f'["f",["a","b",1,0,"alive","{address}","",""],["Ack",{{"number":1}}]]'.encode()
            for address in ("", "abc", "localhost:1", "1.1.1.1", "1.1.1.1:x", "1.1.1.1:0", "1.1.1.1:99999")
        ),
        b'["f",["a","b",1,0,"alive","1.1.1.1:1","",""],["PingFor",{"number":1,"node":"c","address":"c:1"}]]',
    ],
)
def test_an_invalid_datagram_is_corrupt(body: bytes) -> None:
    with pytest.raises(CorruptError):
        wire.read_datagram(body)


def test_opening_the_datagram_socket_is_retried_until_the_predecessor_has_closed_its_own() -> None:
    class AddressInUseEndpoint:
        attempts = 0

        async def open(self) -> None:
            self.attempts += 1
            if self.attempts < 3:
                raise OSError(98, "Address already in use")

    members: Any = AddressInUseEndpoint()
    lifecycle = object.__new__(Lifecycle)
    config = SimpleNamespace(listen=("127.0.0.1", 1))
    lifecycle._context = SimpleNamespace(process=ProcessState(), config=config)  # type: ignore[assignment]
    asyncio.run(lifecycle._open_datagrams(members))
    assert members.attempts == 3
