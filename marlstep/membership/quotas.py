"""A tenant's allowance is for the whole service: each process has a part of it, and parts move to where demand is.

A machine on the log. Parts are millionths of the allowance, whatever it is by the version of the document in force, and
never sum to more than all of it. A part grows out of what is free alone. It shrinks when its process has said that it
uses less, or when that process's lease on the rules is over: until then what it had is used, as far as anybody knows.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

from marlstep.consensus.state_machine import CommandJson, ResultJson
from marlstep.leases.messages import QuotaShareRow, TenantDemand
from marlstep.leases.settings import CONFIG_LEASE_PREFIX
from marlstep.leases.table import LeaseTable
from marlstep.membership.records import MAX_NAME_LENGTH
from marlstep.units import MILLISECOND, SECOND

FULL_QUOTA = 1_000_000
MAX_TENANTS = 200  # with an allowance in parts: each answer to a beat tells of them all
BALANCE_INTERVAL = 300 * MILLISECOND  # parts are moved no more often
RESERVED_SHARE = (
    0.04  # of the allowance, split evenly: a node without demand has something for the first request
)
DEMAND_HEADROOM = 1.25  # times the demand that is seen, as it may grow before the next look
MIN_TRANSFER = FULL_QUOTA // 100  # what is less is not worth a message
MAX_TRANSFERS = 16  # in one look


def quota_limit_violation(tenants: Mapping[str, Mapping[str, Any]]) -> str:
    """Why these, as a document has them, can't all have an allowance in parts; empty where they can."""
    names = [name for name, row in tenants.items() if row.get("allowance_per_s")]
    if len(names) > MAX_TENANTS:
        return f"shares: {MAX_TENANTS} tenants with an allowance at the most, {len(names)} are named"
    long = next((name for name in names if len(name) > MAX_NAME_LENGTH), "")
    return f"shares: tenant {long[:80]}: a name has {MAX_NAME_LENGTH} characters at the most" if long else ""


@dataclass(slots=True)
class QuotaShare:
    granted: int  # that its process may use
    target: int  # that it is asked to come down to; the same where nothing is asked


class QuotaTable:
    def __init__(self, table: LeaseTable) -> None:
        self._table = table
        self.tenants: dict[str, dict[str, QuotaShare]] = {}  # parts by process

    def live_processes(self) -> list[str]:
        """Processes that may have a part."""
        return [
            one.holder
            for name, one in self._table.leases.items()
            if name.startswith(CONFIG_LEASE_PREFIX) and one.holder
        ]

    def free(self, tenant: str) -> int:
        live = set(self.live_processes())
        return FULL_QUOTA - sum(
            part.granted for one, part in self.tenants.get(tenant, {}).items() if one in live
        )

    def shares_of(self, holder: str) -> tuple[QuotaShareRow, ...]:
        """What one process is told: tenant, its part, and what it is asked to come down to."""
        return tuple(
            QuotaShareRow(tenant, part.granted, part.target)
            for tenant, parts in self.tenants.items()
            if (part := parts.get(holder)) is not None
        )

    def apply(self, command: CommandJson) -> ResultJson:
        live = set(self.live_processes())
        for parts in self.tenants.values():
            for holder in [one for one in parts if one not in live]:
                del parts[holder]  # its lease is over: it uses nothing any more
        if command["do"] == "tenants":
            names = [str(one) for one in command["names"]][:MAX_TENANTS]
            self.tenants = {name: self.tenants.get(name, {}) for name in names}
            return {"tenants": len(names)}
        mine, holder, to = self.tenants.get(command["tenant"]), str(command["holder"]), int(command["to"])
        if mine is None or holder not in live or not 0 <= to <= FULL_QUOTA:
            return {"refused": "no such tenant, no lease on the rules, or no part"}
        part = mine.get(holder) or QuotaShare(0, 0)
        match command["do"]:
            case "grow":
                if part.target != part.granted or to - part.granted > self.free(command["tenant"]):
                    return {"refused": "so much is not free", "holder": holder}
                mine[holder] = QuotaShare(to, to)
            case "shrink":
                mine[holder] = QuotaShare(part.granted, min(to, part.granted))
            case "gave":
                if to != part.target:
                    return {"refused": "it was asked for another part", "holder": holder}
                mine[holder] = QuotaShare(to, to)
            case _:
                raise ValueError(f"nothing that is done to a part: {command['do']!r}")
        return {"holder": holder, "part": to}

    def snapshot(self) -> object:
        return {
            tenant: [[holder, part.granted, part.target] for holder, part in parts.items()]
            for tenant, parts in self.tenants.items()
        }

    def restore(self, told: Any) -> None:
        self.tenants = {
            tenant: {holder: QuotaShare(now, asked) for holder, now, asked in rows}
            for tenant, rows in told.items()
        }


