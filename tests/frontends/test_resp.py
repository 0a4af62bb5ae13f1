"""The RESP frontend: responses by tag, invalid requests, and when connections close."""

from datetime import datetime

import pytest

from marlstep.core.interfaces import ClaimCallback, ClaimResult
from marlstep.frontends.resp_wire import write_frame
from marlstep.units import SECOND
from tests.frontends.support import AT, FIELDS, RespHarness, exec_frame, instant_ms


def test_a_response_carries_the_tag_and_the_result_unchanged() -> None:
    harness = RespHarness()
    wire = harness.connect()
    harness.feed(wire, exec_frame(7))
    harness.end(7, b"a\r\n\0b")
    assert wire.take() == write_frame(b"7", b"done", b"", b"a\r\n\0b")


class UnsureSibling:
    """A sibling process that answers every claim with UNSURE: the work may have run there."""

    def claim(
        self, request_class: str, key: str, label: str, now: datetime, on_decided: ClaimCallback, /
    ) -> bool:
        on_decided(ClaimResult.UNSURE)
        return True


def test_an_immediate_rejection_leaves_no_request_open_on_its_connection() -> None:
    # Guards against a response that is sent before the frontend has recorded the request as open. The request then
    # stayed open, and its connection was never closed.
    harness = RespHarness()
    wire = harness.connect()
    harness.desk.core.siblings = UnsureSibling()
    harness.feed(wire, exec_frame(1, b"setpoint-cmd", fields=FIELDS + b",once=k"))
    assert wire.take() == write_frame(b"1", b"later", b"after=1000", b"")
    harness.frontend.stop_accepting()
    harness.desk.clock.advance(500)
    assert wire.closed and harness.desk.core.in_flight == 0


def test_health_checks_get_responses_and_each_carries_the_advertised_value() -> None:
    harness = RespHarness()
    wire = harness.connect()
    harness.desk.core._signals.advertised_value = 2.5
    harness.feed(wire, write_frame(b"ALIVE", b"8", b""))
    harness.desk.core.serving_state.quiesce()
    harness.feed(wire, write_frame(b"ALIVE", b"9"))
    assert wire.take() == write_frame(b"8", b"healthy", b"say=2.5000", b"") + write_frame(
        b"9", b"sick", b"say=2.5000", b""
    )
    other = harness.connect()
    for good, word in ((False, b"sick"), (True, b"healthy")):  # on an existing and on a new connection
        (harness.desk.core.serving_state.resume if good else harness.desk.core.serving_state.quiesce)()
        for number, one in enumerate((wire, other), 10 + 2 * good):
            harness.feed(one, write_frame(b"ALIVE", b"%d" % number, b""))
            assert one.take() == write_frame(b"%d" % number, word, b"say=2.5000", b"")


def test_a_rejection_carries_retry_after() -> None:
    harness = RespHarness()
    harness.desk.core.drain(harness.desk.clock.now() + 3 * SECOND)
    harness.desk.clock.advance(2490)
    wire = harness.connect()
    harness.desk.clock.advance(110)
    wire.take()
    late = b"at=%d,from=4,kb=24.5,rank=0.6250" % (AT + 2600)
    harness.feed(wire, exec_frame(1, fields=late))
    assert wire.take() == write_frame(b"1", b"later", b"after=1000", b"")


@pytest.mark.parametrize(
    "frame",
    [
        exec_frame(2, request_class=b"no-such"),
        exec_frame(2, fields=b"at=,kb=1"),
        exec_frame(2, fields=b"at=%d,kb=0" % AT),
        exec_frame(2, fields=b"at=%d,kb=nan" % AT),
        exec_frame(2, fields=b"at=%d,kb=1,kb=1" % AT),
        exec_frame(2, fields=b"at=99999999999999,kb=1,cost=inf"),
        exec_frame(2, request_class=b"\xff\xfe"),
        write_frame(b"EXEC", b"2", b"temp-history", FIELDS, b""),
        write_frame(b"EXEC", b"2"),
        write_frame(b"WHAT", b"2"),
        exec_frame(2).replace(b"%016x" % 2, b"%016x" % 1),
    ],
)
def test_an_invalid_request_gets_an_error_and_the_connection_goes_on(frame: bytes) -> None:
    harness = RespHarness()
    wire = harness.connect()
    harness.feed(wire, exec_frame(1) + frame + exec_frame(3))
    assert wire.take() == write_frame(b"2", b"error", b"", b"")
    harness.end(1)
    harness.end(3)
    assert wire.take() == b"".join(write_frame(tag, b"done", b"", b"result") for tag in (b"1", b"3"))


