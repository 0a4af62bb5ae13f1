"""A process's estimate of its demand."""

from __future__ import annotations

from marlstep.membership.quota_lease import DemandEstimator
from marlstep.units import MILLISECOND
from tests.membership.support import NOW


def test_estimated_demand_follows_the_request_rate_and_forgets_absent_tenants() -> None:
    estimator, now, count = DemandEstimator(), NOW, 0
    for _ in range(20):
        now += 500 * MILLISECOND
        count += 20
        rates = dict(estimator.estimate(now, {"t": count}))
    assert 38_000 < rates["t"] <= 40_000
    assert estimator.estimate(now, {"t": count}) == tuple(rates.items())  # no time has passed
    for _ in range(20):
        now += 500 * MILLISECOND
        rates = dict(estimator.estimate(now, {"t": count}))
    assert rates["t"] < 1_000 and not estimator.estimate(now, {})
