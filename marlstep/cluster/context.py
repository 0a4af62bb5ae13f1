"""State shared by all parts of a cluster node: identity, clocks, group client, counters and event history."""

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

HISTORY_LENGTH = 200  # number of events and of order results kept for operators
ALL_CAPABILITIES = CAPABILITIES[PartitionState.HEALTHY]  # for a node without membership


@dataclass(slots=True)
class ProcessState:
    """How far this process takes part in the cluster. Changed by the lifecycle only."""

    is_open: bool = False  # whether it sends and receives messages
    is_closed: bool = False
    relay_port: int | None = None  # port on which it listens while its predecessor relays; else None
    drain_deadline: datetime | None = None  # by the steady clock; None unless the process drains


class NodeContext:
    """The state that all parts of a node use."""

    def __init__(
        self,
        config: ClusterConfig,
        wall: Callable[[], datetime],
        clock: SteadyClock,
        observer: StepObserver,
        seed: int,
    ) -> None:
        """Create the state with a random process ID.

        Args:
            config: The cluster section of the configuration.
            wall: Returns the wall-clock time.
            clock: The monotonic clock that leases are measured with.
            observer: Notified of each step that the node reaches.
            seed: Seeds the random generator, together with the process ID.

        """
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
        """The name with which this process holds leases."""
        return self.client.holder.name

    @property
    def capabilities(self) -> Capabilities:
        """The actions that are permitted in the partition state of this node."""
        return ALL_CAPABILITIES if self.partition is None else self.partition.capabilities

    def record_event(self, what: str, reason: str) -> None:
        """Add an event to the history shown to operators."""
        at = self.wall().isoformat(timespec="milliseconds")
        self.history.append({"at": at, "what": what, "why": reason})
