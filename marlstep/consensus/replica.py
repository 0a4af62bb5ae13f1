"""One voter whole: its part in the log, the machines on it, and what it does for nodes while it leads.

Still without I/O: what drives it stores and sends what it says, on sockets or on a virtual network.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any, ClassVar

import orjson

from marlstep.consensus.log import Entry, Group, Kind, Saved, Snapshot
from marlstep.consensus.messages import RAFT_MESSAGES, RaftMessage
from marlstep.consensus.raft import Chance, Raft, Ready, Timing
from marlstep.consensus.state_machine import Command, Machine, Machines, Result
from marlstep.leases.manager import Keeper, no_shares
from marlstep.leases.messages import Beat, Beaten, Probed, Relay
from marlstep.leases.settings import RULES, LeaseSettings
from marlstep.leases.table import Table
from marlstep.membership.quotas import Balance, Shares
from marlstep.membership.roster import Agreed, Keeping, KeepingSettings, Word
from marlstep.net.codec import BOOLEAN, INTEGER, TEXT, wire
from marlstep.replicated_config.documents import PIECE
from marlstep.replicated_config.messages import Fetch, Piece
from marlstep.replicated_config.rollout import Heard, StageWatch
from marlstep.replicated_config.store import Book
from marlstep.units import MILLISECOND, SECOND

COMPACT_AT = 2_000  # entries behind the snapshot
KEEP = 500  # of them, for members that lag a little
KEPT_CHANGES = 256
STANDINGS = 50  # processes that one answer tells of: a message has its limit
CAUGHT_UP = 32  # entries that a learner may be behind to become a voter
GONE_AFTER = 5 * SECOND  # a voter that is silent for so long may be replaced by its node's new identity


@dataclass(slots=True, frozen=True)
class Ask:
    """A named command from a node, sent again until it is told."""

    wire_tag: ClassVar[str] = "Ask"

    by: str = field(metadata=wire("by", TEXT))
    number: int = field(metadata=wire("number", INTEGER))
    command: str = field(metadata=wire("command", TEXT))  # JSON


@dataclass(slots=True, frozen=True)
class Told:
    """`done`: it was applied, and this is its result, as JSON. Else: ask that node."""

    wire_tag: ClassVar[str] = "Told"

    number: int = field(metadata=wire("number", INTEGER))
    done: bool = field(metadata=wire("done", BOOLEAN))
    leader: str = field(metadata=wire("leader", TEXT))
    result: str = field(metadata=wire("result", TEXT), default="")


@dataclass(slots=True, frozen=True)
class Join:
    """A store without a past asks to be taken in: first to listen, and to vote once it has caught up."""

    wire_tag: ClassVar[str] = "Join"

    node: str = field(metadata=wire("node", TEXT))
    identity: str = field(metadata=wire("identity", TEXT))


@dataclass(slots=True, frozen=True)
class Change:
    """Of who leads or votes, for the log."""

    what: str
    why: str


Message = RaftMessage | Ask | Told | Beat | Beaten | Join | Probed | Fetch | Piece | Relay


def node_of(identity: str) -> str:
    """Of a voter's identity (`node#store`) or of a process's name (`node/boot`)."""
    return identity.partition("#")[0].partition("/")[0]


@dataclass(slots=True, frozen=True)
class VoterSettings:
    timing: Timing
    leases: LeaseSettings
    named: tuple[str, ...]  # nodes that may vote
    members: KeepingSettings | None = None  # where the group keeps a list of who belongs to the fleet
    shares: bool = False  # tenants' allowances are for the whole service


class Voter:
    def __init__(
        self,
        me: str,
        saved: Saved,
        settings: VoterSettings,
        machines: Callable[[Table], Mapping[str, Machine]],
        chance: Chance,
        now: datetime,
    ) -> None:
        """`machines` gives those beside the leases, which may look at the table of these.

        Raises ValueError where the snapshot can't be read by them.
        """
        self.me, self.node, self.settings = me, node_of(me), settings
        self.raft = Raft(me, saved, settings.timing, chance, now)
        self.table = Table()
        self.machines = Machines({"leases": self.table, **machines(self.table)})
        if saved.snapshot.data:
            self.machines.read(saved.snapshot.data)
        self.keeper = Keeper(self.table, settings.leases)
        book = self.machines.machines.get("rules")
        self.book: Book | None = book if isinstance(book, Book) else None
        self.stages = StageWatch()
        agreed = self.machines.machines.get("members")
        self.agreed: Agreed | None = agreed if isinstance(agreed, Agreed) else None
        shares = self.machines.machines.get("shares")
        self.shares: Shares | None = shares if isinstance(shares, Shares) else None
        self.balance = Balance()
        self.keeping = Keeping(settings.members or KeepingSettings())
        self._committing: set[tuple[str, int]] = set()
        self.changes: deque[Change] = deque()  # for whoever drives it to log
        self.applied: deque[tuple[int, Command, Result]] = deque(maxlen=KEPT_CHANGES)
        self.counts = dict.fromkeys(("commands", "elections", "beats", "asks", "snapshots", "drifting"), 0)
        self._led_term = 0  # the term in which the keeper was told that this voter leads
        self._asked: dict[tuple[str, int], str] = {}  # who waits for which command
        self._out: list[tuple[str, Message]] = []
        self._joins: dict[str, datetime] = {}  # identities that wait to be taken in
        self._tend_at = now  # when to look again whether the group is as it should be
        self._leader_before = ""

    # What comes in.

    def step(self, now: datetime, sender: str, message: Message) -> None:
        """A message from another member of the group or from a node."""
        match message:
            case Beat():
                self._beat(now, sender, message)
            case Ask():
                self._ask(now, sender, message)
            case Join():
                self._join(now, sender, message)
            case Fetch():
                self._fetch(sender, message)
            case Told() | Beaten() | Probed() | Piece() | Relay():
                pass  # of a node's own part, not of a voter's
            case _:
                self.raft.step(now, sender, message)
        self._advance(now)

    def tick(self, now: datetime) -> None:
        self.raft.tick(now)
        self._advance(now)

    def next_due(self) -> datetime:
        due = self.raft.next_due()
        leases = self.keeper.next_due() if self.raft.established else None
        return due if leases is None else min(due, leases)

    def _beat(self, now: datetime, sender: str, beat: Beat) -> None:
        if not self.raft.established:
            self._out.append((sender, Beaten(beat.number, False, node_of(self.raft.leader))))
            return
        self.counts["beats"] += 1
        for command in self.keeper.beat(now, beat, self.raft.round + 1):
            self._propose(now, command)

    def _ask(self, now: datetime, sender: str, ask: Ask) -> None:
        known = self.machines.known(ask.by, ask.number) if self.raft.established else None
        if known is not None:
            self._out.append((sender, Told(ask.number, True, self.node, _write(known))))
        elif not self.raft.established:
            self._out.append((sender, Told(ask.number, False, node_of(self.raft.leader))))
        elif (ask.by, ask.number) not in self._asked:
            self.counts["asks"] += 1
            try:
                command = orjson.loads(ask.command)
            except ValueError:
                command = None
            if not isinstance(command, dict):
                refused = _write({"error": "no command: an object is wanted"})
                self._out.append((sender, Told(ask.number, True, self.node, refused)))
                return
            if command.get("m") == "standings":  # nothing for the log: what this one has heard
                rows, first = self.standings(now), command.get("from")
                first = first if isinstance(first, int) and first >= 0 else 0
                told = {"standings": rows[first : first + STANDINGS], "of": len(rows)}
                self._out.append((sender, Told(ask.number, True, self.node, _write(told))))
                return
            self._asked[ask.by, ask.number] = sender
            self._propose(now, {**command, "by": ask.by, "no": ask.number})

    def _fetch(self, sender: str, asked: Fetch) -> None:
        """A piece of a document, for a node that has no log."""
        if self.book is None or not self.raft.established:
            return
        content = self.book.content(asked.name, asked.version)
        if content is None:
            self._out.append((sender, Piece(asked.name, asked.version, asked.offset, -1, "")))
        elif 0 <= asked.offset < max(1, len(content)):
            data = content[asked.offset : asked.offset + PIECE]
            self._out.append((sender, Piece(asked.name, asked.version, asked.offset, len(content), data)))

    def _propose(self, now: datetime, command: Command) -> None:
        self.raft.propose(now, _write(command))

    # Who is in the group.

    def _join(self, now: datetime, sender: str, join: Join) -> None:
        node = join.node
        if node in self.settings.named and node_of(join.identity) == node and sender == join.identity:
            self._joins[join.identity] = now

    def _tend(self, now: datetime) -> None:
        """One step at a time: take in who waits, let it vote once it has caught up in its old self's place."""
        raft = self.raft
        if not raft.established or raft.log.group_index > raft.commit:
            return
        group = raft.group
        for identity in group.everyone:
            if node_of(identity) not in self.settings.named and self._let_go(now, group, identity):
                return
        for identity, asked in list(self._joins.items()):
            if identity in group.voters or asked < now - GONE_AFTER:
                del self._joins[identity]
            elif identity not in group.learners:
                others = tuple(one for one in group.learners if node_of(one) != node_of(identity))
                self._regroup(now, Group(group.voters, (*others, identity)), f"{identity} listens")
                return
            elif self._caught_up(now, identity):
                before = [one for one in group.voters if node_of(one) == node_of(identity)]
                left = [one for one in group.voters if one not in before]
                if before and len(group.voters) > 1:
                    if all(self._silent(now, one) for one in before) and self._alive(now, left):
                        voters, learners = tuple(left), group.learners
                        self._regroup(now, Group(voters, learners), f"{before[0]} is replaced by {identity}")
                elif not before:
                    learners = tuple(one for one in group.learners if one != identity)
                    self._regroup(now, Group((*group.voters, identity), learners), f"{identity} votes")
                return

    def _let_go(self, now: datetime, group: Group, identity: str) -> bool:
        """A member whose node is not named any more goes, where the others can do without it."""
        voters = [one for one in group.voters if one != identity]
        learners = tuple(one for one in group.learners if one != identity)
        if not voters or not self._alive(now, voters):
            return False
        self._regroup(
            now, Group(tuple(voters), learners), f"{identity} goes, as its node is not named any more"
        )
        return True

    def _regroup(self, now: datetime, group: Group, why: str) -> None:
        if not self.raft.change_group(now, group):
            self.changes.append(Change(f"group: {why}", "asked by its node"))

    def _caught_up(self, now: datetime, identity: str) -> bool:
        peer = self.raft.peers.get(identity)
        return peer is not None and peer.match > 0 and self.raft.lag(identity) <= CAUGHT_UP

    def _silent(self, now: datetime, identity: str) -> bool:
        """Its node has another store now: the old self can't come back, unless it is this very voter."""
        peer = self.raft.peers.get(identity)
        return identity != self.me and (
            peer is None or peer.heard is None or peer.heard < now - self._patience
        )

    @property
    def _patience(self) -> timedelta:
        return 2 * self.raft.timing.patience

    def _alive(self, now: datetime, voters: list[str]) -> bool:
        """A majority of them has been heard of late: without the one that goes they can go on."""
        heard = sum(one == self.me or not self._silent(now, one) for one in voters)
        return heard >= len(voters) // 2 + 1

    # What follows.

    def _advance(self, now: datetime) -> None:
        raft = self.raft
        for item in raft.applies():
            if isinstance(item, Snapshot):
                if item.data:
                    self.machines.read(item.data)
                self.counts["snapshots"] += 1
            elif item.kind is Kind.COMMAND:
                self._apply(now, item)
            elif item.kind is Kind.GROUP:
                self.changes.append(Change(f"group is now {Group.read(item.body).voters}", "committed"))
        if raft.established and self._led_term != raft.term:
            self._led_term = raft.term
            self.counts["elections"] += 1
            self.keeper.lead(now)
            self.stages.lead()
            self.keeping.lead(now)
            self.balance.lead()
            self._tell_who_belongs()
            self._committing.clear()
        elif not raft.leads and self._led_term:
            self._led_term = 0
            self._asked.clear()
            self._joins.clear()
            self.keeper.step_down()
        if raft.established:
            for command in self.keeper.tick(now):
                self._propose(now, command)
            if self.book is not None:
                self._see_to_rules(now, self.book)
            news = () if self.book is None else self.book.news()
            shares = no_shares if self.shares is None else self.shares.of
            self._out += self.keeper.answers(now, raft.confirmed, self.node, raft.term, news, shares)
            for holder, error in self.keeper.drifting:
                self.counts["drifting"] += 1
                what = f"the clock of {holder} errs by {error:+.1%} against this one"
                self.changes.append(Change(what, "beyond the stated drift: only tokens protect from it"))
            self.keeper.drifting.clear()
            if now >= self._tend_at:
                self._tend_at = now + raft.timing.beat
                self._tend(now)
                if self.settings.members is not None and self.agreed is not None:
                    self._see_to_members(now, self.agreed)
                if self.settings.shares and self.shares is not None and self.book is not None:
                    for command in self.balance.look(
                        now, self.shares, self.book.allowances(), self._demands()
                    ):
                        self._propose(now, command)
        if raft.applied - raft.log.snapshot.index >= COMPACT_AT:
            raft.compact(self.machines.write, KEEP)
        if raft.leader != self._leader_before:
            before, self._leader_before = self._leader_before, raft.leader
            why = f"term {raft.term}, before: {before or 'none'}"
            self.changes.append(Change(f"leader is {raft.leader or 'unknown'}", why))

    def _see_to_rules(self, now: datetime, book: Book) -> None:
        """A change that all who act have said they can take comes into force."""
        for name, version in book.ready():
            if (name, version) not in self._committing:
                self._committing.add((name, version))
                self._propose(now, {"m": "rules", "do": "commit", "doc": name, "version": version})
        if not book.staged():
            return
        beats = {holder: Heard(beat, at) for holder, beat, at in self.keeper.heard()}
        for one in self.stages.look(now, book, beats, self.settings.leases.term_of(RULES)):
            if (one.name, one.version) not in self._committing:
                self._committing.add((one.name, one.version))
                told = {"m": "rules", "doc": one.name, "version": one.version, "why": one.why}
                self._propose(
                    now, told | ({"do": "commit", "whole": True} if one.goes_on else {"do": "withdraw"})
                )
                way = "goes on to all" if one.goes_on else "goes back"
                self.changes.append(Change(f"staged version {one.version} of {one.name} {way}", one.why))

    def _demands(self) -> dict[str, dict[str, float]]:
        return {
            holder: {tenant: per_ks / 1000 for tenant, per_ks in beat.demand}
            for holder, beat, _ in self.keeper.heard()
        }

    def _tell_who_belongs(self) -> None:
        """Before anybody belongs all may have tasks: the first are taken in only after a term and a probation."""
        if self.settings.members is not None and self.agreed is not None:
            self.keeper.allow(self.agreed.members() or None)

    def _see_to_members(self, now: datetime, agreed: Agreed) -> None:
        words = {
            holder: Word(node_of(holder), at, frozenset(beat.failed))
            for holder, beat, at in self.keeper.heard()
        }
        holds = frozenset(lease.node for lease in self.table.leases.values() if lease.holder)
        leases = self.settings.leases
        for command in self.keeping.look(now, agreed, words, holds, max(leases.term, leases.rules)):
            self.changes.append(
                Change(f"{command['do']} {command['node']}", command.get("why", "it is heard"))
            )
            self._propose(now, command)

    def standings(self, now: datetime) -> list[dict[str, Any]]:
        """What each process has said of itself, as far as this leader has heard."""
        rows = []
        for holder, beat, at in self.keeper.heard():
            until = self.keeper.until(RULES + holder)
            rows.append(
                {
                    "process": holder,
                    "heard_ms": (now - at) // MILLISECOND,
                    "lease_ms": 0 if until is None else max(0, (until - now) // MILLISECOND),
                    "acts": [list(row) for row in beat.acts],
                    "figures": list(beat.figures),
                }
            )
        return sorted(rows, key=lambda row: str(row["process"]))

    def _apply(self, now: datetime, entry: Entry) -> None:
        command, result = self.machines.apply(entry.body)
        self.counts["commands"] += 1
        self.applied.append((entry.index, command, result))
        if command.get("m") == "leases" and self._led_term == self.raft.term:
            self.keeper.applied(now, command, result, self.raft.round + 1)
        if command.get("m") == "rules" and command.get("do") != "part":
            self._committing.discard((str(command.get("doc")), command.get("version", 0)))
            if self._led_term == self.raft.term and ("acked" not in result):
                self.keeper.tell_all(self.raft.round + 1)
        if command.get("m") == "members":
            self._tell_who_belongs()
        if command.get("m") == "shares" and self._led_term == self.raft.term and "part" in result:
            self.keeper.tell(result["holder"], self.raft.round + 1)
        by, number = command.get("by"), command.get("no")
        if isinstance(by, str) and isinstance(number, int):
            waiting = self._asked.pop((by, number), None)
            if waiting is not None:
                self._out.append((waiting, Told(number, True, self.node, _write(result))))

    # What goes out.

    def prompt(self, now: datetime) -> list[tuple[str, Message]]:
        """To be sent at once."""
        out, self._out = self._out, []
        out += self.raft.prompt(now)
        return out

    def take(self) -> Ready | None:
        """To be made durable, its messages to be sent after that, and then told to `synced`."""
        return self.raft.take()

    def synced(self, now: datetime, ready: Ready) -> None:
        self.raft.synced(ready)
        self._advance(now)

    def leave(self, now: datetime) -> str:
        """Hand the leadership over; gives to whom, or an empty text."""
        return self.raft.transfer(now)

    def status(self) -> dict[str, Any]:
        raft = self.raft
        return {
            "identity": self.me,
            "role": raft.role.value,
            "term": raft.term,
            "leader": raft.leader,
            "last": raft.log.last,
            "commit": raft.commit,
            "snapshot": raft.log.snapshot.index,
            "voters": list(raft.group.voters),
            "learners": list(raft.group.learners),
            "lag": {one: raft.lag(one) for one in raft.peers} if raft.leads else {},
            "counts": dict(self.counts),
        }


def _write(value: object) -> str:
    return orjson.dumps(value).decode()


MESSAGES = (*RAFT_MESSAGES, Ask, Told, Beat, Beaten, Join, Probed, Fetch, Piece, Relay)
