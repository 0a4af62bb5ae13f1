"""The RESP frontend: responses by tag, invalid requests, and when connections close."""

from datetime import datetime, timedelta

import pytest

from marlstep.core.interfaces import ClaimCallback, ClaimResult
from marlstep.frontends.resp_wire import write_frame
from marlstep.frontends.time_slices import SHARED_TIME, TimeSlices
from marlstep.units import SECOND
from tests.frontends.support import FIELDS, START_MS, RespHarness, exec_frame, instant_ms
from tests.support.node import START, FakeTransport


def test_a_response_carries_the_tag_and_the_result_unchanged() -> None:
    harness = RespHarness()
    connection = harness.connect()
    harness.feed(connection, exec_frame(7))
    harness.end_run(7, b"a\r\n\0b")
    assert connection.take() == write_frame(b"7", b"done", b"", b"a\r\n\0b")


class UnsureSibling:
    """A sibling process that answers every claim with UNSURE: the work may have run there."""

    def claim(
        self, request_class: str, key: str, label: str, now: datetime, on_decided: ClaimCallback, /
    ) -> bool:
        on_decided(ClaimResult.UNSURE)
        return True


class SilentSibling:
    """A sibling process that never answers a claim: the work may have run there."""

    def claim(
        self, request_class: str, key: str, label: str, now: datetime, on_decided: ClaimCallback, /
    ) -> bool:
        return True


def test_a_request_whose_claim_is_not_answered_by_its_deadline_is_not_rejected() -> None:
    # Guards against a rejection of work that may have run: a client may send rejected work to another node.
    harness = RespHarness()
    connection = harness.connect()
    harness.node.core.siblings = SilentSibling()
    harness.feed(connection, exec_frame(1, b"setpoint-cmd", fields=FIELDS + b",once=k"))
    assert connection.take() == b""
    harness.node.clock.advance(10_000)
    assert connection.take() == write_frame(b"1", b"error", b"", b"") and harness.node.core.in_flight == 0


def test_an_immediate_failure_leaves_no_request_open_on_its_connection() -> None:
    # Guards against a response that is sent before the frontend has recorded the request as open. The request then
    # stayed open, and its connection was never closed.
    harness = RespHarness()
    connection = harness.connect()
    harness.node.core.siblings = UnsureSibling()
    harness.feed(connection, exec_frame(1, b"setpoint-cmd", fields=FIELDS + b",once=k"))
    assert connection.take() == write_frame(b"1", b"error", b"", b"")
    harness.frontend.stop_accepting()
    harness.node.clock.advance(500)
    assert connection.closed and harness.node.core.in_flight == 0


def test_health_checks_get_responses_and_each_carries_the_advertised_value() -> None:
    harness = RespHarness()
    connection = harness.connect()
    harness.node.core._signals.advertised_value = 2.5
    harness.feed(connection, write_frame(b"ALIVE", b"8", b""))
    harness.node.core.serving_state.quiesce()
    harness.feed(connection, write_frame(b"ALIVE", b"9"))
    assert connection.take() == write_frame(b"8", b"healthy", b"say=2.5000", b"") + write_frame(
        b"9", b"sick", b"say=2.5000", b""
    )
    other = harness.connect()
    for is_healthy, word in ((False, b"sick"), (True, b"healthy")):  # on an existing and on a new connection
        (harness.node.core.serving_state.resume if is_healthy else harness.node.core.serving_state.quiesce)()
        for number, checked in enumerate((connection, other), 10 + 2 * is_healthy):
            harness.feed(checked, write_frame(b"ALIVE", b"%d" % number, b""))
            assert checked.take() == write_frame(b"%d" % number, word, b"say=2.5000", b"")


def test_a_rejection_carries_retry_after() -> None:
    harness = RespHarness()
    harness.node.core.drain(harness.node.clock.now() + 3 * SECOND)
    harness.node.clock.advance(2490)
    connection = harness.connect()
    harness.node.clock.advance(110)
    connection.take()
    late_fields = b"at=%d,from=4,kb=24.5,rank=0.6250" % (START_MS + 2600)
    harness.feed(connection, exec_frame(1, fields=late_fields))
    assert connection.take() == write_frame(b"1", b"later", b"after=1000", b"")


