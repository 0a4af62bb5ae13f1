"""Each database call ends once, with an outcome that claims no more than is known, and does not affect other calls."""

from __future__ import annotations

import dataclasses

import pytest

from marlstep.admission.events import Outcome
from marlstep.core.interfaces import Request
from marlstep.platform.call_policy import MAX_CONNECTIONS, MAX_IDLE_CONNECTIONS
from marlstep.platform.database import DatabaseClient
from marlstep.units import SECOND
from tests.support.node import CoreDriver, FakeTransport, ManualClock, ManualDialer, RecordingSink

OLD_ADDRESS, NEW_ADDRESS = ("127.0.0.1", 1), ("127.0.0.1", 2)
ROWS = b"%b ROWS 4\r\nrows\r\n"


class Harness:
    def __init__(self) -> None:
        self.clock, self.sink, self.dial = ManualClock(), RecordingSink(), ManualDialer()
        self.database = DatabaseClient(OLD_ADDRESS, self.clock.timeline, lambda: self.sink, self.dial)
        self.driver = CoreDriver()

    def call(self, number: int = 1, request_class: str = "temp-history") -> Request:
        request_id = f"r{number}"
        request = next((item for item in self.driver.core._requests if item.id == request_id), None)
        if request is None:
            self.driver.submit(number, request_class)
            request = next(item for item in self.driver.core._requests if item.id == request_id)
        request.call_body = b"ask"
        self.database.call(request, self.clock.now() + SECOND / 4)
        return request

    def open(self, number: int = 1, request_class: str = "temp-history") -> FakeTransport:
        """Make a call, accept the new connection that it opens, and return that connection."""
        self.call(number, request_class)
        connection = self.dial.accept()
        assert connection.take() == b"Q r%d 250 3\r\nask\r\n" % number
        return connection

    def outcomes(self) -> list[Outcome]:
        return [outcome for _, _, outcome, _ in self.sink.events]


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
    connection = harness.open()
    connection.feed(reply)
    assert harness.outcomes() == [outcome]
    harness.call(2)
    assert connection.take() == b"Q r2 250 3\r\nask\r\n" and not harness.dial.waiting


@pytest.mark.parametrize(
    "extra_input",
    [ROWS % b"r1", b"", b"r1 FULL\r\n", b"x", b"\r\n"],
)
def test_input_after_a_reply_is_ignored_and_its_connection_is_dropped(extra_input: bytes) -> None:
    # Guards against a duplicate reply that is mistaken for the reply to a later call.
    harness = Harness()
    connection = harness.open()
    connection.feed(ROWS % b"r1" + extra_input)
    assert harness.outcomes() == [Outcome.OK] and connection.closed == bool(extra_input)


def test_a_late_duplicate_reply_drops_the_connection_once_its_next_call_has_ended() -> None:
    harness = Harness()
    connection = harness.open()
    connection.feed(ROWS % b"r1")
    harness.call(2)
    connection.feed(ROWS % b"r1" + ROWS % b"r2")
    assert harness.outcomes() == [Outcome.OK, Outcome.OK] and connection.closed


def test_a_request_does_not_reuse_the_connection_of_its_last_call() -> None:
    harness = Harness()
    connection = harness.open()
    connection.feed(b"r1 FULL\r\n")
    harness.call(1)
    assert not connection.written and len(harness.dial.waiting) == 1


def test_a_reply_under_an_unknown_id_does_not_invalidate_the_reply_after_it() -> None:
    harness = Harness()
    connection = harness.open()
    connection.feed(ROWS % b"zz")
    assert not connection.closed and not harness.outcomes()
    connection.feed(ROWS % b"r1")
    assert harness.outcomes() == [Outcome.OK] and connection.closed


@pytest.mark.parametrize(
    "malformed_reply",
    [b"r1 WHAT\r\n", b"r1 ROWS -1\r\n", b"r1 ROWS 3000000000\r\n", b"r1 ROWS 2\r\nlong\r\n", b"x" * 300],
)
def test_a_malformed_reply_ends_only_its_own_call_which_may_have_run(malformed_reply: bytes) -> None:
    # Guards against one malformed reply that ends all calls, which happened when calls shared a connection.
    harness = Harness()
    connection, other = harness.open(1), harness.open(2)
    connection.feed(malformed_reply)
    assert connection.closed and harness.outcomes() == [Outcome.RESET] and not Outcome.RESET.never_ran
    other.feed(ROWS % b"r2")
    assert harness.outcomes() == [Outcome.RESET, Outcome.OK]


@pytest.mark.parametrize("partial_reply", [b"", b"r1 ROWS 400\r\nrows", b"r1 RO"])
def test_a_call_without_a_complete_reply_times_out_and_its_connection_is_dropped(
    partial_reply: bytes,
) -> None:
    harness = Harness()
    connection = harness.open()
    connection.feed(partial_reply)
    harness.clock.advance(301)
    assert harness.outcomes() == [Outcome.TIMEOUT] and connection.closed


