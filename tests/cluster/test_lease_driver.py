"""Selection of the leases that a process requests, and recording of lease changes."""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path

import pytest

from marlstep.cluster.lease_driver import LeaseDriver
from marlstep.leases.holder import LeaseEvent, LeaseEventKind
from marlstep.leases.messages import HeartbeatResponse
from marlstep.membership.partition_state import CAPABILITIES, PartitionState, PartitionTracker
from tests.cluster.support import NodeParts

WORK_LEASES = ("task/sweep", "pool/main")
CONFIG_LEASE = "rules/n1/b"


def make_lease_driver(parts: NodeParts) -> LeaseDriver:
    return LeaseDriver(parts.context, parts.turns, parts.router, lambda: WORK_LEASES, CONFIG_LEASE)


def wanted_leases(parts: NodeParts) -> list[str]:
    return list(parts.context.client.holder.wanted)


def test_a_process_requests_the_leases_of_its_work_and_of_documents(tmp_path: Path) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        make_lease_driver(parts).update_wanted()
        assert wanted_leases(parts) == [*WORK_LEASES, CONFIG_LEASE]

    asyncio.run(scenario())


def test_a_successor_without_the_address_requests_only_the_lease_of_documents(tmp_path: Path) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        parts.context.process.relay_port = 7999
        make_lease_driver(parts).update_wanted()
        assert wanted_leases(parts) == [CONFIG_LEASE]

    asyncio.run(scenario())


def test_a_node_cut_off_from_the_group_requests_no_new_work_leases(tmp_path: Path) -> None:
    cut_off = next(state for state in PartitionState if not CAPABILITIES[state].requests_leases)

    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        tracker = parts.context.partition = PartitionTracker(parts.clock.now())
        tracker.state = cut_off
        make_lease_driver(parts).capabilities_changed()
        assert wanted_leases(parts) == [CONFIG_LEASE]

    asyncio.run(scenario())


def test_a_draining_process_keeps_the_leases_of_open_runs_and_of_documents(tmp_path: Path) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        driver = make_lease_driver(parts)
        driver.update_wanted()
        now = parts.clock.now()
        parts.context.process.drain_deadline = now
        driver.release(now, keep=["task/sweep"])
        assert wanted_leases(parts) == ["task/sweep", CONFIG_LEASE]
        assert not parts.context.client.holder.leaving
        driver.update_wanted()  # does not request the released lease again
        assert wanted_leases(parts) == ["task/sweep", CONFIG_LEASE]
        driver.release(now, keep=[])
        assert wanted_leases(parts) == [CONFIG_LEASE]
        assert parts.context.client.holder.leaving

    asyncio.run(scenario())


def test_a_response_to_another_process_is_ignored(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        driver, client = make_lease_driver(parts), parts.context.client
        handled_senders: list[str] = []

        def handle_response(now: object, sender: str, message: object) -> list[LeaseEvent]:
            handled_senders.append(sender)
            return [LeaseEvent("task/sweep", 4, LeaseEventKind.GAINED, "granted")]

        monkeypatch.setattr(client, "handle_response", handle_response)
        response = object.__new__(HeartbeatResponse)
        now = parts.clock.now()
        other = parts.envelope("n2", "n1/other", response)
        assert not driver.handle_response(now, other, response)
        assert handled_senders == []
        own = parts.envelope("n2", parts.context.process_name, response)
        assert driver.handle_response(now, own, response)
        assert handled_senders == ["n2"]
        assert parts.context.counts == {"leases gained": 1}
        [event] = parts.context.history
        assert (event["what"], event["why"]) == ("lease task/sweep gained", "token 4: granted")

    asyncio.run(scenario())


def test_a_clock_drift_is_logged_and_counted_once_when_it_begins(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        driver, client = make_lease_driver(parts), parts.context.client
        monkeypatch.setattr(client, "handle_response", lambda now, sender, message: [])
        response = object.__new__(HeartbeatResponse)
        own = parts.envelope("n2", parts.context.process_name, response)
        for drifts in (True, True, False, False, True):
            client.holder.clock_drifts = drifts
            driver.handle_response(parts.clock.now(), own, response)
            assert driver.clock_drifts is drifts
        assert parts.context.counts["drifts"] == 2

    with caplog.at_level(logging.ERROR):
        asyncio.run(scenario())
    assert sum("clock drift" in record.message for record in caplog.records) == 2
