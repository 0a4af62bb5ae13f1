"""Streams divided at random and streams of garbage, for tests of parsers. Seeds are fixed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st

from marlstep.net.ring import Ring

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


SPICE = st.sampled_from(
    [b"*5\r\n", b"$4\r\n", b"EXEC\r\n", b"\r\n", b"REAP 1 a ", b"ROWS ", b"INFO x ", b"\0\4\0\0"]
)
GARBAGE = st.lists(SPICE | st.binary(max_size=40), max_size=12).map(b"".join)
