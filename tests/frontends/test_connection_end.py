"""Each end of a connection is counted under its first cause, and logged if input may be lost with it."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from marlstep.frontends.base import Connection
from marlstep.frontends.connection_end import ConnectionEnd
from marlstep.frontends.connection_policy import eviction_candidate
from marlstep.frontends.resp_wire import write_frame
from marlstep.units import SECOND
from tests.frontends.support import RespHarness, exec_frame
from tests.support.node import FakeTransport


def peer_closes(harness: RespHarness, connection: FakeTransport) -> None:
    connection.abort()


def frame_is_late(harness: RespHarness, connection: FakeTransport) -> None:
    connection.feed(exec_frame(1)[:20])
    harness.node.clock.advance(1_600)


def stream_is_malformed(harness: RespHarness, connection: FakeTransport) -> None:
    connection.feed(b"GET / HTTP/1.1\r\n\r\n")


def peer_does_not_read(harness: RespHarness, connection: FakeTransport) -> None:
    connection.stream.pause_writing()
    harness.feed(connection, exec_frame(1))
    harness.end_run(1, b"x" * 4096)
    harness.node.clock.advance(1_600)


def connection_is_idle(harness: RespHarness, connection: FakeTransport) -> None:
    harness.feed(connection, write_frame(b"ALIVE", b"1"))
    harness.frontend.limit_idle_time(SECOND)
    harness.node.clock.advance(5_000)


def frontend_stops(harness: RespHarness, connection: FakeTransport) -> None:
    harness.frontend.stop_accepting()
    harness.node.clock.advance(5_000)


def handling_fails(harness: RespHarness, connection: FakeTransport) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(connection.stream, "data_received", lambda: 1 / 0)
        connection.feed(b"*")


def connection_opens_in_a_drain(harness: RespHarness, connection: FakeTransport) -> None:
    connection.abort()
    harness.frontend.ends.clear()
    harness.frontend.draining = True
    harness.connect()
    harness.node.clock.advance(5_000)


def slot_is_needed(harness: RespHarness, connection: FakeTransport) -> None:
    harness.node.clock.advance(200)
    for _ in range(2):
        harness.connect()


def test_an_eviction_spares_a_connection_whose_message_has_arrived_but_was_not_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a request that is reset with the oldest connection of a crowd, with its bytes in the socket.
    harness = RespHarness()
    oldest, other = harness.connect(), harness.connect()
    harness.node.clock.advance(200)
    monkeypatch.setattr(oldest.stream, "has_unread_input", lambda: True)
    harness.connect()
    assert other.closed and not oldest.closed
    harness.feed(oldest, exec_frame(1))
    harness.end_run(1)
    assert b"done" in oldest.take()


@pytest.mark.parametrize("with_input", [0, 1, 3])
def test_the_candidate_for_eviction_is_the_oldest_without_unread_input_or_the_oldest(with_input: int) -> None:
    class Candidate:
        def __init__(self, number: int) -> None:
            self.number = number

        def has_unread_input(self) -> bool:
            return self.number < with_input

    candidate = eviction_candidate(Candidate(number) for number in range(3))
    assert candidate is not None and candidate.number == with_input % 3
    assert eviction_candidate([]) is None


def test_input_in_the_socket_is_seen_before_the_loop_reads_it() -> None:
    async def run() -> None:
        frontend = RespHarness().frontend
        made: list[Connection] = []

        def make() -> Connection:
            made.append(frontend.make())
            return made[-1]

        loop = asyncio.get_running_loop()
        server = await loop.create_server(make, "127.0.0.1", 0)
        with socket.create_connection(server.sockets[0].getsockname()) as client:
            while not made or not made[0].connected:
                await asyncio.sleep(0.001)
            assert not made[0].has_unread_input()
            client.sendall(b"*")
            await_readable(made[0])
            assert made[0].has_unread_input()  # the loop did not run since
        server.close()

    asyncio.run(run())


def await_readable(connection: Connection) -> None:
    for _ in range(1_000):
        if connection.has_unread_input():
            return
        time.sleep(0.001)


@pytest.mark.parametrize(
    ("end", "reason", "is_logged"),
    [
        (peer_closes, ConnectionEnd.PEER, False),
        (frame_is_late, ConnectionEnd.FRAME_TIMEOUT, False),
        (stream_is_malformed, ConnectionEnd.MALFORMED, False),
        (peer_does_not_read, ConnectionEnd.NOT_READ, False),
        (connection_is_idle, ConnectionEnd.IDLE, False),
        (frontend_stops, ConnectionEnd.DRAINING, False),
        (connection_opens_in_a_drain, ConnectionEnd.DRAINING, False),
        (handling_fails, ConnectionEnd.ERROR, True),
        (slot_is_needed, ConnectionEnd.EVICTED, True),
    ],
)
def test_an_end_is_counted_by_its_reason(
    end: object, reason: ConnectionEnd, is_logged: bool, caplog: pytest.LogCaptureFixture
) -> None:
    harness = RespHarness()
    connection = harness.connect()
    assert callable(end)
    end(harness, connection)
    assert connection.closed and harness.frontend.ends == {reason: 1}
    ended = [each.message for each in caplog.records if "input unread" in each.message]
    assert [f"reason={reason.value} " in message for message in ended] == [True] * is_logged
