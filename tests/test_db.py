"""Calls below: each ends once, with what its end proves."""

from __future__ import annotations

import pytest

from marlstep.core.model import Request
from marlstep.db import Database, DatabaseLink
from marlstep.units import SECOND
from petrelcart.interface import Outcome
from tests.node import Desk, HandClock, Notes, Wire


class Rig:
    def __init__(self) -> None:
        self.clock, self.notes = HandClock(), Notes()
        self.database = Database(("127.0.0.1", 1), self.clock.timeline, lambda: self.notes)
        self.wire = Wire(DatabaseLink(self.database))
        desk = Desk()
        desk.submit(1)
        [self.request] = desk.core._requests
        self.request.call_body = b"ask"

    def call(self) -> Request:
        self.database.call(self.request, self.clock.now() + SECOND / 4)
        return self.request

    def ends(self) -> list[Outcome]:
        return [outcome for _, _, outcome, _ in self.notes.told]


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (b"r1 ROWS 4\r\nrows\r\n", Outcome.OK),
        (b"r1 FULL\r\n", Outcome.FULL),
        (b"r1 FAIL\r\n", Outcome.ERROR),
        (b"r1 TIMEOUT\r\n", Outcome.TIMEOUT),
        (b"r1 NONE\r\n", Outcome.MOOT),
    ],
)
def test_a_reply_ends_its_call_once(reply: bytes, outcome: Outcome) -> None:
    rig = Rig()
    rig.call()
    assert rig.wire.take() == b"Q r1 250 3\r\nask\r\n"
    rig.wire.feed(reply * 2)
    assert rig.ends() == [outcome]


def test_a_call_out_of_time_is_given_up_and_its_late_reply_ignored() -> None:
    rig = Rig()
    rig.call()
    rig.clock.advance(301)
    assert rig.wire.take().endswith(b"X r1\r\n")
    rig.wire.feed(b"r1 ROWS 4\r\nrows\r\n")
    assert rig.ends() == [Outcome.TIMEOUT]


def test_a_connection_that_breaks_under_a_call_proves_nothing() -> None:
    rig = Rig()
    rig.call()
    rig.wire.close()
    assert rig.ends() == [Outcome.RESET] and not Outcome.RESET.never_ran


def test_a_second_call_gives_up_the_first() -> None:
    rig = Rig()
    rig.call()
    rig.call()
    assert rig.wire.take().count(b"X r1\r\n") == 1
    rig.wire.feed(b"r1 FULL\r\n")
    assert rig.ends() == [Outcome.FULL]


def test_an_idle_connection_is_closed_by_us_before_the_other_side_does() -> None:
    rig = Rig()
    rig.call()
    rig.wire.feed(b"r1 FULL\r\n")
    rig.clock.advance(5001)
    assert rig.wire.closed


@pytest.mark.parametrize("bad", [b"r1 WHAT\r\n", b"r1 ROWS -1\r\n", b"r1 ROWS 2\r\nlong\r\n", b"x" * 300])
def test_what_cannot_be_read_ends_the_connection_and_its_calls(bad: bytes) -> None:
    rig = Rig()
    rig.call()
    rig.wire.feed(bad)
    assert rig.wire.closed and rig.ends() == [Outcome.RESET]