def test_a_call_that_is_abandoned_or_made_again_drops_its_connection() -> None:
    harness = Harness()
    connection = harness.open()
    request = harness.call()
    assert connection.closed
    second_connection = harness.dial.accept()
    second_connection.feed(b"r1 FULL\r\n")
    assert harness.outcomes() == [Outcome.REJECTED]
    harness.database.abandon_call(request)
    assert harness.outcomes() == [Outcome.REJECTED]


def test_an_at_most_once_call_opens_a_connection_even_if_one_is_idle() -> None:
    # Guards against a connection that the database has dropped: after its reset it is unknown whether the call ran.
    harness = Harness()
    idle = harness.open()
    idle.feed(ROWS % b"r1")
    fresh = harness.open(2, "setpoint-cmd")
    assert fresh is not idle and not idle.written


def test_a_call_that_may_use_an_idle_connection_does_so_while_others_wait_for_new_ones() -> None:
    # Guards against opening a connection for nearly every call: 3508 connections for 4066 calls on the "fast" day.
    harness = Harness()
    idle = harness.open()
    idle.feed(ROWS % b"r1")
    harness.call(2, "setpoint-cmd")
    harness.call(3)
    assert idle.take().startswith(b"Q r3 ") and len(harness.dial.waiting) == 1


def test_a_failed_connect_ends_only_the_first_queued_call() -> None:
    harness = Harness()
    harness.call(1)
    harness.call(2)
    harness.dial.refuse()
    assert harness.outcomes() == [Outcome.CONNECT_FAILED]
    harness.dial.accept().feed(ROWS % b"r2")
    assert harness.outcomes() == [Outcome.CONNECT_FAILED, Outcome.OK]


def test_an_idle_connection_is_closed_before_the_database_closes_it() -> None:
    harness = Harness()
    connection = harness.open()
    connection.feed(b"r1 FULL\r\n")
    harness.clock.advance(2001)
    assert connection.closed


def test_connections_of_ended_at_most_once_calls_are_kept_idle_up_to_the_limit() -> None:
    # Guards against dropping all idle connections at once when the limit is exceeded.
    harness = Harness()
    connections = [harness.open(number, "setpoint-cmd") for number in range(1, MAX_IDLE_CONNECTIONS + 3)]
    for number, connection in enumerate(connections, 1):
        connection.feed(ROWS % b"r%d" % number)
    assert [connection.closed for connection in connections] == [True] * 2 + [False] * MAX_IDLE_CONNECTIONS
    harness.call(50)
    assert connections[-1].take() and not harness.dial.waiting


def test_connections_are_bounded_and_further_calls_wait_for_one() -> None:
    harness = Harness()
    [request] = [harness.call()]
    for number in range(2, MAX_CONNECTIONS + 2):
        harness.database.call(
            dataclasses.replace(request, inbound=dataclasses.replace(request.inbound, id=f"r{number}")),
            harness.clock.now() + SECOND,
        )
    assert len(harness.dial.waiting) == MAX_CONNECTIONS
    connections = [harness.dial.accept() for _ in range(MAX_CONNECTIONS)]
    assert not harness.dial.waiting
    connections[0].feed(ROWS % b"r1")
    assert connections[0].take().endswith(b"Q r%d 1000 3\r\nask\r\n" % (MAX_CONNECTIONS + 1))


def test_after_an_address_change_calls_in_flight_finish_and_new_calls_use_the_new_address() -> None:
    harness = Harness()
    busy, idle = harness.open(1), harness.open(2)
    idle.feed(ROWS % b"r2")
    harness.call(3, "setpoint-cmd")
    harness.database.change_address(NEW_ADDRESS)
    harness.call(4)
    assert idle.closed and not busy.closed
    assert [address for _, address, _ in harness.dial.waiting] == [OLD_ADDRESS, NEW_ADDRESS]
    assert harness.dial.accept().closed  # the connection to the old address was still being opened
    assert {address for _, address, _ in harness.dial.waiting} == {NEW_ADDRESS}
    assert [harness.dial.accept().take()[:4] for _ in range(2)] == [b"Q r3", b"Q r4"]
    busy.feed(ROWS % b"r1")
    assert harness.outcomes() == [Outcome.OK, Outcome.OK] and busy.closed


def test_a_call_without_a_database_address_ends_as_connect_failed() -> None:
    harness = Harness()
    harness.database.change_address(None)
    harness.call()
    assert harness.outcomes() == [Outcome.CONNECT_FAILED]


def test_a_close_ends_all_calls_without_an_outcome_and_opens_no_connection() -> None:
    # Guards against a close whose lost connections are reported to the core, which may make the call again.
    harness = Harness()
    connection = harness.open(1)
    harness.call(2)
    harness.database.close()
    harness.clock.advance(5_000)
    assert connection.closed and harness.outcomes() == []
    harness.call(3)
    assert harness.outcomes() == [Outcome.CONNECT_FAILED] and not harness.dial.waiting
