"""SWIM failure detection and dissemination, with Lifeguard's local health awareness.

In each probe interval one member is pinged. If it does not acknowledge in time, some other members are asked to ping
it. If there is still no ack, it is suspected, and it is declared failed after a timeout that shrinks as other members
suspect it too. A node that learns that it is suspected refutes with a higher incarnation number. Membership records are
piggybacked on all messages.

The detector does no I/O: the time and the source of randomness are passed in, and the messages to send are returned.

SWIM: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002.
Lifeguard: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import replace
from datetime import datetime, timedelta

from marlstep.consensus.raft import RandomSource
from marlstep.membership.broadcast_queue import BroadcastQueue
from marlstep.membership.detector_settings import DetectorSettings
from marlstep.membership.indirect_probes import IndirectProbes
from marlstep.membership.local_health import LocalHealth
from marlstep.membership.member_list import Member, MemberList, MembershipEvent
from marlstep.membership.membership_state import MembershipState
from marlstep.membership.messages import (
    Ack,
    MembershipMessage,
    Nack,
    OutboundMessage,
    Ping,
    PingRequest,
    StateExchange,
)
from marlstep.membership.pings import PingFactory
from marlstep.membership.probing import Probe, Prober
from marlstep.membership.records import MemberRecord, MemberState
from marlstep.membership.sampling import sample
from marlstep.membership.state_exchange import StateExchanger

LEAVE_FANOUT = 5  # members that a shutdown is announced to


class FailureDetector:
    """The failure detector of one node. The caller calls `tick` at `next_due`, and `receive` for each message."""

    def __init__(
        self, local: MemberRecord, settings: DetectorSettings, random: RandomSource, now: datetime
    ) -> None:
        """Initialize a detector that knows only the local node, whose record is `local`."""
        self.settings = settings
        self.counts: Counter[str] = Counter()
        self.last_received_at: datetime | None = None
        self.last_acknowledged_at: datetime | None = None  # last ack of a probe that this node sent
        self._random = random
        self._members = MemberList(local)
        self._broadcasts = BroadcastQueue(
            self._members, settings.retransmit_multiplier, settings.records_per_datagram
        )
        self._pings = PingFactory(self._broadcasts)
        self._health = LocalHealth(settings.local_health_enabled)
        self._prober = Prober(
            self._members,
            self._broadcasts,
            self._pings,
            self._health,
            settings,
            random,
            self.counts,
            now,
        )
        self._exchanger = StateExchanger(self._members, settings, random, now)
        self._indirect_probes = IndirectProbes(
            self._broadcasts, self._pings, settings.probe_timeout, self.counts
        )
        self.state = MembershipState(
            self._members,
            self._broadcasts,
            self._pings,
            self._health,
            self._exchanger,
            settings,
            self.counts,
        )
        self._tick_due_at = now

    # Queries of the current membership.

    @property
    def local(self) -> MemberRecord:
        """The local node's record."""
        return self._members.local

    @local.setter
    def local(self, record: MemberRecord) -> None:
        self._members.local = record

    @property
    def events(self) -> deque[MembershipEvent]:
        """Membership changes to report to operators; the caller removes those that it has reported."""
        return self.state.events

    @property
    def name_conflict(self) -> bool:
        """Whether another live process uses this node's name."""
        return self.state.name_conflict

    @property
    def members(self) -> dict[str, Member]:
        """All other nodes, by name."""
        return self._members.others

    @property
    def local_health(self) -> int:
        """Lifeguard's local health score; 0 means healthy."""
        return self._health.score

    def alive(self) -> set[str]:
        """Return the nodes that are not known to have failed or left, including the local node."""
        return self._members.alive()

    def in_state(self, state: MemberState) -> set[str]:
        """Return the other nodes in that state."""
        return self._members.in_state(state)

    def view(self) -> dict[str, tuple[str, str]]:
        """Return process and state of each node that is alive, by name, to compare the views of nodes."""
        return self._members.view()

    def next_due(self) -> datetime:
        """Return when to call `tick` next; a much later call degrades the local health score."""
        due = [*self._prober.due_times(), self._exchanger.next_due, *self._indirect_probes.due_times()]
        due += [
            member.suspicion_ends_at
            for member in self.members.values()
            if member.suspicion_ends_at is not None
        ]
        self._tick_due_at = min(due)
        return self._tick_due_at

    # Joining and leaving the group.

    def join(self, seeds: Iterable[str]) -> list[OutboundMessage]:
        """Return requests for the state of some of the nodes at the `seeds` addresses."""
        return self._exchanger.join(seeds)

    def leave(self) -> list[OutboundMessage]:
        """Return messages that announce the shutdown of this node, so that it is not suspected."""
        self.state.has_left = True
        self.local = replace(self.local, state=MemberState.LEFT)
        ack = Ack(self._pings.next_number(), (self.local,))
        addresses = sample(self._random, self._members.reachable_addresses(), LEAVE_FANOUT)
        return [OutboundMessage(address, ack) for address in addresses]

    # Work that is due at a time.

    def tick(self, now: datetime) -> list[OutboundMessage]:
        """Advance probes, suspicions and exchanges that are due, and return the messages to send."""
        lateness = now - self._tick_due_at
        if lateness > self.settings.probe_interval / 2:
            self._handle_late_wakeup(now, lateness)
        sends = self._indirect_probes.expire(now)
        sends += self._advance_probing(now)
        sends += self.state.expire_suspicions(now)
        if now >= self._exchanger.next_due:
            sends += self._exchanger.start_exchange(now)
            for name in self._members.reclaim(now, self.settings.reclaim_after):
                self._broadcasts.discard(name)
        return sends

    def _handle_late_wakeup(self, now: datetime, lateness: timedelta) -> None:
        """Abandon the current probe and extend suspicions: acks and refutations may wait in the socket's buffer."""
        self.counts["late"] += 1
        if not self.settings.local_health_enabled:
            return
        self._health.degrade()
        self._prober.abandon(now)
        for member in self.members.values():
            if member.suspicion_ends_at is not None:
                member.suspicion_ends_at = max(member.suspicion_ends_at, now) + lateness

    def _advance_probing(self, now: datetime) -> list[OutboundMessage]:
        unanswered = self._prober.take_unanswered(now)
        if unanswered is not None:
            self._suspect_after_probe(now, unanswered)
        sends = self._prober.request_indirect_probes(now)
        if self._prober.is_due(now):
            sends += self._prober.start_interval(now)
            sends += self._exchanger.request_missing_state()
            sends += self._prober.ping_failed_member()
        return sends

    def _suspect_after_probe(self, now: datetime, probe: Probe) -> None:
        if probe.expected_nacks_missing:
            self._health.degrade()
        self.counts["unanswered"] += 1
        reason = f"no answer, also not through {probe.indirect_requests} others"
        self.state.suspect(now, probe.node, reason)

    # Handling of received messages.

    def receive(
        self, now: datetime, sender: MemberRecord, message: MembershipMessage
    ) -> list[OutboundMessage]:
        """Handle a message, and return the messages to send.

        Args:
            now: the current time.
            sender: the sender's record of itself, which each message carries.
            message: the message.
        """
        if sender.node == self.local.node and sender.process_id == self.local.process_id:
            return []
        self.last_received_at = now
        self.state.merge_record(now, sender, "it said so itself")
        overriding = self._overriding_record(sender)
        for record in message.records:
            self.state.merge_record(now, record, f"heard from {sender.node}")
        match message:
            case Ping():
                return self._handle_ping(sender, message, overriding)
            case PingRequest():
                return self._indirect_probes.start(now, sender.address, message)
            case Ack():
                return self._handle_ack(now, sender, message, overriding)
            case Nack():
                self._prober.count_nack(message.number)
                return self._correct_sender(sender, overriding)
            case StateExchange():
                return self._handle_exchange(sender, message, overriding)

    def _overriding_record(self, sender: MemberRecord) -> MemberRecord | None:
        """Return the local record of the sender if it overrides the sender's own record.

        That is so if the sender is suspected or declared failed here, or if a later process has used its name.
        """
        member = self.members.get(sender.node)
        if member is None or member.record.precedence <= sender.precedence:
            return None
        return member.record

    def _correct_sender(self, sender: MemberRecord, overriding: MemberRecord | None) -> list[OutboundMessage]:
        if overriding is None:
            return []
        return [self._pings.make_correction(overriding, sender.address)]

    def _handle_ping(
        self, sender: MemberRecord, ping: Ping, overriding: MemberRecord | None
    ) -> list[OutboundMessage]:
        if ping.node != self.local.node:
            return []  # the ping is for a node that used this address earlier
        return [OutboundMessage(sender.address, Ack(ping.number, self._broadcasts.take(overriding)))]

    def _handle_ack(
        self, now: datetime, sender: MemberRecord, ack: Ack, overriding: MemberRecord | None
    ) -> list[OutboundMessage]:
        forwarded = self._indirect_probes.acknowledge(ack.number)
        if forwarded is not None:
            return [forwarded]
        if self._prober.acknowledge(ack.number):
            self.last_acknowledged_at = now
            self._health.recover()
        return self._correct_sender(sender, overriding)

    def _handle_exchange(
        self, sender: MemberRecord, exchange: StateExchange, overriding: MemberRecord | None
    ) -> list[OutboundMessage]:
        if exchange.answer:
            return self._exchanger.pages(sender.address, answer=False)
        self._exchanger.mark_state_received()
        return self._correct_sender(sender, overriding)
