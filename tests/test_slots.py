"""Slot tables: a handle is valid until its slot is freed, and a full table raises an error."""

from __future__ import annotations

import pytest

from marlstep.slots import INDEX_MASK, InvalidTableLimitError, SlotTable, TableFullError


def test_a_handle_is_valid_until_its_slot_is_freed() -> None:
    table = SlotTable[str](2)
    first = table.add("a")
    assert table.free(first) and not table.free(first)
    second = table.add("b")
    assert table.get(first) is None and table.get(second) == "b" and list(table) == ["b"]
    table.add("c")
    with pytest.raises(TableFullError):
        table.add("d")


@pytest.mark.parametrize("limit", [-1, 0, INDEX_MASK + 1])
def test_a_limit_that_handles_cannot_index_is_rejected(limit: int) -> None:
    with pytest.raises(InvalidTableLimitError, match=rf"from 1 to 2\^20 - 1 slots, got {limit}"):
        SlotTable[str](limit)
