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
from marlstep.membership.messages import Ack, Exchange, Nack, Ping, PingFor, Said
from marlstep.membership.records import THERE, Record, State
from marlstep.units import MILLISECOND, SECOND

MOST_MEMBERS = 2_000
MOST_DOUBT = 8
MOST_RELAYS = 256  # probes for others that are open
PAGE = 100  # records of one part of an exchange: names are long at times, and a message has its limit
TWINS = 5  # times that a name's life has to be raised before two are taken for having it
KEPT_CHANGES = 256


@dataclass(slots=True, frozen=True)
class MemberSettings:
    period: timedelta = 500 * MILLISECOND
    answer: timedelta = 150 * MILLISECOND  # for a direct answer, when all is well
    through: int = 3  # others that are asked to probe
    suspicion: float = 2.0  # periods by the logarithm of the number of nodes: the least time to refute
    longer: float = 6.0  # times the least, where nobody else suspects it
    confirms: int = 3  # others whose suspicion shortens that to the least
    spread: float = 4.0  # times that one record is sent on, by the logarithm of the number
    exchange: timedelta = 15 * SECOND
    keep: timedelta = 120 * SECOND  # a name that failed or left
    room: int = 12  # records that one datagram has place for
    doubts: bool = True  # itself first; off only to measure what that is worth


@dataclass(slots=True, frozen=True)
class Send:
    address: str
    message: Said
    line: bool = False  # over the line: it may be large


@dataclass(slots=True, frozen=True)
class Change:
    """For the record that operators see."""

    at: datetime
    node: str
    what: str
    by: str
    why: str


@dataclass(slots=True)
class Member:
    record: Record
    since: datetime  # in this state
    suspects: set[str] = field(default_factory=set)  # who said so, while it is suspected
    over: datetime | None = None  # of the suspicion
    asked: bool = False  # once more, before it is over


@dataclass(slots=True)
class Probe:
    node: str
    number: int
    began: datetime
    through_at: datetime  # when others are asked
    ends: datetime
    asked: int = 0
    nacks: int = 0


@dataclass(slots=True)
class Relay:
    address: str  # of who asked
    number: int  # of that one
    nack_at: datetime


