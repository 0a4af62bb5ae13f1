"""Backoff delays between attempts to connect."""

from __future__ import annotations

from marlstep.net.backoff import Backoff
from marlstep.units import MILLISECOND


def test_the_delay_doubles_up_to_the_maximum_and_starts_over_after_a_reset() -> None:
    backoff = Backoff(20 * MILLISECOND, 100 * MILLISECOND)
    delays = [backoff.next_delay() / MILLISECOND for _ in range(5)]
    assert delays == [20, 40, 80, 100, 100]
    backoff.reset()
    assert backoff.next_delay() == 20 * MILLISECOND