@pytest.mark.parametrize(
    ("bad", "failed"),
    [
        (b"garbage\r\n", b""),
        (b"*9\r\n", b""),
        (b"*5\r\n$-1\r\n", b""),
        (b"*5\r\n$4\r\nEXEC\r\n$1\r\n0\r\n$1\r\nx\r\n$0\r\n\r\n$0\r\n\r\n", b""),
        (b"x" * 100, b""),
        (exec_frame(1), b""),  # a tag that was used before
        (exec_frame(2, body=b"x" * 2049), b"2"),
        (b"*5\r\n$4\r\nEXEC\r\n$1\r\n2\r\n$3\r\ntemp-history\r\n", b"2"),
    ],
)
def test_after_a_malformed_frame_open_requests_get_responses_and_the_connection_closes(
    bad: bytes, failed: bytes
) -> None:
    harness = RespHarness()
    wire, other = harness.connect(), harness.connect()
    harness.feed(wire, exec_frame(1))
    harness.feed(wire, bad + exec_frame(5))
    expected = write_frame(failed, b"error", b"", b"") if failed else b""
    assert wire.take() == expected + write_frame(b"0", b"closing") and not wire.closed
    harness.end(1)
    assert wire.take() == write_frame(b"1", b"done", b"", b"result") and wire.closed
    harness.feed(other, write_frame(b"ALIVE", b"1"))
    assert other.take() and harness.desk.core.counts["read"] == 1


def test_requests_over_32_open_get_errors_and_the_32_are_served() -> None:
    harness = RespHarness()
    wire = harness.connect()
    harness.feed(wire, b"".join(exec_frame(tag) for tag in range(1, 34)))
    assert wire.take() == write_frame(b"33", b"error", b"", b"")
    assert harness.desk.core.unanswered == 32


def test_an_idle_connection_gets_a_closing_frame_before_it_is_closed() -> None:
    harness = RespHarness()
    wire = harness.connect()
    harness.feed(wire, write_frame(b"ALIVE", b"9"))
    wire.take()
    harness.desk.clock.advance(15_000)
    assert wire.take() == write_frame(b"0", b"closing") and not wire.closed
    crossed = b"at=%d,from=4,kb=24.5,rank=0.6250" % (AT + 15_000)
    harness.feed(wire, exec_frame(1, fields=crossed))
    harness.desk.clock.advance(100)
    harness.end(1)
    assert b"done" in wire.take()
    harness.desk.clock.advance(2_000)
    assert wire.closed and len(harness.frontend.connections) == 0


def test_a_peer_that_does_not_read_is_read_no_further_and_loses_no_response() -> None:
    harness = RespHarness(cores=6)
    wire = harness.connect()
    wire.stream.pause_writing()
    harness.feed(wire, b"".join(exec_frame(tag) for tag in range(1, 7)))
    for tag in range(1, 7):
        harness.end(tag, b"x" * 4096)
    assert wire.paused and not wire.written
    wire.stream.resume_writing()
    assert wire.take().count(b"done") == 6 and not wire.paused


def test_a_closed_connection_cancels_its_own_requests_and_no_others() -> None:
    harness = RespHarness()
    wire, other = harness.connect(), harness.connect()
    harness.feed(wire, exec_frame(1))
    harness.feed(other, exec_frame(2))
    wire.close()
    harness.desk.clock.settle()
    harness.end(2)
    assert harness.desk.core.unanswered == 0
    assert other.take() == write_frame(b"2", b"done", b"", b"result")


def test_a_draining_frontend_closes_peers_that_stay_inside_a_frame_or_do_not_read() -> None:
    # Guards against connections that never close and whose descriptors are never released.
    harness = RespHarness()
    stalled, not_reading = harness.connect(), harness.connect()
    stalled.feed(exec_frame(1)[:20])
    not_reading.stream.pause_writing()
    harness.feed(not_reading, write_frame(b"ALIVE", b"1") + b"garbage\r\n")
    assert not not_reading.closed
    harness.frontend.stop_accepting()
    harness.desk.clock.advance(5_000)
    assert stalled.closed and not_reading.closed and len(harness.frontend.connections) == 0


