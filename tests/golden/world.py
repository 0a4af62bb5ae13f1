"""A fleet of a single voter, one real node, and heartbeats of other nodes, on a manual clock and without sockets.

Commands enter the log through the program's own proposers, or as the command request of a node.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

import orjson

from marlstep.cluster import wire
from marlstep.cluster.node import ClusterNode
from marlstep.cluster.state_machines import state_machines
from marlstep.cluster.transport import ClusterTransport
from marlstep.config import check
from marlstep.config.cluster import ClusterConfig
from marlstep.consensus.log import Configuration, PersistentState, Snapshot
from marlstep.consensus.raft import RaftTiming
from marlstep.consensus.replica import Replica, ReplicaSettings
from marlstep.consensus.replica_messages import CommandRequest, CommandResponse, Message
from marlstep.leases.messages import (
    NO_REQUESTS,
    DocumentState,
    Heartbeat,
    HeartbeatResponse,
    LeaseToken,
    RequestCounts,
    TenantDemand,
)
from marlstep.node import Node
from marlstep.replicated_config.messages import DocumentChunk, FetchChunk
from tests.golden.everything import KEY, operator_config, platform_config
from tests.support.node import ManualClock

VOTER = "n1#0a0b0c"
STEP_MS = 50


@dataclass(slots=True)
class Row:
    """One committed command as it is in the log, and its result, both as JSON."""

    body: str
    result: str


@dataclass(slots=True)
class HeartbeatSender:
    """A process of another node, reduced to the fields of its heartbeats. A silent one sends none."""

    node: str
    wanted_leases: tuple[str, ...] = ()
    returned_leases: tuple[LeaseToken, ...] = ()
    max_leases: int = 0
    document_states: tuple[DocumentState, ...] = ()
    request_counts: RequestCounts = NO_REQUESTS
    failed_nodes: tuple[str, ...] = ()
    tenant_demand: tuple[TenantDemand, ...] = ()
    silent: bool = False
    heartbeat_count: int = 0

    @property
    def holder(self) -> str:
        return f"{self.node}/b1"

    def next_heartbeat(self) -> Heartbeat:
        self.heartbeat_count += 1
        return Heartbeat(
            self.node, "b1", self.heartbeat_count, self.wanted_leases, self.returned_leases, self.max_leases, 0,
            self.document_states, self.request_counts, self.failed_nodes, self.tenant_demand,
        )  # fmt: skip


class RecordingTransport(ClusterTransport):
    """A transport that only records the bodies of sent messages."""

    sent: list[bytes]

    def send(self, node: str, body: bytes) -> None:
        self.sent.append(body)


def single_voter(config: ClusterConfig, clock: ManualClock) -> Replica:
    """Return the only voter of its group, whose proposals are therefore committed at once."""
    members = None if config.membership is None else config.membership.roster
    timing = RaftTiming(config.heartbeat_interval, config.election_timeout)
    settings = ReplicaSettings(timing, config.leases, ("n1",), members, quotas=True)
    saved = PersistentState(0, "", Snapshot(0, 0, Configuration((VOTER,)), ""), [])
    return Replica(VOTER, saved, settings, state_machines, random.Random(1), clock.now())


@dataclass(slots=True)
class ClusterHarness:
    """The voter, the real node, which does not vote, and the simulated processes.

    Create it within a running event loop. `rows` are all committed commands.
    """

    clock: ManualClock
    node: Node
    fleet: ClusterNode
    voter: Replica
    transport: RecordingTransport
    rows: list[Row] = field(default_factory=list)
    processes: dict[str, HeartbeatSender] = field(default_factory=dict)
    command_count: int = 0
    last_recorded_index: int = 0  # index of the last log entry in `rows`

    def pass_time(self, ms: int) -> None:
        """Advance the clock in steps of 50 ms, each with a heartbeat of every process that is not silent."""
        for _ in range(ms // STEP_MS):
            self.clock.advance(STEP_MS)
            for process in self.processes.values():
                if not process.silent:
                    self.voter.step(self.clock.now(), process.holder, process.next_heartbeat())
            self.process_pending()

    def process_pending(self) -> None:
        """Run due timers and deliver messages between the voter and the node, without advancing the clock."""
        now = self.clock.now()
        rules = self.fleet.config_driver
        assert rules is not None
        for _ in range(6):
            if self.voter.next_due() <= now:
                self.voter.tick(now)
            while (ready := self.voter.take_ready()) is not None:
                self.voter.acknowledge_durable(now, ready)
                for _, own in ready.messages:  # its own vote counts once it is durable
                    self.voter.step(now, VOTER, own)
            for to, message in self.voter.take_immediate_messages(now):
                self._deliver(to, message)
            rules.tick(now)
            for _, request in self.fleet.context.client.tick(now)[0]:
                self.voter.step(now, self.fleet.context.client.holder.name, request)
            sent, self.transport.sent = self.transport.sent, []
            for body in sent:
                envelope = wire.read_envelope(body)
                assert isinstance(envelope.message, FetchChunk)
                self.voter.step(now, envelope.sender, envelope.message)
            self.clock.settle()
        self._record_applied()

    def _deliver(self, to: str, message: Message) -> None:
        holder, rules, now = self.fleet.context.client.holder, self.fleet.config_driver, self.clock.now()
        assert rules is not None
        if to != holder.name:
            return
        match message:
            case HeartbeatResponse() | CommandResponse():
                self.fleet.context.client.handle_response(now, "n1", message)
                rules.handle_heartbeat_response(now)
            case DocumentChunk():
                rules.handle_chunk(now, message)

    def _record_applied(self) -> None:
        for index, _, result in self.voter.applied:
            if index > self.last_recorded_index:
                self.last_recorded_index = index
                body = self.voter.raft.log[index].body
                self.rows.append(Row(body, orjson.dumps(result).decode()))

    def submit(self, by: str, command: dict[str, Any], number: int | None = None) -> dict[str, Any]:
        """Commit a command on behalf of a process of another node, and return its result."""
        self.command_count += 1
        body = orjson.dumps(command).decode()
        self.voter.step(self.clock.now(), by, CommandRequest(by, number or self.command_count, body))
        self.process_pending()
        result: dict[str, Any] = orjson.loads(self.rows[-1].result)
        return result

    def append_raw(self, body: str) -> None:
        """Commit any text as a log entry, even one that no proposer writes."""
        self.voter.raft.propose(body)
        self.voter.tick(self.clock.now())
        self.process_pending()

    def run_order(self, path: str, arguments: dict[str, Any]) -> dict[str, Any]:
        """Execute an operator's order at the node's administration API, and return its result from the voter."""
        accepted = self.fleet.execute_order(path, arguments)
        assert accepted is not None and "asked" in accepted
        number = str(accepted["asked"])
        for _ in range(10):
            self.process_pending()
            results = self.fleet.admin.order_results()
            if number in results:
                result: dict[str, Any] = results[number]
                return result
            self.pass_time(STEP_MS)
        raise AssertionError(f"order {path}: expected a result within 500 ms, got none")


def make_cluster(folder: Any) -> ClusterHarness:
    clock = ManualClock()
    config = check(platform_config("n6"), operator_config(folder, voters=["n1"], listen="127.0.0.1:7006"))
    assert config.cluster is not None
    node = Node(config, clock.timeline)
    fleet = node.components["fleet"]
    assert isinstance(fleet, ClusterNode)
    fleet.context.steady = clock.timeline
    recording_transport = RecordingTransport(
        config.cluster.nodes, wire.stream_framing(KEY.encode()), clock.timeline, lambda body: None
    )
    recording_transport.sent = []
    fleet.router.transport = recording_transport
    return ClusterHarness(clock, node, fleet, single_voter(config.cluster, clock), recording_transport)
