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
from tests.support.node import FakeTransport, ManualClock, ManualDialer, RecordingSink
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


def connect_to_kernel() -> tuple[FakeTransport, RecordingSink]:
    clock, notes = ManualClock(), RecordingSink()
    dial = ManualDialer()
    kernel.KernelClient(("127.0.0.1", 1), ("cpu",), clock.timeline, lambda: notes, dial).open()
    return dial.accept(), notes


def connect_to_database() -> tuple[FakeTransport, RecordingSink]:
    harness = DatabaseHarness()
    return harness.open(), harness.sink


@FIXED
@given(CUTS)
def test_kernel_and_database_messages_are_read_alike_however_the_stream_is_divided(cuts: list[int]) -> None:
    kernel_connection, notes = connect_to_kernel()
    for part in pieces(NOTICES, cuts):
        kernel_connection.feed(part)
    assert [(event, id) for event, id, *_ in notes.events] == [
        ("ended", "a"),
        ("needs", "b"),
        ("ended", "b"),
        ("gauges", {"cpu": 0.5}),
    ]
    assert not kernel_connection.closed
    for reply, expected in zip(REPLIES, OUTCOMES, strict=True):
        database_connection, notes = connect_to_database()
        for part in pieces(reply, cuts):
            database_connection.feed(part)
        assert [(id, outcome) for _, id, outcome, _ in notes.events] == [("r1", expected)]
        assert not database_connection.closed


@FIXED
@given(GARBAGE, CUTS)
def test_garbage_closes_at_most_its_own_connection(garbage: bytes, cuts: list[int]) -> None:
    resp, uwsgi = RespHarness(), UwsgiHarness()
    served, malformed, uwsgi_connection = resp.connect(), resp.connect(), uwsgi.connect()
    resp.feed(served, exec_frame(1))
    for part in pieces(garbage, cuts):
        for connection in (malformed, uwsgi_connection, connect_to_kernel()[0], connect_to_database()[0]):
            connection.feed(part)
    resp.node.clock.settle()
    resp.end_run(1)
    assert b"done" in served.take()


@FIXED
@given(st.binary(max_size=200), st.text(max_size=20))
def test_parsers_of_message_parts_raise_only_errors_that_their_callers_catch(data: bytes, text: str) -> None:
    for read in (read_variables, read_fields, lambda word: read_request(b"x", word, b"")):
        with contextlib.suppress(RemoteProtocolError):
            read(data)
    read_cost(text)
    try:
        read_all(FrameReader().next, [data])
    except MalformedFrameError as error:
        assert error.tag is None or error.tag > 0