@pytest.mark.parametrize(
    "frame",
    [
        exec_frame(2, request_class=b"no-such"),
        exec_frame(2, fields=b"at=,kb=1"),
        exec_frame(2, fields=b"at=%d,kb=0" % START_MS),
        exec_frame(2, fields=b"at=%d,kb=nan" % START_MS),
        exec_frame(2, fields=b"at=%d,kb=1,kb=1" % START_MS),
        exec_frame(2, fields=b"at=99999999999999,kb=1,cost=inf"),
        exec_frame(2, request_class=b"\xff\xfe"),
        write_frame(b"EXEC", b"2", b"temp-history", FIELDS, b""),
        write_frame(b"EXEC", b"2"),
        write_frame(b"WHAT", b"2"),
        exec_frame(2).replace(b"%016x" % 2, b"%016x" % 1),
    ],
)
def test_an_invalid_request_gets_an_error_and_the_connection_stays_open(frame: bytes) -> None:
    harness = RespHarness()
    connection = harness.connect()
    harness.feed(connection, exec_frame(1) + frame + exec_frame(3))
    assert connection.take() == write_frame(b"2", b"error", b"", b"")
    harness.end_run(1)
    harness.end_run(3)
    assert connection.take() == b"".join(write_frame(tag, b"done", b"", b"result") for tag in (b"1", b"3"))


@pytest.mark.parametrize(
    ("malformed", "failed_tag"),
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
    malformed: bytes, failed_tag: bytes
) -> None:
    harness = RespHarness()
    connection, other = harness.connect(), harness.connect()
    harness.feed(connection, exec_frame(1))
    harness.feed(connection, malformed + exec_frame(5))
    expected = write_frame(failed_tag, b"error", b"", b"") if failed_tag else b""
    assert connection.take() == expected + write_frame(b"0", b"closing") and not connection.closed
    harness.end_run(1)
    assert connection.take() == write_frame(b"1", b"done", b"", b"result") and connection.closed
    harness.feed(other, write_frame(b"ALIVE", b"1"))
    assert other.take() and harness.node.core.counts["read"] == 1


def test_requests_whose_tags_have_gaps_are_all_answered() -> None:
    # Guards against lost requests of a client that numbers the requests of all its connections together: its 1,025th
    # tag beyond a gap ended the connection, and the requests behind it got no answer.
    harness = RespHarness()
    connection = harness.connect()
    bursts = [range(first, first + 12) for first in range(13, 3_000, 24)]
    for burst in bursts:
        harness.feed(connection, b"".join(write_frame(b"ALIVE", b"%d" % tag) for tag in burst))
        expected = b"".join(write_frame(b"%d" % tag, b"healthy", b"", b"") for tag in burst)
        assert connection.take() == expected and not connection.closed
    late_forgets = b"".join(write_frame(b"FORGET", b"%d" % burst[0]) for burst in bursts)
    harness.feed(connection, late_forgets)
    assert connection.take() == b"" and not connection.closed


def test_a_repeated_tag_of_an_open_request_is_found_after_any_number_of_others() -> None:
    # Guards against two requests under one tag, of which the client could not tell the answers apart.
    harness = RespHarness()
    connection = harness.connect()
    harness.feed(connection, exec_frame(3))
    harness.feed(connection, b"".join(write_frame(b"ALIVE", b"%d" % tag) for tag in range(5, 1_000, 2)))
    connection.take()
    harness.feed(connection, exec_frame(3))
    assert connection.take() == write_frame(b"0", b"closing") and harness.node.core.in_flight == 1


def test_a_request_beyond_32_open_ones_gets_an_error_and_the_32_are_accepted() -> None:
    harness = RespHarness()
    connection = harness.connect()
    harness.feed(connection, b"".join(exec_frame(tag) for tag in range(1, 34)))
    assert connection.take() == write_frame(b"33", b"error", b"", b"")
    assert harness.node.core.unanswered == 32


def test_an_idle_connection_gets_a_closing_frame_before_it_is_closed() -> None:
    harness = RespHarness()
    connection = harness.connect()
    harness.feed(connection, write_frame(b"ALIVE", b"9"))
    connection.take()
    harness.node.clock.advance(15_000)
    assert connection.take() == write_frame(b"0", b"closing") and not connection.closed
    crossing_fields = b"at=%d,from=4,kb=24.5,rank=0.6250" % (START_MS + 15_000)
    harness.feed(connection, exec_frame(1, fields=crossing_fields))
    harness.node.clock.advance(100)
    harness.end_run(1)
    assert b"done" in connection.take()
    harness.node.clock.advance(2_000)
    assert connection.closed and len(harness.frontend.connections) == 0


