"""The members on a node: datagrams for the detector, and where this node stands among the others."""

from __future__ import annotations

import asyncio
import logging
from datetime import datetime
from typing import TYPE_CHECKING, Any

from marlstep.cluster import wire
from marlstep.config.fleet import MembersConfig
from marlstep.membership.failure_detector import Detector, Send
from marlstep.membership.messages import Exchange, Ping
from marlstep.membership.partition_state import Conduct, Sight, Standing
from marlstep.membership.records import Record, State
from marlstep.net.framing import CorruptError
from marlstep.net.ring import Ring
from marlstep.timer_queue import Deadline
from marlstep.units import MILLISECOND, instant_us

if TYPE_CHECKING:
    from marlstep.cluster.node import Fleet

log = logging.getLogger(__name__)

OF_LATE = 4  # periods in which something must have been heard, or an answer have come
MOST_TOLD = 200  # failed nodes that one beat names
BUFFER = 4 * wire.MOST_DATAGRAM


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, members: FleetMembers) -> None:
        self._members = members

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._members.got(data)

    def error_received(self, exc: Exception) -> None:
        """An address where nobody listens: that is found out by who does not answer."""
        self._members.counts["refused"] += 1


class FleetMembers:
    """A member of the fleet is a node: of its processes the one that has its address."""

    def __init__(self, fleet: Fleet, config: MembersConfig) -> None:
        self._fleet, self.config = fleet, config
        host, port = fleet.config.nodes[fleet.config.node]
        me = Record(
            fleet.config.node,
            fleet.boot,
            instant_us(fleet.wall()) // 1000,
            0,
            State.ALIVE,
            f"{host}:{port}",
            config.zone,
        )
        now = fleet.steady.now()
        self.detector = Detector(me, config.detector, fleet.chance, now)
        self.standing = Standing(now)
        self.counts = fleet.counts
        self._framing = wire.datagrams(fleet.config.key)
        self._transport: asyncio.DatagramTransport | None = None
        self._alarm: Deadline | None = None
        self._reached: set[str] = set()
        fleet.participant.holder.failed_nodes = self._failed

    @property
    def conduct(self) -> Conduct:
        return self.standing.conduct

    def _failed(self) -> tuple[str, ...]:
        return tuple(sorted(self.detector.of(State.FAILED))[:MOST_TOLD])

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
        self.drive()

    def leave(self) -> None:
        """Say that this node goes, where no other process of it takes its place."""
        self._send_all(self.detector.leave(self._fleet.steady.now()))

    def close(self) -> None:
        self._fleet.steady.cancel(self._alarm)
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def _advertised(self, node: str) -> str:
        host, port = self._fleet.config.nodes[node]
        return f"{host}:{port}"

    # Messages.

    def got(self, data: bytes) -> None:
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
            self._fleet.lines.count("corrupt datagrams", str(fault))
            return
        if fleet != self._fleet.config.name:
            self._fleet.lines.count("another fleet", f"{fleet[:64]!r}, from {sender.node}")
            return
        self.counts["datagrams"] += 1
        now = self._fleet.steady.now()
        self._send_all(self.detector.receive(now, sender, message))
        self.drive()

    def exchanged(self, message: wire.Exchanged) -> None:
        """Over a line."""
        if len(message.me) == 1:
            exchange = Exchange(message.answer, message.records)
            self._send_all(self.detector.receive(self._fleet.steady.now(), message.me[0], exchange))
            self.drive()

    def _send_all(self, sends: list[Send]) -> None:
        for send in sends:
            if send.line:
                self._over_line(send)
            elif self._transport is not None:
                body = wire.write_datagram(self._fleet.config.name, self.detector.me, send.message)
                self.counts["datagrams sent"] += 1
                self._transport.sendto(self._framing.write(body), self._address(send))

    def _over_line(self, send: Send) -> None:
        assert isinstance(send.message, Exchange)
        node = self._node_at(send.address)
        message = wire.Exchanged((self.detector.me,), send.message.answer, send.message.records)
        if node in self._fleet.config.nodes:
            self._fleet.send_exchange(node, message)
        else:
            name = f"@{send.address}"
            if name not in self._reached:
                self._reached.add(name)
                host, _, port = send.address.rpartition(":")
                self._fleet.lines.reach(name, (host, int(port)))
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

    def _address(self, send: Send) -> tuple[str, int]:
        """A node of the operator's file is found where that says, whatever it says of itself."""
        message = send.message
        node = message.node if isinstance(message, Ping) else self._node_at(send.address)
        found = self._fleet.config.nodes.get(node)
        if found is not None:
            return found
        host, _, port = send.address.rpartition(":")
        return host, int(port)

    # Time.

    def drive(self) -> None:
        """After anything that happened, and when something is due."""
        if self._transport is None:
            return
        now = self._fleet.steady.now()
        if self.detector.next_due() <= now:
            self._send_all(self.detector.tick(now))
        self._note()
        self._look(now)
        due = self.detector.next_due()
        if (turn := self.standing.next_due()) is not None:
            due = min(due, turn)
        due = max(due, now + MILLISECOND)
        if self._alarm is not None and self._alarm.callback is not None and now < self._alarm.when <= due:
            return
        self._fleet.steady.cancel(self._alarm)
        self._alarm = self._fleet.steady.at(due, self.drive)

    def _note(self) -> None:
        changes = self.detector.changes
        while changes:
            one = changes.popleft()
            by = one.by or "itself"
            level = logging.INFO if one.what.startswith(State.ALIVE) else logging.WARNING
            log.log(level, "fleet: %s is %s: %s (by %s)", one.node, one.what, one.why, by)
            self._fleet.note(f"{one.node} is {one.what}", f"{one.why}; by {by}")

    def _look(self, now: datetime) -> None:
        before = self.standing.situation
        if self.standing.look(now, self.sight(now)):
            log.warning("fleet: situation is %s, was %s", self.standing.situation.value, before.value)
            self._fleet.note(f"situation is {self.standing.situation.value}", f"it was {before.value}")
            self.counts["situations"] += 1
            self._fleet.situation_changed()

    def sight(self, now: datetime) -> Sight:
        fleet, detector = self._fleet, self.detector
        cut_off = fleet.participant.time_since_response(now)
        late = self.config.detector.period * OF_LATE * (1 + detector.doubt)
        agreed = fleet.voter.roster if fleet.voter is not None else None
        return Sight(
            answered=cut_off is not None and cut_off < fleet.config.leases.term,
            voters=frozenset(fleet.config.voters),
            alive=frozenset(detector.alive()),
            suspected=frozenset(detector.of(State.SUSPECT)),
            agreed=frozenset() if agreed is None else agreed.members(),
            hears=detector.heard_at is not None and now < detector.heard_at + late,
            is_heard=detector.answered_at is not None and now < detector.answered_at + late,
        )

    # Operators.

    def status(self) -> dict[str, Any]:
        now, detector = self._fleet.steady.now(), self.detector
        voter = self._fleet.voter
        agreed = None if voter is None or voter.roster is None else voter.roster.nodes
        served = self._fleet.participant.last_response_at
        rows = []
        names = {detector.me.node, *detector.members, *(agreed or ())}
        for name in sorted(names):
            member = detector.members.get(name)
            record = detector.me if name == detector.me.node else (member.record if member else None)
            belongs = None if agreed is None or name not in agreed else agreed[name]
            rows.append(
                {
                    "node": name,
                    "process": record.boot if record else None,
                    "heard": record.state.value if record else None,
                    "for_ms": (now - member.since) // MILLISECOND if member else None,
                    "by": record.by if record else None,
                    "incarnation": record.incarnation if record else None,
                    "zone": record.zone if record else None,
                    "agreed": None if agreed is None else bool(belongs and belongs.there),
                    "taken_out": belongs.taken_out if belongs else 0,
                    "why": belongs.why if belongs else "",
                }
            )
        return {
            "node": detector.me.node,
            "doubt": detector.doubt,
            "twin": detector.twin,
            "group_answered_ms": None if served is None else (now - served) // MILLISECOND,
            "guarded": [] if voter is None else voter.roster_controller.guarded,
            "believed": [] if voter is None or voter.roster is None else voter.roster.believed,
            "members": rows,
            "counts": dict(detector.counts),
        }

    def situation(self) -> dict[str, Any]:
        now, standing = self._fleet.steady.now(), self.standing
        sight = self.sight(now)
        conduct = standing.conduct
        return {
            "node": self.detector.me.node,
            "situation": standing.situation.value,
            "for_ms": (now - standing.since) // MILLISECOND,
            "overdue": standing.overdue,
            "conduct": {name: getattr(conduct, name) for name in Conduct.__dataclass_fields__},
            "sees": {
                "group_answers": sight.answered,
                "hears": sight.hears,
                "is_heard": sight.is_heard,
                "alive": sorted(sight.alive),
                "suspected": sorted(sight.suspected),
                "agreed": sorted(sight.agreed),
            },
            "turns": [
                {"ago_ms": (now - turn.at) // MILLISECOND, "now": turn.now.value, "before": turn.before.value}
                for turn in standing.turns
            ],
        }
