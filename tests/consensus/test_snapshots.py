"""Transfer of snapshots to lagging members."""

from __future__ import annotations

from datetime import timedelta

from marlstep.consensus.log import Snapshot
from marlstep.consensus.messages import (
    MAX_CHARACTERS_PER_MESSAGE,
    AppendEntries,
)
from tests.consensus.support import RaftCluster


def test_a_lagging_member_installs_the_snapshot_although_some_chunks_are_lost() -> None:
    cluster = RaftCluster()
    leader = cluster.leader()
    lagging = next(name for name in cluster.members if name != leader.identity)
    cluster.partitioned.add(lagging)
    for number in range(50):
        leader.propose(f"c{number}")
    cluster.settle()
    data = "x" * (3 * MAX_CHARACTERS_PER_MESSAGE + 7)
    leader.compact(lambda: data, keep=2)
    cluster.partitioned.clear()
    cluster.members[lagging].step(
        cluster.now, leader.identity, AppendEntries(leader.term, leader.heartbeat_round, 40, leader.term, 0)
    )
    for _ in range(3):
        leader.take_immediate_messages(cluster.now)  # the messages of this broadcast are lost
        cluster.pass_time(timedelta(milliseconds=150))
    installed = [item for item in cluster.applied[lagging] if isinstance(item, Snapshot)]
    assert [snapshot.data for snapshot in installed] == [data]
    leader.propose("behind it")
    cluster.settle()
    cluster.pass_time(timedelta(milliseconds=200))
    assert cluster.commands(lagging)[-1] == "behind it"
    assert cluster.disks[lagging].snapshot.data == data