def target_shares(live: list[str], demand: Mapping[str, float], total: float) -> dict[str, int]:
    """The part that each process should have: enough for its demand, and where that is too much, an equal part of it.

    `demand` and `total` are requests a second.
    """
    if not live:
        return {}
    reserve = int(FULL_QUOTA * RESERVED_SHARE / len(live))
    left = FULL_QUOTA - reserve * len(live)
    wants = {
        one: min(FULL_QUOTA, int(FULL_QUOTA * DEMAND_HEADROOM * max(0.0, demand.get(one, 0.0)) / total))
        if total
        else 0
        for one in live
    }
    found = dict.fromkeys(live, reserve)
    hungry = sorted((max(0, wants[one] - reserve), one) for one in live)
    for at, (lacks, one) in enumerate(hungry):  # the least hungry first: what they leave is for the others
        gets = min(lacks, left // (len(hungry) - at))
        found[one] += gets
        left -= gets
    for one in live:  # what nobody asks for stands ready everywhere
        found[one] += left // len(live)
    return found


class QuotaBalancer:
    """The leader's side: moves parts, a few at a time, from who has more than it needs."""

    def __init__(self) -> None:
        self._last_run: datetime | None = None

    def become_leader(self) -> None:
        self._last_run = None

    def rebalance(
        self,
        now: datetime,
        shares: QuotaTable,
        totals: Mapping[str, float],
        demands: Mapping[str, Mapping[str, float]],
        every: timedelta = BALANCE_INTERVAL,
    ) -> list[CommandJson]:
        """What is to be proposed. `totals` by tenant; `demands` by process and tenant, requests a second."""
        if self._last_run is not None and now < self._last_run + every:
            return []
        self._last_run = now
        if set(totals) != set(shares.tenants):
            return [{"m": "shares", "do": "tenants", "names": sorted(totals)}]
        live = shares.live_processes()
        commands: list[CommandJson] = []
        for tenant, parts in shares.tenants.items():
            demand = {holder: told.get(tenant, 0.0) for holder, told in demands.items()}
            commands += self._propose_transfers(
                tenant, parts, target_shares(live, demand, totals[tenant]), shares.free(tenant)
            )
        return commands[:MAX_TRANSFERS]

    @staticmethod
    def _propose_transfers(
        tenant: str, parts: Mapping[str, QuotaShare], targets: Mapping[str, int], free: int
    ) -> list[CommandJson]:
        told = {"m": "shares", "tenant": tenant}
        have = {holder: parts.get(holder, QuotaShare(0, 0)) for holder in targets}
        lacks = {
            one: targets[one] - part.granted for one, part in have.items() if part.target == part.granted
        }
        hungry = sorted(
            (one for one in lacks if lacks[one] >= MIN_TRANSFER), key=lambda one: (-lacks[one], one)
        )
        commands: list[CommandJson] = []
        for one in hungry:
            gets = min(lacks[one], free)
            if gets >= min(MIN_TRANSFER, lacks[one]):
                free -= gets
                commands.append({**told, "do": "grow", "holder": one, "to": have[one].granted + gets})
        short = sum(lacks[one] for one in hungry) - max(0, free)
        coming = sum(part.granted - part.target for part in have.values())
        for one in sorted(have, key=lambda one: (targets[one] - have[one].granted, one)):
            spare = have[one].target - targets[one]
            if short <= coming or spare < MIN_TRANSFER:
                break
            coming += spare
            commands.append({**told, "do": "shrink", "holder": one, "to": targets[one]})
        return commands


class DemandEstimator:
    """How much work of each tenant comes to one process, smoothed over some beats."""

    def __init__(self, smoothed: timedelta = 1_500 * MILLISECOND) -> None:
        self._smoothing = smoothed
        self._samples: dict[str, tuple[datetime, int, float]] = {}  # when, how many so far, requests a second

    def estimate(self, now: datetime, counts: Mapping[str, int]) -> tuple[TenantDemand, ...]:
        """Thousandths of a request a second, by tenant; `counts` are of all requests so far."""
        for tenant in [one for one in self._samples if one not in counts]:
            del self._samples[tenant]
        for tenant, count in counts.items():
            at, before, rate = self._samples.get(tenant, (now, count, 0.0))
            if passed := now - at:
                rate += ((count - before) * (SECOND / passed) - rate) * min(1.0, passed / self._smoothing)
            self._samples[tenant] = (now, count, rate)
        return tuple(
            TenantDemand(tenant, round(rate * 1000)) for tenant, (_, _, rate) in self._samples.items()
        )


class QuotaLease:
    """A process's side: the parts that it may use, under its lease on the rules."""

    def __init__(self) -> None:
        self.shares: dict[str, int] = {}
        self._reported: dict[str, int] = {}

    def update(self, shares: tuple[QuotaShareRow, ...]) -> list[tuple[str, int]]:
        """What an answer to a beat says. Gives what is to be said in the log: this much is not used any more."""
        self.shares = {tenant: min(now, asked) for tenant, now, asked in shares}
        give = {tenant: asked for tenant, now, asked in shares if asked < now}
        fresh = [(tenant, to) for tenant, to in give.items() if self._reported.get(tenant) != to]
        self._reported = {tenant: to for tenant, to in self._reported.items() if give.get(tenant) == to}
        self._reported |= dict(fresh)
        return fresh

    def report_lost(self, tenant: str) -> None:
        """The log did not take that word: it is said again."""
        self._reported.pop(tenant, None)

    def share_of(self, tenant: str) -> float:
        """Of the whole allowance, 0 to 1; nothing before the group has said so."""
        return self.shares.get(tenant, 0) / FULL_QUOTA
