"""Runs a node in a process with injected faults: a drifting clock, a slow or full disk, and kills at chosen steps.

    python -m marlstep.fault_injection.faulty_process --operator FILE --rate 1.01

Orders are read as JSON lines from standard input:

- `{"hook": "begun"}` kills this process at that step; with `"stop": true` it is suspended instead.
- `{"disk_ms": 300}` delays each commit by that many milliseconds.
- `{"disk_full": true}` makes each commit fail.
- `{"jump_ms": 5000}` sets the clock forward by that many milliseconds.

The production code contains none of this: the faults are patched into it here.
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

MUTATIONS = {**LEASE_MUTATIONS, **DOCUMENT_MUTATIONS, **MEMBERSHIP_MUTATIONS}
HOOK_STEPS = {  # by their names in fault plans
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
    """The faults ordered for this process, and the step observer that carries out kills and suspensions.

    Attributes:
        hook: The step at which this process sends itself a signal; None if no step is ordered.
        signal_number: The signal: SIGKILL, or SIGSTOP to suspend the process until the drill continues it.
        disk_ms: The delay of each commit, in milliseconds.
        disk_full: Whether each commit fails.
        jump_ms: How far the clock has been set forward in total, in milliseconds.
    """

    def __init__(self) -> None:
        """Initialize the orders with no faults."""
        self.hook: Step | None = None
        self.signal_number = signal.SIGKILL
        self.disk_ms = 0
        self.disk_full = False
        self.jump_ms = 0

    def listen(self) -> None:
        """Read orders from standard input until it is closed."""
        for line in sys.stdin:
            order: dict[str, Any] = json.loads(line)
            if "hook" in order:
                self.signal_number = signal.SIGSTOP if order.get("stop") else signal.SIGKILL
                self.hook = HOOK_STEPS.get(str(order["hook"]))
            self.disk_ms = int(order.get("disk_ms", self.disk_ms))
            self.disk_full = bool(order.get("disk_full", self.disk_full))
            self.jump_ms += int(order.get("jump_ms", 0))

    def reached(self, step: Step) -> None:
        """Send the ordered signal to this process if the step is the ordered one."""
        if step is self.hook:
            self.hook = None
            os.kill(os.getpid(), self.signal_number)


class DriftingClock(SteadyClock):
    """A clock that drifts at a constant rate from the start of this process, and that orders can set forward.

    Attributes:
        rate: The seconds that pass on this clock for each true second.
        orders: The orders for this process, of which `jump_ms` is added to the time.
    """

    rate = 1.0
    orders = FaultOrders()

    def __init__(self) -> None:
        """Start the clock; its drift counts from now."""
        self._start = super().now()

    def now(self) -> datetime:
        """Return the time of the drifting clock."""
        elapsed = super().now() - self._start
        return EPOCH + elapsed * self.rate + self.orders.jump_ms * MILLISECOND


def inject_faults(orders: FaultOrders, rate: float, mutation: Mutation) -> None:
    """Patch the clock, the store and the step observer of the node classes, and apply the mutation to their parts.

    Args:
        orders: The orders for this process.
        rate: The rate of the node's clock; 1.0 is exact.
        mutation: The rule to break on purpose; the default mutation breaks none.
    """
    DriftingClock.rate, DriftingClock.orders = rate, orders
    save, initialize, start_voter = ReplicaStore.save, ClusterNode.__init__, ReplicaDriver.start_replica

    def slow_save(self: ReplicaStore, ready: Ready) -> None:
        if orders.disk_ms:
            time.sleep(orders.disk_ms / 1000)
        if orders.disk_full:
            raise StoreError(self.path, apsw.FullError("database or disk is full"))
        save(self, ready)

    def init_with_faults(self: ClusterNode, *args: Any, **kwargs: Any) -> None:
        kwargs |= {"observer": orders, "clock": DriftingClock()}
        initialize(self, *args, **kwargs)
        mutation.apply_to(self.context.client.holder)
        for runner in self.task_driver.runners.values():
            mutation.apply_to(runner)
        if self.config_driver is not None:
            mutation.apply_to(self.config_driver.follower)
        if self.membership is not None:
            mutation.apply_to(self.membership.detector.state)

    def start_mutated_replica(self: ReplicaDriver, opened: OpenedStore) -> None:
        start_voter(self, opened)
        if self.replica is not None:
            mutation.apply_to_replica(self.replica)
            for part in (self.replica.config_store, self.replica.quotas):
                if part is not None:
                    mutation.apply_to(part)

    ReplicaDriver.start_replica = start_mutated_replica  # type: ignore[method-assign]
    if mutation.ignores_capabilities:
        NodeContext.capabilities = property(lambda self: CAPABILITIES[PartitionState.HEALTHY])  # type: ignore[method-assign,assignment]
    ReplicaStore.save = slow_save  # type: ignore[method-assign]
    ClusterNode.__init__ = init_with_faults  # type: ignore[method-assign]


def main() -> int:
    """Run the node with the faults of the command line and return its exit code."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n", 1)[0])
    parser.add_argument("--operator", required=True)
    parser.add_argument("--rate", type=float, default=1.0)
    parser.add_argument("--broken", choices=sorted(MUTATIONS))
    options = parser.parse_args()
    orders = FaultOrders()
    inject_faults(orders, options.rate, MUTATIONS[options.broken] if options.broken else Mutation())
    threading.Thread(target=orders.listen, daemon=True).start()
    logging.basicConfig(level=logging.INFO, format=LOG_FORMAT)
    from marlstep.node import run

    return run(options.operator)


if __name__ == "__main__":
    sys.exit(main())
