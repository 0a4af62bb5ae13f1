"""The state machine of members: alive, suspected, failed or left.

The precedence of records decides which of two records of a member is kept (SWIM, section 4.2).
"""

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

# An earlier process of the same name is overridden by one raise of the generation. This many raises mean that another
# live process uses the name.
MAX_GENERATION_RAISES = 5
MAX_EVENTS_KEPT = 256


class MembershipState:
    """Merges records into the member list, and refutes wrong records of the local node."""

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
        """Initialize, and queue the local node's record for dissemination."""
        self.members = members
        self.events: deque[MembershipEvent] = deque(maxlen=MAX_EVENTS_KEPT)
        self.name_conflict = False  # another live process uses this node's name
        self.has_left = False  # this node has announced its shutdown, and no longer refutes suspicions
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
        """Mark a node that did not acknowledge its probe as suspected by the local node (SWIM, section 4.2)."""
        member = self.members.others.get(node)
        if member is None or member.record.state not in REACHABLE_STATES:
            return
        # If other nodes suspect it already, this counts as an independent confirmation.
        if self.members.local.node not in member.suspected_by:
            suspect = member.record.with_state(MemberState.SUSPECT, self.members.local.node)
            self.merge_record(now, suspect, reason)

    def expire_suspicions(self, now: datetime) -> list[OutboundMessage]:
        """Declare members failed that did not refute in time; return pings to those that only others suspect."""
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
        """Ping a member that only other nodes suspect: their suspicion may be old and refuted since."""
        member.last_probe_sent = True
        timeout = 2 * self._settings.probe_timeout * self._local_health.timeout_factor
        member.suspicion_ends_at = now + timeout
        return self._pings.make_correction(member.record, member.record.address)

    def merge_record(self, now: datetime, record: MemberRecord, reason: str) -> bool:
        """Apply a record if it overrides the known one (SWIM, section 4.2); return whether it was applied.

        Args:
            now: the current time.
            record: the record; one of the local node is never applied but refuted where it is wrong.
            reason: how this node learned it, for operators.
        """
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
            return False  # the name was reclaimed here; adding it again would keep its record circulating for ever
        if len(self.members.others) >= MAX_MEMBERS:
            self._counts["crowded"] += 1
            return False
        member = self.members.others[record.node] = Member(record, now)
        self._record_event(now, record, reason)
        self._restart_suspicion(member)
        return True

    def _confirm_suspicion(self, member: Member, record: MemberRecord) -> None:
        """Count another node's suspicion of the same member, and disseminate it (Lifeguard, section IV-B)."""
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
        """Start or end the suspicion according to the member's new record, and disseminate that record."""
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
        """Handle a record with this node's name: of this process, or of another process with the name."""
        if record.process_id == self.members.local.process_id:
            self._refute_suspicion(record)
        elif record.process_generation >= self.members.local.process_generation:
            self._raise_generation(now, record)

    def _refute_suspicion(self, record: MemberRecord) -> None:
        """Override a suspicion with a higher incarnation (SWIM, section 4.2).

        Being suspected also is a sign that this node is slow, so the local health score is degraded.
        """
        local = self.members.local
        is_current = (record.generation, record.incarnation) >= (local.generation, local.incarnation)
        if record.state is MemberState.ALIVE or self.has_left or not is_current:
            return
        self.members.local = replace(local, incarnation=record.incarnation + 1)
        self._counts["refuted"] += 1
        self._local_health.degrade()
        self._broadcasts.enqueue(local.node)

    def _raise_generation(self, now: datetime, record: MemberRecord) -> None:
        """Override another process with this name; one that keeps returning is alive, which is a name conflict."""
        local = self.members.local
        self.members.local = replace(local, generation=record.generation + 1, incarnation=0)
        self._generation_raises += 1
        self._broadcasts.enqueue(local.node)
        is_repeated = self._generation_raises >= MAX_GENERATION_RAISES
        if is_repeated and record.state in REACHABLE_STATES and not self.name_conflict:
            self.name_conflict = True
            event = "another process has this name"
            self.events.append(MembershipEvent(now, local.node, event, record.process_id, record.address))
