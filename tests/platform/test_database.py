"""Database calls: each ends once, with an outcome that proves no more than is known, and affects no other."""

from __future__ import annotations

import dataclasses

import pytest

from marlstep.admission.events import Outcome
from marlstep.core.interfaces import Request
from marlstep.platform.call_policy import MAX_CONNECTIONS, MAX_IDLE_CONNECTIONS
from marlstep.platform.database import DatabaseClient
from marlstep.units import SECOND
from tests.support.node import Desk, HandClock, HandDial, Notes, Wire

OLD, NEW = ("127.0.0.1", 1), ("127.0.0.1", 2)
ROWS = b"%b ROWS 4\r\nrows\r\n"


class Harness:
    def __init__(self) -> None:
        self.clock, self.notes, self.dial = HandClock(), Notes(), HandDial()
        self.database = DatabaseClient(OLD, self.clock.timeline, lambda: self.notes, self.dial)
        self.desk = Desk()

    def call(self, number: int = 1, request_class: str = "temp-history") -> Request:
        id = f"r{number}"
        request = next((one for one in self.desk.core._requests if one.id == id), None)
        if request is None:
            self.desk.submit(number, request_class)
            request = next(one for one in self.desk.core._requests if one.id == id)
        request.call_body = b"ask"
        self.database.call(request, self.clock.now() + SECOND / 4)
        return request

    def open(self, number: int = 1, request_class: str = "temp-history") -> Wire:
        """A call on a connection of its own."""
        self.call(number, request_class)
        wire = self.dial.accept()
        assert wire.take() == b"Q r%d 250 3\r\nask\r\n" % number
        return wire

    def ends(self) -> list[Outcome]:
        return [outcome for _, _, outcome, _ in self.notes.told]


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (b"r1 ROWS 4\r\nrows\r\n", Outcome.OK),
        (b"r1 FULL\r\n", Outcome.REJECTED),
        (b"r1 FAIL\r\n", Outcome.ERROR),
        (b"r1 TIMEOUT\r\n", Outcome.TIMEOUT),
        (b"r1 NONE\r\n", Outcome.NOT_STARTED),
    ],
)
def test_a_reply_ends_its_call_once_and_its_connection_is_reused(reply: bytes, outcome: Outcome) -> None:
    harness = Harness()
    wire = harness.open()
    wire.feed(reply)
    assert harness.ends() == [outcome]
    harness.call(2)
    assert wire.take() == b"Q r2 250 3\r\nask\r\n" and not harness.dial.waiting


@pytest.mark.parametrize(
    "more",
    [ROWS % b"r1", b"", b"r1 FULL\r\n", b"x", b"\r\n"],
)
def test_a_reply_that_comes_twice_counts_once_and_its_connection_is_dropped(more: bytes) -> None:
    # Guards against a duplicate that is mistaken for the reply to a later call.
    harness = Harness()
    wire = harness.open()
    wire.feed(ROWS % b"r1" + more)
    assert harness.ends() == [Outcome.OK] and wire.closed == bool(more)


def test_a_late_duplicate_reply_drops_the_connection_after_the_call_that_has_it_by_then() -> None:
    harness = Harness()
    wire = harness.open()
    wire.feed(ROWS % b"r1")
    harness.call(2)
    wire.feed(ROWS % b"r1" + ROWS % b"r2")
    assert harness.ends() == [Outcome.OK, Outcome.OK] and wire.closed


def test_a_request_does_not_call_again_on_the_connection_of_its_last_call() -> None:
    harness = Harness()
    wire = harness.open()
    wire.feed(b"r1 FULL\r\n")
    harness.call(1)
    assert not wire.written and len(harness.dial.waiting) == 1


def test_a_reply_under_an_unknown_id_does_not_invalidate_the_reply_after_it() -> None:
    harness = Harness()
    wire = harness.open()
    wire.feed(ROWS % b"zz")
    assert not wire.closed and not harness.ends()
    wire.feed(ROWS % b"r1")
    assert harness.ends() == [Outcome.OK] and wire.closed


@pytest.mark.parametrize(
    "bad",
    [b"r1 WHAT\r\n", b"r1 ROWS -1\r\n", b"r1 ROWS 3000000000\r\n", b"r1 ROWS 2\r\nlong\r\n", b"x" * 300],
)
def test_an_unreadable_reply_ends_its_own_call_as_one_that_may_have_run_and_no_other(bad: bytes) -> None:
    # Guards against one unreadable reply that ends all calls, as it did while they shared a connection.
    harness = Harness()
    wire, other = harness.open(1), harness.open(2)
    wire.feed(bad)
    assert wire.closed and harness.ends() == [Outcome.RESET] and not Outcome.RESET.never_ran
    other.feed(ROWS % b"r2")
    assert harness.ends() == [Outcome.RESET, Outcome.OK]


