"""The fault types, each defined by operations that clusters of processes and simulated clusters both implement.

Both kinds of cluster implement `FaultTarget`. A fault type calls its operations only, so a fault has the same meaning
wherever a plan is run. `FAULT_TYPES` maps the names used in plans to the fault types.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import ClassVar


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault of a plan. The field names are the keys of the plan's JSON.

    Attributes:
        at_ms: The time of its injection, in milliseconds from the start of the plan.
        for_ms: How long it lasts, in milliseconds.
        kind: The name of its type, a key of `FAULT_TYPES`.
        node: The affected node or the origin of the affected link; may be a role such as `@leader`, which is
            resolved when the fault is injected.
        other: The other end of an affected link, or a node on the same side of a partition; empty where unused.
        hook: The step at which a process is killed or stopped; empty where unused.
    """

    at_ms: int
    for_ms: int
    kind: str
    node: str
    other: str = ""
    hook: str = ""

    @property
    def duration_us(self) -> int:
        """How long the fault lasts, in microseconds."""
        return self.for_ms * 1_000


class FaultTarget:
    """The operations that inject faults into a cluster. Nodes are given by name, durations in microseconds.

    The operations of this base class do nothing. A cluster overrides those that it supports; a fault that needs an
    unsupported operation has no effect on that cluster.
    """

    def node_names(self) -> Collection[str]:
        """Return the names of all nodes, running or not."""
        return ()

    def nodes_split_along(self, node: str) -> set[str]:
        """Return the nodes that always stay on the same side as the node when the network is split."""
        return {node}

    def draw_restart_delay_us(self) -> int:
        """Return a random time for which a node stays down when all nodes are restarted."""
        return 0

    def kill(self, node: str, duration_us: int) -> None:
        """Kill the node's process, and start it again with its store after the duration."""

    def wipe_store(self, node: str, duration_us: int) -> None:
        """Kill a voter and delete its store, unless the group could lose its majority."""

    def restore_old_store(self, node: str, duration_us: int) -> None:
        """Kill a voter and replace its store by an old copy, unless the group could lose its majority."""

    def pause(self, node: str, duration_us: int) -> None:
        """Suspend the node's process, and continue it after the duration."""

    def drain(self, node: str, duration_us: int) -> None:
        """Shut the node down gracefully, and start it again after the duration."""

    def slow_disk(self, node: str, duration_us: int) -> None:
        """Delay each write of the node to its store."""

    def fill_disk(self, node: str, duration_us: int) -> None:
        """Fail each write of the node to its store."""

    def kill_at_step(self, node: str, step: str) -> None:
        """Kill the node's process when it next reaches the step, and start it again."""

    def pause_at_step(self, node: str, step: str, duration_us: int) -> None:
        """Suspend the node's process when it next reaches the step, and continue it after the duration."""

    def upgrade(self, node: str) -> None:
        """Start a new process beside the node's running one, and end the old one when the new one is ready."""

    def reload_configuration(self, node: str) -> None:
        """Signal the node to reload its files."""

    def jump_clock(self, node: str, duration_us: int) -> None:
        """Set the node's clock forward by the duration."""

    def drop_messages(self, origin: str, target: str, duration_us: int) -> None:
        """Drop every message from one node to the other."""

    def delay_messages(self, origin: str, target: str, duration_us: int) -> None:
        """Delay messages from one node to the other at random."""

    def trickle_messages(self, origin: str, target: str, duration_us: int) -> None:
        """Deliver messages from one node to the other byte by byte."""

    def duplicate_messages(self, origin: str, target: str, duration_us: int) -> None:
        """Deliver messages from one node to the other more than once."""

    def reset_connection(self, origin: str, target: str) -> None:
        """Reset the connection from one node to the other in the middle of the next message."""


class FaultType:
    """A type of fault: its name in plans, its parameters, and how it is injected.

    Attributes:
        name: The name in plans.
        is_drawn: Whether random plans contain it; if not, it occurs only in plans written by hand.
        affects_link: Whether it takes a second node.
        affects_store: Whether it applies to voters only, since only they have a store.
        takes_step: Whether it takes the step of the process at which it is injected.
        max_duration_ms: The longest duration in random plans; None if the plan alone limits it.
    """

    name: ClassVar[str]
    is_drawn: ClassVar[bool] = True
    affects_link: ClassVar[bool] = False
    affects_store: ClassVar[bool] = False
    takes_step: ClassVar[bool] = False
    max_duration_ms: ClassVar[int | None] = None

    def inject(self, fault: Fault, cluster: FaultTarget) -> None:
        """Inject the fault, whose roles have been replaced by node names, into the cluster."""
        raise NotImplementedError

    def disturbed_nodes(self, fault: Fault, cluster: FaultTarget) -> set[str]:
        """Return the running nodes that other nodes may justifiably suspect while the fault lasts."""
        del fault, cluster
        return set()


