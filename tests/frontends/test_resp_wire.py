"""Reading of RESP frames from streams divided at any byte, and of their fields."""

from __future__ import annotations

from typing import Any

from hypothesis import example, given
from hypothesis import strategies as st

from marlstep.frontends.errors import MalformedFrameError
from marlstep.frontends.resp_wire import (
    FrameReader,
    read_fields,
    write_fields,
    write_frame,
    write_response_frame,
)
from marlstep.net.ring import Ring
from tests.support.streams import CUTS, FIXED, pieces, read_all

WORDS = st.tuples(
    st.sampled_from([b"EXEC", b"ALIVE"]),
    st.integers(1, 10**9).map(lambda tag: b"%d" % tag),
    st.binary(max_size=20),
    st.binary(max_size=100),
    st.binary(max_size=300),
)


@FIXED
@given(st.lists(WORDS, max_size=6), CUTS)
def test_frames_are_reassembled_however_the_stream_is_divided(
    frames: list[tuple[bytes, ...]], cuts: list[int]
) -> None:
    stream = b"".join(write_frame(*words) for words in frames)
    assert read_all(FrameReader().next, pieces(stream, cuts)) == [list(words) for words in frames]


@FIXED
@given(WORDS, st.integers(0, 200), st.binary(min_size=1, max_size=2), st.integers(0, 40))
@example((b"EXEC", b"1", b"", b"", b""), 39, b"\r\n", 0)  # a fault after a frame was attributed to its tag
def test_a_request_is_read_alike_in_one_piece_and_byte_by_byte(
    words: tuple[bytes, ...], damage_offset: int, damage: bytes, ring_offset: int
) -> None:
    # Guards against differences between the fast path, for a request that arrives in one piece, and reading by words.
    frame = write_frame(b"EXEC", *words[1:])
    damaged = frame[:damage_offset] + damage + frame[damage_offset + len(damage) :]
    for stream in (frame, damaged):
        results = []
        for parts in ([stream], pieces(stream, [1])):
            ring, reader, outcome = Ring(700), FrameReader(), list[Any]()
            ring.put(b"x" * ring_offset)
            ring.skip(ring_offset - 1 if ring_offset else 0)
            for number, part in enumerate(parts):
                ring.put(part)
                if number == 0 and ring_offset:
                    ring.skip(1)
                try:
                    while (frame_words := reader.next(ring)) is not None:
                        outcome.append(frame_words)
                except MalformedFrameError as error:
                    outcome.append((str(error), error.tag))
                    break
            results.append(outcome)
        assert results[0] == results[1]


@FIXED
@given(st.dictionaries(st.text("abc", min_size=1), st.text("xyz.09")))
def test_fields_are_read_as_they_were_written(fields: dict[str, str]) -> None:
    assert read_fields(write_fields(fields)) == fields


@FIXED
@given(st.integers(1, 10**9), st.binary(max_size=9), st.binary(max_size=40), st.binary(max_size=40))
def test_write_response_frame_returns_the_same_bytes_as_write_frame(
    tag: int, word: bytes, fields: bytes, body: bytes
) -> None:
    assert write_response_frame(tag, word, fields, body) == write_frame(b"%d" % tag, word, fields, body)