def test_reading_pauses_while_the_peer_does_not_read_and_no_response_is_lost() -> None:
    harness = RespHarness(cores=6)
    connection = harness.connect()
    connection.stream.pause_writing()
    harness.feed(connection, b"".join(exec_frame(tag) for tag in range(1, 7)))
    for tag in range(1, 7):
        harness.end_run(tag, b"x" * 4096)
    assert connection.paused and not connection.written
    connection.stream.resume_writing()
    assert connection.take().count(b"done") == 6 and not connection.paused


def test_a_closed_connection_cancels_its_own_requests_and_no_others() -> None:
    harness = RespHarness()
    connection, other = harness.connect(), harness.connect()
    harness.feed(connection, exec_frame(1))
    harness.feed(other, exec_frame(2))
    connection.close()
    harness.node.clock.settle()
    harness.end_run(2)
    assert harness.node.core.unanswered == 0
    assert other.take() == write_frame(b"2", b"done", b"", b"result")


def test_a_draining_frontend_closes_peers_with_an_incomplete_frame_or_that_do_not_read() -> None:
    # Guards against connections that never close and whose descriptors are never released.
    harness = RespHarness()
    stalled, not_reading = harness.connect(), harness.connect()
    stalled.feed(exec_frame(1)[:20])
    not_reading.stream.pause_writing()
    harness.feed(not_reading, write_frame(b"ALIVE", b"1") + b"garbage\r\n")
    assert not not_reading.closed
    harness.frontend.stop_accepting()
    harness.node.clock.advance(5_000)
    assert stalled.closed and not_reading.closed and len(harness.frontend.connections) == 0


def test_a_peer_that_does_not_read_is_disconnected_after_the_read_timeout() -> None:
    # Guards against queued responses on many such connections that use up the memory of the node.
    harness = RespHarness(cores=6)
    connection = harness.connect()
    connection.stream.pause_writing()
    harness.feed(connection, b"".join(exec_frame(tag) for tag in range(1, 7)))
    for tag in range(1, 7):
        harness.end_run(tag, b"x" * 4096)
    harness.node.clock.advance(1_400)
    assert not connection.closed
    harness.node.clock.advance(101)
    assert connection.closed and len(harness.frontend.connections) == 0


@pytest.mark.parametrize("part", [b"", b"*", exec_frame(1)[:40], exec_frame(1, body=b"x" * 2000)[:-9]])
def test_a_connection_without_a_complete_frame_is_closed_after_the_read_timeout(part: bytes) -> None:
    # Guards against silent connections and incomplete requests that hold their descriptors for 15 s and longer.
    harness = RespHarness()
    silent, served = harness.connect(), harness.connect()
    harness.feed(served, exec_frame(9))
    served.feed(part)
    silent.feed(part)
    harness.node.clock.advance(1_501)
    assert silent.closed and not served.closed
    harness.end_run(9)
    assert b"done" in served.take() and served.closed == bool(part)


def test_a_frame_that_arrives_slowly_but_in_time_is_served_and_the_connection_stays_open() -> None:
    harness = RespHarness()
    connection = harness.connect()
    for tag in (1, 2):
        fields = b"at=%d,from=4,kb=1" % instant_ms(harness)
        frame = exec_frame(tag, fields=fields)
        harness.feed(connection, frame[:30])
        harness.node.clock.advance(1_000)
        harness.feed(connection, frame[30:])
        harness.node.clock.advance(600)
        harness.end_run(tag)
    assert connection.take().count(b"done") == 2
    harness.node.clock.advance(5_000)
    assert not connection.closed


