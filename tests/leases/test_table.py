"""The replicated lease table."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from marlstep.leases.table import LeaseTable


@given(st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from("xyz"), st.integers(0, 3)), max_size=60))
def test_tokens_only_increase_and_are_kept_by_a_snapshot(steps: list[tuple[str, str, int]]) -> None:
    table, highest_token = LeaseTable(), 0
    for holder, name, limit in steps:
        if limit < 3:
            result = table.apply({"do": "grant", "name": name, "holder": f"{holder}/b", "most": limit})
            if "granted" in result:
                assert result["token"] > highest_token
                highest_token = result["token"]
        elif (lease := table.leases.get(name)) is not None:
            table.apply({"do": "expire", "name": name, "token": lease.token})
        restored = LeaseTable()
        restored.restore(table.snapshot())
        assert restored.snapshot() == table.snapshot() and restored.held_counts == table.held_counts
        assert sum(table.held_counts.values()) == sum(bool(lease.holder) for lease in table.leases.values())
        table = restored
