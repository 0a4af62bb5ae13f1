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


def entries(table: ConnectionTable[Entry], *names: str) -> list[Entry]:
    made = [Entry(name) for name in names]
    for entry in made:
        table.add(entry)
    return made


def test_a_new_connection_is_unproven_until_it_is_marked() -> None:
    table: ConnectionTable[Entry] = ConnectionTable(4)
    first, second = entries(table, "first", "second")
    assert table.oldest_unproven() is first and table.is_unproven(first)
    table.mark_proven(first)
    assert table.oldest_unproven() is second and not table.is_unproven(first)


def test_the_longest_idle_connection_comes_first_and_a_busy_one_not_at_all() -> None:
    table: ConnectionTable[Entry] = ConnectionTable(4)
    first, second, third = entries(table, "first", "second", "third")
    for second_number, entry in enumerate((first, second, third, first)):
        table.mark_idle(entry, START + second_number * SECOND)
    assert table.idle_connections() == [
        (second, START + SECOND),
        (third, START + 2 * SECOND),
        (first, START + 3 * SECOND),
    ]
    table.mark_busy(second)
    assert table.longest_idle() is third and table.longest_idle_since() == START + 2 * SECOND


def test_a_removed_connection_is_nowhere_and_is_removed_once() -> None:
    table: ConnectionTable[Entry] = ConnectionTable(4)
    [entry] = entries(table, "first")
    table.mark_idle(entry, START)
    assert table.remove(entry) and not table.remove(entry)
    assert (len(table), table.unproven_count, table.idle_count, table.get(entry.handle)) == (0, 0, 0, None)


def test_the_capacity_bounds_the_table_below_its_limit() -> None:
    table: ConnectionTable[Entry] = ConnectionTable(4)
    table.capacity = 1
    entries(table, "first")
    with pytest.raises(TableFullError):
        table.add(Entry("second"))