@pytest.mark.parametrize("first_ends_before_the_frame", [False, True])
def test_a_frame_written_slowly_behind_an_open_request_gets_its_response(
    first_ends_before_the_frame: bool,
) -> None:
    # Guards against a request whose last byte is accepted, and which is never answered.
    harness = RespHarness(cores=4)
    connection = harness.connect()
    frames = [exec_frame(tag, fields=b"at=%d,from=4,kb=1" % instant_ms(harness)) for tag in (1, 2, 3)]
    harness.feed(connection, frames[0] + frames[1][:30])
    for _ in range(2):
        harness.node.clock.advance(900)
        harness.feed(connection, frames[1][30:31])
        frames[1] = frames[1][:30] + frames[1][31:]
    harness.feed(connection, frames[1][30:] + frames[2])
    for tag in (1, 2, 3) if first_ends_before_the_frame else (3, 2, 1):
        harness.end_run(tag)
    written = connection.take()
    assert written.count(b"*4\r\n") == 3 and b"$1\r\n2\r\n$4\r\ndone" in written
    harness.node.clock.advance(1_501)
    assert not connection.closed


def test_a_frame_that_is_never_complete_is_not_read_beyond_the_last_response() -> None:
    # Guards against a connection that stays open for ever with a part of a frame.
    harness = RespHarness()
    connection = harness.connect()
    harness.feed(connection, exec_frame(1) + exec_frame(2)[:30])
    for _ in range(2):
        harness.node.clock.advance(900)
        harness.feed(connection, b"x")
    assert not connection.closed
    harness.end_run(1)
    assert connection.closed and b"done" in connection.take()


def test_hundreds_of_silent_connections_leave_slots_for_others() -> None:
    # Guards against connections that send nothing and fill the table, so that others are rejected (758 in one run).
    harness = RespHarness(limit=40)
    active = harness.connect()
    harness.feed(active, write_frame(b"ALIVE", b"1"))
    for _ in range(300):
        harness.connect()
        harness.node.clock.advance(11)
        assert len(harness.frontend.connections) <= 12
    other = harness.connect()
    harness.feed(other, write_frame(b"ALIVE", b"1"))
    assert b"healthy" in other.take() and not active.closed


def test_the_longest_idle_connections_are_evicted_first_for_new_ones() -> None:
    # Guards against clients whose idle connections use up the descriptors (505 of 512 in one run).
    harness = RespHarness(limit=40)
    active, busy = harness.connect(), harness.connect()
    harness.feed(busy, exec_frame(1))
    idle_connections = []
    for number in range(100):
        idle_connections.append(harness.connect())
        harness.feed(idle_connections[-1], write_frame(b"ALIVE", b"1"))
        harness.feed(active, write_frame(b"ALIVE", b"%d" % (number + 1)))
        harness.node.clock.advance(10)
    assert idle_connections[0].take().endswith(write_frame(b"0", b"closing"))
    harness.node.clock.advance(1_000)
    assert len(harness.frontend.connections) <= 40
    assert not active.closed and not busy.closed and not idle_connections[-1].closed


def test_a_lowered_idle_limit_closes_idle_connections_and_not_busy_ones() -> None:
    harness = RespHarness()
    connections = [harness.connect() for _ in range(2)]
    for connection in connections:
        harness.feed(connection, write_frame(b"ALIVE", b"1"))
    harness.feed(connections[0], exec_frame(2))
    harness.frontend.limit_idle_time(SECOND)
    harness.node.clock.advance(1_100)
    assert b"closing" not in connections[0].take() and b"closing" in connections[1].take()


NO_SUCH_CLASS = b"no-such"


def test_a_connection_with_eight_invalid_requests_is_drained_and_closed() -> None:
    # Guards against a client whose endless invalid requests each cost parsing and a response.
    harness = RespHarness()
    connection = harness.connect()
    for tag in range(1, 8):
        harness.feed(connection, exec_frame(tag, request_class=NO_SUCH_CLASS))
    assert b"closing" not in connection.take()
    harness.feed(connection, exec_frame(8, request_class=NO_SUCH_CLASS))
    error = write_frame(b"8", b"error", b"", b"")
    assert connection.take() == error + write_frame(b"0", b"closing")
    harness.node.clock.advance(250)
    assert connection.closed


def test_a_client_that_goes_on_with_invalid_requests_is_closed_at_the_announced_time() -> None:
    harness = RespHarness()
    connection = harness.connect()
    answered = 0
    for tag in range(1, 100):
        harness.feed(connection, exec_frame(tag, request_class=NO_SUCH_CLASS))
        answered += connection.take().count(b"error")
        harness.node.clock.advance(10)
        if connection.closed:
            break
    assert connection.closed and 8 <= answered <= 30


