"""Scheduling of a node's turns."""

from __future__ import annotations

import asyncio
from datetime import datetime
from pathlib import Path

import pytest

from marlstep.units import MILLISECOND
from tests.cluster.support import NodeParts


def test_a_turn_requested_several_times_runs_once(tmp_path: Path) -> None:
    async def scenario() -> None:
        turns: list[datetime] = []
        parts = NodeParts(tmp_path, turns.append)
        parts.turns.schedule()
        parts.turns.schedule()
        assert turns == []
        parts.clock.settle()
        assert turns == [parts.clock.now()]
        parts.turns.schedule()
        parts.clock.settle()
        assert len(turns) == 2

    asyncio.run(scenario())


@pytest.mark.parametrize(("is_open", "is_closed"), [(False, False), (True, True), (False, True)])
def test_no_turn_runs_before_the_node_is_open_or_after_it_is_closed(
    is_open: bool, is_closed: bool, tmp_path: Path
) -> None:
    async def scenario() -> None:
        turns: list[datetime] = []
        parts = NodeParts(tmp_path, turns.append)
        parts.context.process.is_open, parts.context.process.is_closed = is_open, is_closed
        parts.turns.schedule()
        parts.clock.settle()
        assert turns == []

    asyncio.run(scenario())


def test_the_earlier_of_two_deadlines_wakes_the_node(tmp_path: Path) -> None:
    async def scenario() -> None:
        turns: list[datetime] = []
        parts = NodeParts(tmp_path, turns.append)
        start = parts.clock.now()
        parts.turns.wake_at(start + 20 * MILLISECOND, start)
        parts.turns.wake_at(start + 50 * MILLISECOND, start)
        parts.clock.advance(100)
        assert turns == [start + 20 * MILLISECOND]
        now = parts.clock.now()
        parts.turns.wake_at(now + 50 * MILLISECOND, now)
        parts.turns.wake_at(now + 20 * MILLISECOND, now)
        parts.clock.advance(100)
        assert turns[1:] == [now + 20 * MILLISECOND]

    asyncio.run(scenario())


def test_a_deadline_that_has_passed_wakes_the_node_after_a_millisecond(tmp_path: Path) -> None:
    async def scenario() -> None:
        turns: list[datetime] = []
        parts = NodeParts(tmp_path, turns.append)
        start = parts.clock.now()
        parts.turns.wake_at(start - 5 * MILLISECOND, start)
        parts.clock.advance(10)
        assert turns == [start + MILLISECOND]

    asyncio.run(scenario())


def test_a_closed_scheduler_runs_no_turn_at_its_deadline(tmp_path: Path) -> None:
    async def scenario() -> None:
        turns: list[datetime] = []
        parts = NodeParts(tmp_path, turns.append)
        parts.turns.wake_at(parts.clock.now() + MILLISECOND, parts.clock.now())
        parts.turns.close()
        parts.clock.advance(10)
        assert turns == []

    asyncio.run(scenario())
