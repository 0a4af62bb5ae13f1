"""Hypothesis strategies for byte streams split at random and for garbage, with fixed seeds, for tests of parsers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st

from marlstep.net.ring import Ring

FIXED = settings(derandomize=True, max_examples=150, deadline=None, database=None)
CUTS = st.lists(st.integers(1, 60), min_size=1, max_size=20)


def pieces(data: bytes, cuts: list[int]) -> list[bytes]:
    """Split data into parts whose sizes in bytes are those of `cuts`, repeated in a cycle."""
    parts: list[bytes] = []
    offset = 0
    while offset < len(data):
        size = cuts[len(parts) % len(cuts)]
        parts.append(data[offset : offset + size])
        offset += size
    return parts


def read_all(read_next: Callable[[Ring], Any], parts: list[bytes], size: int = 4096) -> list[Any]:
    """Put each part into a ring buffer of `size` bytes and return all items that `read_next` reads from it."""
    ring, items = Ring(size), []
    for part in parts:
        assert ring.put(part) == len(part)
        while (item := read_next(ring)) is not None:
            items.append(item)
    return items


PROTOCOL_FRAGMENTS = st.sampled_from(
    [b"*5\r\n", b"$4\r\n", b"EXEC\r\n", b"\r\n", b"REAP 1 a ", b"ROWS ", b"INFO x ", b"\0\4\0\0"]
)
GARBAGE = st.lists(PROTOCOL_FRAGMENTS | st.binary(max_size=40), max_size=12).map(b"".join)
