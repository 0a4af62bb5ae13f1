"""The ring buffer, compared with a model that is a plain bytes object."""

from __future__ import annotations

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from marlstep.net.ring import LineTooLongError, Ring, RingRangeError
from tests.support.streams import FIXED


@FIXED
@given(st.lists(st.binary(max_size=9) | st.integers(0, 9), max_size=40))
@example([b"abcd\r\n"])
@example([b"0123456789abc", 13, b"ab\r\ncd"])
@example([b"abcde\r\n"])
@example([b"\r\n"])
def test_a_ring_returns_bytes_in_the_order_they_were_put_in(steps: list[bytes | int]) -> None:
    ring, model = Ring(16), b""
    for step in steps:
        if isinstance(step, bytes):
            accepted = ring.put(step)
            assert accepted == min(len(step), 16 - len(model))
            model += step[:accepted]
        else:
            assert ring.take(step) == model[:step]
            model = model[step:]
        assert (ring.used, ring.peek(99)) == (len(model), model)
    line_length = model[:6].find(b"\r\n")
    if line_length >= 0:
        assert ring.line(4) == model[:line_length] and ring.used == len(model) - line_length - 2
    elif len(model) >= 6:
        with pytest.raises(LineTooLongError):
            ring.line(4)
    else:
        assert ring.line(4) is None and ring.used == len(model)


@pytest.mark.parametrize("count", [-1, 3])
def test_skipping_a_negative_count_or_more_than_is_used_raises(count: int) -> None:
    ring = Ring(4)
    ring.put(b"ab")
    with pytest.raises(RingRangeError) as raised:
        ring.skip(count)
    assert (raised.value.count, raised.value.limit) == (count, 2)