def test_requests_behind_eight_invalid_ones_are_answered_before_the_connection_closes() -> None:
    # Guards against lost requests of clients that share a connection with the one whose requests are invalid.
    harness = RespHarness()
    connection = harness.connect()
    harness.feed(connection, exec_frame(1))
    invalid = b"".join(exec_frame(tag, request_class=NO_SUCH_CLASS) for tag in range(2, 10))
    harness.feed(connection, invalid + exec_frame(10) + exec_frame(11))
    assert harness.node.core.unanswered == 3 and not connection.closed
    harness.node.clock.advance(250)
    harness.feed(connection, exec_frame(12))  # after the announced close nothing more is read
    for tag in (1, 10, 11):
        harness.end_run(tag)
        harness.node.clock.settle()
    responses = connection.take()
    assert all(b"\r\n%d\r\n$4\r\ndone\r\n" % tag in responses for tag in (1, 10, 11))
    assert connection.closed and harness.node.core.counts["read"] == 3


def test_requests_beyond_the_capacity_of_the_process_do_not_count_as_invalid() -> None:
    harness = RespHarness()
    harness.node.core.set_capacity_share(1.0, 1)
    connection = harness.connect()
    harness.feed(connection, b"".join(exec_frame(tag) for tag in range(1, 14)))
    responses = connection.take()
    assert responses.count(b"error") == 12 and b"closing" not in responses and not connection.closed


def test_a_new_connection_gets_a_slot_of_an_unproven_one_after_the_table_shrank() -> None:
    # Guards against resets of new connections while a crowd fills a table whose capacity another process got.
    harness = RespHarness(limit=8)
    crowd = [harness.connect() for _ in range(6)]
    proven = harness.connect()
    harness.feed(proven, exec_frame(1))
    harness.frontend.connections.capacity = 4
    new = harness.connect()
    harness.feed(new, exec_frame(2))
    assert not new.closed and not proven.closed and harness.node.core.in_flight == 2
    assert [connection.closed for connection in crowd] == [True] * 4 + [False] * 2
    assert len(harness.frontend.connections) == 4


def test_a_new_connection_is_closed_if_all_slots_of_a_shrunk_table_are_in_use() -> None:
    harness = RespHarness(limit=8)
    busy = [harness.connect() for _ in range(4)]
    for number, connection in enumerate(busy, 1):
        harness.feed(connection, exec_frame(number))
    harness.frontend.connections.capacity = 2
    assert harness.connect().closed and not any(connection.closed for connection in busy)


class SteppingClock:
    """A clock that advances by a step with each look at it."""

    def __init__(self, step: timedelta) -> None:
        self._now, self._step = START, step

    def now(self) -> datetime:
        self._now += self._step
        return self._now


def flooded_harness(step: timedelta) -> RespHarness:
    """Return a frontend whose shared time is used up after `SHARED_TIME / step` questions."""
    harness = RespHarness()
    harness.frontend.time_slices = TimeSlices(SteppingClock(step).now, harness.node.clock.timeline.soon)
    return harness


def health_checks(count: int) -> bytes:
    return b"".join(write_frame(b"ALIVE", b"%d" % tag) for tag in range(1, count + 1))


def answer_count(connection: FakeTransport) -> int:
    return connection.take().count(b"healthy")


def test_a_connection_leaves_frames_to_later_iterations_once_the_time_is_used_up() -> None:
    # Guards against other clients that wait while many small frames are handled; on a slow machine a number of bytes
    # says little about the time.
    harness = flooded_harness(SHARED_TIME)
    connection, other = harness.connect(), harness.connect()
    connection.feed(health_checks(40))
    connection.stream.eof_received()  # complete frames are left, so the connection stays open
    other.feed(health_checks(1))
    answered = [answer_count(connection)]
    assert answer_count(other) == 1
    harness.node.clock.advance(2_000)  # a connection that is held back is not timed out
    answered.append(answer_count(connection))
    assert answered[0] == 16 and sum(answered) == 40 and connection.closed


def test_a_reset_ends_a_connection_that_is_held_back(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = flooded_harness(SHARED_TIME)
    connection = harness.connect()
    connection.feed(health_checks(40))
    monkeypatch.setattr(connection.stream, "is_reset", lambda: True)
    harness.node.clock.settle()
    assert connection.closed and answer_count(connection) == 16
