"""Randomised round-robin probing of the other members (SWIM, sections 3.1 and 4.3; Lifeguard, section IV-A)."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from datetime import datetime

from marlstep.consensus.raft import RandomSource
from marlstep.membership.broadcast_queue import BroadcastQueue
from marlstep.membership.detector_settings import DetectorSettings
from marlstep.membership.local_health import LocalHealth
from marlstep.membership.member_list import MemberList
from marlstep.membership.messages import OutboundMessage, PingRequest
from marlstep.membership.pings import PingFactory
from marlstep.membership.records import REACHABLE_STATES, MemberRecord, MemberState
from marlstep.membership.sampling import sample

# A probe ends before the next interval begins, so that each interval can start one.
PROBE_SHARE_OF_INTERVAL = 0.95
# How often a suspected member is probed out of turn: the ping tells it of the suspicion, so that it can refute.
SUSPECT_PROBE_PROBABILITY = 0.5


@dataclass(slots=True)
class Probe:
    """The probe of this interval."""

    node: str
    number: int
    indirect_at: datetime  # when other members are asked, without an ack
    ends_at: datetime
    indirect_requests: int = 0
    nacks: int = 0

    @property
    def expected_nacks_missing(self) -> bool:
        """Fewer than half of the asked members answered at all: the fault is as likely at this node."""
        return self.nacks * 2 < self.indirect_requests


class Prober:
    """Probes one member per interval: directly, then through others."""

    def __init__(
        self,
        members: MemberList,
        broadcasts: BroadcastQueue,
        pings: PingFactory,
        local_health: LocalHealth,
        settings: DetectorSettings,
        random: RandomSource,
        counts: Counter[str],
        now: datetime,
    ) -> None:
        """Start within one interval, at a random time, so that nodes that start together don't probe together."""
        self._members = members
        self._broadcasts = broadcasts
        self._pings = pings
        self._local_health = local_health
        self._settings = settings
        self._random = random
        self._counts = counts
        self._current: Probe | None = None
        self._next_probe_at = now + settings.probe_interval * random.random()
        self._probe_order: list[str] = []

    def due_times(self) -> list[datetime]:
        """Return when something is to be done."""
        if self._current is None:
            return [self._next_probe_at]
        probe = self._current
        return [self._next_probe_at, probe.ends_at if probe.indirect_requests else probe.indirect_at]

    def is_due(self, now: datetime) -> bool:
        """Return whether the next interval has begun."""
        return now >= self._next_probe_at

    def abandon(self, now: datetime) -> None:
        """Give up the current probe without a conclusion, and start the next at once."""
        self._current = None
        self._next_probe_at = min(self._next_probe_at, now)

    def acknowledge(self, number: int) -> bool:
        """Take an ack, direct or forwarded; return whether it is that of the current probe."""
        if self._current is None or self._current.number != number:
            return False
        self._current = None
        return True

    def count_nack(self, number: int) -> None:
        """Take a nack of a member that was asked for an indirect probe."""
        if self._current is not None and self._current.number == number:
            self._current.nacks += 1

    def take_unanswered(self, now: datetime) -> Probe | None:
        """Return the current probe if its time is over, and forget it."""
        probe = self._current
        if probe is None or now < probe.ends_at:
            return None
        self._current = None
        return probe

    def request_indirect_probes(self, now: datetime) -> list[OutboundMessage]:
        """Ask other members to probe, once the direct probe has timed out."""
        probe = self._current
        if probe is None or now < probe.indirect_at or probe.indirect_requests:
            return []
        target = self._members.others[probe.node].record
        helpers = self._choose_helpers(probe.node)
        probe.indirect_requests = max(1, len(helpers))
        self._counts["through others"] += len(helpers)
        records = self._broadcasts.take(_record_to_refute(target))
        request = PingRequest(probe.number, probe.node, target.address, records)
        return [OutboundMessage(helper.address, request) for helper in helpers]

    def _choose_helpers(self, target: str) -> list[MemberRecord]:
        """Prefer other zones: a member that is cut off together with this node would find the same."""
        candidates = [
            member.record
            for name, member in self._members.others.items()
            if name != target and member.record.state is MemberState.ALIVE
        ]
        local_zone = self._members.local.zone
        keys = {record.node: (record.zone == local_zone, self._random.random()) for record in candidates}
        candidates.sort(key=lambda record: keys[record.node])
        return candidates[: self._settings.indirect_probes]

    def start_interval(self, now: datetime) -> list[OutboundMessage]:
        """Begin an interval, and probe a member unless the last probe is still open."""
        self._next_probe_at = now + self._settings.probe_interval * self._local_health.timeout_factor
        if self._current is not None:
            return []
        target = self._next_target()
        return [] if target is None else [self._start_probe(now, target)]

    def _next_target(self) -> str | None:
        """Follow an order that is drawn anew for each round, with suspected members in between."""
        reachable = self._members.reachable_names()
        suspects = self._members.in_state(MemberState.SUSPECT)
        if suspects and self._random.random() < SUSPECT_PROBE_PROBABILITY:
            return sample(self._random, sorted(suspects), 1)[0]
        while self._probe_order:
            name = self._probe_order.pop()
            member = self._members.others.get(name)
            if member is not None and member.record.state in REACHABLE_STATES:
                return name
        self._probe_order = sample(self._random, reachable, len(reachable))
        return self._probe_order.pop() if self._probe_order else None

    def _start_probe(self, now: datetime, name: str) -> OutboundMessage:
        settings, factor = self._settings, self._local_health.timeout_factor
        record = self._members.others[name].record
        ping = self._pings.make(name, _record_to_refute(record))
        self._current = Probe(
            name,
            ping.number,
            indirect_at=now + settings.probe_timeout * factor,
            ends_at=now + settings.probe_interval * factor * PROBE_SHARE_OF_INTERVAL,
        )
        self._counts["probes"] += 1
        return OutboundMessage(record.address, ping)

    def ping_failed_member(self) -> list[OutboundMessage]:
        """Ping one failed member, without a probe: a partition may have healed."""
        failed = self._members.in_state(MemberState.FAILED)
        if not failed:
            return []
        name = sample(self._random, sorted(failed), 1)[0]
        record = self._members.others[name].record
        return [self._pings.correcting(record, record.address)]


def _record_to_refute(record: MemberRecord) -> MemberRecord | None:
    return None if record.state is MemberState.ALIVE else record
