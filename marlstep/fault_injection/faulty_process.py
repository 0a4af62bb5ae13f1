"""The rig's own way of starting a node: the product as it is, with a clock that errs and a disk that can be slowed.

    python -m marlstep.fault_injection.faulty_process --operator FILE --rate 1.01

Orders come as JSON lines on standard input: `{"hook": "begun"}` kills this process at that step (with
`"stop": true` it is only stopped), `{"disk_ms": 300}`
makes each commit take so much longer, `{"disk_full": true}` lets commits fail, `{"jump_ms": 5000}` sets its clock on.
None of this is in the product: what is altered here is altered from outside.
"""

from __future__ import annotations

import argparse
import json
import logging
import os
import signal
import sys
import threading
import time
from datetime import datetime
from typing import Any

import apsw

from marlstep.__main__ import LOG_FORMAT
from marlstep.cluster.context import NodeContext
from marlstep.cluster.interfaces import Step
from marlstep.cluster.node import ClusterNode
from marlstep.cluster.replica_driver import ReplicaDriver
from marlstep.cluster.store import OpenedStore, ReplicaStore, StoreError
from marlstep.consensus.raft import Ready
from marlstep.fault_injection.mutations import (
    DOCUMENT_MUTATIONS,
    LEASE_MUTATIONS,
    MEMBERSHIP_MUTATIONS,
    Mutation,
)
from marlstep.membership.partition_state import CAPABILITIES, PartitionState
from marlstep.units import EPOCH, MILLISECOND, SteadyClock

BROKEN = {**LEASE_MUTATIONS, **DOCUMENT_MUTATIONS, **MEMBERSHIP_MUTATIONS}
HOOK_STEPS = {  # by the words of plans
    "voted": Step.STORE_SAVING,
    "stored": Step.STORE_SAVED,
    "granted": Step.LEASE_GAINED,
    "begun": Step.RUN_BEGUN,
    "acted": Step.ACTION_STARTING,
    "ended": Step.RUN_ENDING,
    "left": Step.REQUEST_STARTING,
    "uploading": Step.CHUNK_UPLOADING,
    "put": Step.VERSION_PROPOSING,
    "said": Step.VERSION_ACKNOWLEDGED,
    "following": Step.VERSION_ACTIVATED,
}


class FaultOrders:
    """What the rig has told this process; observes its steps."""

    def __init__(self) -> None:
        self.hook: Step | None = None
        self.how = signal.SIGKILL  # or SIGSTOP, until the rig lets it go on
        self.disk_ms = 0
        self.disk_full = False
        self.jump_ms = 0

    def listen(self) -> None:
        for line in sys.stdin:
            told: dict[str, Any] = json.loads(line)
            if "hook" in told:
                self.how = signal.SIGSTOP if told.get("stop") else signal.SIGKILL
                self.hook = HOOK_STEPS.get(str(told["hook"]))
            self.disk_ms = int(told.get("disk_ms", self.disk_ms))
            self.disk_full = bool(told.get("disk_full", self.disk_full))
            self.jump_ms += int(told.get("jump_ms", 0))

    def reached(self, step: Step) -> None:
        if step is self.hook:
            self.hook = None
            os.kill(os.getpid(), self.how)


class ErringClock(SteadyClock):
    """Goes fast or slow from the start of this process on."""

    rate = 1.0
    orders = FaultOrders()

    def __init__(self) -> None:
        self._start = super().now()

    def now(self) -> datetime:
        passed = super().now() - self._start
        return EPOCH + passed * self.rate + self.orders.jump_ms * MILLISECOND


def alter(orders: FaultOrders, rate: float, mutation: Mutation) -> None:
    """Put clock, disk and hooks in their places, and a rule out of the code where one is to be missed."""
    ErringClock.rate, ErringClock.orders = rate, orders
    save, begin, vote = ReplicaStore.save, ClusterNode.__init__, ReplicaDriver.start_replica

    def slow_save(self: ReplicaStore, ready: Ready) -> None:
        if orders.disk_ms:
            time.sleep(orders.disk_ms / 1000)
        if orders.disk_full:
            raise StoreError(self.path, apsw.FullError("database or disk is full"))
        save(self, ready)

    def hooked(self: ClusterNode, *words: Any, **named: Any) -> None:
        named |= {"observer": orders, "clock": ErringClock()}
        begin(self, *words, **named)
        mutation.apply_to(self.context.client.holder)
        for runner in self.task_driver.runners.values():
            mutation.apply_to(runner)
        if self.config_driver is not None:
            mutation.apply_to(self.config_driver.follower)
        if self.membership is not None:
            mutation.apply_to(self.membership.detector.state)

    def voting(self: ReplicaDriver, opened: OpenedStore) -> None:
        vote(self, opened)
        if self.replica is not None:
            mutation.apply_to_replica(self.replica)
            for part in (self.replica.config_store, self.replica.quotas):
                if part is not None:
                    mutation.apply_to(part)

    ReplicaDriver.start_replica = voting  # type: ignore[method-assign]
    if mutation.ignores_capabilities:
        NodeContext.capabilities = property(lambda self: CAPABILITIES[PartitionState.HEALTHY])  # type: ignore[method-assign,assignment]
    ReplicaStore.save = slow_save  # type: ignore[method-assign]
    ClusterNode.__init__ = hooked  # type: ignore[method-assign]


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n", 1)[0])
    parser.add_argument("--operator", required=True)
    parser.add_argument("--rate", type=float, default=1.0)
    parser.add_argument("--broken", choices=sorted(BROKEN))
    options = parser.parse_args()
    orders = FaultOrders()
    alter(orders, options.rate, BROKEN[options.broken] if options.broken else Mutation())
    threading.Thread(target=orders.listen, daemon=True).start()
    logging.basicConfig(level=logging.INFO, format=LOG_FORMAT)
    from marlstep.node import run

    return run(options.operator)


if __name__ == "__main__":
    sys.exit(main())
