"""The replica's driver: routing of messages, saving of state, and changes of the group."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from itertools import pairwise
from pathlib import Path

import pytest

from marlstep.cluster import replica_driver
from marlstep.cluster.group_identity import GroupChange
from marlstep.cluster.interfaces import Step
from marlstep.cluster.recovery import create_group
from marlstep.cluster.replica_driver import ReplicaDriver
from marlstep.cluster.store import OpenedStore, ReplicaStore
from marlstep.cluster.store_errors import StoreError
from marlstep.consensus.log import Configuration, PersistentState, Snapshot
from marlstep.consensus.messages import RequestVote
from marlstep.consensus.raft import Ready
from marlstep.consensus.replica import Replica
from marlstep.consensus.replica_messages import CommandRequest, JoinRequest, Message
from marlstep.units import MILLISECOND
from tests.cluster.support import NodeParts

IDENTITY = "n1#0a"
EMPTY = PersistentState(0, "", Snapshot(0, 0, Configuration(()), ""), [])
VOTE = RequestVote(1, False, True, 0, 0)
JOIN = JoinRequest("n2", "n2#x")
REQUEST = CommandRequest("n2/b", 1, "{}")


class RecordingObserver:
    """Records the steps that the node reaches."""

    def __init__(self) -> None:
        self.reached_steps: list[Step] = []

    def reached(self, step: Step) -> None:
        self.reached_steps.append(step)


def start_driver(parts: NodeParts, group: str = "1.aa") -> ReplicaDriver:
    driver = ReplicaDriver(parts.context, parts.turns, parts.router, parts.group)
    driver.start_replica(OpenedStore(IDENTITY, group, EMPTY, fresh=False))
    return driver


@pytest.mark.parametrize(
    ("recipient", "message", "count"),
    [
        (IDENTITY, VOTE, None),
        ("n1", JOIN, None),
        ("n1", REQUEST, None),
        ("n1", VOTE, "not for this voter"),
        ("n1#other", VOTE, "not for this process"),
        ("n1/other", REQUEST, "not for this process"),
    ],
)
def test_the_replica_receives_messages_to_its_identity_and_requests_to_its_node(
    recipient: str, message: Message, count: str | None, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        driver = start_driver(parts)
        stepped: list[Message] = []
        monkeypatch.setattr(Replica, "step", lambda self, now, sender, message: stepped.append(message))
        driver.handle_message(parts.clock.now(), parts.envelope("n2#x", recipient, message), message)
        assert stepped == ([message] if count is None else [])
        assert dict(parts.context.counts) == ({} if count is None else {count: 1})

    asyncio.run(scenario())


def test_a_node_without_a_replica_counts_messages_to_replicas(tmp_path: Path) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        driver = ReplicaDriver(parts.context, parts.turns, parts.router, parts.group)
        driver.handle_message(parts.clock.now(), parts.envelope("n2#x", "n1", JOIN), JOIN)
        assert parts.context.counts["not for this process"] == 1
        assert driver.next_due() is None
        assert not driver.leads_others

    asyncio.run(scenario())


def test_the_node_adopts_the_group_of_its_store(tmp_path: Path) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        start_driver(parts, group="4.cc")
        assert parts.group.name == "4.cc"

    asyncio.run(scenario())


def test_a_replica_outside_the_group_sends_join_requests_to_the_other_voters(tmp_path: Path) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        driver = start_driver(parts)
        for _ in range(4):
            driver.tick(parts.clock.now())
            parts.clock.advance(100)
        joins = [(node, envelope) for node, envelope in parts.transport.sent if node != "n1"]
        assert [node for node, _ in joins] == ["n2", "n3"] * 2  # immediately, and after 300 ms
        assert {envelope.message for _, envelope in joins} == {JoinRequest("n1", IDENTITY)}

    asyncio.run(scenario())


def test_a_replaced_group_does_not_discard_a_replica_that_is_in_no_group(tmp_path: Path) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        driver = start_driver(parts)
        assert driver.handle_group_change(GroupChange.ADOPTED)
        assert driver.handle_group_change(GroupChange.REPLACED)
        assert driver.replica is not None

    asyncio.run(scenario())


def create_sole_voter(parts: NodeParts) -> ReplicaDriver:
    """Create the driver of a group's only voter, whose store exists but is not open."""
    parts.context.config = config = replace(parts.config, voters=("n1",))
    assert config.store is not None
    create_group(config.store, "n1", IDENTITY, "1.aa")
    driver = ReplicaDriver(parts.context, parts.turns, parts.router, parts.group)
    parts.router.handle_others(driver.handle_message, driver.handle_group_change)
    return driver


