"""The replicated lease table."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from marlstep.leases.table import LeaseTable


@given(st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from("xyz"), st.integers(0, 3)), max_size=60))
def test_tokens_only_grow_and_survive_a_snapshot(steps: list[tuple[str, str, int]]) -> None:
    table, highest = LeaseTable(), 0
    for holder, name, limit in steps:
        if limit < 3:
            result = table.apply({"do": "grant", "name": name, "holder": f"{holder}/b", "most": limit})
            if "granted" in result:
                assert result["token"] > highest
                highest = result["token"]
        elif (lease := table.leases.get(name)) is not None:
            table.apply({"do": "expire", "name": name, "token": lease.token})
        again = LeaseTable()
        again.restore(table.snapshot())
        assert again.snapshot() == table.snapshot() and again.held_counts == table.held_counts
        assert sum(table.held_counts.values()) == sum(bool(lease.holder) for lease in table.leases.values())
        table = again
