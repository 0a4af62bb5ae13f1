"""Every parser of peer input, tested with valid messages divided at random and with garbage."""

from __future__ import annotations

import contextlib

from hypothesis import given
from hypothesis import strategies as st

from marlstep.admission.events import Outcome
from marlstep.errors import RemoteProtocolError
from marlstep.frontends.errors import MalformedFrameError
from marlstep.frontends.resp_fields import read_request
from marlstep.frontends.resp_wire import FrameReader, read_fields
from marlstep.frontends.uwsgi_requests import read_cost
from marlstep.frontends.uwsgi_wire import read_variables
from marlstep.platform import kernel
from tests.frontends.support import RespHarness, UwsgiHarness, exec_frame
from tests.platform.test_database import Harness as DatabaseHarness
from tests.support.node import HandClock, HandDial, Notes, Wire
from tests.support.streams import CUTS as CUTS
from tests.support.streams import FIXED as FIXED
from tests.support.streams import GARBAGE as GARBAGE
from tests.support.streams import pieces as pieces
from tests.support.streams import read_all

NOTICES = (
    b"BOOTED hot 1.5\r\nDMESG 1 hello there\r\nREAP 2 a complete 25.3 4\r\n\r\n\r\n\r\n"
    b"IOREQ 3 b 3\r\nask\r\nEINVAL PREEMPT c\r\nREAP 4 b error 0 0\r\n\r\nINFO sync 0.5 1 0.1 3\r\n"
)
OUTCOMES = (Outcome.OK, Outcome.REJECTED, Outcome.TIMEOUT, Outcome.ERROR, Outcome.NOT_STARTED)
REPLIES = (b"r1 ROWS 4\r\n\r\n\r\n\r\n", b"r1 FULL\r\n", b"r1 TIMEOUT\r\n", b"r1 FAIL\r\n", b"r1 NONE\r\n")


def kernel_connection() -> tuple[Wire, Notes]:
    clock, notes = HandClock(), Notes()
    dial = HandDial()
    kernel.KernelClient(("127.0.0.1", 1), ("cpu",), clock.timeline, lambda: notes, dial).open()
    return dial.accept(), notes


def database_connection() -> tuple[Wire, Notes]:
    harness = DatabaseHarness()
    return harness.open(), harness.notes


@FIXED
@given(CUTS)
def test_kernel_and_database_are_read_the_same_however_the_stream_is_divided(cuts: list[int]) -> None:
    kernel_wire, notes = kernel_connection()
    for part in pieces(NOTICES, cuts):
        kernel_wire.feed(part)
    assert [(event, id) for event, id, *_ in notes.told] == [
        ("ended", "a"),
        ("needs", "b"),
        ("ended", "b"),
        ("gauges", {"cpu": 0.5}),
    ]
    assert not kernel_wire.closed
    for reply, expected in zip(REPLIES, OUTCOMES, strict=True):
        database_wire, notes = database_connection()
        for part in pieces(reply, cuts):
            database_wire.feed(part)
        assert [(id, outcome) for _, id, outcome, _ in notes.told] == [("r1", expected)]
        assert not database_wire.closed


@FIXED
@given(GARBAGE, CUTS)
def test_garbage_closes_at_most_its_own_connection(garbage: bytes, cuts: list[int]) -> None:
    resp, uwsgi = RespHarness(), UwsgiHarness()
    good, bad, packets = resp.connect(), resp.connect(), uwsgi.connect()
    resp.feed(good, exec_frame(1))
    for part in pieces(garbage, cuts):
        for wire in (bad, packets, kernel_connection()[0], database_connection()[0]):
            wire.feed(part)
    resp.desk.clock.settle()
    resp.end(1)
    assert b"done" in good.take()


@FIXED
@given(st.binary(max_size=200), st.text(max_size=20))
def test_readers_of_parts_raise_only_what_their_callers_catch(data: bytes, text: str) -> None:
    for read in (read_variables, read_fields, lambda word: read_request(b"x", word, b"")):
        with contextlib.suppress(RemoteProtocolError):
            read(data)
    read_cost(text)
    try:
        read_all(FrameReader().next, [data])
    except MalformedFrameError as fault:
        assert fault.tag is None or fault.tag > 0
