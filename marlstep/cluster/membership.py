"""The members on a node: datagrams for the detector, and where this node stands among the others."""

from __future__ import annotations

import asyncio
import logging
from datetime import datetime
from typing import TYPE_CHECKING, Any

from marlstep.cluster import wire
from marlstep.config.fleet import MembershipConfig
from marlstep.membership.failure_detector import FailureDetector
from marlstep.membership.messages import OutboundMessage, Ping, StateExchange
from marlstep.membership.partition_state import Capabilities, PartitionObservation, PartitionTracker
from marlstep.membership.records import MemberRecord, MemberState
from marlstep.net.codec import write_fields
from marlstep.net.framing import CorruptError
from marlstep.net.ring import Ring
from marlstep.timer_queue import Deadline
from marlstep.units import MILLISECOND, instant_us

if TYPE_CHECKING:
    from marlstep.cluster.node import ClusterNode

log = logging.getLogger(__name__)

RECENT_PROBE_INTERVALS = 4  # periods in which something must have been heard, or an answer have come
MAX_EVENTS_SHOWN = 200  # failed nodes that one beat names
BUFFER = 4 * wire.MAX_DATAGRAM_BYTES


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, members: ClusterMembership) -> None:
        self._members = members

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._members.handle_datagram(data)

    def error_received(self, exc: Exception) -> None:
        """An address where nobody listens: that is found out by who does not answer."""
        self._members.counts["refused"] += 1


