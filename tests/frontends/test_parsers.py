"""Every parser against valid messages cut at random and against garbage, from fixed seeds."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from marlstep.admission.events import Outcome
from marlstep.errors import RemoteProtocolError
from marlstep.frontends.errors import MalformedFrameError
from marlstep.frontends.resp_fields import read_request
from marlstep.frontends.resp_tags import TagTracker
from marlstep.frontends.resp_wire import (
    FrameReader,
    read_fields,
    write_fields,
    write_frame,
)
from marlstep.frontends.uwsgi_requests import read_cost
from marlstep.frontends.uwsgi_wire import PacketReader, read_variables, write_packet
from marlstep.net.ring import LineTooLongError, Ring
from marlstep.platform import kernel
from tests.frontends.test_resp import Platform, exec_frame
from tests.frontends.test_uwsgi import Gateway
from tests.platform.test_database import Rig
from tests.support.node import HandClock, HandDial, Notes, Wire

FIXED = settings(derandomize=True, max_examples=150, deadline=None, database=None)
CUTS = st.lists(st.integers(1, 60), min_size=1, max_size=20)


def pieces(data: bytes, cuts: list[int]) -> list[bytes]:
    parts: list[bytes] = []
    at = 0
    while at < len(data):
        size = cuts[len(parts) % len(cuts)]
        parts.append(data[at : at + size])
        at += size
    return parts


def read_all(next_one: Callable[[Ring], Any], parts: list[bytes], size: int = 4096) -> list[Any]:
    ring, found = Ring(size), []
    for part in parts:
        assert ring.put(part) == len(part)
        while (one := next_one(ring)) is not None:
            found.append(one)
    return found


WORDS = st.tuples(
    st.sampled_from([b"EXEC", b"ALIVE"]),
    st.integers(1, 10**9).map(lambda tag: b"%d" % tag),
    st.binary(max_size=20),
    st.binary(max_size=100),
    st.binary(max_size=300),
)


@FIXED
@given(st.lists(WORDS, max_size=6), CUTS)
def test_resp_frames_come_whole_however_they_are_cut(
    frames: list[tuple[bytes, ...]], cuts: list[int]
) -> None:
    stream = b"".join(write_frame(*words) for words in frames)
    assert read_all(FrameReader().next, pieces(stream, cuts)) == [list(words) for words in frames]


@FIXED
@given(WORDS, st.integers(0, 200), st.binary(min_size=1, max_size=2), st.integers(0, 40))
@example((b"EXEC", b"1", b"", b"", b""), 39, b"\r\n", 0)  # a fault behind a frame was laid to its tag
def test_the_short_way_reads_what_the_long_one_does(
    words: tuple[bytes, ...], at: int, noise: bytes, before: int
) -> None:
    # Guards against a request that is read otherwise when it comes in one piece than when it comes in many.
    frame = write_frame(b"EXEC", *words[1:])
    spoilt = frame[:at] + noise + frame[at + len(noise) :]
    for stream in (frame, spoilt):
        results = []
        for parts in ([stream], pieces(stream, [1])):
            ring, reader, found = Ring(700), FrameReader(), list[Any]()
            ring.put(b"x" * before)
            ring.skip(before - 1 if before else 0)
            for number, part in enumerate(parts):
                ring.put(part)
                if number == 0 and before:
                    ring.skip(1)
                try:
                    while (one := reader.next(ring)) is not None:
                        found.append(one)
                except MalformedFrameError as fault:
                    found.append((str(fault), fault.tag))
                    break
            results.append(found)
        assert results[0] == results[1]


@FIXED
@given(
    st.dictionaries(st.text("abcKEY_-"), st.text("abc\xe9 "), min_size=1, max_size=5),
    st.binary(max_size=50),
    CUTS,
)
def test_uwsgi_packets_come_whole_however_they_are_cut(
    variables: dict[str, str], body: bytes, cuts: list[int]
) -> None:
    packet = write_packet({**variables, "CONTENT_LENGTH": str(len(body))}, body)
    found, again = read_all(PacketReader(50).next, pieces(packet * 2, cuts))
    assert found == again and found.raw == packet
    assert found.variables == {**variables, "CONTENT_LENGTH": str(len(body))}


NOTICES = (
    b"BOOTED hot 1.5\r\nDMESG 1 hello there\r\nREAP 2 a complete 25.3 4\r\n\r\n\r\n\r\n"
    b"IOREQ 3 b 3\r\nask\r\nEINVAL PREEMPT c\r\nREAP 4 b error 0 0\r\n\r\nINFO sync 0.5 1 0.1 3\r\n"
)
OUTCOMES = (Outcome.OK, Outcome.REJECTED, Outcome.TIMEOUT, Outcome.ERROR, Outcome.NOT_STARTED)
REPLIES = (b"r1 ROWS 4\r\n\r\n\r\n\r\n", b"r1 FULL\r\n", b"r1 TIMEOUT\r\n", b"r1 FAIL\r\n", b"r1 NONE\r\n")


def kernel_link() -> tuple[Wire, Notes]:
    clock, notes = HandClock(), Notes()
    dial = HandDial()
    kernel.Kernel(("127.0.0.1", 1), ("cpu",), clock.timeline, lambda: notes, dial).open()
    return dial.accept(), notes


def database_link() -> tuple[Wire, Notes]:
    rig = Rig()
    return rig.open(), rig.notes


@FIXED
@given(CUTS)
def test_the_links_read_the_same_however_it_is_cut(cuts: list[int]) -> None:
    cores, told = kernel_link()
    for part in pieces(NOTICES, cuts):
        cores.feed(part)
    assert [(what, id) for what, id, *_ in told.told] == [
        ("ended", "a"),
        ("needs", "b"),
        ("ended", "b"),
        ("gauges", {"cpu": 0.5}),
    ]
    assert not cores.closed
    for reply, outcome in zip(REPLIES, OUTCOMES, strict=True):
        below, called = database_link()
        for part in pieces(reply, cuts):
            below.feed(part)
        assert [(id, end) for _, id, end, _ in called.told] == [("r1", outcome)]
        assert not below.closed


SPICE = st.sampled_from(
    [b"*5\r\n", b"$4\r\n", b"EXEC\r\n", b"\r\n", b"REAP 1 a ", b"ROWS ", b"INFO x ", b"\0\4\0\0"]
)
GARBAGE = st.lists(SPICE | st.binary(max_size=40), max_size=12).map(b"".join)


@FIXED
@given(GARBAGE, CUTS)
def test_garbage_ends_a_connection_at_the_most_and_no_other(garbage: bytes, cuts: list[int]) -> None:
    platform, gateway = Platform(), Gateway()
    good, bad, odd = platform.connect(), platform.connect(), gateway.connect()
    platform.feed(good, exec_frame(1))
    for part in pieces(garbage, cuts):
        for wire in (bad, odd, kernel_link()[0], database_link()[0]):
            wire.feed(part)
    platform.desk.clock.settle()
    platform.end(1)
    assert b"done" in good.take()


@FIXED
@given(st.binary(max_size=200), st.text(max_size=20))
def test_the_readers_of_parts_raise_what_their_callers_catch(data: bytes, text: str) -> None:
    for read in (read_variables, read_fields, lambda word: read_request(b"x", word, b"")):
        with contextlib.suppress(RemoteProtocolError):
            read(data)
    read_cost(text)
    try:
        read_all(FrameReader().next, [data])
    except MalformedFrameError as fault:
        assert fault.tag is None or fault.tag > 0


@FIXED
@given(st.dictionaries(st.text("abc", min_size=1), st.text("xyz.09")))
def test_fields_come_back_as_written(fields: dict[str, str]) -> None:
    assert read_fields(write_fields(fields)) == fields


@FIXED
@given(st.permutations(range(1, 30)))
def test_each_tag_is_taken_once_in_any_order(order: list[int]) -> None:
    tags = TagTracker()
    assert all(tags.take(tag) for tag in order)
    assert not any(tags.take(tag) for tag in order)


@FIXED
@given(st.lists(st.binary(max_size=9) | st.integers(0, 9), max_size=40))
@example([b"abcd\r\n"])
@example([b"0123456789abc", 13, b"ab\r\ncd"])
@example([b"abcde\r\n"])
@example([b"\r\n"])
def test_a_ring_gives_back_what_was_put_in(steps: list[bytes | int]) -> None:
    ring, model = Ring(16), b""
    for step in steps:
        if isinstance(step, bytes):
            done = ring.put(step)
            assert done == min(len(step), 16 - len(model))
            model += step[:done]
        else:
            assert ring.take(step) == model[:step]
            model = model[step:]
        assert (ring.used, ring.peek(99)) == (len(model), model)
    end = model[:6].find(b"\r\n")
    if end >= 0:
        assert ring.line(4) == model[:end] and ring.used == len(model) - end - 2
    elif len(model) >= 6:
        with pytest.raises(LineTooLongError):
            ring.line(4)
    else:
        assert ring.line(4) is None and ring.used == len(model)
