"""Clocks that err beyond the drift are found from heartbeats."""

from __future__ import annotations

import pytest

from marlstep.leases.clock_drift import ClockDriftMonitor
from marlstep.units import MILLISECOND, SECOND, ZERO
from tests.leases.support import NOW


@pytest.mark.parametrize(
    ("rate", "found"), [(1.0, False), (1.01, False), (0.99, False), (1.2, True), (0.8, True)]
)
def test_a_clock_beyond_the_drift_is_told_and_a_late_beat_is_not(rate: float, found: bool) -> None:
    watch = ClockDriftMonitor(0.01)
    told = []
    for second in range(60):
        late = 900 * MILLISECOND if second in (5, 20, 21, 40) else ZERO  # a stopped process, a slow line
        told.append(watch.observe("a", NOW + second * rate * SECOND, NOW + second * SECOND + late))
    errors = [one for one in told if one is not None]
    assert bool(errors) is found and watch.exceeds_bound("a") is found
    assert all(abs(one - (rate - 1)) < 0.25 for one in errors)
