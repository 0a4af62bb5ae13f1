"""A node's side of documents: which version it acts on, until when, and what it does without the group.

It acts on a version only under its own lease on the rules, counted as all leases are. The news that renews the lease
tells which version is in force, in the same message: who renewed after a change came into force knows of it, and who
did not stops acting when its lease runs out. So no node acts on an old version for longer than the lease's term.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from marlstep.leases.messages import DocumentState, DocumentStatus
from marlstep.replicated_config.documents import CutOff, Named, digest_of
from marlstep.replicated_config.messages import Fetch, Piece
from marlstep.units import MILLISECOND, ZERO

FETCH_AGAIN = 300 * MILLISECOND
FOUND_AGAIN = 3_000 * MILLISECOND


class State(enum.Enum):
    UNKNOWN = "has not heard of a version yet"
    ACTING = "acts on it"
    SUSPENDED = "has stopped for the next version"
    CUT_OFF = "its lease has run out"
    BEHIND = "fetches the version that is in force"
    HELD_OUT = "can't take it"
    FIXED = "an operator's fixed version is in force"


@dataclass(slots=True, frozen=True)
class Check:
    """Can this node act on that content? `Follower.checked` is to be told."""

    name: str
    version: int
    content: str


@dataclass(slots=True, frozen=True)
class Ack:
    """To be asked for in the log."""

    name: str
    version: int
    digest: str
    why: str  # empty: it can be taken


@dataclass(slots=True, frozen=True)
class Act:
    """From now on, between two turns."""

    name: str
    version: int
    content: str


@dataclass(slots=True, frozen=True)
class Stop:
    """No new work under the document from now on, by its cut-off rule; `why` is for the log."""

    name: str
    how: CutOff
    why: str


@dataclass(slots=True, frozen=True)
class Found:
    """The group has no such document: the local file's content is to be proposed as its first version."""

    name: str


Do = Check | Ack | Act | Stop | Found | Fetch


@dataclass(slots=True)
class Standing:
    """One document, here."""

    named: Named
    state: State = State.UNKNOWN
    version: int = 0  # that it acts on, or acted on last
    content: str = ""
    since: datetime | None = None
    target: DocumentStatus | None = None
    fetching: int = 0  # version
    pieces: str = ""
    asked: datetime | None = None
    held: dict[int, str] | None = None  # contents that came whole, by version
    checks: dict[int, str] = field(
        default_factory=dict
    )  # by version: why it can't be taken, empty where it can
    acked: int = 0
    found: datetime | None = None  # missing in the group, and its first version proposed


