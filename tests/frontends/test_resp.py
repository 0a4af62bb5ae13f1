"""The platform's front: answers on their tags, and a stated policy for all that is bad."""

from datetime import datetime

import pytest

from marlstep.admission.events import Outcome
from marlstep.core.interfaces import ClaimCallback, ClaimResult
from marlstep.frontends.resp import RespConnection, RespFrontend
from marlstep.frontends.resp_wire import write_frame
from marlstep.units import SECOND, instant_us
from tests.support.node import START, Desk, Wire

AT = instant_us(START) // 1000
FIELDS = b"at=%d,from=4,kb=24.5,rank=0.6250,cost=12.50" % AT


def exec_frame(
    tag: int, kind: bytes = b"temp-history", body: bytes = b"body", fields: bytes = FIELDS
) -> bytes:
    return write_frame(b"EXEC", b"%d" % tag, kind, b"id=%016x," % tag + fields, body)


class Platform:
    def __init__(self, cores: int = 2, limit: int = 8) -> None:
        self.desk = Desk(cores)
        clock = self.desk.clock
        self.front = RespFrontend(self.desk.core, clock.timeline, self.desk.backend, limit, 15 * SECOND)
        self.desk.core.add_frontend(self.front)
        self.desk.core._signals.advertised_value = None

    def connect(self) -> Wire:
        return Wire(RespConnection(self.front))

    def feed(self, wire: Wire, data: bytes) -> None:
        wire.feed(data)
        self.desk.clock.settle()

    def end(self, tag: int, result: bytes = b"result") -> None:
        self.desk.core.run_ended(f"{tag:016x}", Outcome.OK, SECOND, result)
        self.desk.clock.settle()


def test_an_answer_carries_the_tag_and_the_result_unchanged() -> None:
    platform = Platform()
    wire = platform.connect()
    platform.feed(wire, exec_frame(7))
    platform.end(7, b"a\r\n\0b")
    assert wire.take() == write_frame(b"7", b"done", b"", b"a\r\n\0b")


class Unsure:
    """Another process that may have run the work, and can't say."""

    def claim(self, kind: str, once: str, id: str, now: datetime, told: ClaimCallback) -> bool:
        told(ClaimResult.UNSURE)
        return True


def test_a_refusal_that_is_known_at_once_leaves_nothing_open_on_its_connection() -> None:
    # Guards against an answer that leaves before the front has noted its request: the connection never closed.
    platform = Platform()
    wire = platform.connect()
    platform.desk.core.siblings = Unsure()
    platform.feed(wire, exec_frame(1, b"setpoint-cmd", fields=FIELDS + b",once=k"))
    assert wire.take() == write_frame(b"1", b"later", b"after=1000", b"")
    platform.front.stop_accepting()
    platform.desk.clock.advance(500)
    assert wire.closed and platform.desk.core.in_flight == 0


def test_health_checks_are_answered_and_every_answer_carries_the_free_value() -> None:
    platform = Platform()
    wire = platform.connect()
    platform.desk.core._signals.advertised_value = 2.5
    platform.feed(wire, write_frame(b"ALIVE", b"8", b""))
    platform.desk.core.serving_state.quiesce()
    platform.feed(wire, write_frame(b"ALIVE", b"9"))
    assert wire.take() == write_frame(b"8", b"healthy", b"say=2.5000", b"") + write_frame(
        b"9", b"sick", b"say=2.5000", b""
    )
    other = platform.connect()
    for good, word in ((False, b"sick"), (True, b"healthy")):  # on connections old and new
        (platform.desk.core.serving_state.resume if good else platform.desk.core.serving_state.quiesce)()
        for number, one in enumerate((wire, other), 10 + 2 * good):
            platform.feed(one, write_frame(b"ALIVE", b"%d" % number, b""))
            assert one.take() == write_frame(b"%d" % number, word, b"say=2.5000", b"")


def test_a_refusal_says_when_to_come_back() -> None:
    platform = Platform()
    platform.desk.core.drain(platform.desk.clock.now() + 3 * SECOND)
    platform.desk.clock.advance(2490)
    wire = platform.connect()
    platform.desk.clock.advance(110)
    wire.take()
    late = b"at=%d,from=4,kb=24.5,rank=0.6250" % (AT + 2600)
    platform.feed(wire, exec_frame(1, fields=late))
    assert wire.take() == write_frame(b"1", b"later", b"after=1000", b"")


