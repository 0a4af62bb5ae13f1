"""Membership on a node: sends and receives the failure detector's datagrams and tracks the partition state."""

from __future__ import annotations

import asyncio
import logging
from datetime import datetime, timedelta
from typing import Any

from marlstep.cluster import wire
from marlstep.cluster.context import NodeContext
from marlstep.cluster.errors import OversizedDatagramError, TruncatedDatagramError
from marlstep.cluster.interfaces import ExchangeSender, MembershipEvents, ReplicaHolder
from marlstep.cluster.membership_status import MembershipStatus, MemberStatus, PartitionStatus
from marlstep.config.cluster import MembershipConfig
from marlstep.membership.failure_detector import FailureDetector
from marlstep.membership.messages import OutboundMessage, Ping, StateExchange
from marlstep.membership.partition_state import PartitionObservation, PartitionTracker
from marlstep.membership.records import MemberRecord, MemberState
from marlstep.net.framing import CorruptError
from marlstep.net.ring import Ring
from marlstep.timer_queue import Timer
from marlstep.units import MILLISECOND, instant_us

log = logging.getLogger(__name__)

RECENT_PROBE_INTERVALS = 4  # probe intervals during which a message or acknowledgement counts as recent
MAX_FAILED_NODES_REPORTED = 200  # in one heartbeat
MAX_DATAGRAM_BUFFER_BYTES = 4 * wire.MAX_DATAGRAM_BYTES


class DatagramReceiver(asyncio.DatagramProtocol):
    """Passes datagrams on to membership."""

    def __init__(self, membership: ClusterMembership) -> None:
        """Create a receiver that passes datagrams to `membership`."""
        self._membership = membership

    def datagram_received(self, data: bytes, _address: object) -> None:
        """Handle one datagram. The sender is identified by its content, not by its address."""
        self._membership.handle_datagram(data)

    def error_received(self, _error: Exception) -> None:
        """Count a datagram to an address where no process listens; the failure detector notices the missing ack."""
        self._membership.counts["refused"] += 1