class Follower:
    def __init__(self, named: tuple[Named, ...], node: str = "") -> None:
        """`node` is this one's name: of a staged change it may have to be among the first."""
        self.node = node
        self.standings = {one.name: Standing(one) for one in named}

    # What comes.

    def told(self, now: datetime, news: tuple[DocumentStatus, ...], left: timedelta) -> list[Do]:
        """News came with a renewal; `left` is of the lease on the rules."""
        by_name = {one.name: one for one in news}
        done: list[Do] = []
        for name, one in self.standings.items():
            one.target = by_name.get(name)
            if one.target is None:
                if one.state is State.FIXED:
                    continue
                if left > ZERO and (one.found is None or now >= one.found + FOUND_AGAIN):
                    one.found = now
                    done.append(Found(name))
            elif left > ZERO:
                done += self._follow(now, one)
        return done

    def _follow(self, now: datetime, one: Standing) -> list[Do]:
        target = one.target
        assert target is not None
        done: list[Do] = []
        if one.state is State.FIXED:  # only to show how the two differ
            known = not target.version or self._content(one, target.version, target.digest) is not None
            return [] if known else self._fetch(now, one, target.version)
        number, digest, then = target.version, target.digest, target.prepared_version
        if (
            target.prepared_version and self.node in target.rollout_nodes
        ):  # a stage, and this node is among the first
            number, digest, then = target.prepared_version, target.prepared_digest, 0
        if number:
            done += self._take(now, one, number, digest, then)
        # One content at a time: what is acted on comes first, and what is prepared when that is here.
        waits = 0 < one.fetching == number or any(isinstance(do, Fetch | Check) for do in done)
        if target.prepared_version and not waits:
            done += self._prepare(now, one, target)
        return done

    def _take(self, now: datetime, one: Standing, version: int, digest: str, pending: int) -> list[Do]:
        """That version is in force."""
        if one.named.strict and pending and one.acked == pending:
            if one.state is not State.HELD_OUT:
                one.state = (
                    State.SUSPENDED
                )  # it has said that it stopped: until it hears how that change ended
            return []
        if one.state is State.ACTING and one.version == version:
            return []
        content = self._content(one, version, digest)
        if content is None:
            done = self._fetch(now, one, version)
            if one.state is not State.ACTING:
                return done
            # Its lease was over for a while, and the change went through without it: with a lease again it must not
            # go on with what it has, however long the new one takes to come.
            one.state = State.BEHIND
            why = f"version {version} is in force, and not here yet"
            return [Stop(one.named.name, one.named.cut_off, why), *done]
        if version not in one.checks:
            return [Check(one.named.name, version, content)]
        if why := one.checks[version]:
            if one.state is State.HELD_OUT:
                return []
            one.state = State.HELD_OUT
            return [Stop(one.named.name, CutOff.STOP, f"version {version} can't be taken: {why}")]
        one.version, one.content, one.since, one.state = version, content, now, State.ACTING
        least = min(version, one.target.version if one.target is not None else version)
        one.held = {number: text for number, text in (one.held or {}).items() if number >= least}
        one.checks = {number: why for number, why in one.checks.items() if number >= least}
        return [Act(one.named.name, version, content)]

    def _prepare(self, now: datetime, one: Standing, target: DocumentStatus) -> list[Do]:
        """A change is being prepared: say whether it can be taken, and for a strict document stop before that."""
        if one.acked == target.prepared_version:
            return []
        content = self._content(one, target.prepared_version, target.prepared_digest)
        if content is None:
            return self._fetch(now, one, target.prepared_version)
        if target.prepared_version not in one.checks:
            return [Check(one.named.name, target.prepared_version, content)]
        one.acked = target.prepared_version
        done: list[Do] = []
        if one.named.strict and one.state is State.ACTING:
            one.state = State.SUSPENDED
            done.append(
                Stop(one.named.name, CutOff.STOP, f"until version {target.prepared_version} is in force")
            )
        return [
            *done,
            Ack(
                one.named.name,
                target.prepared_version,
                target.prepared_digest,
                one.checks[target.prepared_version],
            ),
        ]

    @staticmethod
    def _content(one: Standing, version: int, digest: str) -> str | None:
        content = (one.held or {}).get(version)
        return content if content is not None and digest_of(content) == digest else None

    def _fetch(self, now: datetime, one: Standing, version: int) -> list[Do]:
        if one.fetching != version:
            one.fetching, one.pieces, one.asked = version, "", None
        if one.asked is not None and now < one.asked + FETCH_AGAIN:
            return []
        one.asked = now
        return [Fetch(one.named.name, version, len(one.pieces))]

    def piece(self, now: datetime, piece: Piece, left: timedelta) -> list[Do]:
        one = self.standings.get(piece.name)
        if one is None or one.fetching != piece.version or piece.offset != len(one.pieces) or piece.size < 0:
            return []
        one.pieces += piece.data
        one.asked = None
        if len(one.pieces) < piece.size:
            return self._fetch(now, one, piece.version)
        one.held = {**(one.held or {}), piece.version: one.pieces}
        one.fetching, one.pieces = 0, ""
        return self._follow(now, one) if one.target is not None and left > ZERO else []

    def checked(self, now: datetime, check: Check, why: str, left: timedelta) -> list[Do]:
        """What the check of a content came to; empty: this node can act on it."""
        one = self.standings[check.name]
        one.checks[check.version] = why
        return self._follow(now, one) if one.target is not None and left > ZERO else []

    def ack_lost(self, name: str, version: int) -> None:
        """The log did not take it: it is said again."""
        one = self.standings[name]
        if one.acked == version:
            one.acked = 0

    # Time.

    def look(self, now: datetime, left: timedelta) -> list[Do]:
        """Whenever time has passed: without a lease nothing is acted on any more, by each document's rule."""
        done: list[Do] = []
        for one in self.standings.values():
            if left > ZERO:
                if one.target is not None:
                    done += self._follow(now, one)
            elif one.state in (State.ACTING, State.SUSPENDED, State.BEHIND):
                one.state = State.CUT_OFF
                done.append(Stop(one.named.name, one.named.cut_off, "the lease on the rules has run out"))
        return done

    def may_take(self, left: timedelta) -> bool:
        """Whether new work may be taken now, with so much left of the lease; work in hand goes on in any case."""
        return all(self._allows(one, left) for one in self.standings.values())

    @staticmethod
    def _allows(one: Standing, left: timedelta) -> bool:
        match one.state:
            case State.FIXED:
                return True
            case State.SUSPENDED | State.HELD_OUT:
                return False
            case State.ACTING if left > ZERO:
                return True
            case State.BEHIND if one.named.strict:
                return False
        return one.named.cut_off is not CutOff.STOP

    def acts(self, now: datetime) -> tuple[DocumentState, ...]:
        """For the group and for operators: what is acted on here, for how long, and why nothing newer."""
        return tuple(
            (
                name,
                one.version,
                one.state.name.lower(),
                0 if one.since is None else max(0, (now - one.since) // MILLISECOND),
                self._why(one),
            )
            for name, one in self.standings.items()
        )

    @staticmethod
    def _why(one: Standing) -> str:
        if one.state is State.ACTING and one.target is not None and one.version == one.target.version:
            return ""
        if one.fetching:
            return f"fetches version {one.fetching}, has {len(one.pieces)} characters of it"
        if one.state is State.HELD_OUT:
            return max(one.checks.items(), default=(0, ""))[1][:128]
        if (
            one.state is State.ACTING
            and one.target is not None
            and one.version == one.target.prepared_version
        ):
            return "a stage: it is among the first"
        return str(one.state.value)

    def against_group(self, name: str) -> str | None:
        """The content that is in force in the group, beside a fixed one; None where it is not known here."""
        one = self.standings[name]
        if one.target is None:
            return None
        return self._content(one, one.target.version, one.target.digest)

    def boot(self) -> list[Do]:
        """At a start nothing is acted on before the group has said which version is in force."""
        return [
            Stop(one.named.name, one.named.cut_off, "not heard of yet") for one in self.standings.values()
        ]

    # Operators.

    def fix(self, now: datetime, name: str, content: str) -> list[Do]:
        """A fixed version by an operator's word, until `unfix`: for a group that is lost."""
        one = self.standings[name]
        one.state, one.content, one.version, one.since = State.FIXED, content, -1, now
        return [Act(name, -1, content)]

    def unfix(self, name: str) -> list[Do]:
        one = self.standings[name]
        if one.state is not State.FIXED:
            return []
        one.state, one.version = State.UNKNOWN, 0
        return [Stop(name, one.named.cut_off, "the fixed version was taken back")]