def test_a_peer_that_does_not_read_is_disconnected_after_the_read_timeout() -> None:
    # Guards against queued responses on many such connections that use up the memory of the node.
    harness = RespHarness(cores=6)
    wire = harness.connect()
    wire.stream.pause_writing()
    harness.feed(wire, b"".join(exec_frame(tag) for tag in range(1, 7)))
    for tag in range(1, 7):
        harness.end(tag, b"x" * 4096)
    harness.desk.clock.advance(1_400)
    assert not wire.closed
    harness.desk.clock.advance(101)
    assert wire.closed and len(harness.frontend.connections) == 0


@pytest.mark.parametrize("part", [b"", b"*", exec_frame(1)[:40], exec_frame(1, body=b"x" * 2000)[:-9]])
def test_a_connection_without_a_complete_frame_is_closed_after_the_read_timeout(part: bytes) -> None:
    # Guards against silent connections and incomplete requests that hold their descriptors for 15 s and longer.
    harness = RespHarness()
    silent, served = harness.connect(), harness.connect()
    harness.feed(served, exec_frame(9))
    served.feed(part)
    silent.feed(part)
    harness.desk.clock.advance(1_501)
    assert silent.closed and not served.closed
    harness.end(9)
    assert b"done" in served.take() and served.closed == bool(part)


def test_a_frame_that_comes_slowly_but_in_time_is_served_and_the_connection_stays() -> None:
    harness = RespHarness()
    wire = harness.connect()
    for tag in (1, 2):
        fields = b"at=%d,from=4,kb=1" % instant_ms(harness)
        frame = exec_frame(tag, fields=fields)
        harness.feed(wire, frame[:30])
        harness.desk.clock.advance(1_000)
        harness.feed(wire, frame[30:])
        harness.desk.clock.advance(600)
        harness.end(tag)
    assert wire.take().count(b"done") == 2
    harness.desk.clock.advance(5_000)
    assert not wire.closed


def test_hundreds_of_silent_connections_leave_slots_for_others() -> None:
    # Guards against connections that send nothing and fill the table, so that others are rejected (758 in one run).
    harness = RespHarness(limit=40)
    active = harness.connect()
    harness.feed(active, write_frame(b"ALIVE", b"1"))
    for _ in range(300):
        harness.connect()
        harness.desk.clock.advance(11)
        assert len(harness.frontend.connections) <= 12
    other = harness.connect()
    harness.feed(other, write_frame(b"ALIVE", b"1"))
    assert b"healthy" in other.take() and not active.closed


def test_idle_connections_close_for_new_ones_the_longest_idle_first() -> None:
    # Guards against clients whose idle connections use up the descriptors (505 of 512 in one run).
    harness = RespHarness(limit=40)
    active, busy = harness.connect(), harness.connect()
    harness.feed(busy, exec_frame(1))
    stayed = []
    for number in range(100):
        stayed.append(harness.connect())
        harness.feed(stayed[-1], write_frame(b"ALIVE", b"1"))
        harness.feed(active, write_frame(b"ALIVE", b"%d" % (number + 1)))
        harness.desk.clock.advance(10)
    assert stayed[0].take().endswith(write_frame(b"0", b"closing"))
    harness.desk.clock.advance(1_000)
    assert len(harness.frontend.connections) <= 40
    assert not active.closed and not busy.closed and not stayed[-1].closed


def test_a_lowered_idle_limit_closes_idle_connections_and_not_busy_ones() -> None:
    harness = RespHarness()
    wires = [harness.connect() for _ in range(2)]
    for wire in wires:
        harness.feed(wire, write_frame(b"ALIVE", b"1"))
    harness.feed(wires[0], exec_frame(2))
    harness.frontend.limit_idle_time(SECOND)
    harness.desk.clock.advance(1_100)
    assert b"closing" not in wires[0].take() and b"closing" in wires[1].take()


def test_a_connection_with_eight_invalid_requests_is_closed() -> None:
    # Guards against a client whose endless invalid requests each cost parsing, a response and a log line.
    harness = RespHarness()
    wire = harness.connect()
    harness.feed(wire, b"".join(exec_frame(tag, request_class=b"no-such") for tag in range(1, 100)))
    responses = wire.take()
    assert wire.closed and responses.count(b"error") == 8 and b"closing" in responses
