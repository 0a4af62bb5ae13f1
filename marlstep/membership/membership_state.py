"""The state machine of members: alive, suspected, failed or left, by the precedence of records (SWIM, section 4.2)."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import replace
from datetime import datetime

from marlstep.membership.broadcast_queue import BroadcastQueue
from marlstep.membership.detector_settings import DetectorSettings
from marlstep.membership.local_health import LocalHealth
from marlstep.membership.member_list import MAX_MEMBERS, Member, MemberList, MembershipEvent
from marlstep.membership.messages import OutboundMessage
from marlstep.membership.pings import PingFactory
from marlstep.membership.records import REACHABLE_STATES, MemberRecord, MemberState
from marlstep.membership.state_exchange import StateExchanger
from marlstep.membership.suspicion import SuspicionTimeouts

MAX_GENERATION_RAISES = 5  # above another process of the name, before that is taken for a conflict of names
MAX_EVENTS_KEPT = 256


class MembershipState:
    """Merges records into the member list, and refutes those that are wrong about the local node."""

    def __init__(
        self,
        members: MemberList,
        broadcasts: BroadcastQueue,
        pings: PingFactory,
        local_health: LocalHealth,
        exchanger: StateExchanger,
        settings: DetectorSettings,
        counts: Counter[str],
    ) -> None:
        """Start with the local node's record to be disseminated."""
        self.members = members
        self.events: deque[MembershipEvent] = deque(maxlen=MAX_EVENTS_KEPT)
        self.name_conflict = False  # another live process uses this node's name
        self.has_left = False  # this node has announced its shutdown, and refutes nothing more
        self._broadcasts = broadcasts
        self._pings = pings
        self._local_health = local_health
        self._exchanger = exchanger
        self._settings = settings
        self._counts = counts
        self._suspicions = SuspicionTimeouts(members, settings)
        self._generation_raises = 0
        broadcasts.enqueue(members.local.node)

    def suspect(self, now: datetime, node: str, reason: str) -> None:
        """Take a node whose probe was not acknowledged as suspected by this one (SWIM, section 4.2)."""
        member = self.members.others.get(node)
        if member is None or member.record.state not in REACHABLE_STATES:
            return
        # Where others suspect it already, this is an independent confirmation.
        if self.members.local.node not in member.suspected_by:
            suspect = member.record.with_state(MemberState.SUSPECT, self.members.local.node)
            self.merge_record(now, suspect, reason)

    def expire_suspicions(self, now: datetime) -> list[OutboundMessage]:
        """Declare failed whom nobody cleared in time; return pings to those that only others suspect."""
        sends = []
        for member in list(self.members.others.values()):
            if member.suspicion_ends_at is None or now < member.suspicion_ends_at:
                continue
            if self.members.local.node not in member.suspected_by and not member.last_probe_sent:
                sends.append(self._probe_before_failing(now, member))
            else:
                failed = member.record.with_state(MemberState.FAILED, self.members.local.node)
                reason = f"suspected by {', '.join(sorted(member.suspected_by))}, and not refuted"
                self.merge_record(now, failed, reason)
        return sends

    def _probe_before_failing(self, now: datetime, member: Member) -> OutboundMessage:
        """Ping a member that only others suspect, perhaps long ago: it may have refuted since."""
        member.last_probe_sent = True
        timeout = 2 * self._settings.probe_timeout * self._local_health.timeout_factor
        member.suspicion_ends_at = now + timeout
        return self._pings.correcting(member.record, member.record.address)

    def merge_record(self, now: datetime, record: MemberRecord, reason: str) -> bool:
        """Take a record if it overrides what is known (SWIM, section 4.2); return whether it did."""
        if record.node == self.members.local.node:
            self._refute(now, record)
            return False
        member = self.members.others.get(record.node)
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
        if len(self.members.others) >= MAX_MEMBERS:
            self._counts["crowded"] += 1
            return False
        member = self.members.others[record.node] = Member(record, now)
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
        self._counts[record.state.value] += 1
        event = f"{record.state.value}, process {record.process_id}"
        self.events.append(MembershipEvent(now, record.node, event, record.reported_by, reason))

    def _refute(self, now: datetime, record: MemberRecord) -> None:
        """Answer a record of this node's name: a suspicion of this process, or an earlier process."""
        if record.process_id == self.members.local.process_id:
            self._refute_suspicion(record)
        elif record.process_generation >= self.members.local.process_generation:
            self._raise_generation(now, record)

    def _refute_suspicion(self, record: MemberRecord) -> None:
        """Override a suspicion with a higher incarnation (SWIM, section 4.2); it also is a sign of slowness here."""
        local = self.members.local
        is_current = (record.generation, record.incarnation) >= (local.generation, local.incarnation)
        if record.state is MemberState.ALIVE or self.has_left or not is_current:
            return
        self.members.local = replace(local, incarnation=record.incarnation + 1)
        self._counts["refuted"] += 1
        self._local_health.degrade()
        self._broadcasts.enqueue(local.node)

    def _raise_generation(self, now: datetime, record: MemberRecord) -> None:
        """Override another process of this name; one that keeps coming back is alive, and a conflict."""
        local = self.members.local
        self.members.local = replace(local, generation=record.generation + 1, incarnation=0)
        self._generation_raises += 1
        self._broadcasts.enqueue(local.node)
        is_repeated = self._generation_raises >= MAX_GENERATION_RAISES
        if is_repeated and record.state in REACHABLE_STATES and not self.name_conflict:
            self.name_conflict = True
            event = "another process has this name"
            self.events.append(MembershipEvent(now, local.node, event, record.process_id, record.address))
