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

# A probe ends before the next interval starts, so that each interval can start a new one.
PROBE_SHARE_OF_INTERVAL = 0.95
# Probability of probing a suspected member out of turn: the ping carries the suspicion, so that it can be refuted.
SUSPECT_PROBE_PROBABILITY = 0.5


@dataclass(slots=True)
class Probe:
    """The probe of the current interval."""

    node: str
    number: int
    indirect_at: datetime  # when other members are asked to ping the node, if it has not acknowledged
    ends_at: datetime  # when the node is suspected, if there is still no ack
    indirect_requests: int = 0  # members asked for an indirect probe; 1 if there were none to ask
    nacks: int = 0

    @property
    def expected_nacks_missing(self) -> bool:
        """Whether fewer than half of the asked members sent a nack, so that the fault may be at this node."""
        return self.nacks * 2 < self.indirect_requests


class Prober:
    """Probes one member per interval: directly, then through other members."""

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
        """Initialize without a probe.

        The first interval starts at a random time within one probe interval, so that nodes that are started together
        do not probe at the same times.
        """
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
        """Return the times at which the probe or the interval has to be advanced."""
        if self._current is None:
            return [self._next_probe_at]
        probe = self._current
        return [self._next_probe_at, probe.ends_at if probe.indirect_requests else probe.indirect_at]

    def is_due(self, now: datetime) -> bool:
        """Return whether the next interval has to be started."""
        return now >= self._next_probe_at

    def abandon(self, now: datetime) -> None:
        """Abandon the current probe without suspecting its node, and make the next interval due at once."""
        self._current = None
        self._next_probe_at = min(self._next_probe_at, now)

    def acknowledge(self, number: int) -> bool:
        """Handle a direct or forwarded ack; return whether it belongs to the current probe."""
        if self._current is None or self._current.number != number:
            return False
        self._current = None
        return True

    def count_nack(self, number: int) -> None:
        """Count a nack from a member that was asked for an indirect probe."""
        if self._current is not None and self._current.number == number:
            self._current.nacks += 1

    def take_unanswered(self, now: datetime) -> Probe | None:
        """Return and remove the current probe if it has timed out."""
        probe = self._current
        if probe is None or now < probe.ends_at:
            return None
        self._current = None
        return probe

    def request_indirect_probes(self, now: datetime) -> list[OutboundMessage]:
        """Return requests to other members to ping the node, once the direct probe has timed out."""
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
        """Choose members for indirect probes, those of other zones first.

        A member that is cut off together with this node could not reach the target either.
        """
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
        """Start an interval, and probe a member unless the last probe is still open."""
        self._next_probe_at = now + self._settings.probe_interval * self._local_health.timeout_factor
        if self._current is not None:
            return []
        target = self._next_target()
        return [] if target is None else [self._start_probe(now, target)]

    def _next_target(self) -> str | None:
        """Return the next member of the round, which has a new random order, or sometimes a suspected member."""
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
        """Ping a random failed member, without starting a probe, in case a partition has healed."""
        failed = self._members.in_state(MemberState.FAILED)
        if not failed:
            return []
        name = sample(self._random, sorted(failed), 1)[0]
        record = self._members.others[name].record
        return [self._pings.make_correction(record, record.address)]


def _record_to_refute(record: MemberRecord) -> MemberRecord | None:
    return None if record.state is MemberState.ALIVE else record
