"""Failure detection and dissemination after SWIM, with Lifeguard's local health awareness.

Each probe interval one member is pinged. Without an ack some others are asked to ping it; without any ack it is
suspected, and after a timeout, which shrinks as others suspect it too, it is declared failed. A node that hears that it
is suspected refutes with a higher incarnation number. All records are piggybacked on pings and acks.

The detector does no I/O: the time and the source of randomness are passed in, and messages to send are returned.

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
from marlstep.membership.member_list import MAX_MEMBERS, Member, MemberList, MembershipEvent
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
from marlstep.membership.records import REACHABLE_STATES, MemberRecord, MemberState
from marlstep.membership.sampling import sample
from marlstep.membership.state_exchange import StateExchanger
from marlstep.membership.suspicion import SuspicionTimeouts

MAX_GENERATION_RAISES = 5  # above another process of the name, before that is taken for a conflict of names
MAX_EVENTS_KEPT = 256
LEAVE_FANOUT = 5  # members that a shutdown is announced to


class FailureDetector:
    """The failure detector of one node: call `tick` at `next_due`, and `receive` for each message."""

    def __init__(
        self, local: MemberRecord, settings: DetectorSettings, random: RandomSource, now: datetime
    ) -> None:
        """Start alone, with the record that this node has of itself."""
        self.settings = settings
        self.events: deque[MembershipEvent] = deque(maxlen=MAX_EVENTS_KEPT)
        self.counts: Counter[str] = Counter()
        self.name_conflict = False  # another live process uses this node's name
        self.last_received_at: datetime | None = None
        self.last_acknowledged_at: datetime | None = None  # the last ack of a probe of this node
        self._random = random
        self._members = MemberList(local)
        self._broadcasts = BroadcastQueue(
            self._members, settings.retransmit_multiplier, settings.records_per_datagram
        )
        self._pings = PingFactory(self._broadcasts)
        self._health = LocalHealth(settings.local_health_enabled)
        self._suspicions = SuspicionTimeouts(self._members, settings)
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
        self._due = now
        self._generation_raises = 0
        self._has_left = False
        self._broadcasts.enqueue(local.node)

    # Queries.

    @property
    def local(self) -> MemberRecord:
        """The local node's record."""
        return self._members.local

    @local.setter
    def local(self, record: MemberRecord) -> None:
        self._members.local = record

    @property
    def members(self) -> dict[str, Member]:
        """All other nodes, by name."""
        return self._members.others

    @property
    def local_health(self) -> int:
        """Lifeguard's local health score; 0 is healthy."""
        return self._health.score

    def alive(self) -> set[str]:
        """Return the nodes that are not known to have failed or left, the local one included."""
        return self._members.alive()

    def in_state(self, state: MemberState) -> set[str]:
        """Return the other nodes in that state."""
        return self._members.in_state(state)

    def view(self) -> dict[str, tuple[str, str]]:
        """Return process and state of the nodes that are alive, for comparison between nodes."""
        return self._members.view()

    def next_due(self) -> datetime:
        """Return when `tick` is to be called; a call that comes much later counts against the local health."""
        due = [*self._prober.due_times(), self._exchanger.next_due, *self._indirect_probes.due_times()]
        due += [
            member.suspicion_ends_at
            for member in self.members.values()
            if member.suspicion_ends_at is not None
        ]
        self._due = min(due)
        return self._due

    # Joining and leaving.

    def join(self, seeds: Iterable[str]) -> list[OutboundMessage]:
        """Request the state of the nodes at these addresses."""
        return self._exchanger.join(seeds)

    def leave(self) -> list[OutboundMessage]:
        """Announce the shutdown of this node, so that it is not suspected."""
        self._has_left = True
        self.local = replace(self.local, state=MemberState.LEFT)
        ack = Ack(self._pings.next_number(), (self.local,))
        addresses = sample(self._random, self._members.reachable_addresses(), LEAVE_FANOUT)
        return [OutboundMessage(address, ack) for address in addresses]

    # Time.

    def tick(self, now: datetime) -> list[OutboundMessage]:
        """Do what is due, and return the messages to send."""
        lateness = now - self._due
        if lateness > self.settings.probe_interval / 2:
            self._handle_late_wakeup(now, lateness)
        sends = self._indirect_probes.expire(now)
        sends += self._advance_probing(now)
        sends += self._expire_suspicions(now)
        if now >= self._exchanger.next_due:
            sends += self._exchanger.start_exchange(now)
            for name in self._members.reclaim(now, self.settings.reclaim_after):
                self._broadcasts.discard(name)
        return sends

    def _handle_late_wakeup(self, now: datetime, lateness: timedelta) -> None:
        """Draw no conclusion from what did not arrive meanwhile: it may wait in the socket's buffer."""
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
        member = self.members.get(probe.node)
        if member is None or member.record.state not in REACHABLE_STATES:
            return
        # Where others suspect it already, this is an independent confirmation.
        if self.local.node not in member.suspected_by:
            suspect = member.record.with_state(MemberState.SUSPECT, self.local.node)
            reason = f"no answer, also not through {probe.indirect_requests} others"
            self._merge_record(now, suspect, reason)

    def _expire_suspicions(self, now: datetime) -> list[OutboundMessage]:
        sends = []
        for member in list(self.members.values()):
            if member.suspicion_ends_at is None or now < member.suspicion_ends_at:
                continue
            if self.local.node not in member.suspected_by and not member.last_probe_sent:
                sends.append(self._probe_before_failing(now, member))
            else:
                failed = member.record.with_state(MemberState.FAILED, self.local.node)
                reason = f"suspected by {', '.join(sorted(member.suspected_by))}, and not refuted"
                self._merge_record(now, failed, reason)
        return sends

    def _probe_before_failing(self, now: datetime, member: Member) -> OutboundMessage:
        """Ping a member that only others suspect, perhaps long ago: it may have refuted since."""
        member.last_probe_sent = True
        timeout = 2 * self.settings.probe_timeout * self._health.timeout_factor
        member.suspicion_ends_at = now + timeout
        return self._pings.correcting(member.record, member.record.address)

    # Records.

    def _merge_record(self, now: datetime, record: MemberRecord, reason: str) -> bool:
        """Take a record if it overrides what is known (SWIM, section 4.2); return whether it did."""
        if record.node == self.local.node:
            self._refute(now, record)
            return False
        member = self.members.get(record.node)
        if member is None:
            return self._add_member(now, record, reason)
        if record.precedence <= member.record.precedence:
            self._confirm_suspicion(member, record)
            return False
        self._replace_record(now, member, record, reason)
        return True

    def _add_member(self, now: datetime, record: MemberRecord, reason: str) -> bool:
        if record.state not in REACHABLE_STATES:
            return False  # a name that is forgotten here: else its record would circulate for ever
        if len(self.members) >= MAX_MEMBERS:
            self.counts["crowded"] += 1
            return False
        member = self.members[record.node] = Member(record, now)
        self._record_event(now, record, reason)
        self._restart_suspicion(member)
        return True

    def _confirm_suspicion(self, member: Member, record: MemberRecord) -> None:
        """Count the suspicion of another node, and pass it on (Lifeguard, section IV-B)."""
        known = member.record
        if (
            record.state is MemberState.SUSPECT is known.state
            and record.process_generation == known.process_generation
            and record.incarnation == known.incarnation
            and record.reported_by not in member.suspected_by
        ):
            member.suspected_by.add(record.reported_by)
            member.suspicion_ends_at = self._suspicions.deadline(member)
            self._broadcasts.enqueue(record.node)
            member.record = record

    def _replace_record(self, now: datetime, member: Member, record: MemberRecord, reason: str) -> None:
        known = member.record
        same_process = record.process_generation == known.process_generation
        if same_process and known.state is MemberState.FAILED and record.state is MemberState.ALIVE:
            self._exchanger.handle_reconnection(now, record)
        if record.state is not known.state or not same_process:
            member.state_since = now
            self._record_event(now, record, reason)
        member.record = record
        self._restart_suspicion(member)

    def _restart_suspicion(self, member: Member) -> None:
        """Start or end the suspicion, by the member's new record, and disseminate that record."""
        is_suspect = member.record.state is MemberState.SUSPECT
        member.suspected_by = {member.record.reported_by} if is_suspect else set()
        member.suspicion_ends_at = self._suspicions.deadline(member) if is_suspect else None
        member.last_probe_sent = False
        self._broadcasts.enqueue(member.record.node)

    def _record_event(self, now: datetime, record: MemberRecord, reason: str) -> None:
        self.counts[record.state.value] += 1
        event = f"{record.state.value}, process {record.process_id}"
        self.events.append(MembershipEvent(now, record.node, event, record.reported_by, reason))

    def _refute(self, now: datetime, record: MemberRecord) -> None:
        """Answer a record of this node's name: a suspicion of this process, or an earlier process."""
        if record.process_id == self.local.process_id:
            self._refute_suspicion(record)
        elif record.process_generation >= self.local.process_generation:
            self._raise_generation(now, record)

    def _refute_suspicion(self, record: MemberRecord) -> None:
        """Override a suspicion with a higher incarnation (SWIM, section 4.2); it also is a sign of slowness here."""
        local = self.local
        is_current = (record.generation, record.incarnation) >= (local.generation, local.incarnation)
        if record.state is MemberState.ALIVE or self._has_left or not is_current:
            return
        self.local = replace(local, incarnation=record.incarnation + 1)
        self.counts["refuted"] += 1
        self._health.degrade()
        self._broadcasts.enqueue(local.node)

    def _raise_generation(self, now: datetime, record: MemberRecord) -> None:
        """Override another process of this name; one that keeps coming back is alive, and a conflict."""
        local = self.local
        self.local = replace(local, generation=record.generation + 1, incarnation=0)
        self._generation_raises += 1
        self._broadcasts.enqueue(local.node)
        is_repeated = self._generation_raises >= MAX_GENERATION_RAISES
        if is_repeated and record.state in REACHABLE_STATES and not self.name_conflict:
            self.name_conflict = True
            event = "another process has this name"
            self.events.append(MembershipEvent(now, local.node, event, record.process_id, record.address))

    # Messages.

    def receive(
        self, now: datetime, sender: MemberRecord, message: MembershipMessage
    ) -> list[OutboundMessage]:
        """Take a message with the sender's record of itself, and return the messages to send."""
        if sender.node == self.local.node and sender.process_id == self.local.process_id:
            return []
        self.last_received_at = now
        self._merge_record(now, sender, "it said so itself")
        overriding = self._record_overriding(sender)
        for record in message.records:
            self._merge_record(now, record, f"heard from {sender.node}")
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

    def _record_overriding(self, sender: MemberRecord) -> MemberRecord | None:
        """Return the record that overrides a sender's own: it is suspected, failed, or of an earlier process."""
        member = self.members.get(sender.node)
        if member is None or member.record.precedence <= sender.precedence:
            return None
        return member.record

    def _correct_sender(self, sender: MemberRecord, overriding: MemberRecord | None) -> list[OutboundMessage]:
        if overriding is None:
            return []
        return [self._pings.correcting(overriding, sender.address)]

    def _handle_ping(
        self, sender: MemberRecord, ping: Ping, overriding: MemberRecord | None
    ) -> list[OutboundMessage]:
        if ping.node != self.local.node:
            return []  # another node had this address before
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
        self._exchanger.handle_state()
        return self._correct_sender(sender, overriding)
