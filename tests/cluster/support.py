"""Fault plans for drills with real processes, and parts of a cluster node without sockets."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime
from pathlib import Path

from marlstep.cluster import wire
from marlstep.cluster.context import NodeContext
from marlstep.cluster.group_identity import GroupIdentity
from marlstep.cluster.interfaces import IgnoreSteps
from marlstep.cluster.relay import SuccessorRelay
from marlstep.cluster.router import MessageRouter
from marlstep.cluster.transport import ClusterTransport
from marlstep.cluster.turns import TurnScheduler
from marlstep.config import check
from marlstep.consensus.replica_messages import Message
from marlstep.fault_injection.faults import Fault
from marlstep.fault_injection.plan import Plan
from marlstep.net.eventloop import Address
from marlstep.units import SteadyClock
from tests.golden.everything import operator_config, platform_config
from tests.support.node import ManualClock

ROOT = Path(__file__).parent.parent.parent
CONFIG = ROOT / "deploy" / "node.json"
NODES = ("n1", "n2", "n3", "n4", "n5")


def make_plan(seed: int, length_ms: int, *faults: tuple[int, int, str, str, str, str]) -> Plan:
    rows = tuple(Fault(*fault) for fault in faults)
    return Plan(seed, NODES, NODES[:3], length_ms, (1.01, 0.99, 1.0, 1.01, 0.99), rows)


class RecordingTransport(ClusterTransport):
    """Records sent envelopes and set addresses instead of using connections."""

    sent: list[tuple[str, wire.Envelope]]
    addresses: dict[str, Address]

    def send(self, node: str, body: bytes) -> None:
        self.sent.append((node, wire.read_envelope(body)))

    def set_address(self, name: str, address: Address) -> None:
        self.addresses[name] = address

    def remove_address(self, name: str) -> None:
        self.addresses.pop(name, None)


class NodeParts:
    """The router and turns of the open node n1 on a manual clock. Must be created within a running event loop."""

    def __init__(self, folder: Path, run_turn: Callable[[datetime], None] = lambda now: None) -> None:
        self.clock = ManualClock()
        config = check(platform_config("n1"), operator_config(folder)).cluster
        assert config is not None
        self.config = config
        self.context = NodeContext(config, self.clock.now, SteadyClock(), IgnoreSteps(), seed=1)
        self.context.steady = self.clock.timeline
        self.context.process.is_open = True
        self.turns = TurnScheduler(self.context, run_turn)
        self.group = GroupIdentity()
        self.relay = SuccessorRelay(self.context)
        self.router = MessageRouter(self.context, self.turns, self.group, self.relay)
        self.transport = RecordingTransport(
            config.nodes, wire.stream_framing(config.key), self.clock.timeline, self.router.handle_frame
        )
        self.transport.sent, self.transport.addresses = [], {}
        self.router.transport = self.transport

    def envelope(
        self, sender: str, recipient: str, message: Message, group: str = "", cluster: str = "golden"
    ) -> wire.Envelope:
        return wire.Envelope(cluster, group, sender, recipient, message)

    def deliver(self, envelope: wire.Envelope) -> None:
        """Deliver an envelope as a frame from another node."""
        self.router.handle_frame(wire.write_envelope(envelope))
