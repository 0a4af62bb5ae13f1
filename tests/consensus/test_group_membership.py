"""Joining, promotion, replacement and removal of replicas."""

from __future__ import annotations

from marlstep.consensus.log import Configuration, PersistentState, Snapshot
from marlstep.consensus.replica import ReplicaSettings
from marlstep.leases.settings import LeaseSettings
from tests.consensus.support import TIMING, ReplicaCluster


def test_a_group_grows_from_one_replaces_a_lost_voter_and_removes_ineligible_ones() -> None:
    cluster = ReplicaCluster(("a", "b", "c"))
    cluster.start("a#1", PersistentState(snapshot=Snapshot(configuration=Configuration(("a#1",)))))
    for identity in ("b#1", "c#1", "x#1"):  # x is not eligible
        cluster.start(identity, PersistentState())
    cluster.pass_time(3)
    assert cluster.voters() == {"a#1", "b#1", "c#1"}
    del cluster.members["c#1"]
    cluster.start("c#2", PersistentState())  # the node lost its disk and has a new identity
    cluster.pass_time(4)
    assert cluster.voters() == {"a#1", "b#1", "c#2"}
    for replica in cluster.members.values():
        replica.settings = ReplicaSettings(TIMING, LeaseSettings(), ("b", "c", "d"))
    cluster.eligible_nodes = ("b", "c", "d")
    cluster.start("d#1", PersistentState())
    cluster.pass_time(5)
    assert cluster.voters() == {"b#1", "c#2", "d#1"}  # the leader itself is removed as well
