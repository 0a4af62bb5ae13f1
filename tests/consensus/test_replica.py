"""Compaction and restart of a replica, through the interface for its driver."""

from __future__ import annotations

import random
from datetime import timedelta

from marlstep.consensus.log import Configuration, PersistentState, Snapshot
from marlstep.consensus.replica import COMPACTION_THRESHOLD, Replica, ReplicaSettings
from marlstep.consensus.replica_messages import CommandRequest, CommandResponse
from marlstep.leases.settings import LeaseSettings
from marlstep.units import EPOCH
from tests.consensus.support import TIMING, CounterMachine, apply_ready


def test_a_log_is_compacted_and_a_replica_restarts_from_its_store() -> None:
    now = EPOCH + timedelta(days=1)
    group = Configuration(("v#1",))
    disk = PersistentState(snapshot=Snapshot(configuration=group))
    settings = ReplicaSettings(TIMING, LeaseSettings(), ("v",))
    replica = Replica("v#1", disk, settings, lambda table: {"n": CounterMachine()}, random.Random(1), now)

    def settle() -> list[object]:
        nonlocal disk
        messages: list[object] = []
        for _ in range(6):
            messages += [message for _, message in replica.take_immediate_messages(now)]
            while (ready := replica.take_ready()) is not None:
                disk = apply_ready(disk, ready)
                replica.acknowledge_durable(now, ready)
                for to, message in ready.messages:
                    if to == replica.identity:
                        replica.step(now, to, message)
        return messages

    now = replica.next_due()
    replica.tick(now)
    settle()
    for number in range(COMPACTION_THRESHOLD + 10):
        replica.step(now, "a", CommandRequest("a/1", number, '{"m":"n","add":1}'))
        if number % 100 == 0:
            settle()
    settle()
    assert disk.snapshot.index >= COMPACTION_THRESHOLD - 100 and len(disk.entries) < COMPACTION_THRESHOLD
    replica = Replica("v#1", disk, settings, lambda table: {"n": CounterMachine()}, random.Random(1), now)
    now = replica.next_due()
    replica.tick(now)
    settle()
    replica.step(now, "a", CommandRequest("a/1", 99_999, '{"m":"n","add":1}'))
    responses = [message for message in settle() if isinstance(message, CommandResponse)]
    assert responses == [CommandResponse(99_999, True, "v", f'{{"value":{COMPACTION_THRESHOLD + 11}}}')]
