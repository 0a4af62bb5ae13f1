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


class Steps:
    """Records the steps that the node reaches."""

    def __init__(self) -> None:
        self.reached_steps: list[Step] = []

    def reached(self, step: Step) -> None:
        self.reached_steps.append(step)


def started(parts: NodeParts, group: str = "1.aa") -> ReplicaDriver:
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
def test_a_message_reaches_the_replica_by_its_identity_or_as_a_request_to_its_node(
    recipient: str, message: Message, count: str | None, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def course() -> None:
        parts = NodeParts(tmp_path)
        driver = started(parts)
        stepped: list[Message] = []
        monkeypatch.setattr(Replica, "step", lambda self, now, sender, message: stepped.append(message))
        driver.handle_message(parts.clock.now(), parts.envelope("n2#x", recipient, message), message)
        assert stepped == ([message] if count is None else [])
        assert dict(parts.context.counts) == ({} if count is None else {count: 1})

    asyncio.run(course())


def test_a_node_without_a_replica_counts_what_is_for_one(tmp_path: Path) -> None:
    async def course() -> None:
        parts = NodeParts(tmp_path)
        driver = ReplicaDriver(parts.context, parts.turns, parts.router, parts.group)
        driver.handle_message(parts.clock.now(), parts.envelope("n2#x", "n1", JOIN), JOIN)
        assert parts.context.counts["not for this process"] == 1
        assert driver.next_due() is None
        assert not driver.leads_others

    asyncio.run(course())


def test_the_group_of_the_store_is_the_group_of_the_node(tmp_path: Path) -> None:
    async def course() -> None:
        parts = NodeParts(tmp_path)
        started(parts, group="4.cc")
        assert parts.group.name == "4.cc"

    asyncio.run(course())


def test_a_replica_that_the_group_does_not_know_asks_the_other_voters_to_join(tmp_path: Path) -> None:
    async def course() -> None:
        parts = NodeParts(tmp_path)
        driver = started(parts)
        for _ in range(4):
            driver.tick(parts.clock.now())
            parts.clock.advance(100)
        joins = [(node, envelope) for node, envelope in parts.transport.sent if node != "n1"]
        assert [node for node, _ in joins] == ["n2", "n3"] * 2  # immediately, and after 300 ms
        assert {envelope.message for _, envelope in joins} == {JoinRequest("n1", IDENTITY)}

    asyncio.run(course())


def test_a_replaced_group_gives_up_a_replica_only_where_it_is_of_a_group(tmp_path: Path) -> None:
    async def course() -> None:
        parts = NodeParts(tmp_path)
        driver = started(parts)
        assert driver.handle_group_change(GroupChange.ADOPTED)
        assert driver.handle_group_change(GroupChange.REPLACED)
        assert driver.replica is not None

    asyncio.run(course())


def alone(parts: NodeParts) -> ReplicaDriver:
    """Create the driver of a group's only voter, whose store exists but is not open."""
    parts.context.config = config = replace(parts.config, voters=("n1",))
    assert config.store is not None
    create_group(config.store, "n1", IDENTITY, "1.aa")
    driver = ReplicaDriver(parts.context, parts.turns, parts.router, parts.group)
    parts.router.handle_others(driver.handle_message, driver.handle_group_change)
    return driver


async def pass_until(parts: NodeParts, driver: ReplicaDriver, reached: Callable[[], bool]) -> None:
    """Run turns on the manual clock, with real time between them for the store's thread, until the condition holds."""
    for _ in range(400):
        if reached():
            return
        parts.clock.advance(50)
        driver.tick(parts.clock.now())
        await asyncio.sleep(0.005)
    raise AssertionError("not reached")


def test_each_save_is_observed_before_and_after_and_the_only_voter_comes_to_lead(tmp_path: Path) -> None:
    async def course() -> None:
        parts = NodeParts(tmp_path)
        steps = parts.context.observer = Steps()
        driver = alone(parts)
        await driver.open()
        replica = driver.replica
        assert replica is not None
        await pass_until(parts, driver, lambda: replica.raft.is_established_leader)
        assert not driver.leads_others  # it is the only voter
        reached = steps.reached_steps
        assert set(reached) == {Step.STORE_SAVING, Step.STORE_SAVED}
        after_saving = {after for step, after in pairwise(reached) if step is Step.STORE_SAVING}
        assert after_saving == {Step.STORE_SAVED}  # saves do not overlap
        await driver.close()
        assert driver.replica is None

    asyncio.run(course())


def test_a_restarted_replica_has_its_identity_and_its_group_again(tmp_path: Path) -> None:
    async def course() -> None:
        parts = NodeParts(tmp_path)
        first = alone(parts)
        await first.open()
        await first.close()
        parts.group.name = ""
        second = ReplicaDriver(parts.context, parts.turns, parts.router, parts.group)
        await second.open()
        assert second.replica is not None
        assert second.replica.identity == IDENTITY
        assert parts.group.name == "1.aa"
        await second.close()

    asyncio.run(course())


def test_a_failed_save_reopens_the_store_and_the_replica_starts_from_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    failures: list[StoreError] = []
    save = ReplicaStore.save

    def failing_once(self: ReplicaStore, ready: Ready) -> None:
        if failures:
            raise failures.pop()
        save(self, ready)

    monkeypatch.setattr(ReplicaStore, "save", failing_once)
    monkeypatch.setattr(replica_driver, "STORE_RETRY_DELAY", 10 * MILLISECOND)

    async def course() -> None:
        parts = NodeParts(tmp_path)
        driver = alone(parts)
        await driver.open()
        before = driver.replica
        failures.append(StoreError(tmp_path, "disk full"))
        await pass_until(parts, driver, lambda: driver.replica not in (before, None))
        after = driver.replica
        assert after is not None
        assert after.identity == IDENTITY
        assert parts.context.counts["store faults"] == 1
        assert [event["what"] for event in parts.context.history].count("the store failed") == 1
        await pass_until(parts, driver, lambda: after.raft.is_established_leader)
        await driver.close()

    asyncio.run(course())


def test_a_replaced_group_sets_the_store_aside_and_the_replica_comes_back_as_another(
    tmp_path: Path,
) -> None:
    async def course() -> None:
        parts = NodeParts(tmp_path)
        driver = alone(parts)
        await driver.open()
        parts.group.name = "2.bb"
        assert not driver.handle_group_change(GroupChange.REPLACED)
        assert driver.replica is None
        await pass_until(parts, driver, lambda: driver.replica is not None)
        assert driver.replica is not None
        assert driver.replica.identity != IDENTITY
        assert parts.group.name == "2.bb"
        assert len(list((tmp_path / "store").glob("*.aside-1"))) == 1
        await driver.close()

    asyncio.run(course())
