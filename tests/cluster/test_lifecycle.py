"""Draining and shutdown of a cluster node."""

from __future__ import annotations

import asyncio
from datetime import datetime
from pathlib import Path

import pytest

from marlstep.cluster.lease_driver import LeaseDriver
from marlstep.cluster.lifecycle import DRAIN_TIMEOUT, Lifecycle
from marlstep.cluster.replica_driver import ReplicaDriver
from marlstep.cluster.task_driver import TaskDriver
from marlstep.membership.partition_state import CAPABILITIES, PartitionState, PartitionTracker
from marlstep.scheduled_tasks.runner import RunnerState
from marlstep.units import MILLISECOND
from tests.cluster.support import NodeParts


class RecordingMembership:
    """Records calls in place of `ClusterMembership`."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    async def open(self) -> None:
        self.calls.append("open")

    def leave(self) -> None:
        self.calls.append("leave")

    def close(self) -> None:
        self.calls.append("close")


class Process:
    """The lifecycle of an open node with its drivers. Must be created within a running event loop."""

    def __init__(self, folder: Path) -> None:
        self.parts = parts = NodeParts(folder, self.run_turn)
        self.tasks = TaskDriver(parts.context, parts.turns, None)
        self.replica_driver = ReplicaDriver(parts.context, parts.turns, parts.router, parts.group)
        self.leases = LeaseDriver(
            parts.context, parts.turns, parts.router, self.tasks.lease_names, "rules/n1/b"
        )
        self.membership = RecordingMembership()
        self.lifecycle = Lifecycle(
            parts.context,
            parts.turns,
            parts.router,
            parts.relay,
            self.replica_driver,
            self.leases,
            self.tasks,
            self.membership,
            follows_documents=True,
        )
        self.leases.update_wanted()

    def run_turn(self, now: datetime) -> None:
        self.lifecycle.tick(now)

    @property
    def is_closed(self) -> bool:
        return self.parts.context.process.is_closed

    def set_open_run(self) -> None:
        """Set the state of a task to an open run."""
        runner = next(iter(self.tasks.runners.values()))
        runner.state, runner.token = RunnerState.EXECUTING, 5


def test_an_idle_process_leaves_immediately_and_releases_its_resources(tmp_path: Path) -> None:
    async def scenario() -> None:
        process = Process(tmp_path)
        process.lifecycle.drain()
        assert process.is_closed
        assert not process.lifecycle.is_draining
        await asyncio.sleep(0.01)
        assert process.membership.calls == ["leave", "close"]

    asyncio.run(scenario())


def test_draining_waits_for_open_runs_and_starts_no_new_ones(tmp_path: Path) -> None:
    async def scenario() -> None:
        process = Process(tmp_path)
        process.set_open_run()
        process.lifecycle.drain()
        assert process.lifecycle.is_draining
        assert all(runner.draining for runner in process.tasks.runners.values())
        process.parts.clock.advance(500)
        assert process.lifecycle.is_draining
        next(iter(process.tasks.runners.values())).state = RunnerState.IDLE
        process.parts.clock.advance(30)
        assert process.is_closed

    asyncio.run(scenario())


def test_draining_ends_after_the_timeout_if_a_run_does_not_end(tmp_path: Path) -> None:
    async def scenario() -> None:
        process = Process(tmp_path)
        process.set_open_run()
        process.lifecycle.drain()
        process.parts.clock.advance(DRAIN_TIMEOUT / MILLISECOND - 50)
        assert not process.is_closed
        process.parts.clock.advance(100)
        assert process.is_closed

    asyncio.run(scenario())


def test_a_process_cut_off_from_all_nodes_leaves_without_a_transfer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    cut_off = next(state for state in PartitionState if not CAPABILITIES[state].transfers_leases)

    async def scenario() -> None:
        process = Process(tmp_path)
        monkeypatch.setattr(ReplicaDriver, "leads_others", property(lambda self: True))
        tracker = process.parts.context.partition = PartitionTracker(process.parts.clock.now())
        tracker.state = cut_off
        process.lifecycle.drain()
        assert process.is_closed

    asyncio.run(scenario())


def test_a_leader_retries_the_leadership_transfer_every_interval_until_it_succeeds(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    offers: list[object] = []
    leads = [True]
    monkeypatch.setattr(ReplicaDriver, "leads_others", property(lambda self: leads[0]))
    monkeypatch.setattr(ReplicaDriver, "transfer_leadership", lambda self: offers.append("offer"))

    async def scenario() -> None:
        process = Process(tmp_path)
        process.lifecycle.drain()
        process.parts.clock.advance(500)
        assert len(offers) == 3  # immediately, and every 200 ms
        assert not process.is_closed
        leads[0] = False
        process.parts.clock.advance(30)
        assert process.is_closed

    asyncio.run(scenario())


def test_a_process_with_a_successor_does_not_announce_that_the_node_leaves(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        process = Process(tmp_path)
        monkeypatch.setattr(type(process.parts.relay), "has_successor", property(lambda self: True))
        process.lifecycle.drain()
        await asyncio.sleep(0.01)
        assert process.membership.calls == ["close"]

    asyncio.run(scenario())


def test_a_process_that_has_not_joined_is_closed_without_draining(tmp_path: Path) -> None:
    async def scenario() -> None:
        process = Process(tmp_path)
        process.parts.context.process.is_open = False
        process.lifecycle.drain()
        assert process.is_closed
        assert process.membership.calls == []

    asyncio.run(scenario())


def test_a_closed_process_does_not_announce_leaving_and_can_be_closed_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        process = Process(tmp_path)
        await process.lifecycle.close()
        await process.lifecycle.close()
        assert process.is_closed
        assert "leave" not in process.membership.calls

    asyncio.run(scenario())
