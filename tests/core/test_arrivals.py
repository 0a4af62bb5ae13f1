"""The arrival time that idempotency windows are checked against."""

from __future__ import annotations

from marlstep.core.arrivals import effective_arrival_time
from marlstep.units import SECOND
from tests.support.node import START


def test_an_arrival_time_in_the_future_counts_as_now_and_a_past_one_is_kept() -> None:
    assert effective_arrival_time(START, START + SECOND) == START
    assert effective_arrival_time(START, START - SECOND) == START - SECOND
