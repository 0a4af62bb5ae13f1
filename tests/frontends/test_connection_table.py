"""The order in which unproven and idle connections are evicted."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from marlstep.frontends.connection_table import ConnectionTable
from marlstep.slots import TableFullError
from marlstep.units import SECOND
from tests.support.node import START


@dataclass
class Entry:
    name: str
    handle: int = 0


def add_entries(table: ConnectionTable[Entry], *names: str) -> list[Entry]:
    added = [Entry(name) for name in names]
    for entry in added:
        table.add(entry)
    return added


def test_a_new_connection_is_unproven_until_it_is_marked_proven() -> None:
    table: ConnectionTable[Entry] = ConnectionTable(4)
    first, second = add_entries(table, "first", "second")
    assert table.oldest_unproven() is first and table.is_unproven(first)
    table.mark_proven(first)
    assert table.oldest_unproven() is second and not table.is_unproven(first)


def test_idle_connections_are_listed_longest_idle_first_without_busy_ones() -> None:
    table: ConnectionTable[Entry] = ConnectionTable(4)
    first, second, third = add_entries(table, "first", "second", "third")
    for second_number, entry in enumerate((first, second, third, first)):
        table.mark_idle(entry, START + second_number * SECOND)
    assert table.idle_connections() == [
        (second, START + SECOND),
        (third, START + 2 * SECOND),
        (first, START + 3 * SECOND),
    ]
    table.mark_busy(second)
    assert table.longest_idle() is third and table.longest_idle_since() == START + 2 * SECOND


def test_a_removed_connection_is_in_no_list_and_cannot_be_removed_again() -> None:
    table: ConnectionTable[Entry] = ConnectionTable(4)
    [entry] = add_entries(table, "first")
    table.mark_idle(entry, START)
    assert table.remove(entry) and not table.remove(entry)
    assert (len(table), table.unproven_count, table.idle_count, table.get(entry.handle)) == (0, 0, 0, None)


def test_the_capacity_bounds_the_table_below_its_limit() -> None:
    table: ConnectionTable[Entry] = ConnectionTable(4)
    table.capacity = 1
    add_entries(table, "first")
    with pytest.raises(TableFullError):
        table.add(Entry("second"))
