"""Units of time: conversions keep whole microseconds, and waiting times are rounded up."""

from __future__ import annotations

from marlstep.units import SECOND, instant, instant_us, span, span_us, whole_ms
from tests.support.node import START


def test_conversions_are_lossless_and_milliseconds_are_rounded_up() -> None:
    assert instant(instant_us(START)) == START and span(span_us(SECOND)) == SECOND
    assert [whole_ms(span(us)) for us in (0, 1, 1000, 1001)] == [0, 1, 1, 2]
