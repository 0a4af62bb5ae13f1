"""A process's estimate of its demand."""

from __future__ import annotations

from marlstep.membership.quota_lease import DemandEstimator
from marlstep.units import MILLISECOND
from tests.membership.support import NOW


def test_demand_follows_what_comes_and_forgets_who_is_gone() -> None:
    demand, now, count = DemandEstimator(), NOW, 0
    for _ in range(20):
        now += 500 * MILLISECOND
        count += 20
        told = dict(demand.estimate(now, {"t": count}))
    assert 38_000 < told["t"] <= 40_000
    assert demand.estimate(now, {"t": count}) == tuple(told.items())  # no time passed
    for _ in range(20):
        now += 500 * MILLISECOND
        told = dict(demand.estimate(now, {"t": count}))
    assert told["t"] < 1_000 and not demand.estimate(now, {})
