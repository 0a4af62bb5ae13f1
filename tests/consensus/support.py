"""Simulated Raft members and replicas on a network without delay, for the tests of the consensus package."""

from __future__ import annotations

import random
from datetime import timedelta

from marlstep.consensus.log import Configuration, EntryType, LogEntry, PersistentState, Snapshot
from marlstep.consensus.raft import Raft, RaftTiming, Ready
from marlstep.consensus.replica import Replica, ReplicaSettings
from marlstep.consensus.replica_messages import JoinRequest
from marlstep.fault_injection.simulated_machine import SimulatedDisk
from marlstep.leases.settings import LeaseSettings
from marlstep.units import EPOCH, MILLISECOND

TIMING = RaftTiming()


class CounterMachine:
    def __init__(self) -> None:
        self.value = 0

    def apply(self, command: object) -> dict[str, object]:
        self.value += command["add"]  # type: ignore[index]
        return {"value": self.value}

    def snapshot(self) -> object:
        return self.value

    def restore(self, snapshot: int) -> None:
        self.value = snapshot


def apply_ready(disk: PersistentState, ready: Ready) -> PersistentState:
    """Return the state that the store contains once `ready` is durable."""
    store = SimulatedDisk("", disk)
    store.write(ready)
    return store.saved


class RaftCluster:
    """Raft cores on a network that delivers messages immediately, except to and from `partitioned` members."""

    def __init__(self, count: int = 3) -> None:
        self.now = EPOCH + timedelta(days=1)
        self.configuration = Configuration(tuple(f"v{number}#1" for number in range(count)))
        self.disks: dict[str, PersistentState] = {}
        self.members: dict[str, Raft] = {}
        self.applied: dict[str, list[LogEntry | Snapshot]] = {}
        self.partitioned: set[str] = set()
        for number, name in enumerate(self.configuration.voters):
            self.add(name, PersistentState(snapshot=Snapshot(configuration=self.configuration)), number)

    def add(self, name: str, saved: PersistentState, seed: int = 0) -> Raft:
        self.disks[name] = saved
        raft = Raft(name, saved, TIMING, random.Random(seed), self.now)
        self.members[name], self.applied[name] = raft, []
        return raft

    def settle(self) -> None:
        delivered = True
        while delivered:
            delivered = False
            for name, raft in self.members.items():
                messages = raft.take_immediate_messages(self.now)
                ready = raft.take_ready()
                if ready is not None:
                    self.disks[name] = apply_ready(self.disks[name], ready)
                    raft.acknowledge_durable(ready)
                    messages += ready.messages
                self.applied[name] += raft.take_committed()
                for to, message in messages:
                    delivered = True
                    if to in self.members and not {name, to} & self.partitioned:
                        self.members[to].step(self.now, name, message)

    def pass_time(self, span: timedelta) -> None:
        end = self.now + span
        while self.now < end:
            self.now += 10 * MILLISECOND
            for name, raft in self.members.items():
                if name not in self.partitioned:
                    raft.tick(self.now)
            self.settle()

    def leader(self) -> Raft:
        self.pass_time(timedelta(seconds=3))
        leaders = [
            raft for name, raft in self.members.items() if raft.is_leader and name not in self.partitioned
        ]
        assert leaders, "no leader"
        return max(leaders, key=lambda raft: raft.term)

    def commands(self, name: str) -> list[str]:
        return [
            item.body
            for item in self.applied[name]
            if isinstance(item, LogEntry) and item.entry_type is EntryType.COMMAND
        ]


class ReplicaCluster:
    """Replicas on a network that delivers messages immediately."""

    def __init__(self, eligible_nodes: tuple[str, ...]) -> None:
        self.now = EPOCH + timedelta(days=1)
        self.eligible_nodes = eligible_nodes
        self.members: dict[str, Replica] = {}

    def start(self, identity: str, saved: PersistentState) -> Replica:
        settings = ReplicaSettings(TIMING, LeaseSettings(), self.eligible_nodes)
        self.members[identity] = Replica(
            identity, saved, settings, lambda table: {}, random.Random(identity), self.now
        )
        return self.members[identity]

    def pass_time(self, seconds: float) -> None:
        end = self.now + timedelta(seconds=seconds)
        while self.now < end:
            self.now += 20 * MILLISECOND
            for replica in list(self.members.values()):
                replica.tick(self.now)
                if replica.identity not in replica.raft.configuration.voters:
                    for other in self.members.values():
                        other.step(self.now, replica.identity, JoinRequest(replica.node, replica.identity))
            for _ in range(8):
                for replica in list(self.members.values()):
                    messages = replica.take_immediate_messages(self.now)
                    while (ready := replica.take_ready()) is not None:
                        replica.acknowledge_durable(self.now, ready)
                        messages += ready.messages
                    for to, message in messages:
                        if to in self.members:
                            self.members[to].step(self.now, replica.identity, message)

    def voters(self) -> set[str]:
        leaders = [replica for replica in self.members.values() if replica.raft.is_established_leader]
        assert leaders, "no leader"
        return set(max(leaders, key=lambda replica: replica.raft.term).raft.configuration.voters)
