"""What all parts of a cluster node share: its identity, clocks, group client, counters and event history."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime

from marlstep.cluster.interfaces import StepObserver
from marlstep.config.cluster import ClusterConfig
from marlstep.leases.client import GroupClient
from marlstep.membership.partition_state import CAPABILITIES, Capabilities, PartitionState, PartitionTracker
from marlstep.net.eventloop import LoopWaker
from marlstep.timer_queue import TimerQueue
from marlstep.units import SteadyClock

HISTORY_LENGTH = 200  # events and results of orders that operators are shown
ALL_CAPABILITIES = CAPABILITIES[PartitionState.HEALTHY]  # of a node without membership


@dataclass(slots=True)
class ProcessState:
    """How far this process takes part in the cluster; only the lifecycle changes it."""

    is_open: bool = False  # it sends and receives
    is_closed: bool = False
    relay_port: int | None = None  # it takes part through its predecessor, and listens here
    drain_deadline: datetime | None = None  # by the steady clock; set once the process drains


class NodeContext:
    """The state that every part of a node reads."""

    def __init__(
        self,
        config: ClusterConfig,
        wall: Callable[[], datetime],
        clock: SteadyClock,
        observer: StepObserver,
        seed: int,
    ) -> None:
        """Draw the identity of this process; `clock` measures leases, `wall` tells the hour."""
        self.config = config
        self.process_id = secrets.token_hex(6)
        self.steady = TimerQueue(LoopWaker(asyncio.get_running_loop(), clock.now))
        self.wall = wall
        self.random = random.Random(f"{seed}/{self.process_id}")
        self.client = GroupClient(config.node, self.process_id, config.voters, config.leases, self.random)
        self.counts: Counter[str] = Counter()
        self.history: deque[dict[str, object]] = deque(maxlen=HISTORY_LENGTH)
        self.observer = observer
        self.process = ProcessState()
        self.partition: PartitionTracker | None = None  # set by membership

    @property
    def process_name(self) -> str:
        """The name under which this process holds leases."""
        return self.client.holder.name

    @property
    def capabilities(self) -> Capabilities:
        """What this node may do in its partition state."""
        return ALL_CAPABILITIES if self.partition is None else self.partition.capabilities

    def record_event(self, what: str, reason: str) -> None:
        """Add a row to the history that operators are shown."""
        at = self.wall().isoformat(timespec="milliseconds")
        self.history.append({"at": at, "what": what, "why": reason})