@pytest.mark.parametrize(
    "frame",
    [
        exec_frame(2, kind=b"no-such"),
        exec_frame(2, fields=b"at=,kb=1"),
        exec_frame(2, fields=b"at=%d,kb=0" % AT),
        exec_frame(2, fields=b"at=%d,kb=nan" % AT),
        exec_frame(2, fields=b"at=%d,kb=1,kb=1" % AT),
        exec_frame(2, fields=b"at=99999999999999,kb=1,cost=inf"),
        exec_frame(2, kind=b"\xff\xfe"),
        write_frame(b"EXEC", b"2", b"temp-history", FIELDS, b""),
        write_frame(b"EXEC", b"2"),
        write_frame(b"WHAT", b"2"),
        exec_frame(2).replace(b"%016x" % 2, b"%016x" % 1),
    ],
)
def test_what_can_be_read_but_not_had_is_failed_and_the_connection_goes_on(frame: bytes) -> None:
    platform = Platform()
    wire = platform.connect()
    platform.feed(wire, exec_frame(1) + frame + exec_frame(3))
    assert wire.take() == write_frame(b"2", b"error", b"", b"")
    platform.end(1)
    platform.end(3)
    assert wire.take() == b"".join(write_frame(tag, b"done", b"", b"result") for tag in (b"1", b"3"))


@pytest.mark.parametrize(
    ("bad", "failed"),
    [
        (b"garbage\r\n", b""),
        (b"*9\r\n", b""),
        (b"*5\r\n$-1\r\n", b""),
        (b"*5\r\n$4\r\nEXEC\r\n$1\r\n0\r\n$1\r\nx\r\n$0\r\n\r\n$0\r\n\r\n", b""),
        (b"x" * 100, b""),
        (exec_frame(1), b""),  # a tag that comes again
        (exec_frame(2, body=b"x" * 2049), b"2"),
        (b"*5\r\n$4\r\nEXEC\r\n$1\r\n2\r\n$3\r\ntemp-history\r\n", b"2"),
    ],
)
def test_after_what_cannot_be_read_the_open_is_answered_and_the_connection_closed(
    bad: bytes, failed: bytes
) -> None:
    platform = Platform()
    wire, other = platform.connect(), platform.connect()
    platform.feed(wire, exec_frame(1))
    platform.feed(wire, bad + exec_frame(5))
    expected = write_frame(failed, b"error", b"", b"") if failed else b""
    assert wire.take() == expected + write_frame(b"0", b"closing") and not wire.closed
    platform.end(1)
    assert wire.take() == write_frame(b"1", b"done", b"", b"result") and wire.closed
    platform.feed(other, write_frame(b"ALIVE", b"1"))
    assert other.take() and platform.desk.core.counts["read"] == 1


def test_over_32_open_are_failed_and_the_32_are_served() -> None:
    platform = Platform()
    wire = platform.connect()
    platform.feed(wire, b"".join(exec_frame(tag) for tag in range(1, 34)))
    assert wire.take() == write_frame(b"33", b"error", b"", b"")
    assert platform.desk.core.unanswered == 32


def test_an_idle_connection_is_told_before_it_is_closed() -> None:
    platform = Platform()
    wire = platform.connect()
    platform.feed(wire, write_frame(b"ALIVE", b"9"))
    wire.take()
    platform.desk.clock.advance(15_000)
    assert wire.take() == write_frame(b"0", b"closing") and not wire.closed
    crossed = b"at=%d,from=4,kb=24.5,rank=0.6250" % (AT + 15_000)
    platform.feed(wire, exec_frame(1, fields=crossed))
    platform.desk.clock.advance(100)
    platform.end(1)
    assert b"done" in wire.take()
    platform.desk.clock.advance(2_000)
    assert wire.closed and len(platform.front.connections) == 0


def test_a_peer_that_takes_no_answers_is_read_no_further_and_loses_none() -> None:
    platform = Platform(cores=6)
    wire = platform.connect()
    wire.stream.pause_writing()
    platform.feed(wire, b"".join(exec_frame(tag) for tag in range(1, 7)))
    for tag in range(1, 7):
        platform.end(tag, b"x" * 4096)
    assert wire.paused and not wire.written
    wire.stream.resume_writing()
    assert wire.take().count(b"done") == 6 and not wire.paused


def test_a_lost_connection_takes_its_requests_along_and_no_other() -> None:
    platform = Platform()
    wire, other = platform.connect(), platform.connect()
    platform.feed(wire, exec_frame(1))
    platform.feed(other, exec_frame(2))
    wire.close()
    platform.desk.clock.settle()
    platform.end(2)
    assert platform.desk.core.unanswered == 0
    assert other.take() == write_frame(b"2", b"done", b"", b"result")