class ClusterMembership:
    """The membership of this node, represented by the process that has bound its address."""

    def __init__(
        self,
        context: NodeContext,
        sender: ExchangeSender,
        replica_holder: ReplicaHolder,
        events: MembershipEvents,
        config: MembershipConfig,
    ) -> None:
        """Create the failure detector and the partition tracker; nothing is sent before `open`."""
        self._context, self._sender = context, sender
        self._replica_holder, self._events, self.config = replica_holder, events, config
        now = context.steady.now()
        self.detector = FailureDetector(self._own_record(), config.detector, context.random, now)
        self.partition = context.partition = PartitionTracker(now)
        self.counts = context.counts
        self._framing = wire.datagram_framing(context.config.key)
        self._transport: asyncio.DatagramTransport | None = None
        self._wakeup_timer: Timer | None = None
        self._unlisted_peers: set[str] = set()  # peers whose address was set at the transport
        context.client.holder.failed_nodes = self._failed_nodes

    def _own_record(self) -> MemberRecord:
        context = self._context
        return MemberRecord(
            context.config.node,
            context.process_id,
            instant_us(context.wall()) // 1000,
            0,
            MemberState.ALIVE,
            self._advertised_address(context.config.node),
            self.config.zone,
        )

    def _failed_nodes(self) -> tuple[str, ...]:
        return tuple(sorted(self.detector.in_state(MemberState.FAILED))[:MAX_FAILED_NODES_REPORTED])

    # Opening and closing of the datagram endpoint.

    async def open(self) -> None:
        """Listen for datagrams at the node's address, and join the cluster through the seeds.

        Raises:
            OSError: the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(self), local_addr=self._context.config.listen
        )
        self._transport = transport
        nodes = self._context.config.nodes
        seeds = [self._advertised_address(seed) for seed in self.config.seeds if seed in nodes]
        self._send_all(self.detector.join(seeds))
        self.run_detector()

    def leave(self) -> None:
        """Announce that this node leaves the cluster. Not to be called if a successor process takes over."""
        self._send_all(self.detector.leave())

    def close(self) -> None:
        """Release the address. Repeated calls have no effect."""
        self._context.steady.cancel(self._wakeup_timer)
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def _advertised_address(self, node: str) -> str:
        host, port = self._context.config.nodes[node]
        return f"{host}:{port}"

    # Inbound messages.

    def handle_datagram(self, data: bytes) -> None:
        """Handle one datagram, or drop it if it is invalid."""
        try:
            cluster, sender, message = wire.read_datagram(self._datagram_body(data))
        except CorruptError as error:
            self._sender.record_drop("corrupt datagrams", str(error))
            return
        if cluster != self._context.config.name:
            self._sender.record_drop("another fleet", f"fleet={cluster[:64]!r} sender={sender.node}")
            return
        self.counts["datagrams"] += 1
        now = self._context.steady.now()
        self._send_all(self.detector.receive(now, sender, message))
        self.run_detector()

    def _datagram_body(self, data: bytes) -> bytes:
        if len(data) > MAX_DATAGRAM_BUFFER_BYTES:
            raise OversizedDatagramError(len(data))
        ring = Ring(MAX_DATAGRAM_BUFFER_BYTES)
        ring.put(data)
        body = self._framing.read(ring)
        if body is None:
            raise TruncatedDatagramError
        return body

    def handle_exchange(self, message: wire.ExchangeMessage) -> None:
        """Handle a state exchange received over the stream transport."""
        if len(message.sender) == 1:
            exchange = StateExchange(message.answer, message.records)
            now = self._context.steady.now()
            self._send_all(self.detector.receive(now, message.sender[0], exchange))
            self.run_detector()

    # Outbound messages.

    def _send_all(self, sends: list[OutboundMessage]) -> None:
        for send in sends:
            if send.over_stream:
                self._send_exchange(send)
            elif self._transport is not None:
                body = wire.write_datagram(self._context.config.name, self.detector.local, send.message)
                self.counts["datagrams sent"] += 1
                self._transport.sendto(self._framing.write(body), self._datagram_address(send))

    def _send_exchange(self, send: OutboundMessage) -> None:
        assert isinstance(send.message, StateExchange)
        message = wire.ExchangeMessage((self.detector.local,), send.message.answer, send.message.records)
        node = self._node_at(send.address)
        is_listed = node in self._context.config.nodes
        self._sender.send_exchange(node if is_listed else self._unlisted_peer(send.address), message)

    def _unlisted_peer(self, address: str) -> str:
        """Return the transport's name for a peer that is not listed in the operator's file."""
        peer = f"@{address}"
        if peer not in self._unlisted_peers:
            self._unlisted_peers.add(peer)
            host, _, port = address.rpartition(":")
            self._sender.set_address(peer, (host, int(port)))
        return peer

    def _node_at(self, address: str) -> str:
        """Return the node that advertises the address, or an empty string if none does."""
        for name, (host, port) in self._context.config.nodes.items():
            if address == f"{host}:{port}":
                return name
        for name, member in self.detector.members.items():
            if member.record.address == address:
                return name
        return ""

    def _datagram_address(self, send: OutboundMessage) -> tuple[str, int]:
        """Return the destination address; the operator's file takes precedence over the advertised address."""
        message = send.message
        node = message.node if isinstance(message, Ping) else self._node_at(send.address)
        listed = self._context.config.nodes.get(node)
        if listed is not None:
            return listed
        host, _, port = send.address.rpartition(":")
        return host, int(port)

    # Running of the failure detector.

    def run_detector(self) -> None:
        """Run the failure detector's due work, handle its events, and set the next timer."""
        if self._transport is None:
            return
        now = self._context.steady.now()
        if self.detector.next_due() <= now:
            self._send_all(self.detector.tick(now))
        self._record_events()
        self._update_partition_state(now)
        self._set_wakeup_timer(now)

    def _set_wakeup_timer(self, now: datetime) -> None:
        due = self.detector.next_due()
        if (transition := self.partition.next_due()) is not None:
            due = min(due, transition)
        due = max(due, now + MILLISECOND)
        if (
            self._wakeup_timer is not None
            and self._wakeup_timer.callback is not None
            and now < self._wakeup_timer.when <= due
        ):
            return
        self._context.steady.cancel(self._wakeup_timer)
        self._wakeup_timer = self._context.steady.at(due, self.run_detector)

    def _record_events(self) -> None:
        events = self.detector.events
        while events:
            event = events.popleft()
            reporter = event.reported_by or "itself"
            level = logging.INFO if event.event.startswith(MemberState.ALIVE) else logging.WARNING
            log.log(
                level,
                "fleet: member state changed node=%s state=%s reason=%r reported_by=%s",
                event.node,
                event.event,
                event.reason,
                reporter,
            )
            self._context.record_event(f"{event.node} is {event.event}", f"{event.reason}; by {reporter}")

    def _update_partition_state(self, now: datetime) -> None:
        previous = self.partition.state
        if not self.partition.observe(now, self.observation(now)):
            return
        state = self.partition.state
        log.warning("fleet: partition state changed state=%s previous=%s", state.value, previous.value)
        self._context.record_event(f"situation is {state.value}", f"it was {previous.value}")
        self.counts["situations"] += 1
        self._events.capabilities_changed()

    def observation(self, now: datetime) -> PartitionObservation:
        """Return this node's current view of the other nodes."""
        detector, config = self.detector, self._context.config
        since_response = self._context.client.time_since_response(now)
        replica = self._replica_holder.replica
        roster = None if replica is None else replica.roster
        return PartitionObservation(
            quorum_responds=since_response is not None and since_response < config.leases.term,
            voters=frozenset(config.voters),
            alive=frozenset(detector.alive()),
            suspected=frozenset(detector.in_state(MemberState.SUSPECT)),
            roster=frozenset() if roster is None else roster.members(),
            receives=self._is_recent(detector.last_received_at, now),
            is_acknowledged=self._is_recent(detector.last_acknowledged_at, now),
        )

    def _is_recent(self, at: datetime | None, now: datetime) -> bool:
        probe_interval: timedelta = self.config.detector.probe_interval
        window = probe_interval * RECENT_PROBE_INTERVALS * (1 + self.detector.local_health)
        return at is not None and now < at + window

    # Status for operators.

    def status(self) -> dict[str, Any]:
        """Return the resource `fleet/members`."""
        replica, now = self._replica_holder.replica, self._context.steady.now()
        roster = None if replica is None else replica.roster
        since_response = self._context.client.time_since_response(now)
        return MembershipStatus(
            self.detector.local.node,
            self.detector.local_health,
            self.detector.name_conflict,
            since_response,
            [] if replica is None else replica.roster_controller.withheld_removals,
            [] if roster is None else roster.confirmed_failures,
            self._member_rows(now),
            dict(self.detector.counts),
        ).to_json()

    def _member_rows(self, now: datetime) -> list[MemberStatus]:
        replica, local = self._replica_holder.replica, self.detector.local
        roster = None if replica is None or replica.roster is None else replica.roster.nodes
        names = {local.node, *self.detector.members, *(roster or ())}
        rows = []
        for name in sorted(names):
            member = self.detector.members.get(name)
            record = member.record if member is not None else None
            rows.append(
                MemberStatus(
                    name,
                    local if name == local.node else record,
                    None if member is None else now - member.state_since,
                    roster is not None,
                    None if roster is None else roster.get(name),
                )
            )
        return rows

    def partition_status(self) -> dict[str, Any]:
        """Return the resource `fleet/situation`."""
        now = self._context.steady.now()
        node = self.detector.local.node
        return PartitionStatus(node, now, self.partition, self.observation(now)).to_json()