class Kill(FaultType):
    """A process is killed, and started again."""

    name = "kill"
    max_duration_ms = 2_500

    def inject(self, fault: Fault, cluster: FaultTarget) -> None:
        """Kill the node for the duration of the fault."""
        cluster.kill(fault.node, fault.duration_us)


class WipeStore(FaultType):
    """A voter is killed and loses its store."""

    name = "wipe"
    affects_store = True
    max_duration_ms = 2_500

    def inject(self, fault: Fault, cluster: FaultTarget) -> None:
        """Wipe the store of the node, which is down for the duration of the fault."""
        cluster.wipe_store(fault.node, fault.duration_us)


class RestoreOldStore(FaultType):
    """A voter is killed and restarted with an old copy of its store."""

    name = "old store"
    affects_store = True
    max_duration_ms = 2_500

    def inject(self, fault: Fault, cluster: FaultTarget) -> None:
        """Restore an old store of the node, which is down for the duration of the fault."""
        cluster.restore_old_store(fault.node, fault.duration_us)


class Pause(FaultType):
    """A process is suspended and later continued, without noticing the gap itself."""

    name = "stop"
    max_duration_ms = 6_000

    def inject(self, fault: Fault, cluster: FaultTarget) -> None:
        """Pause the node."""
        cluster.pause(fault.node, fault.duration_us)

    def disturbed_nodes(self, fault: Fault, cluster: FaultTarget) -> set[str]:
        """Return the paused node."""
        del cluster
        return {fault.node}


class CutLink(FaultType):
    """No messages pass between two nodes."""

    name = "cut"
    affects_link = True

    def inject(self, fault: Fault, cluster: FaultTarget) -> None:
        """Drop the messages in both directions."""
        cluster.drop_messages(fault.node, fault.other, fault.duration_us)
        cluster.drop_messages(fault.other, fault.node, fault.duration_us)


class CutOneWay(FaultType):
    """Messages from one node to another are lost, but not those in the other direction."""

    name = "one way"
    affects_link = True

    def inject(self, fault: Fault, cluster: FaultTarget) -> None:
        """Drop the messages from `node` to `other`."""
        cluster.drop_messages(fault.node, fault.other, fault.duration_us)


class Isolate(FaultType):
    """One or two nodes are cut off from all others, but not from each other."""

    name = "isolate"
    drops_inbound: ClassVar[bool] = True
    drops_outbound: ClassVar[bool] = True

    def inject(self, fault: Fault, cluster: FaultTarget) -> None:
        """Drop the messages between the group and all other nodes."""
        group = self.isolated_group(fault, cluster)
        for inside in sorted(group):
            for outside in sorted(set(cluster.node_names()) - group):
                if self.drops_outbound:
                    cluster.drop_messages(inside, outside, fault.duration_us)
                if self.drops_inbound:
                    cluster.drop_messages(outside, inside, fault.duration_us)

    def isolated_group(self, fault: Fault, cluster: FaultTarget) -> set[str]:
        """Return the nodes on the smaller side of the partition."""
        del cluster
        return {fault.node, fault.other or fault.node}

    def disturbed_nodes(self, fault: Fault, cluster: FaultTarget) -> set[str]:
        """Return the isolated group."""
        return self.isolated_group(fault, cluster)


class DropInbound(Isolate):
    """A node receives no messages, but its own messages arrive."""

    name = "deaf"
    drops_outbound = False


class DropOutbound(Isolate):
    """A node receives all messages, but none of its own arrive."""

    name = "mute"
    drops_inbound = False


class Split(Isolate):
    """The network is split in two; a cluster with zones is split along a zone boundary."""

    name = "split"
    affects_link = True

    def isolated_group(self, fault: Fault, cluster: FaultTarget) -> set[str]:
        """Return the nodes on the side of `node`: both nodes of the fault, and the zone of `node`."""
        return super().isolated_group(fault, cluster) | cluster.nodes_split_along(fault.node)


class DelayMessages(FaultType):
    """Messages from one node to another are delayed, each by a random time."""

    name = "slow"
    affects_link = True

    def inject(self, fault: Fault, cluster: FaultTarget) -> None:
        """Delay the messages from `node` to `other`."""
        cluster.delay_messages(fault.node, fault.other, fault.duration_us)