def test_a_peer_that_stays_inside_a_frame_or_takes_no_answer_is_cut_off_in_the_end() -> None:
    # Guards against connections, and with them descriptors, that are never given back.
    platform = Platform()
    stalled, deaf = platform.connect(), platform.connect()
    stalled.feed(exec_frame(1)[:20])
    deaf.stream.pause_writing()
    platform.feed(deaf, write_frame(b"ALIVE", b"1") + b"garbage\r\n")
    assert not deaf.closed
    platform.front.stop_accepting()
    platform.desk.clock.advance(5_000)
    assert stalled.closed and deaf.closed and len(platform.front.connections) == 0


def test_a_peer_that_takes_no_answers_is_cut_off() -> None:
    # Guards against answers that pile up, over many connections, until the node is out of memory.
    platform = Platform(cores=6)
    wire = platform.connect()
    wire.stream.pause_writing()
    platform.feed(wire, b"".join(exec_frame(tag) for tag in range(1, 7)))
    for tag in range(1, 7):
        platform.end(tag, b"x" * 4096)
    platform.desk.clock.advance(1_400)
    assert not wire.closed
    platform.desk.clock.advance(101)
    assert wire.closed and len(platform.front.connections) == 0


@pytest.mark.parametrize("part", [b"", b"*", exec_frame(1)[:40], exec_frame(1, body=b"x" * 2000)[:-9]])
def test_who_brings_nothing_whole_is_closed_on_in_time(part: bytes) -> None:
    # Guards against silent connections and half requests, which kept their descriptors for 15 s and longer.
    platform = Platform()
    silent, served = platform.connect(), platform.connect()
    platform.feed(served, exec_frame(9))
    served.feed(part)
    silent.feed(part)
    platform.desk.clock.advance(1_501)
    assert silent.closed and not served.closed
    platform.end(9)
    assert b"done" in served.take() and served.closed == bool(part)


def test_a_frame_that_comes_slowly_but_in_time_is_served_and_the_connection_stays() -> None:
    platform = Platform()
    wire = platform.connect()
    for tag in (1, 2):
        fields = b"at=%d,from=4,kb=1" % instant_ms(platform)
        frame = exec_frame(tag, fields=fields)
        platform.feed(wire, frame[:30])
        platform.desk.clock.advance(1_000)
        platform.feed(wire, frame[30:])
        platform.desk.clock.advance(600)
        platform.end(tag)
    assert wire.take().count(b"done") == 2
    platform.desk.clock.advance(5_000)
    assert not wire.closed


def instant_ms(platform: Platform) -> int:
    return instant_us(platform.desk.clock.now()) // 1000


def test_silent_connections_by_the_hundred_leave_room_for_the_front_ends() -> None:
    # Guards against a table full of connections that never say anything: 758 were turned away on one bad day.
    platform = Platform(limit=40)
    ours = platform.connect()
    platform.feed(ours, write_frame(b"ALIVE", b"1"))
    for _ in range(300):
        platform.connect()
        platform.desk.clock.advance(11)
        assert len(platform.front.connections) <= 12
    other = platform.connect()
    platform.feed(other, write_frame(b"ALIVE", b"1"))
    assert b"healthy" in other.take() and not ours.closed


def test_connections_that_asked_once_and_stay_make_room_the_longest_quiet_first() -> None:
    # Guards against descriptors that clients keep for good: 505 of 512 were in use on one bad day.
    platform = Platform(limit=40)
    ours, busy = platform.connect(), platform.connect()
    platform.feed(busy, exec_frame(1))
    stayed = []
    for number in range(100):
        stayed.append(platform.connect())
        platform.feed(stayed[-1], write_frame(b"ALIVE", b"1"))
        platform.feed(ours, write_frame(b"ALIVE", b"%d" % (number + 1)))
        platform.desk.clock.advance(10)
    assert stayed[0].take().endswith(write_frame(b"0", b"closing"))
    platform.desk.clock.advance(1_000)
    assert len(platform.front.connections) <= 40
    assert not ours.closed and not busy.closed and not stayed[-1].closed


def test_a_quiet_connection_that_makes_room_is_told_and_closed_and_one_in_use_is_not() -> None:
    platform = Platform()
    wires = [platform.connect() for _ in range(2)]
    for wire in wires:
        platform.feed(wire, write_frame(b"ALIVE", b"1"))
    platform.feed(wires[0], exec_frame(2))
    platform.front.limit_idle_time(SECOND)
    platform.desk.clock.advance(1_100)
    assert b"closing" not in wires[0].take() and b"closing" in wires[1].take()


def test_who_keeps_asking_for_what_cannot_be_had_is_closed_on() -> None:
    # Guards against a client that costs a parse, an answer and a log line for every frame it can send.
    platform = Platform()
    wire = platform.connect()
    platform.feed(wire, b"".join(exec_frame(tag, kind=b"no-such") for tag in range(1, 100)))
    answers = wire.take()
    assert wire.closed and answers.count(b"error") == 8 and b"closing" in answers
