"""Who is there, as this node hears it: failure detection after SWIM, with the self-doubt of Lifeguard.

Each period one other is probed, in an order that is drawn anew each round. Without an answer some others are asked to
probe it; without any it is suspected, and after a while, shorter the more of the others suspect it too, taken for
failed. Who hears that it is suspected refutes that with a higher incarnation. All of this rides on probes and answers.

A node that misses answers, is suspected itself, or wakes late doubts itself first: it waits longer for answers and
suspects later. Pure: clock and chance are passed in, and what is to be sent is given back.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta

from marlstep.consensus.raft import RandomSource
from marlstep.membership.messages import Ack, MembershipMessage, Nack, Ping, PingRequest, StateExchange
from marlstep.membership.records import REACHABLE_STATES, MemberRecord, MemberState
from marlstep.units import MILLISECOND, SECOND

MAX_MEMBERS = 2_000
MAX_LOCAL_HEALTH = 8
MAX_INDIRECT_PROBES = 256  # probes for others that are open
RECORDS_PER_PAGE = (
    100  # records of one part of an exchange: names are long at times, and a message has its limit
)
MAX_GENERATION_RAISES = 5  # times that a name's life has to be raised before two are taken for having it
MAX_EVENTS_KEPT = 256


@dataclass(slots=True, frozen=True)
class DetectorSettings:
    probe_interval: timedelta = 500 * MILLISECOND
    probe_timeout: timedelta = 150 * MILLISECOND  # for a direct answer, when all is well
    indirect_probes: int = 3  # others that are asked to probe
    suspicion_multiplier: float = (
        2.0  # periods by the logarithm of the number of nodes: the least time to refute
    )
    max_suspicion_multiplier: float = 6.0  # times the least, where nobody else suspects it
    suspicion_confirmations: int = 3  # others whose suspicion shortens that to the least
    retransmit_multiplier: float = 4.0  # times that one record is sent on, by the logarithm of the number
    exchange_interval: timedelta = 15 * SECOND
    reclaim_after: timedelta = 120 * SECOND  # a name that failed or left
    records_per_datagram: int = 12  # records that one datagram has place for
    local_health_enabled: bool = True  # itself first; off only to measure what that is worth


@dataclass(slots=True, frozen=True)
class OutboundMessage:
    address: str
    message: MembershipMessage
    over_stream: bool = False  # over the line: it may be large


@dataclass(slots=True, frozen=True)
class MembershipEvent:
    """For the record that operators see."""

    at: datetime
    node: str
    event: str
    reported_by: str
    reason: str


@dataclass(slots=True)
class Member:
    record: MemberRecord
    state_since: datetime  # in this state
    suspected_by: set[str] = field(default_factory=set)  # who said so, while it is suspected
    suspicion_ends_at: datetime | None = None  # of the suspicion
    last_probe_sent: bool = False  # once more, before it is over


@dataclass(slots=True)
class Probe:
    node: str
    number: int
    started_at: datetime
    indirect_at: datetime  # when others are asked
    ends_at: datetime
    indirect_requests: int = 0
    nacks: int = 0


@dataclass(slots=True)
class IndirectProbe:
    address: str  # of who asked
    number: int  # of that one
    nack_at: datetime


class FailureDetector:
    def __init__(
        self, me: MemberRecord, settings: DetectorSettings, chance: RandomSource, now: datetime
    ) -> None:
        self.local, self.settings = me, settings
        self.members: dict[str, Member] = {}  # the others, by name
        self.local_health = 0  # of itself
        self.events: deque[MembershipEvent] = deque(maxlen=MAX_EVENTS_KEPT)
        self.counts: Counter[str] = Counter()
        self.name_conflict = False  # another process goes by this node's name
        self.last_received_at: datetime | None = None  # anything from anybody
        self.last_acknowledged_at: datetime | None = None  # an answer to a probe of this node's
        self._random = chance
        self._sequence = 0
        self._probe: Probe | None = None
        self._next_probe = now + settings.probe_interval * chance.random()
        self._next_exchange = now + settings.exchange_interval * chance.random()
        self._due = now
        self._probe_order: list[str] = []
        self._broadcasts: dict[str, int] = {}  # names whose records are to be sent on: how often they were
        self._indirect_probes: dict[int, IndirectProbe] = {}
        self._generation_raises = 0
        self._met = False  # somebody has told it all
        self._meet = ""  # address of one from behind a cut that is over
        self._seeds: tuple[str, ...] = ()
        self._has_left = False
        self._queue_broadcast(me.node)

    # What others read.

    def alive(self) -> set[str]:
        """Those that are there as far as is heard, this node among them."""
        return {self.local.node} | {
            one for one, member in self.members.items() if member.record.state in REACHABLE_STATES
        }

    def in_state(self, state: MemberState) -> set[str]:
        return {name for name, member in self.members.items() if member.record.state is state}

    def view(self) -> dict[str, tuple[str, str]]:
        """Boot and state of all, without what is only suspected: what nodes have to agree on."""
        rows = {self.local.node: (self.local.process_id, MemberState.ALIVE.value)}
        for name, member in self.members.items():
            one = member.record
            if one.state in REACHABLE_STATES:
                rows[name] = (one.process_id, MemberState.ALIVE.value)
        return rows

    @property
    def size(self) -> int:
        return len(self.alive())

    @property
    def _scale(self) -> float:
        return max(1.0, math.log10(self.size + 1))

    @property
    def _scaled_timeout(self) -> int:
        return 1 + self.local_health

    def next_due(self) -> datetime:
        due = [self._next_probe, self._next_exchange]
        if self._probe is not None:
            due.append(self._probe.ends_at if self._probe.indirect_requests else self._probe.indirect_at)
        due += [
            member.suspicion_ends_at
            for member in self.members.values()
            if member.suspicion_ends_at is not None
        ]
        due += [relay.nack_at for relay in self._indirect_probes.values()]
        self._due = min(due)
        return self._due

    # Coming and going.

    def join(self, seeds: Iterable[str]) -> list[OutboundMessage]:
        """Ask at these addresses, now and again while nobody is known."""
        self._seeds = tuple(one for one in seeds if one != self.local.address)
        return [
            OutboundMessage(one, StateExchange(True, (self.local,)), True)
            for one in self._random_members(list(self._seeds), 2)
        ]

    def leave(self, now: datetime) -> list[OutboundMessage]:
        """Say that this node goes; others need not find that out."""
        self._has_left = True
        self.local = replace(self.local, state=MemberState.LEFT)
        others = [
            member.record.address
            for member in self.members.values()
            if member.record.state in REACHABLE_STATES
        ]
        self._sequence += 1
        return [
            OutboundMessage(one, Ack(self._sequence, (self.local,)))
            for one in self._random_members(others, 5)
        ]

    # Time.

    def tick(self, now: datetime) -> list[OutboundMessage]:
        sends: list[OutboundMessage] = []
        late = now - self._due
        if late > self.settings.probe_interval / 2:
            self._handle_late_wakeup(now, late)
        for number, relay in list(self._indirect_probes.items()):
            if now >= relay.nack_at:
                del self._indirect_probes[number]
                sends.append(OutboundMessage(relay.address, Nack(relay.number, self._take_broadcasts())))
        sends += self._advance_probe(now)
        sends += self._expire_suspicions(now)
        if now >= self._next_exchange:
            self._next_exchange = now + self.settings.exchange_interval * (0.5 + self._random.random())
            sends += self._start_exchange()
            self._reclaim_records(now)
        return sends

    def _handle_late_wakeup(self, now: datetime, late: timedelta) -> None:
        """Whatever did not come meanwhile says nothing of the others: answers may wait in the socket."""
        self.counts["late"] += 1
        if not self.settings.local_health_enabled:
            return
        self._adjust_local_health(1)
        self._probe = None
        self._next_probe = min(self._next_probe, now)
        for member in self.members.values():
            if member.suspicion_ends_at is not None:
                member.suspicion_ends_at = max(member.suspicion_ends_at, now) + late

    def _adjust_local_health(self, by: int) -> None:
        if self.settings.local_health_enabled:
            self.local_health = min(MAX_LOCAL_HEALTH, max(0, self.local_health + by))

    # Probing.

    def _advance_probe(self, now: datetime) -> list[OutboundMessage]:
        probe, sends = self._probe, list[OutboundMessage]()
        if probe is not None:
            if now >= probe.ends_at:
                self._probe = None
                self._suspect_after_probe(now, probe)
            elif now >= probe.indirect_at and not probe.indirect_requests:
                sends += self._request_indirect_probes(probe)
        if now >= self._next_probe:
            self._next_probe = now + self.settings.probe_interval * self._scaled_timeout
            if self._probe is None and (name := self._next_target()) is not None:
                sends.append(self._start_probe(now, name))
            if not self._met:
                sends += self._exchange_with_all()
            elif self._random.random() < 0.1:
                sends += self._exchange_with_seeds()
            if failed := self.in_state(MemberState.FAILED):  # a cut may be over: nothing is waited for
                record = self.members[self._random_members(sorted(failed), 1)[0]].record
                self._sequence += 1
                sends.append(
                    OutboundMessage(
                        record.address, Ping(self._sequence, record.node, self._take_broadcasts(record))
                    )
                )
        return sends

    def _exchange_with_all(self) -> list[OutboundMessage]:
        """Who has just come knows nobody until one has told it all: what rides on probes is only what is new."""
        there = [
            member.record.address
            for member in self.members.values()
            if member.record.state in REACHABLE_STATES
        ]
        asked = dict.fromkeys((*self._seeds, *there))
        return [
            OutboundMessage(one, StateExchange(True, (self.local,)), True)
            for one in self._random_members(list(asked), 1)
        ]

    def _exchange_with_seeds(self) -> list[OutboundMessage]:
        """Of two halves that began apart neither knows anybody of the other: a seed that is missing may be there."""
        there = {
            member.record.address
            for member in self.members.values()
            if member.record.state in REACHABLE_STATES
        }
        missing = [one for one in self._seeds if one not in there]
        return [
            OutboundMessage(one, StateExchange(True, (self.local,)), True)
            for one in self._random_members(missing, 1)
        ]

    def _next_target(self) -> str | None:
        """One after another, in an order that is drawn for each round; those that are suspected more often."""
        there = [name for name, member in self.members.items() if member.record.state in REACHABLE_STATES]
        suspects = self.in_state(MemberState.SUSPECT)
        if suspects and self._random.random() < 0.5:
            return self._random_members(sorted(suspects), 1)[0]  # so that it hears of it
        while self._probe_order:
            name = self._probe_order.pop()
            if name in self.members and self.members[name].record.state in REACHABLE_STATES:
                return name
        keys = {name: self._random.random() for name in there}
        self._probe_order = sorted(there, key=lambda one: keys[one])
        return self._probe_order.pop() if self._probe_order else None

    def _start_probe(self, now: datetime, name: str) -> OutboundMessage:
        settings, slowed = self.settings, self._scaled_timeout
        self._sequence += 1
        self._probe = Probe(
            name,
            self._sequence,
            now,
            now + settings.probe_timeout * slowed,
            now + settings.probe_interval * slowed * 0.95,
        )
        self.counts["probes"] += 1
        record = self.members[name].record
        return OutboundMessage(
            record.address, Ping(self._sequence, name, self._take_broadcasts(self._untold(record)))
        )

    def _request_indirect_probes(self, probe: Probe) -> list[OutboundMessage]:
        """Others in other zones first: who is cut off with this node would find the same."""
        record = self.members[probe.node].record
        others = [
            member.record
            for name, member in self.members.items()
            if name != probe.node and member.record.state is MemberState.ALIVE
        ]
        keys = {one.node: (one.zone == self.local.zone, self._random.random()) for one in others}
        chosen = sorted(others, key=lambda one: keys[one.node])[: self.settings.indirect_probes]
        probe.indirect_requests = max(1, len(chosen))
        self.counts["through others"] += len(chosen)
        message = PingRequest(
            probe.number, probe.node, record.address, self._take_broadcasts(self._untold(record))
        )
        return [OutboundMessage(one.address, message) for one in chosen]

    def _suspect_after_probe(self, now: datetime, probe: Probe) -> None:
        member = self.members.get(probe.node)
        # Without a word from those that were asked either, the fault is as likely here.
        self._adjust_local_health(1 if probe.nacks * 2 < probe.indirect_requests else 0)
        self.counts["unanswered"] += 1
        if (
            member is not None
            and member.record.state in REACHABLE_STATES
            and self.local.node not in member.suspected_by
        ):
            # Where others suspect it already, this is one more who has found the same by itself.
            told = member.record.with_state(MemberState.SUSPECT, self.local.node)
            self._merge_record(now, told, f"no answer, also not through {probe.indirect_requests} others")

    # Suspicions.

    def _min_suspicion_timeout(self) -> timedelta:
        return self.settings.probe_interval * self.settings.suspicion_multiplier * self._scale

    def _suspicion_deadline(self, member: Member) -> datetime:
        """The more of the others suspect it too, the sooner; alone with it, a node waits long."""
        least = self._min_suspicion_timeout()
        longest = least * self.settings.max_suspicion_multiplier
        confirms = (
            len(member.suspected_by - {self.local.node})
            if self.settings.local_health_enabled
            else self.settings.suspicion_confirmations
        )
        share = min(1.0, math.log(confirms + 1) / math.log(self.settings.suspicion_confirmations + 1))
        few = self.size <= 3  # nobody else is there to confirm
        return member.state_since + (least if few else longest - (longest - least) * share)

    def _expire_suspicions(self, now: datetime) -> list[OutboundMessage]:
        sends = []
        for member in list(self.members.values()):
            if member.suspicion_ends_at is not None and now >= member.suspicion_ends_at:
                if self.local.node not in member.suspected_by and not member.last_probe_sent:
                    # Only others say so, perhaps long ago and refuted since: its own answer would tell.
                    member.last_probe_sent, member.suspicion_ends_at = (
                        True,
                        now + 2 * self.settings.probe_timeout * self._scaled_timeout,
                    )
                    self._sequence += 1
                    ping = Ping(self._sequence, member.record.node, self._take_broadcasts(member.record))
                    sends.append(OutboundMessage(member.record.address, ping))
                    continue
                told = member.record.with_state(MemberState.FAILED, self.local.node)
                self._merge_record(
                    now, told, f"suspected by {', '.join(sorted(member.suspected_by))}, and not refuted"
                )
        return sends

    # Records.

    def _merge_record(self, now: datetime, record: MemberRecord, why: str) -> bool:
        """What is said of one node; whether it counts here."""
        if record.node == self.local.node:
            self._refute(now, record)
            return False
        member = self.members.get(record.node)
        if member is None:
            if record.state not in REACHABLE_STATES:
                return False  # forgotten here, or never known: else its name would go round for ever
            if len(self.members) >= MAX_MEMBERS:
                self.counts["crowded"] += 1
                return False
            member = self.members[record.node] = Member(record, now)
            self._record_event(now, record, why)
            self._add_to_probe_order(member)
            return True
        known = member.record
        if record.precedence <= known.precedence:
            same = (
                record.process_generation == known.process_generation
                and record.incarnation == known.incarnation
            )
            if (
                same
                and record.state is MemberState.SUSPECT is known.state
                and record.reported_by not in member.suspected_by
            ):
                member.suspected_by.add(record.reported_by)
                member.suspicion_ends_at = self._suspicion_deadline(member)
                self._queue_broadcast(record.node)  # the others are to hear of this one's word as well
                member.record = record
            return False
        if (
            known.state is MemberState.FAILED
            and record.state is MemberState.ALIVE
            and record.process_generation == known.process_generation
        ):
            # A cut is over, and there may be many more on that side.
            self._next_exchange = min(
                self._next_exchange, now + self.settings.probe_interval * self._random.random()
            )
            self._meet = record.address
        if record.state is not known.state or record.process_generation != known.process_generation:
            member.state_since = now
            self._record_event(now, record, why)
        member.record = record
        self._add_to_probe_order(member)
        return True

    def _add_to_probe_order(self, member: Member) -> None:
        """Its state may be another."""
        member.suspected_by = (
            {member.record.reported_by} if member.record.state is MemberState.SUSPECT else set()
        )
        member.suspicion_ends_at = (
            self._suspicion_deadline(member) if member.record.state is MemberState.SUSPECT else None
        )
        member.last_probe_sent = False
        self._queue_broadcast(member.record.node)

    def _record_event(self, now: datetime, record: MemberRecord, why: str) -> None:
        self.counts[record.state.value] += 1
        self.events.append(
            MembershipEvent(
                now,
                record.node,
                f"{record.state.value}, process {record.process_id}",
                record.reported_by,
                why,
            )
        )

    def _refute(self, now: datetime, record: MemberRecord) -> None:
        me = self.local
        if record.process_id == me.process_id:
            gone = record.state is not MemberState.ALIVE and not self._has_left
            if gone and (record.generation, record.incarnation) >= (me.generation, me.incarnation):
                self.local = replace(me, incarnation=record.incarnation + 1)
                self.counts["refuted"] += 1
                self._adjust_local_health(1)
                self._queue_broadcast(me.node)
        elif record.process_generation >= me.process_generation:
            self.local = replace(me, generation=record.generation + 1, incarnation=0)
            self._generation_raises += 1
            self._queue_broadcast(me.node)
            if (
                self._generation_raises >= MAX_GENERATION_RAISES
                and record.state in REACHABLE_STATES
                and not self.name_conflict
            ):
                self.name_conflict = True
                self.events.append(
                    MembershipEvent(
                        now, me.node, "another process has this name", record.process_id, record.address
                    )
                )

    def _queue_broadcast(self, node: str) -> None:
        self._broadcasts[node] = 0

    def _take_broadcasts(self, first: MemberRecord | None = None) -> tuple[MemberRecord, ...]:
        """What rides on a datagram: what was sent on the least often. A suspected node hears of that itself."""
        chosen: list[MemberRecord] = []
        if first is not None:
            chosen.append(first)
        most = math.ceil(self.settings.retransmit_multiplier * self._scale)
        for name in sorted(self._broadcasts, key=lambda one: self._broadcasts[one])[
            : self.settings.records_per_datagram
        ]:
            record = self.local if name == self.local.node else self._record(name)
            if record is not None and record not in chosen:
                chosen.append(record)
            self._broadcasts[name] += 1
            if self._broadcasts[name] >= most or record is None:
                del self._broadcasts[name]
        return tuple(chosen[: self.settings.records_per_datagram])

    @staticmethod
    def _untold(record: MemberRecord) -> MemberRecord | None:
        """What a node should hear of itself: that it is suspected, or taken for failed."""
        return None if record.state is MemberState.ALIVE else record

    def _record(self, name: str) -> MemberRecord | None:
        member = self.members.get(name)
        return None if member is None else member.record

    # Messages.

    def receive(
        self, now: datetime, sender: MemberRecord, message: MembershipMessage
    ) -> list[OutboundMessage]:
        """From another node, which says of itself that it is there."""
        if sender.node == self.local.node and sender.process_id == self.local.process_id:
            return []
        self.last_received_at = now
        self._merge_record(now, sender, "it said so itself")
        known = self._record(sender.node)
        # It is taken for failed, suspected, or for an earlier life of its name: only itself can put that right.
        wrong = known if known is not None and known.precedence > sender.precedence else None
        for record in message.records:
            self._merge_record(now, record, f"heard from {sender.node}")
        match message:
            case Ping():
                if message.node != self.local.node:
                    return []  # another had this address before
                return [OutboundMessage(sender.address, Ack(message.number, self._take_broadcasts(wrong)))]
            case PingRequest():
                return self._probe_on_behalf(now, sender, message)
            case Ack():
                return self._handle_ack(now, sender, message, wrong)
            case Nack():
                if self._probe is not None and self._probe.number == message.number:
                    self._probe.nacks += 1
            case StateExchange():
                if message.answer:
                    return self._pages(sender.address, answer=False)
                self._met = True
        return self._handle_misdirected(sender, wrong)

    def _handle_misdirected(self, sender: MemberRecord, wrong: MemberRecord | None) -> list[OutboundMessage]:
        if wrong is None:
            return []
        self._sequence += 1
        return [
            OutboundMessage(sender.address, Ping(self._sequence, sender.node, self._take_broadcasts(wrong)))
        ]

    def _probe_on_behalf(
        self, now: datetime, sender: MemberRecord, asked: PingRequest
    ) -> list[OutboundMessage]:
        if len(self._indirect_probes) >= MAX_INDIRECT_PROBES:
            self.counts["relays refused"] += 1
            return []
        self._sequence += 1
        self._indirect_probes[self._sequence] = IndirectProbe(
            sender.address, asked.number, now + self.settings.probe_timeout
        )
        return [OutboundMessage(asked.address, Ping(self._sequence, asked.node, self._take_broadcasts()))]

    def _handle_ack(
        self, now: datetime, sender: MemberRecord, message: Ack, wrong: MemberRecord | None
    ) -> list[OutboundMessage]:
        relay = self._indirect_probes.pop(message.number, None)
        if relay is not None:
            return [OutboundMessage(relay.address, Ack(relay.number, self._take_broadcasts()))]
        if self._probe is not None and self._probe.number == message.number:
            # From itself, or through one that it answered.
            self._probe = None
            self.last_acknowledged_at = now
            # It is well again: the others are looked at as often as ever.
            self._adjust_local_health(-max(1, self.local_health // 2))
        return self._handle_misdirected(sender, wrong)

    # The full exchange.

    def _start_exchange(self) -> list[OutboundMessage]:
        there = [member.record for member in self.members.values() if member.record.state in REACHABLE_STATES]
        if self._meet:
            address, self._meet = self._meet, ""
            return self._pages(address, answer=True)
        if not there:
            return self.join(self._seeds)
        return self._pages(self._random_members([one.address for one in there], 1)[0], answer=True)

    def _pages(self, address: str, answer: bool) -> list[OutboundMessage]:
        records = [self.local, *(member.record for member in self.members.values())]
        pages = [
            tuple(records[at : at + RECORDS_PER_PAGE]) for at in range(0, len(records), RECORDS_PER_PAGE)
        ]
        return [
            OutboundMessage(address, StateExchange(answer and page is pages[-1], page), True)
            for page in pages
        ]

    def _random_members(self, names: list[str], count: int) -> list[str]:
        """Drawn in the order that they are given in: a set has none that is the same each time."""
        keys = {one: self._random.random() for one in names}
        return sorted(keys, key=lambda one: keys[one])[:count]

    def _reclaim_records(self, now: datetime) -> None:
        """Names that are gone for long: without that, memory would grow with every machine that ever was."""
        for name, member in list(self.members.items()):
            if (
                member.record.state not in REACHABLE_STATES
                and now >= member.state_since + self.settings.reclaim_after
            ):
                del self.members[name]
                self._broadcasts.pop(name, None)
