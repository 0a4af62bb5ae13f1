"""Clock drift beyond the bound is detected from heartbeats."""

from __future__ import annotations

import pytest

from marlstep.leases.clock_drift import ClockDriftMonitor
from marlstep.units import MILLISECOND, SECOND, ZERO
from tests.leases.support import NOW


@pytest.mark.parametrize(
    ("rate", "detected"), [(1.0, False), (1.01, False), (0.99, False), (1.2, True), (0.8, True)]
)
def test_a_clock_beyond_the_drift_bound_is_detected_and_late_heartbeats_are_tolerated(
    rate: float, detected: bool
) -> None:
    monitor = ClockDriftMonitor(0.01)
    observed = []
    for second in range(60):
        delay = 900 * MILLISECOND if second in (5, 20, 21, 40) else ZERO  # a suspended process, a slow link
        observed.append(monitor.observe("a", NOW + second * rate * SECOND, NOW + second * SECOND + delay))
    errors = [error for error in observed if error is not None]
    assert bool(errors) is detected and monitor.exceeds_bound("a") is detected
    assert all(abs(error - (rate - 1)) < 0.25 for error in errors)