async def run_turns_until(parts: NodeParts, driver: ReplicaDriver, reached: Callable[[], bool]) -> None:
    """Run turns on the manual clock, with real time between them for the store's thread, until the condition holds."""
    for _ in range(400):
        if reached():
            return
        parts.clock.advance(50)
        driver.tick(parts.clock.now())
        await asyncio.sleep(0.005)
    raise AssertionError("not reached")


def test_each_save_is_observed_before_and_after_and_a_sole_voter_becomes_leader(tmp_path: Path) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        observer = parts.context.observer = RecordingObserver()
        driver = create_sole_voter(parts)
        await driver.open()
        replica = driver.replica
        assert replica is not None
        await run_turns_until(parts, driver, lambda: replica.raft.is_established_leader)
        assert not driver.leads_others  # it is the only voter
        reached = observer.reached_steps
        assert set(reached) == {Step.STORE_SAVING, Step.STORE_SAVED}
        after_saving = {after for step, after in pairwise(reached) if step is Step.STORE_SAVING}
        assert after_saving == {Step.STORE_SAVED}  # saves do not overlap
        await driver.close()
        assert driver.replica is None

    asyncio.run(scenario())


def test_a_restarted_replica_keeps_its_identity_and_its_group(tmp_path: Path) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        first = create_sole_voter(parts)
        await first.open()
        await first.close()
        parts.group.name = ""
        second = ReplicaDriver(parts.context, parts.turns, parts.router, parts.group)
        await second.open()
        assert second.replica is not None
        assert second.replica.identity == IDENTITY
        assert parts.group.name == "1.aa"
        await second.close()

    asyncio.run(scenario())


def test_after_a_failed_save_the_store_is_reopened_and_the_replica_restarts_from_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    failures: list[StoreError] = []
    save = ReplicaStore.save

    def save_or_fail(self: ReplicaStore, ready: Ready) -> None:
        if failures:
            raise failures.pop()
        save(self, ready)

    monkeypatch.setattr(ReplicaStore, "save", save_or_fail)
    monkeypatch.setattr(replica_driver, "STORE_RETRY_DELAY", 10 * MILLISECOND)

    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        driver = create_sole_voter(parts)
        await driver.open()
        before = driver.replica
        failures.append(StoreError(tmp_path, "disk full"))
        await run_turns_until(parts, driver, lambda: driver.replica not in (before, None))
        after = driver.replica
        assert after is not None
        assert after.identity == IDENTITY
        assert parts.context.counts["store faults"] == 1
        assert [event["what"] for event in parts.context.history].count("the store failed") == 1
        await run_turns_until(parts, driver, lambda: after.raft.is_established_leader)
        await driver.close()

    asyncio.run(scenario())


def test_after_its_group_is_replaced_the_replica_restarts_with_a_new_store_and_identity(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        driver = create_sole_voter(parts)
        await driver.open()
        parts.group.name = "2.bb"
        assert not driver.handle_group_change(GroupChange.REPLACED)
        assert driver.replica is None
        await run_turns_until(parts, driver, lambda: driver.replica is not None)
        assert driver.replica is not None
        assert driver.replica.identity != IDENTITY
        assert parts.group.name == "2.bb"
        assert len(list((tmp_path / "store").glob("*.aside-1"))) == 1
        await driver.close()

    asyncio.run(scenario())
