"""The state machine of quota shares."""

from __future__ import annotations

import json

from hypothesis import given
from hypothesis import strategies as st

from marlstep.membership.quota_balancer import QuotaBalancer
from marlstep.membership.quota_commands import GrowShare
from marlstep.membership.quota_lease import QuotaLease
from marlstep.membership.quota_table import FULL_QUOTA, QuotaTable, quota_limit_violation
from tests.membership.support import NOW, leases_and_quotas

share_changes = st.tuples(
    st.sampled_from(["grow", "shrink", "gave", "gone"]), st.sampled_from(["a/1", "b/1", "c/1", "d/1"]),
    st.integers(0, FULL_QUOTA + 1),
)  # fmt: skip


@given(st.lists(share_changes, max_size=40))
def test_shares_never_exceed_the_full_quota_for_any_commands(changes: list[tuple[str, str, int]]) -> None:
    leases, quotas = leases_and_quotas("a/1", "b/1", "c/1")
    quota_leases = {process: QuotaLease() for process in ("a/1", "b/1", "c/1", "d/1")}
    for action, holder, share in changes:
        if action == "gone" and f"rules/{holder}" in leases.leases:
            leases.apply(
                {"do": "expire", "name": f"rules/{holder}", "token": leases.leases[f"rules/{holder}"].token}
            )
        elif action != "gone":
            quotas.apply({"do": action, "tenant": "t", "holder": holder, "to": share})
        for process in quota_leases:
            quota_leases[process].update(quotas.shares_of(process))
        assert sum(quota_share.granted for quota_share in quotas.tenants["t"].values()) <= FULL_QUOTA
        live = [process for process in quota_leases if f"rules/{process}" in leases.leases]
        assert sum(quota_leases[process].shares.get("t", 0) for process in live) <= FULL_QUOTA
    restored = QuotaTable(leases)
    restored.restore(json.loads(json.dumps(quotas.snapshot())))
    assert restored.snapshot() == quotas.snapshot()


def test_a_document_with_too_many_tenants_or_too_long_names_is_rejected() -> None:
    settings = {"share": 0.001, "allowance_per_s": 2.0}
    assert not quota_limit_violation({f"t{number}": settings for number in range(200)})
    assert not quota_limit_violation({f"t{number}": {"share": 0.001} for number in range(500)})
    assert "201 are named" in quota_limit_violation({f"t{number}": settings for number in range(201)})
    assert "64 characters" in quota_limit_violation({"t" * 65: settings})


def test_a_dead_process_s_share_is_freed_only_when_its_lease_ends() -> None:
    leases, quotas = leases_and_quotas("a/1", "b/1")
    quotas.apply({"do": "grow", "tenant": "t", "holder": "a/1", "to": FULL_QUOTA})
    assert "refused" in quotas.apply({"do": "grow", "tenant": "t", "holder": "b/1", "to": 10})
    quotas.apply({"do": "shrink", "tenant": "t", "holder": "a/1", "to": 10})
    assert "refused" in quotas.apply(
        {"do": "grow", "tenant": "t", "holder": "b/1", "to": 10}
    )  # not confirmed yet
    leases.apply({"do": "expire", "name": "rules/a/1", "token": leases.leases["rules/a/1"].token})
    # The leader sees the free share immediately, although no quota command was applied since.
    [grow] = QuotaBalancer().rebalance(NOW, quotas, {"t": 100.0}, {"b/1": {"t": 100.0}})
    assert isinstance(grow, GrowShare) and grow.holder == "b/1" and grow.share >= 0.95 * FULL_QUOTA
    assert "part" in quotas.apply(grow.to_json())
