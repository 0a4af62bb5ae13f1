"""The leader's balancing of quota shares."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marlstep.membership.quota_balancer import BALANCE_INTERVAL, QuotaBalancer, target_shares
from marlstep.membership.quota_commands import ConfirmShrink, SetTenants
from marlstep.membership.quota_lease import QuotaLease
from marlstep.membership.quota_table import FULL_QUOTA
from tests.membership.support import NOW, leases_and_quotas


@given(st.lists(st.floats(0, 300), min_size=1, max_size=12))
def test_target_shares_cover_small_demands_and_split_the_rest(demands: list[float]) -> None:
    live = [f"n{number}" for number in range(len(demands))]
    targets = target_shares(live, dict(zip(live, demands, strict=True)), 100.0)
    assert sum(targets.values()) <= FULL_QUOTA and sum(targets.values()) >= FULL_QUOTA - len(live) ** 2 - len(
        live
    )
    fair_share = 0.9 * FULL_QUOTA / len(live)
    for holder, demand in zip(live, demands, strict=True):
        assert targets[holder] / FULL_QUOTA * 100 >= min(demand, fair_share / FULL_QUOTA * 100) * 0.99


@pytest.mark.parametrize("nodes", [2, 5, 40])
def test_shares_move_to_the_process_with_demand_within_a_few_runs(nodes: int) -> None:
    processes = [f"n{number}/1" for number in range(nodes)]
    _, table = leases_and_quotas(*processes)
    balancer, now = QuotaBalancer(), NOW
    quota_leases = {holder: QuotaLease() for holder in processes}
    for demanding in (processes[0], processes[-1]):
        runs = commands = 0
        while quota_leases[demanding].share_of("t") < 0.95:
            now += BALANCE_INTERVAL
            runs += 1
            assert runs < 12 + nodes
            for command in balancer.rebalance(now, table, {"t": 100.0}, {demanding: {"t": 100.0}}):
                table.apply(command.to_json())
                commands += 1
            for holder in processes:
                for tenant, share in quota_leases[holder].update(table.shares_of(holder)):
                    table.apply(ConfirmShrink(tenant, holder, share).to_json())
        assert commands <= 4 * nodes + 8
    assert not balancer.rebalance(
        now + BALANCE_INTERVAL / 2, table, {"t": 100.0}, {}
    )  # the interval since the last run is not over
    assert balancer.rebalance(now + BALANCE_INTERVAL, table, {"u": 1.0}, {}) == [SetTenants(("u",))]
