"""Replication of the log: commitment, truncation, and members that lost durable state."""

from __future__ import annotations

from datetime import timedelta

from marlstep.consensus.log import PersistentState
from marlstep.consensus.messages import (
    AppendEntriesResponse,
    LogRegressed,
    TimeoutNow,
)
from marlstep.consensus.raft import Role
from tests.consensus.support import RaftCluster


def test_committed_entries_survive_the_loss_of_the_leader_and_uncommitted_ones_do_not() -> None:
    cluster = RaftCluster()
    first_leader = cluster.leader()
    first_leader.propose("kept")
    cluster.settle()
    cluster.partitioned.add(first_leader.identity)
    first_leader.propose("lost")
    second_leader = cluster.leader()
    assert second_leader is not first_leader
    second_leader.propose("after")
    cluster.settle()
    cluster.partitioned.clear()
    cluster.pass_time(timedelta(seconds=2))
    assert {tuple(cluster.commands(name)) for name in cluster.members} == {("kept", "after")}


def test_a_member_whose_log_regressed_is_notified_and_stops_campaigning() -> None:
    cluster = RaftCluster()
    leader = cluster.leader()
    regressed = next(name for name in cluster.members if name != leader.identity)
    earlier_state = PersistentState(
        cluster.disks[regressed].term,
        cluster.disks[regressed].voted_for,
        cluster.disks[regressed].snapshot,
        [],
    )
    leader.propose("durable there")
    cluster.settle()
    restarted = cluster.add(regressed, earlier_state, 5)
    cluster.pass_time(timedelta(milliseconds=500))
    assert restarted.log_regressed
    restarted.step(cluster.now, leader.identity, TimeoutNow(leader.term))
    assert not restarted.is_leader and restarted.role is Role.FOLLOWER  # it no longer campaigns


def test_a_late_response_is_not_mistaken_for_a_regressed_log() -> None:
    cluster = RaftCluster()
    leader = cluster.leader()
    follower = cluster.members[next(name for name in cluster.members if name != leader.identity)]
    stale = AppendEntriesResponse(leader.term, 1, False, 0)
    leader.propose("more")
    cluster.settle()
    leader.step(cluster.now, follower.identity, stale)
    cluster.settle()
    follower.step(cluster.now, leader.identity, LogRegressed(leader.term, 1))
    assert not follower.log_regressed
