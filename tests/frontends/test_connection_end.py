"""Each end of a connection is counted under its first cause, and logged if input may be lost with it."""

from __future__ import annotations

import pytest

from marlstep.frontends.connection_end import ConnectionEnd
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


def slot_is_needed(harness: RespHarness, connection: FakeTransport) -> None:
    harness.node.clock.advance(200)
    for _ in range(2):
        harness.connect()


@pytest.mark.parametrize(
    ("end", "reason", "is_logged"),
    [
        (peer_closes, ConnectionEnd.PEER, False),
        (frame_is_late, ConnectionEnd.FRAME_TIMEOUT, False),
        (stream_is_malformed, ConnectionEnd.MALFORMED, False),
        (peer_does_not_read, ConnectionEnd.NOT_READ, False),
        (connection_is_idle, ConnectionEnd.IDLE, False),
        (frontend_stops, ConnectionEnd.DRAINING, False),
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
    assert [f"reason={reason.value}" in message for message in ended] == [True] * is_logged
