"""The leader's balancing of quota shares."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marlstep.membership.quota_balancer import BALANCE_INTERVAL, QuotaBalancer, target_shares
from marlstep.membership.quota_commands import ConfirmShrink, SetTenants
from marlstep.membership.quota_lease import QuotaLease
from marlstep.membership.quota_table import FULL_QUOTA
from tests.membership.support import NOW, service


@given(st.lists(st.floats(0, 300), min_size=1, max_size=12))
def test_who_asks_for_less_than_there_is_gets_it_and_the_rest_is_shared(demands: list[float]) -> None:
    live = [f"n{number}" for number in range(len(demands))]
    found = target_shares(live, dict(zip(live, demands, strict=True)), 100.0)
    assert sum(found.values()) <= FULL_QUOTA and sum(found.values()) >= FULL_QUOTA - len(live) ** 2 - len(
        live
    )
    fair = 0.9 * FULL_QUOTA / len(live)
    for one, demand in zip(live, demands, strict=True):
        assert found[one] / FULL_QUOTA * 100 >= min(demand, fair / FULL_QUOTA * 100) * 0.99


@pytest.mark.parametrize("nodes", [2, 5, 40])
def test_parts_move_to_where_the_demand_is_and_back_within_a_few_looks(nodes: int) -> None:
    names = [f"n{number}/1" for number in range(nodes)]
    _, shares = service(*names)
    balance, now = QuotaBalancer(), NOW
    using = {one: QuotaLease() for one in names}
    for hungry in (names[0], names[-1]):
        looks = messages = 0
        while using[hungry].share_of("t") < 0.95:
            now += BALANCE_INTERVAL
            looks += 1
            assert looks < 12 + nodes
            for command in balance.rebalance(now, shares, {"t": 100.0}, {hungry: {"t": 100.0}}):
                shares.apply(command.to_json())
                messages += 1
            for one in names:
                for tenant, to in using[one].update(shares.shares_of(one)):
                    shares.apply(ConfirmShrink(tenant, one, to).to_json())
        assert messages <= 4 * nodes + 8
    assert not balance.rebalance(now + BALANCE_INTERVAL / 2, shares, {"t": 100.0}, {})  # not so soon again
    assert balance.rebalance(now + BALANCE_INTERVAL, shares, {"u": 1.0}, {}) == [SetTenants(("u",))]
