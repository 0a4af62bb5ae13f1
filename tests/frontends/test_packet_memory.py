"""Which connections make room when the memory of uwsgi packets is used up."""

from __future__ import annotations

import random

from marlstep.frontends.packet_memory import MIN_STALL, PacketMemory
from marlstep.units import MILLISECOND
from tests.support.node import START

SIZE = 1_000


def test_a_reservation_replaces_the_earlier_one_and_ends_with_its_connection() -> None:
    memory: PacketMemory[str] = PacketMemory(SIZE)
    memory.reserve("a", SIZE // 2, START)
    memory.reserve("a", SIZE, START)
    assert memory.reserved_bytes == SIZE and not memory.is_exceeded
    memory.reserve("b", 1, START)
    assert memory.is_exceeded
    memory.release("a")
    memory.release("a")
    assert memory.reserved_bytes == 1


def test_the_connection_without_input_for_longest_makes_room() -> None:
    memory: PacketMemory[str] = PacketMemory(SIZE)
    for name in ("slow", "stalled", "later"):
        memory.reserve(name, SIZE, START)
    memory.reserve("slow", SIZE, START + 90 * MILLISECOND)
    memory.reserve("later", SIZE, START + 20 * MILLISECOND)
    assert memory.evictable(START + MIN_STALL - MILLISECOND) == []
    assert memory.evictable(START + MIN_STALL) == ["stalled"]
    assert memory.evictable(START + 2 * MIN_STALL) == ["stalled", "later", "slow"]


def test_where_all_send_the_one_that_is_read_for_longest_makes_room() -> None:
    memory: PacketMemory[str] = PacketMemory(SIZE)
    memory.reserve("first", SIZE, START)
    memory.reserve("second", SIZE, START + 50 * MILLISECOND)
    for name in ("second", "first"):
        memory.reserve(name, SIZE, START + 90 * MILLISECOND)
    assert memory.evictable(START + 95 * MILLISECOND) == []
    assert memory.evictable(START + 120 * MILLISECOND) == ["first"]


def test_a_packet_of_which_nothing_is_awaited_keeps_its_memory_and_is_not_closed_for_others() -> None:
    memory: PacketMemory[str] = PacketMemory(SIZE)
    memory.reserve("a", SIZE, START)
    memory.mark_received("a")
    assert memory.evictable(START + 10 * MIN_STALL) == [] and memory.reserved_bytes == SIZE


def test_the_sum_of_reservations_is_exact_in_any_order_of_events() -> None:
    source, memory = random.Random(7), PacketMemory[int](SIZE)
    sizes: dict[int, int] = {}
    for _ in range(2_000):
        holder = source.randrange(20)
        match source.randrange(3):
            case 0:
                sizes[holder] = size = source.randrange(5_000)
                memory.reserve(holder, size, START)
            case 1:
                memory.mark_received(holder)
            case _:
                sizes.pop(holder, None)
                memory.release(holder)
        assert memory.reserved_bytes == sum(sizes.values())