class Detector:
    def __init__(self, me: Record, settings: MemberSettings, chance: RandomSource, now: datetime) -> None:
        self.me, self.settings = me, settings
        self.members: dict[str, Member] = {}  # the others, by name
        self.doubt = 0  # of itself
        self.changes: deque[Change] = deque(maxlen=KEPT_CHANGES)
        self.counts: Counter[str] = Counter()
        self.twin = False  # another process goes by this node's name
        self.heard_at: datetime | None = None  # anything from anybody
        self.answered_at: datetime | None = None  # an answer to a probe of this node's
        self._chance = chance
        self._number = 0
        self._probe: Probe | None = None
        self._probe_at = now + settings.period * chance.random()
        self._exchange_at = now + settings.exchange * chance.random()
        self._due = now
        self._round: list[str] = []
        self._rumours: dict[str, int] = {}  # names whose records are to be sent on: how often they were
        self._relays: dict[int, Relay] = {}
        self._raised = 0
        self._met = False  # somebody has told it all
        self._meet = ""  # address of one from behind a cut that is over
        self._seeds: tuple[str, ...] = ()
        self._leaving = False
        self._spread(me.node)

    # What others read.

    def alive(self) -> set[str]:
        """Those that are there as far as is heard, this node among them."""
        return {self.me.node} | {one for one, member in self.members.items() if member.record.state in THERE}

    def of(self, state: State) -> set[str]:
        return {name for name, member in self.members.items() if member.record.state is state}

    def view(self) -> dict[str, tuple[str, str]]:
        """Boot and state of all, without what is only suspected: what nodes have to agree on."""
        rows = {self.me.node: (self.me.boot, State.ALIVE.value)}
        for name, member in self.members.items():
            one = member.record
            if one.state in THERE:
                rows[name] = (one.boot, State.ALIVE.value)
        return rows

    @property
    def size(self) -> int:
        return len(self.alive())

    @property
    def _scale(self) -> float:
        return max(1.0, math.log10(self.size + 1))

    @property
    def _slowed(self) -> int:
        return 1 + self.doubt

    def next_due(self) -> datetime:
        due = [self._probe_at, self._exchange_at]
        if self._probe is not None:
            due.append(self._probe.ends if self._probe.asked else self._probe.through_at)
        due += [member.over for member in self.members.values() if member.over is not None]
        due += [relay.nack_at for relay in self._relays.values()]
        self._due = min(due)
        return self._due

    # Coming and going.

    def join(self, seeds: Iterable[str]) -> list[Send]:
        """Ask at these addresses, now and again while nobody is known."""
        self._seeds = tuple(one for one in seeds if one != self.me.address)
        return [Send(one, Exchange(True, (self.me,)), True) for one in self._some(list(self._seeds), 2)]

    def leave(self, now: datetime) -> list[Send]:
        """Say that this node goes; others need not find that out."""
        self._leaving = True
        self.me = replace(self.me, state=State.LEFT)
        others = [member.record.address for member in self.members.values() if member.record.state in THERE]
        self._number += 1
        return [Send(one, Ack(self._number, (self.me,))) for one in self._some(others, 5)]

    # Time.

    def tick(self, now: datetime) -> list[Send]:
        sends: list[Send] = []
        late = now - self._due
        if late > self.settings.period / 2:
            self._woke_late(now, late)
        for number, relay in list(self._relays.items()):
            if now >= relay.nack_at:
                del self._relays[number]
                sends.append(Send(relay.address, Nack(relay.number, self._news())))
        sends += self._probing(now)
        sends += self._suspicions(now)
        if now >= self._exchange_at:
            self._exchange_at = now + self.settings.exchange * (0.5 + self._chance.random())
            sends += self._exchange()
            self._forget(now)
        return sends

    def _woke_late(self, now: datetime, late: timedelta) -> None:
        """Whatever did not come meanwhile says nothing of the others: answers may wait in the socket."""
        self.counts["late"] += 1
        if not self.settings.doubts:
            return
        self._doubts(1)
        self._probe = None
        self._probe_at = min(self._probe_at, now)
        for member in self.members.values():
            if member.over is not None:
                member.over = max(member.over, now) + late

    def _doubts(self, by: int) -> None:
        if self.settings.doubts:
            self.doubt = min(MOST_DOUBT, max(0, self.doubt + by))

    # Probing.

    def _probing(self, now: datetime) -> list[Send]:
        probe, sends = self._probe, list[Send]()
        if probe is not None:
            if now >= probe.ends:
                self._probe = None
                self._unanswered(now, probe)
            elif now >= probe.through_at and not probe.asked:
                sends += self._ask_others(probe)
        if now >= self._probe_at:
            self._probe_at = now + self.settings.period * self._slowed
            if self._probe is None and (name := self._next()) is not None:
                sends.append(self._begin(now, name))
            if not self._met:
                sends += self._ask_all_known()
            elif self._chance.random() < 0.1:
                sends += self._ask_seeds()
            if failed := self.of(State.FAILED):  # a cut may be over: nothing is waited for
                record = self.members[self._some(sorted(failed), 1)[0]].record
                self._number += 1
                sends.append(Send(record.address, Ping(self._number, record.node, self._news(record))))
        return sends

    def _ask_all_known(self) -> list[Send]:
        """Who has just come knows nobody until one has told it all: what rides on probes is only what is new."""
        there = [member.record.address for member in self.members.values() if member.record.state in THERE]
        asked = dict.fromkeys((*self._seeds, *there))
        return [Send(one, Exchange(True, (self.me,)), True) for one in self._some(list(asked), 1)]

    def _ask_seeds(self) -> list[Send]:
        """Of two halves that began apart neither knows anybody of the other: a seed that is missing may be there."""
        there = {member.record.address for member in self.members.values() if member.record.state in THERE}
        missing = [one for one in self._seeds if one not in there]
        return [Send(one, Exchange(True, (self.me,)), True) for one in self._some(missing, 1)]

    def _next(self) -> str | None:
        """One after another, in an order that is drawn for each round; those that are suspected more often."""
        there = [name for name, member in self.members.items() if member.record.state in THERE]
        suspects = self.of(State.SUSPECT)
        if suspects and self._chance.random() < 0.5:
            return self._some(sorted(suspects), 1)[0]  # so that it hears of it
        while self._round:
            name = self._round.pop()
            if name in self.members and self.members[name].record.state in THERE:
                return name
        keys = {name: self._chance.random() for name in there}
        self._round = sorted(there, key=lambda one: keys[one])
        return self._round.pop() if self._round else None

    def _begin(self, now: datetime, name: str) -> Send:
        settings, slowed = self.settings, self._slowed
        self._number += 1
        self._probe = Probe(
            name, self._number, now, now + settings.answer * slowed, now + settings.period * slowed * 0.95
        )
        self.counts["probes"] += 1
        record = self.members[name].record
        return Send(record.address, Ping(self._number, name, self._news(self._untold(record))))

    def _ask_others(self, probe: Probe) -> list[Send]:
        """Others in other zones first: who is cut off with this node would find the same."""
        record = self.members[probe.node].record
        others = [
            member.record
            for name, member in self.members.items()
            if name != probe.node and member.record.state is State.ALIVE
        ]
        keys = {one.node: (one.zone == self.me.zone, self._chance.random()) for one in others}
        chosen = sorted(others, key=lambda one: keys[one.node])[: self.settings.through]
        probe.asked = max(1, len(chosen))
        self.counts["through others"] += len(chosen)
        message = PingFor(probe.number, probe.node, record.address, self._news(self._untold(record)))
        return [Send(one.address, message) for one in chosen]

    def _unanswered(self, now: datetime, probe: Probe) -> None:
        member = self.members.get(probe.node)
        # Without a word from those that were asked either, the fault is as likely here.
        self._doubts(1 if probe.nacks * 2 < probe.asked else 0)
        self.counts["unanswered"] += 1
        if member is not None and member.record.state in THERE and self.me.node not in member.suspects:
            # Where others suspect it already, this is one more who has found the same by itself.
            told = member.record.become(State.SUSPECT, self.me.node)
            self._take(now, told, f"no answer, also not through {probe.asked} others")

    # Suspicions.

    def _least(self) -> timedelta:
        return self.settings.period * self.settings.suspicion * self._scale

    def _deadline(self, member: Member) -> datetime:
        """The more of the others suspect it too, the sooner; alone with it, a node waits long."""
        least = self._least()
        longest = least * self.settings.longer
        confirms = len(member.suspects - {self.me.node}) if self.settings.doubts else self.settings.confirms
        share = min(1.0, math.log(confirms + 1) / math.log(self.settings.confirms + 1))
        few = self.size <= 3  # nobody else is there to confirm
        return member.since + (least if few else longest - (longest - least) * share)

    def _suspicions(self, now: datetime) -> list[Send]:
        sends = []
        for member in list(self.members.values()):
            if member.over is not None and now >= member.over:
                if self.me.node not in member.suspects and not member.asked:
                    # Only others say so, perhaps long ago and refuted since: its own answer would tell.
                    member.asked, member.over = True, now + 2 * self.settings.answer * self._slowed
                    self._number += 1
                    ping = Ping(self._number, member.record.node, self._news(member.record))
                    sends.append(Send(member.record.address, ping))
                    continue
                told = member.record.become(State.FAILED, self.me.node)
                self._take(now, told, f"suspected by {', '.join(sorted(member.suspects))}, and not refuted")
        return sends

    # Records.

    def _take(self, now: datetime, record: Record, why: str) -> bool:
        """What is said of one node; whether it counts here."""
        if record.node == self.me.node:
            self._of_me(now, record)
            return False
        member = self.members.get(record.node)
        if member is None:
            if record.state not in THERE:
                return False  # forgotten here, or never known: else its name would go round for ever
            if len(self.members) >= MOST_MEMBERS:
                self.counts["crowded"] += 1
                return False
            member = self.members[record.node] = Member(record, now)
            self._noted(now, record, why)
            self._entered(member)
            return True
        known = member.record
        if record.order <= known.order:
            same = record.life == known.life and record.incarnation == known.incarnation
            if same and record.state is State.SUSPECT is known.state and record.by not in member.suspects:
                member.suspects.add(record.by)
                member.over = self._deadline(member)
                self._spread(record.node)  # the others are to hear of this one's word as well
                member.record = record
            return False
        if known.state is State.FAILED and record.state is State.ALIVE and record.life == known.life:
            # A cut is over, and there may be many more on that side.
            self._exchange_at = min(self._exchange_at, now + self.settings.period * self._chance.random())
            self._meet = record.address
        if record.state is not known.state or record.life != known.life:
            member.since = now
            self._noted(now, record, why)
        member.record = record
        self._entered(member)
        return True

    def _entered(self, member: Member) -> None:
        """Its state may be another."""
        member.suspects = {member.record.by} if member.record.state is State.SUSPECT else set()
        member.over = self._deadline(member) if member.record.state is State.SUSPECT else None
        member.asked = False
        self._spread(member.record.node)

    def _noted(self, now: datetime, record: Record, why: str) -> None:
        self.counts[record.state.value] += 1
        self.changes.append(
            Change(now, record.node, f"{record.state.value}, process {record.boot}", record.by, why)
        )

    def _of_me(self, now: datetime, record: Record) -> None:
        me = self.me
        if record.boot == me.boot:
            gone = record.state is not State.ALIVE and not self._leaving
            if gone and (record.born, record.incarnation) >= (me.born, me.incarnation):
                self.me = replace(me, incarnation=record.incarnation + 1)
                self.counts["refuted"] += 1
                self._doubts(1)
                self._spread(me.node)
        elif record.life >= me.life:
            self.me = replace(me, born=record.born + 1, incarnation=0)
            self._raised += 1
            self._spread(me.node)
            if self._raised >= TWINS and record.state in THERE and not self.twin:
                self.twin = True
                self.changes.append(
                    Change(now, me.node, "another process has this name", record.boot, record.address)
                )

    def _spread(self, node: str) -> None:
        self._rumours[node] = 0

    def _news(self, first: Record | None = None) -> tuple[Record, ...]:
        """What rides on a datagram: what was sent on the least often. A suspected node hears of that itself."""
        chosen: list[Record] = []
        if first is not None:
            chosen.append(first)
        most = math.ceil(self.settings.spread * self._scale)
        for name in sorted(self._rumours, key=lambda one: self._rumours[one])[: self.settings.room]:
            record = self.me if name == self.me.node else self._record(name)
            if record is not None and record not in chosen:
                chosen.append(record)
            self._rumours[name] += 1
            if self._rumours[name] >= most or record is None:
                del self._rumours[name]
        return tuple(chosen[: self.settings.room])

    @staticmethod
    def _untold(record: Record) -> Record | None:
        """What a node should hear of itself: that it is suspected, or taken for failed."""
        return None if record.state is State.ALIVE else record

    def _record(self, name: str) -> Record | None:
        member = self.members.get(name)
        return None if member is None else member.record

    # Messages.

    def receive(self, now: datetime, sender: Record, message: Said) -> list[Send]:
        """From another node, which says of itself that it is there."""
        if sender.node == self.me.node and sender.boot == self.me.boot:
            return []
        self.heard_at = now
        self._take(now, sender, "it said so itself")
        known = self._record(sender.node)
        # It is taken for failed, suspected, or for an earlier life of its name: only itself can put that right.
        wrong = known if known is not None and known.order > sender.order else None
        for record in message.records:
            self._take(now, record, f"heard from {sender.node}")
        match message:
            case Ping():
                if message.node != self.me.node:
                    return []  # another had this address before
                return [Send(sender.address, Ack(message.number, self._news(wrong)))]
            case PingFor():
                return self._probe_for(now, sender, message)
            case Ack():
                return self._acked(now, sender, message, wrong)
            case Nack():
                if self._probe is not None and self._probe.number == message.number:
                    self._probe.nacks += 1
            case Exchange():
                if message.answer:
                    return self._pages(sender.address, answer=False)
                self._met = True
        return self._told_wrong(sender, wrong)

    def _told_wrong(self, sender: Record, wrong: Record | None) -> list[Send]:
        if wrong is None:
            return []
        self._number += 1
        return [Send(sender.address, Ping(self._number, sender.node, self._news(wrong)))]

    def _probe_for(self, now: datetime, sender: Record, asked: PingFor) -> list[Send]:
        if len(self._relays) >= MOST_RELAYS:
            self.counts["relays refused"] += 1
            return []
        self._number += 1
        self._relays[self._number] = Relay(sender.address, asked.number, now + self.settings.answer)
        return [Send(asked.address, Ping(self._number, asked.node, self._news()))]

    def _acked(self, now: datetime, sender: Record, message: Ack, wrong: Record | None) -> list[Send]:
        relay = self._relays.pop(message.number, None)
        if relay is not None:
            return [Send(relay.address, Ack(relay.number, self._news()))]
        if self._probe is not None and self._probe.number == message.number:
            # From itself, or through one that it answered.
            self._probe = None
            self.answered_at = now
            # It is well again: the others are looked at as often as ever.
            self._doubts(-max(1, self.doubt // 2))
        return self._told_wrong(sender, wrong)

    # The full exchange.

    def _exchange(self) -> list[Send]:
        there = [member.record for member in self.members.values() if member.record.state in THERE]
        if self._meet:
            address, self._meet = self._meet, ""
            return self._pages(address, answer=True)
        if not there:
            return self.join(self._seeds)
        return self._pages(self._some([one.address for one in there], 1)[0], answer=True)

    def _pages(self, address: str, answer: bool) -> list[Send]:
        records = [self.me, *(member.record for member in self.members.values())]
        pages = [tuple(records[at : at + PAGE]) for at in range(0, len(records), PAGE)]
        return [Send(address, Exchange(answer and page is pages[-1], page), True) for page in pages]

    def _some(self, names: list[str], count: int) -> list[str]:
        """Drawn in the order that they are given in: a set has none that is the same each time."""
        keys = {one: self._chance.random() for one in names}
        return sorted(keys, key=lambda one: keys[one])[:count]

    def _forget(self, now: datetime) -> None:
        """Names that are gone for long: without that, memory would grow with every machine that ever was."""
        for name, member in list(self.members.items()):
            if member.record.state not in THERE and now >= member.since + self.settings.keep:
                del self.members[name]
                self._rumours.pop(name, None)
