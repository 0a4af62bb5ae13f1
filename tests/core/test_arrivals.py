"""When a request counts as having arrived."""

from __future__ import annotations

from marlstep.core.arrivals import effective_arrival_time
from marlstep.units import SECOND
from tests.support.node import START


def test_a_client_clock_that_runs_ahead_counts_as_now_and_an_early_arrival_as_it_is() -> None:
    assert effective_arrival_time(START, START + SECOND) == START
    assert effective_arrival_time(START, START - SECOND) == START - SECOND
