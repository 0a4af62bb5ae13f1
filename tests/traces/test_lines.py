"""Tests of splitting a byte stream into lines."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from marlstep.traces.lines import LineSplitter
from tests.frontends.test_parsers import FIXED


@FIXED
@given(st.binary(max_size=300), st.lists(st.integers(1, 40), max_size=12))
def test_lines_are_the_same_however_the_stream_is_chunked(data: bytes, cuts: list[int]) -> None:
    def split_in_chunks(sizes: list[int]) -> list[bytes | None]:
        splitter, lines, at = LineSplitter(max_line_bytes=24), [], 0
        for size in [*sizes, len(data) + 1]:
            lines += splitter.feed(data[at : at + size])
            at += size
        rest = splitter.end()
        return lines if rest is None else [*lines, rest]

    expected = [line if len(line) <= 24 else None for line in data.split(b"\n")]
    if expected[-1] == b"":
        expected.pop()
    assert split_in_chunks(cuts) == expected
