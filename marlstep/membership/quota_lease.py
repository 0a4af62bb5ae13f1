"""A process's part of quota sharing: its demand, and the shares that it may use under its configuration lease."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import NamedTuple

from marlstep.leases.messages import QuotaShareRow, TenantDemand
from marlstep.membership.quota_table import FULL_QUOTA
from marlstep.units import MILLISECOND, SECOND

SMOOTHING_TIME = 1_500 * MILLISECOND  # spans several heartbeats


@dataclass(slots=True, frozen=True)
class _Sample:
    at: datetime
    count: int  # requests since the process started
    rate: float  # smoothed requests per second


class DemandEstimator:
    """Estimates the demand of each tenant at one process as an exponentially weighted moving average."""

    def __init__(self, smoothing_time: timedelta = SMOOTHING_TIME) -> None:
        """Initialize without samples; one taken `smoothing_time` after the last replaces the average entirely."""
        self._smoothing_time = smoothing_time
        self._samples: dict[str, _Sample] = {}

    def estimate(self, now: datetime, counts: Mapping[str, int]) -> tuple[TenantDemand, ...]:
        """Return the demand of each tenant in `counts`, the number of requests by tenant since the process started."""
        for tenant in [tenant for tenant in self._samples if tenant not in counts]:
            del self._samples[tenant]
        for tenant, count in counts.items():
            previous = self._samples.get(tenant, _Sample(now, count, 0.0))
            rate = previous.rate
            if elapsed := now - previous.at:
                current_rate = (count - previous.count) * (SECOND / elapsed)
                rate += (current_rate - rate) * min(1.0, elapsed / self._smoothing_time)
            self._samples[tenant] = _Sample(now, count, rate)
        return tuple(
            TenantDemand(tenant, round(sample.rate * 1000)) for tenant, sample in self._samples.items()
        )


class ShrunkShare(NamedTuple):
    """A share that this process has reduced and has to confirm in the log."""

    tenant: str
    share: int  # millionths


class QuotaLease:
    """The shares that one process may use, valid as long as it holds its configuration lease."""

    def __init__(self) -> None:
        """Initialize without shares."""
        self.shares: dict[str, int] = {}
        self._reported: dict[str, int] = {}

    def update(self, rows: tuple[QuotaShareRow, ...]) -> list[ShrunkShare]:
        """Apply the shares of a heartbeat response; return the reduced shares to confirm, each only once.

        A reduced share applies from now on, before it is confirmed.
        """
        self.shares = {tenant: min(granted, target) for tenant, granted, target in rows}
        shrunk = {tenant: target for tenant, granted, target in rows if target < granted}
        unreported = [
            ShrunkShare(tenant, share)
            for tenant, share in shrunk.items()
            if self._reported.get(tenant) != share
        ]
        self._reported = {
            tenant: share for tenant, share in self._reported.items() if shrunk.get(tenant) == share
        }
        self._reported |= dict(unreported)
        return unreported

    def report_lost(self, tenant: str) -> None:
        """Make the next `update` return the tenant's share again, since its confirmation was lost or rejected."""
        self._reported.pop(tenant, None)

    def share_of(self, tenant: str) -> float:
        """Return the share of the tenant's allowance, from 0 to 1; 0 until the leader has granted one."""
        return self.shares.get(tenant, 0) / FULL_QUOTA