class TrickleMessages(FaultType):
    """Messages from one node to another arrive byte by byte."""

    name = "trickle"
    affects_link = True

    def inject(self, fault: Fault, cluster: FaultTarget) -> None:
        """Trickle the messages from `node` to `other`."""
        cluster.trickle_messages(fault.node, fault.other, fault.duration_us)


class ResetConnection(FaultType):
    """The connection from one node to another is reset in the middle of a message."""

    name = "reset"
    affects_link = True

    def inject(self, fault: Fault, cluster: FaultTarget) -> None:
        """Reset the connection from `node` to `other`."""
        cluster.reset_connection(fault.node, fault.other)


class DuplicateMessages(FaultType):
    """Messages from one node to another arrive more than once, and also after later ones."""

    name = "repeat"
    affects_link = True

    def inject(self, fault: Fault, cluster: FaultTarget) -> None:
        """Duplicate the messages from `node` to `other`."""
        cluster.duplicate_messages(fault.node, fault.other, fault.duration_us)


class SlowDisk(FaultType):
    """Each write of a node to its store takes much longer."""

    name = "slow disk"
    max_duration_ms = 2_000

    def inject(self, fault: Fault, cluster: FaultTarget) -> None:
        """Slow the disk of the node."""
        cluster.slow_disk(fault.node, fault.duration_us)


class Drain(FaultType):
    """A node shuts down gracefully, and is started again."""

    name = "drain"
    max_duration_ms = 1_500

    def inject(self, fault: Fault, cluster: FaultTarget) -> None:
        """Drain the node, which is down for the duration of the fault."""
        cluster.drain(fault.node, fault.duration_us)


class RestartAll(FaultType):
    """All nodes are killed at once, and each is started again after a random time."""

    name = "restart all"

    def inject(self, fault: Fault, cluster: FaultTarget) -> None:
        """Kill every node, each for a random time."""
        del fault
        for node in cluster.node_names():
            cluster.kill(node, cluster.draw_restart_delay_us())


class KillAtStep(FaultType):
    """A process is killed between two steps of its work, and started again."""

    name = "crash at"
    takes_step = True

    def inject(self, fault: Fault, cluster: FaultTarget) -> None:
        """Kill the node when it next reaches the step."""
        cluster.kill_at_step(fault.node, fault.hook)


class PauseAtStep(FaultType):
    """A process is suspended between two steps of its work, and continued later."""

    name = "stop at"
    is_drawn = False
    takes_step = True

    def inject(self, fault: Fault, cluster: FaultTarget) -> None:
        """Pause the node when it next reaches the step."""
        cluster.pause_at_step(fault.node, fault.hook, fault.duration_us)


class Upgrade(FaultType):
    """A process is replaced by a new one without an interruption."""

    name = "upgrade"
    is_drawn = False

    def inject(self, fault: Fault, cluster: FaultTarget) -> None:
        """Upgrade the node."""
        cluster.upgrade(fault.node)


class FullDisk(FaultType):
    """Each write of a node to its store fails."""

    name = "full disk"
    is_drawn = False

    def inject(self, fault: Fault, cluster: FaultTarget) -> None:
        """Fill the disk of the node."""
        cluster.fill_disk(fault.node, fault.duration_us)


class JumpClock(FaultType):
    """A node's clock is set forward by the duration of the fault."""

    name = "jump"
    is_drawn = False

    def inject(self, fault: Fault, cluster: FaultTarget) -> None:
        """Set the clock of the node forward."""
        cluster.jump_clock(fault.node, fault.duration_us)


class ReloadConfiguration(FaultType):
    """A node reloads its files."""

    name = "reload"
    is_drawn = False

    def inject(self, fault: Fault, cluster: FaultTarget) -> None:
        """Signal the node to reload its files."""
        cluster.reload_configuration(fault.node)


# Random plans select fault types by position, so a different order changes the plan of each seed.
FAULT_TYPES: dict[str, FaultType] = {
    fault_type.name: fault_type
    for fault_type in (
        Kill(), WipeStore(), RestoreOldStore(), Pause(), CutLink(), CutOneWay(), Isolate(), DelayMessages(),
        TrickleMessages(), ResetConnection(), DuplicateMessages(), SlowDisk(), Drain(), RestartAll(), KillAtStep(),
        DropInbound(), DropOutbound(), Split(), PauseAtStep(), Upgrade(), FullDisk(), JumpClock(),
        ReloadConfiguration(),
    )
}  # fmt: skip
