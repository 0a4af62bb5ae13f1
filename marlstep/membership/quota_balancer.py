"""The leader's part of quota sharing: move shares of each tenant's allowance to the processes with demand."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import datetime, timedelta

from marlstep.membership.quota_commands import GrowShare, QuotaCommand, SetTenants, ShrinkShare
from marlstep.membership.quota_table import FULL_QUOTA, QuotaShare, QuotaTable
from marlstep.units import MILLISECOND

BALANCE_INTERVAL = 300 * MILLISECOND
# Share of each allowance that is split evenly, so that a process without demand can serve its first requests.
RESERVED_SHARE = 0.04
DEMAND_HEADROOM = 1.25  # factor on the measured demand, which may grow before the next run
MIN_TRANSFER = FULL_QUOTA // 100  # in millionths; a smaller change is not worth a log entry
MAX_TRANSFERS = 16  # commands proposed per run


def target_shares(live: list[str], demand: Mapping[str, float], allowance: float) -> dict[str, int]:
    """Return the share in millionths that each live process should have, by max-min fairness.

    Each process gets a reserve, and then what its demand needs. If the demands exceed the allowance, the smallest ones
    are met first and the other processes get equal parts. A remainder without demand is split evenly.

    Args:
        live: the processes that may have a share.
        demand: requests per second, by process.
        allowance: requests per second of the whole service.
    """
    if not live:
        return {}
    reserve = int(FULL_QUOTA * RESERVED_SHARE / len(live))
    remaining = FULL_QUOTA - reserve * len(live)
    targets = dict.fromkeys(live, reserve)
    unmet = sorted(
        (max(0, _needed_share(demand.get(holder, 0.0), allowance) - reserve), holder) for holder in live
    )
    for position, (needed, holder) in enumerate(unmet):
        granted = min(needed, remaining // (len(unmet) - position))
        targets[holder] += granted
        remaining -= granted
    for holder in live:
        targets[holder] += remaining // len(live)
    return targets


def _needed_share(demand: float, allowance: float) -> int:
    if not allowance:
        return 0
    return min(FULL_QUOTA, int(FULL_QUOTA * DEMAND_HEADROOM * max(0.0, demand) / allowance))


class QuotaBalancer:
    """Proposes changes of shares, a few per run. A new leader needs no state of the previous leader."""

    def __init__(self) -> None:
        """Initialize a balancer whose first run is the first call of `rebalance`."""
        self._last_run: datetime | None = None

    def become_leader(self) -> None:
        """Make the next call of `rebalance` a run, regardless of an earlier leadership of this node."""
        self._last_run = None

    def rebalance(
        self,
        now: datetime,
        table: QuotaTable,
        allowances: Mapping[str, float],
        demands: Mapping[str, Mapping[str, float]],
        interval: timedelta = BALANCE_INTERVAL,
    ) -> list[QuotaCommand]:
        """Return the commands to propose, or none if the last run was less than `interval` ago.

        Args:
            now: the current time.
            table: the replicated table of shares.
            allowances: requests per second of the whole service, by tenant.
            demands: requests per second, by process and tenant.
            interval: the minimum time between two runs.
        """
        if self._last_run is not None and now < self._last_run + interval:
            return []
        self._last_run = now
        if set(allowances) != set(table.tenants):
            return [SetTenants(tuple(sorted(allowances)))]
        live = table.live_processes()
        commands: list[QuotaCommand] = []
        for tenant, shares in table.tenants.items():
            demand = {holder: by_tenant.get(tenant, 0.0) for holder, by_tenant in demands.items()}
            targets = target_shares(live, demand, allowances[tenant])
            commands += _propose_transfers(tenant, shares, targets, table.free(tenant))
        return commands[:MAX_TRANSFERS]


def _propose_transfers(
    tenant: str, shares: Mapping[str, QuotaShare], targets: Mapping[str, int], free: int
) -> list[QuotaCommand]:
    """Grow shares out of the free part, and shrink other shares to make up for the shortfall."""
    current = {holder: shares.get(holder, QuotaShare(0, 0)) for holder in targets}
    shortfalls = {
        holder: targets[holder] - share.granted
        for holder, share in current.items()
        if share.target == share.granted
    }
    growing = sorted(
        (holder for holder in shortfalls if shortfalls[holder] >= MIN_TRANSFER),
        key=lambda holder: (-shortfalls[holder], holder),
    )
    commands: list[QuotaCommand] = []
    for holder in growing:
        increase = min(shortfalls[holder], free)
        if increase >= min(MIN_TRANSFER, shortfalls[holder]):
            free -= increase
            commands.append(GrowShare(tenant, holder, current[holder].granted + increase))
    total_shortfall = sum(shortfalls[holder] for holder in growing) - max(0, free)
    return commands + _propose_shrinks(tenant, current, targets, total_shortfall)


def _propose_shrinks(
    tenant: str, current: Mapping[str, QuotaShare], targets: Mapping[str, int], total_shortfall: int
) -> list[QuotaCommand]:
    """Shrink the shares that exceed their targets most, until the requested reductions cover the shortfall."""
    commands: list[QuotaCommand] = []
    pending_reductions = sum(share.granted - share.target for share in current.values())
    for holder in sorted(current, key=lambda holder: (targets[holder] - current[holder].granted, holder)):
        excess = current[holder].target - targets[holder]
        if total_shortfall <= pending_reductions or excess < MIN_TRANSFER:
            break
        pending_reductions += excess
        commands.append(ShrinkShare(tenant, holder, targets[holder]))
    return commands
