"""Elections: terms, votes, pre-votes and leadership transfer."""

from __future__ import annotations

import random
from datetime import timedelta

import pytest

from marlstep.consensus.log import Configuration, PersistentState, Snapshot
from marlstep.consensus.messages import (
    AppendEntries,
    RequestVote,
)
from marlstep.consensus.raft import Raft, Role
from marlstep.units import EPOCH, MILLISECOND
from tests.consensus.support import TIMING, RaftCluster, apply_ready


@pytest.mark.parametrize("count", [1, 3, 5, 7])
def test_a_group_of_any_size_elects_one_leader_and_commits(count: int) -> None:
    cluster = RaftCluster(count)
    leader = cluster.leader()
    assert sum(raft.is_leader for raft in cluster.members.values()) == 1
    for number in range(5):
        leader.propose(f"c{number}")
    cluster.settle()
    cluster.pass_time(timedelta(milliseconds=300))
    assert {tuple(cluster.commands(name)) for name in cluster.members} == {("c0", "c1", "c2", "c3", "c4")}


def test_a_partitioned_member_returns_without_deposing_the_leader() -> None:
    cluster = RaftCluster()
    leader = cluster.leader()
    partitioned_member = next(name for name in cluster.members if name != leader.identity)
    cluster.partitioned.add(partitioned_member)
    for _ in range(40):  # its election timeout expires repeatedly
        cluster.now += 200 * MILLISECOND
        cluster.members[partitioned_member].tick(cluster.now)
        leader.tick(cluster.now)
        cluster.settle()
    term = leader.term
    cluster.partitioned.clear()
    cluster.pass_time(timedelta(seconds=3))
    assert leader.is_leader and leader.term == term and cluster.members[partitioned_member].term == term


def test_a_leader_without_a_quorum_steps_down() -> None:
    cluster = RaftCluster()
    leader = cluster.leader()
    cluster.partitioned |= {name for name in cluster.members if name != leader.identity}
    cluster.pass_time(timedelta(seconds=2))
    assert leader.role is not Role.LEADER and leader.propose("lost") is None


def test_a_vote_is_durable_before_its_response_and_granted_once_per_term() -> None:
    cluster = RaftCluster()
    raft = cluster.members["v0#1"]
    raft.step(cluster.now, "v1#1", RequestVote(1, False, True, 0, 0))
    raft.step(cluster.now, "v2#1", RequestVote(1, False, True, 0, 0))
    assert raft.take_immediate_messages(cluster.now) == []  # no response before the vote is durable
    ready = raft.take_ready()
    assert ready is not None and ready.needs_sync and (ready.term, ready.voted_for) == (1, "v1#1")
    assert [(to, message.granted) for to, message in ready.messages] == [("v1#1", True), ("v2#1", False)]  # type: ignore[union-attr]
    restarted = Raft("v0#1", apply_ready(cluster.disks["v0#1"], ready), TIMING, random.Random(1), cluster.now)
    restarted.step(cluster.now, "v2#1", RequestVote(1, False, True, 9, 9))
    second_response = restarted.take_ready()
    assert second_response is not None and not second_response.messages[0][1].granted  # type: ignore[union-attr]


def test_leadership_transfer_elects_the_target_at_once() -> None:
    cluster = RaftCluster()
    leader = cluster.leader()
    target = leader.transfer_leadership()
    cluster.settle()
    assert target and cluster.members[target].is_leader and not leader.is_leader


def test_a_member_that_wakes_late_handles_its_messages_before_it_starts_an_election() -> None:
    now = EPOCH + timedelta(days=1)
    saved = PersistentState(snapshot=Snapshot(configuration=Configuration(("a#1", "b#1", "c#1"))))
    raft = Raft("a#1", saved, TIMING, random.Random(1), now)
    wakeup_at = raft.next_due() + 3 * TIMING.heartbeat_interval
    raft.tick(wakeup_at)
    assert not raft.is_leader and raft.next_due() == wakeup_at + TIMING.heartbeat_interval
    raft.step(wakeup_at, "b#1", AppendEntries(1, 1, 0, 0, 0, ()))  # this message was waiting in the socket
    assert raft.leader == "b#1" and raft.next_due() > wakeup_at + TIMING.heartbeat_interval
    # Without a message it campaigns one heartbeat interval later; a second late wakeup does not postpone it again.
    second_wakeup_at = raft.next_due() + 3 * TIMING.heartbeat_interval
    raft.tick(second_wakeup_at)
    assert [
        message
        for _, message in raft.take_immediate_messages(second_wakeup_at)
        if isinstance(message, RequestVote)
    ] == []
    raft.tick(second_wakeup_at + 9 * TIMING.heartbeat_interval)
    assert raft.role is Role.PRE_CANDIDATE
