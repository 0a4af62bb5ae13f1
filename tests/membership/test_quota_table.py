"""The state machine of quota shares."""

from __future__ import annotations

import json

from hypothesis import given
from hypothesis import strategies as st

from marlstep.membership.quota_balancer import QuotaBalancer
from marlstep.membership.quota_commands import GrowShare
from marlstep.membership.quota_lease import QuotaLease
from marlstep.membership.quota_table import FULL_QUOTA, QuotaTable, quota_limit_violation
from tests.membership.support import NOW, service

orders = st.tuples(
    st.sampled_from(["grow", "shrink", "gave", "gone"]), st.sampled_from(["a/1", "b/1", "c/1", "d/1"]),
    st.integers(0, FULL_QUOTA + 1),
)  # fmt: skip


@given(st.lists(orders, max_size=40))
def test_parts_never_sum_to_more_than_the_whole_whatever_is_asked(rows: list[tuple[str, str, int]]) -> None:
    table, shares = service("a/1", "b/1", "c/1")
    using = {one: QuotaLease() for one in ("a/1", "b/1", "c/1", "d/1")}
    for what, holder, to in rows:
        if what == "gone" and f"rules/{holder}" in table.leases:
            table.apply(
                {"do": "expire", "name": f"rules/{holder}", "token": table.leases[f"rules/{holder}"].token}
            )
        elif what != "gone":
            shares.apply({"do": what, "tenant": "t", "holder": holder, "to": to})
        for one in using:
            using[one].update(shares.shares_of(one))
        assert sum(part.granted for part in shares.tenants["t"].values()) <= FULL_QUOTA
        live = [one for one in using if f"rules/{one}" in table.leases]
        assert sum(using[one].shares.get("t", 0) for one in live) <= FULL_QUOTA
    again = QuotaTable(table)
    again.restore(json.loads(json.dumps(shares.snapshot())))
    assert again.snapshot() == shares.snapshot()


def test_more_tenants_than_an_answer_can_tell_of_are_turned_down() -> None:
    row = {"share": 0.001, "allowance_per_s": 2.0}
    assert not quota_limit_violation({f"t{number}": row for number in range(200)})
    assert not quota_limit_violation({f"t{number}": {"share": 0.001} for number in range(500)})
    assert "201 are named" in quota_limit_violation({f"t{number}": row for number in range(201)})
    assert "64 characters" in quota_limit_violation({"t" * 65: row})


def test_a_dead_process_s_part_comes_back_only_with_its_lease() -> None:
    table, shares = service("a/1", "b/1")
    shares.apply({"do": "grow", "tenant": "t", "holder": "a/1", "to": FULL_QUOTA})
    assert "refused" in shares.apply({"do": "grow", "tenant": "t", "holder": "b/1", "to": 10})
    shares.apply({"do": "shrink", "tenant": "t", "holder": "a/1", "to": 10})
    assert "refused" in shares.apply(
        {"do": "grow", "tenant": "t", "holder": "b/1", "to": 10}
    )  # it did not say so
    table.apply({"do": "expire", "name": "rules/a/1", "token": table.leases["rules/a/1"].token})
    # The leader sees that at once, though nothing about parts was in the log since then.
    [grow] = QuotaBalancer().rebalance(NOW, shares, {"t": 100.0}, {"b/1": {"t": 100.0}})
    assert isinstance(grow, GrowShare) and grow.holder == "b/1" and grow.share >= 0.95 * FULL_QUOTA
    assert "part" in shares.apply(grow.to_json())