class ClusterMembership:
    """A member of the fleet is a node: of its processes the one that has its address."""

    def __init__(self, fleet: ClusterNode, config: MembershipConfig) -> None:
        self._fleet, self.config = fleet, config
        host, port = fleet.config.nodes[fleet.config.node]
        me = MemberRecord(
            fleet.config.node,
            fleet.process_id,
            instant_us(fleet.wall()) // 1000,
            0,
            MemberState.ALIVE,
            f"{host}:{port}",
            config.zone,
        )
        now = fleet.steady.now()
        self.detector = FailureDetector(me, config.detector, fleet.chance, now)
        self.partition = PartitionTracker(now)
        self.counts = fleet.counts
        self._framing = wire.datagram_framing(fleet.config.key)
        self._transport: asyncio.DatagramTransport | None = None
        self._alarm: Deadline | None = None
        self._reached: set[str] = set()
        fleet.client.holder.failed_nodes = self._failed

    @property
    def capabilities(self) -> Capabilities:
        return self.partition.capabilities

    def _failed(self) -> tuple[str, ...]:
        return tuple(sorted(self.detector.in_state(MemberState.FAILED))[:MAX_EVENTS_SHOWN])

    # Coming and going.

    async def open(self) -> None:
        """At the node's address among the fleet, for datagrams. Raises OSError."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: Datagrams(self), local_addr=self._fleet.config.listen
        )
        self._transport = transport
        nodes = self._fleet.config.nodes
        self._send_all(
            self.detector.join([self._advertised(one) for one in self.config.seeds if one in nodes])
        )
        self.run_detector()

    def leave(self) -> None:
        """Say that this node goes, where no other process of it takes its place."""
        self._send_all(self.detector.leave())

    def close(self) -> None:
        self._fleet.steady.cancel(self._alarm)
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def _advertised(self, node: str) -> str:
        host, port = self._fleet.config.nodes[node]
        return f"{host}:{port}"

    # Messages.

    def handle_datagram(self, data: bytes) -> None:
        """One datagram, whole or not at all."""
        ring = Ring(BUFFER)
        try:
            if len(data) > BUFFER:
                raise CorruptError(f"a datagram of {len(data)} bytes")
            ring.put(data)
            body = self._framing.read(ring)
            if body is None:
                raise CorruptError("cut short")
            fleet, sender, message = wire.read_datagram(body)
        except CorruptError as fault:
            self._fleet.transport.record_drop("corrupt datagrams", str(fault))
            return
        if fleet != self._fleet.config.name:
            self._fleet.transport.record_drop("another fleet", f"{fleet[:64]!r}, from {sender.node}")
            return
        self.counts["datagrams"] += 1
        now = self._fleet.steady.now()
        self._send_all(self.detector.receive(now, sender, message))
        self.run_detector()

    def handle_exchange(self, message: wire.ExchangeMessage) -> None:
        """Over a line."""
        if len(message.sender) == 1:
            exchange = StateExchange(message.answer, message.records)
            self._send_all(self.detector.receive(self._fleet.steady.now(), message.sender[0], exchange))
            self.run_detector()

    def _send_all(self, sends: list[OutboundMessage]) -> None:
        for send in sends:
            if send.over_stream:
                self._over_line(send)
            elif self._transport is not None:
                body = wire.write_datagram(self._fleet.config.name, self.detector.local, send.message)
                self.counts["datagrams sent"] += 1
                self._transport.sendto(self._framing.write(body), self._address(send))

    def _over_line(self, send: OutboundMessage) -> None:
        assert isinstance(send.message, StateExchange)
        node = self._node_at(send.address)
        message = wire.ExchangeMessage((self.detector.local,), send.message.answer, send.message.records)
        if node in self._fleet.config.nodes:
            self._fleet.send_exchange(node, message)
        else:
            name = f"@{send.address}"
            if name not in self._reached:
                self._reached.add(name)
                host, _, port = send.address.rpartition(":")
                self._fleet.transport.set_address(name, (host, int(port)))
            self._fleet.send_exchange(name, message)

    def _node_at(self, address: str) -> str:
        """Who advertises that address; empty where nobody is known to."""
        for name, (host, port) in self._fleet.config.nodes.items():
            if address == f"{host}:{port}":
                return name
        for name, member in self.detector.members.items():
            if member.record.address == address:
                return name
        return ""

    def _address(self, send: OutboundMessage) -> tuple[str, int]:
        """A node of the operator's file is found where that says, whatever it says of itself."""
        message = send.message
        node = message.node if isinstance(message, Ping) else self._node_at(send.address)
        found = self._fleet.config.nodes.get(node)
        if found is not None:
            return found
        host, _, port = send.address.rpartition(":")
        return host, int(port)

    # Time.

    def run_detector(self) -> None:
        """After anything that happened, and when something is due."""
        if self._transport is None:
            return
        now = self._fleet.steady.now()
        if self.detector.next_due() <= now:
            self._send_all(self.detector.tick(now))
        self._note()
        self._look(now)
        due = self.detector.next_due()
        if (turn := self.partition.next_due()) is not None:
            due = min(due, turn)
        due = max(due, now + MILLISECOND)
        if self._alarm is not None and self._alarm.callback is not None and now < self._alarm.when <= due:
            return
        self._fleet.steady.cancel(self._alarm)
        self._alarm = self._fleet.steady.at(due, self.run_detector)

    def _note(self) -> None:
        changes = self.detector.events
        while changes:
            one = changes.popleft()
            by = one.reported_by or "itself"
            level = logging.INFO if one.event.startswith(MemberState.ALIVE) else logging.WARNING
            log.log(level, "fleet: %s is %s: %s (by %s)", one.node, one.event, one.reason, by)
            self._fleet.note(f"{one.node} is {one.event}", f"{one.reason}; by {by}")

    def _look(self, now: datetime) -> None:
        before = self.partition.state
        if self.partition.observe(now, self.observation(now)):
            log.warning("fleet: situation is %s, was %s", self.partition.state.value, before.value)
            self._fleet.note(f"situation is {self.partition.state.value}", f"it was {before.value}")
            self.counts["situations"] += 1
            self._fleet.situation_changed()

    def observation(self, now: datetime) -> PartitionObservation:
        fleet, detector = self._fleet, self.detector
        cut_off = fleet.client.time_since_response(now)
        late = self.config.detector.probe_interval * RECENT_PROBE_INTERVALS * (1 + detector.local_health)
        agreed = fleet.replica.roster if fleet.replica is not None else None
        return PartitionObservation(
            quorum_responds=cut_off is not None and cut_off < fleet.config.leases.term,
            voters=frozenset(fleet.config.voters),
            alive=frozenset(detector.alive()),
            suspected=frozenset(detector.in_state(MemberState.SUSPECT)),
            roster=frozenset() if agreed is None else agreed.members(),
            receives=detector.last_received_at is not None and now < detector.last_received_at + late,
            is_acknowledged=detector.last_acknowledged_at is not None
            and now < detector.last_acknowledged_at + late,
        )

    # Operators.

    def status(self) -> dict[str, Any]:
        now, detector = self._fleet.steady.now(), self.detector
        voter = self._fleet.replica
        agreed = None if voter is None or voter.roster is None else voter.roster.nodes
        served = self._fleet.client.last_response_at
        rows = []
        names = {detector.local.node, *detector.members, *(agreed or ())}
        for name in sorted(names):
            member = detector.members.get(name)
            record = detector.local if name == detector.local.node else (member.record if member else None)
            belongs = None if agreed is None or name not in agreed else agreed[name]
            rows.append(
                {
                    "node": name,
                    "process": record.process_id if record else None,
                    "heard": record.state.value if record else None,
                    "for_ms": (now - member.state_since) // MILLISECOND if member else None,
                    "by": record.reported_by if record else None,
                    "incarnation": record.incarnation if record else None,
                    "zone": record.zone if record else None,
                    "agreed": None if agreed is None else bool(belongs and belongs.is_member),
                    "taken_out": belongs.removal_count if belongs else 0,
                    "why": belongs.reason if belongs else "",
                }
            )
        return {
            "node": detector.local.node,
            "doubt": detector.local_health,
            "twin": detector.name_conflict,
            "group_answered_ms": None if served is None else (now - served) // MILLISECOND,
            "guarded": [] if voter is None else voter.roster_controller.withheld_removals,
            "believed": [] if voter is None or voter.roster is None else voter.roster.confirmed_failures,
            "members": rows,
            "counts": dict(detector.counts),
        }

    def partition_status(self) -> dict[str, Any]:
        now, standing = self._fleet.steady.now(), self.partition
        sight = self.observation(now)
        return {
            "node": self.detector.local.node,
            "situation": standing.state.value,
            "for_ms": (now - standing.since) // MILLISECOND,
            "overdue": standing.overdue,
            "conduct": write_fields(standing.capabilities),
            "sees": {
                "group_answers": sight.quorum_responds,
                "hears": sight.receives,
                "is_heard": sight.is_acknowledged,
                "alive": sorted(sight.alive),
                "suspected": sorted(sight.suspected),
                "agreed": sorted(sight.roster),
            },
            "turns": [
                {
                    "ago_ms": (now - turn.at) // MILLISECOND,
                    "now": turn.state.value,
                    "before": turn.previous.value,
                }
                for turn in standing.transitions
            ],
        }