@pytest.mark.parametrize("part", [b"", b"r1 ROWS 400\r\nrows", b"r1 RO"])
def test_a_call_without_a_complete_reply_times_out_and_its_connection_is_dropped(part: bytes) -> None:
    harness = Harness()
    wire = harness.open()
    wire.feed(part)
    harness.clock.advance(301)
    assert harness.ends() == [Outcome.TIMEOUT] and wire.closed


def test_a_call_that_is_abandoned_or_made_again_drops_its_connection() -> None:
    harness = Harness()
    wire = harness.open()
    request = harness.call()
    assert wire.closed
    again = harness.dial.accept()
    again.feed(b"r1 FULL\r\n")
    assert harness.ends() == [Outcome.REJECTED]
    harness.database.abandon_call(request)
    assert harness.ends() == [Outcome.REJECTED]


def test_an_at_most_once_call_opens_a_connection_even_if_one_is_idle() -> None:
    # Guards against a connection that the other side forgot: its reset leaves open whether the call ran.
    harness = Harness()
    idle = harness.open()
    idle.feed(ROWS % b"r1")
    fresh = harness.open(2, "setpoint-cmd")
    assert fresh is not idle and not idle.written


def test_a_call_that_may_use_an_idle_connection_does_so_while_others_wait_for_new_ones() -> None:
    # Guards against a connection opened for nearly every call: 3508 for 4066 calls on the fast day.
    harness = Harness()
    idle = harness.open()
    idle.feed(ROWS % b"r1")
    harness.call(2, "setpoint-cmd")
    harness.call(3)
    assert idle.take().startswith(b"Q r3 ") and len(harness.dial.waiting) == 1


def test_a_failed_connect_proves_that_the_call_in_the_queue_never_ran() -> None:
    harness = Harness()
    harness.call(1)
    harness.call(2)
    harness.dial.refuse()
    assert harness.ends() == [Outcome.CONNECT_FAILED]
    harness.dial.accept().feed(ROWS % b"r2")
    assert harness.ends() == [Outcome.CONNECT_FAILED, Outcome.OK]


def test_an_idle_connection_is_closed_by_us_before_the_other_side_does() -> None:
    harness = Harness()
    wire = harness.open()
    wire.feed(b"r1 FULL\r\n")
    harness.clock.advance(2001)
    assert wire.closed


def test_of_the_connections_that_at_most_once_calls_leave_some_stay_for_other_calls() -> None:
    # Guards against all idle ones being dropped at once when there were too many.
    harness = Harness()
    wires = [harness.open(number, "setpoint-cmd") for number in range(1, MAX_IDLE_CONNECTIONS + 3)]
    for number, wire in enumerate(wires, 1):
        wire.feed(ROWS % b"r%d" % number)
    assert [wire.closed for wire in wires] == [True] * 2 + [False] * MAX_IDLE_CONNECTIONS
    harness.call(50)
    assert wires[-1].take() and not harness.dial.waiting


def test_connections_are_bounded_and_the_calls_beyond_wait_for_one() -> None:
    harness = Harness()
    [request] = [harness.call()]
    for number in range(2, MAX_CONNECTIONS + 2):
        harness.database.call(
            dataclasses.replace(request, inbound=dataclasses.replace(request.inbound, id=f"r{number}")),
            harness.clock.now() + SECOND,
        )
    assert len(harness.dial.waiting) == MAX_CONNECTIONS
    wires = [harness.dial.accept() for _ in range(MAX_CONNECTIONS)]
    assert not harness.dial.waiting
    wires[0].feed(ROWS % b"r1")
    assert wires[0].take().endswith(b"Q r%d 1000 3\r\nask\r\n" % (MAX_CONNECTIONS + 1))


def test_after_a_move_new_calls_go_to_the_new_address_and_old_ones_end_where_they_are() -> None:
    harness = Harness()
    busy, idle = harness.open(1), harness.open(2)
    idle.feed(ROWS % b"r2")
    harness.call(3, "setpoint-cmd")
    harness.database.change_address(NEW)
    harness.call(4)
    assert idle.closed and not busy.closed
    assert [address for _, address, _ in harness.dial.waiting] == [OLD, NEW]
    assert harness.dial.accept().closed  # it was on its way to the old address
    assert {address for _, address, _ in harness.dial.waiting} == {NEW}
    assert [harness.dial.accept().take()[:4] for _ in range(2)] == [b"Q r3", b"Q r4"]
    busy.feed(ROWS % b"r1")
    assert harness.ends() == [Outcome.OK, Outcome.OK] and busy.closed


def test_without_an_address_a_call_never_runs() -> None:
    harness = Harness()
    harness.database.change_address(None)
    harness.call()
    assert harness.ends() == [Outcome.CONNECT_FAILED]
