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
from marlstep.replicated_config.documents import DisconnectPolicy, DocumentDefinition, content_digest
from marlstep.replicated_config.messages import DocumentChunk, FetchChunk
from marlstep.units import MILLISECOND, ZERO

FETCH_RETRY_INTERVAL = 300 * MILLISECOND
PROPOSE_RETRY_INTERVAL = 3_000 * MILLISECOND


class FollowerState(enum.Enum):
    UNKNOWN = "has not heard of a version yet"
    ACTING = "acts on it"
    SUSPENDED = "has stopped for the next version"
    CUT_OFF = "its lease has run out"
    BEHIND = "fetches the version that is in force"
    HELD_OUT = "can't take it"
    FIXED = "an operator's fixed version is in force"


@dataclass(slots=True, frozen=True)
class CheckVersion:
    """Can this node act on that content? `Follower.checked` is to be told."""

    name: str
    version: int
    content: str


@dataclass(slots=True, frozen=True)
class AcknowledgeVersion:
    """To be asked for in the log."""

    name: str
    version: int
    digest: str
    rejection: str  # empty: it can be taken


@dataclass(slots=True, frozen=True)
class ActivateVersion:
    """From now on, between two turns."""

    name: str
    version: int
    content: str


@dataclass(slots=True, frozen=True)
class LoseDocument:
    """No new work under the document from now on, by its cut-off rule; `why` is for the log."""

    name: str
    policy: DisconnectPolicy
    reason: str


@dataclass(slots=True, frozen=True)
class ProposeFirstVersion:
    """The group has no such document: the local file's content is to be proposed as its first version."""

    name: str


FollowerAction = (
    CheckVersion | AcknowledgeVersion | ActivateVersion | LoseDocument | ProposeFirstVersion | FetchChunk
)


@dataclass(slots=True)
class FollowedDocument:
    """One document, here."""

    definition: DocumentDefinition
    state: FollowerState = FollowerState.UNKNOWN
    version: int = 0  # that it acts on, or acted on last
    content: str = ""
    since: datetime | None = None
    target: DocumentStatus | None = None
    fetching: int = 0  # version
    chunks: str = ""
    asked: datetime | None = None
    prepared_contents: dict[int, str] | None = None  # contents that came whole, by version
    checks: dict[int, str] = field(
        default_factory=dict
    )  # by version: why it can't be taken, empty where it can
    acked: int = 0
    found: datetime | None = None  # missing in the group, and its first version proposed


class ConfigFollower:
    def __init__(self, named: tuple[DocumentDefinition, ...], node: str = "") -> None:
        """`node` is this one's name: of a staged change it may have to be among the first."""
        self.node = node
        self.documents = {one.name: FollowedDocument(one) for one in named}

    # What comes.

    def handle_statuses(
        self, now: datetime, news: tuple[DocumentStatus, ...], left: timedelta
    ) -> list[FollowerAction]:
        """News came with a renewal; `left` is of the lease on the rules."""
        by_name = {one.name: one for one in news}
        done: list[FollowerAction] = []
        for name, one in self.documents.items():
            one.target = by_name.get(name)
            if one.target is None:
                if one.state is FollowerState.FIXED:
                    continue
                if left > ZERO and (one.found is None or now >= one.found + PROPOSE_RETRY_INTERVAL):
                    one.found = now
                    done.append(ProposeFirstVersion(name))
            elif left > ZERO:
                done += self._follow(now, one)
        return done

    def _follow(self, now: datetime, one: FollowedDocument) -> list[FollowerAction]:
        target = one.target
        assert target is not None
        done: list[FollowerAction] = []
        if one.state is FollowerState.FIXED:  # only to show how the two differ
            known = (
                not target.version or self._content_or_fetch(one, target.version, target.digest) is not None
            )
            return [] if known else self._fetch(now, one, target.version)
        number, digest, then = target.version, target.digest, target.prepared_version
        if (
            target.prepared_version and self.node in target.rollout_nodes
        ):  # a stage, and this node is among the first
            number, digest, then = target.prepared_version, target.prepared_digest, 0
        if number:
            done += self._reach_version(now, one, number, digest, then)
        # One content at a time: what is acted on comes first, and what is prepared when that is here.
        waits = 0 < one.fetching == number or any(isinstance(do, FetchChunk | CheckVersion) for do in done)
        if target.prepared_version and not waits:
            done += self._prepare(now, one, target)
        return done

    def _reach_version(
        self, now: datetime, one: FollowedDocument, version: int, digest: str, pending: int
    ) -> list[FollowerAction]:
        """That version is in force."""
        if one.definition.strict and pending and one.acked == pending:
            if one.state is not FollowerState.HELD_OUT:
                one.state = (
                    FollowerState.SUSPENDED
                )  # it has said that it stopped: until it hears how that change ended
            return []
        if one.state is FollowerState.ACTING and one.version == version:
            return []
        content = self._content_or_fetch(one, version, digest)
        if content is None:
            done = self._fetch(now, one, version)
            if one.state is not FollowerState.ACTING:
                return done
            # Its lease was over for a while, and the change went through without it: with a lease again it must not
            # go on with what it has, however long the new one takes to come.
            one.state = FollowerState.BEHIND
            why = f"version {version} is in force, and not here yet"
            return [LoseDocument(one.definition.name, one.definition.disconnect_policy, why), *done]
        if version not in one.checks:
            return [CheckVersion(one.definition.name, version, content)]
        if why := one.checks[version]:
            if one.state is FollowerState.HELD_OUT:
                return []
            one.state = FollowerState.HELD_OUT
            return [
                LoseDocument(
                    one.definition.name, DisconnectPolicy.STOP, f"version {version} can't be taken: {why}"
                )
            ]
        one.version, one.content, one.since, one.state = version, content, now, FollowerState.ACTING
        least = min(version, one.target.version if one.target is not None else version)
        one.prepared_contents = {
            number: text for number, text in (one.prepared_contents or {}).items() if number >= least
        }
        one.checks = {number: why for number, why in one.checks.items() if number >= least}
        return [ActivateVersion(one.definition.name, version, content)]

    def _prepare(self, now: datetime, one: FollowedDocument, target: DocumentStatus) -> list[FollowerAction]:
        """A change is being prepared: say whether it can be taken, and for a strict document stop before that."""
        if one.acked == target.prepared_version:
            return []
        content = self._content_or_fetch(one, target.prepared_version, target.prepared_digest)
        if content is None:
            return self._fetch(now, one, target.prepared_version)
        if target.prepared_version not in one.checks:
            return [CheckVersion(one.definition.name, target.prepared_version, content)]
        one.acked = target.prepared_version
        done: list[FollowerAction] = []
        if one.definition.strict and one.state is FollowerState.ACTING:
            one.state = FollowerState.SUSPENDED
            done.append(
                LoseDocument(
                    one.definition.name,
                    DisconnectPolicy.STOP,
                    f"until version {target.prepared_version} is in force",
                )
            )
        return [
            *done,
            AcknowledgeVersion(
                one.definition.name,
                target.prepared_version,
                target.prepared_digest,
                one.checks[target.prepared_version],
            ),
        ]

    @staticmethod
    def _content_or_fetch(one: FollowedDocument, version: int, digest: str) -> str | None:
        content = (one.prepared_contents or {}).get(version)
        return content if content is not None and content_digest(content) == digest else None

    def _fetch(self, now: datetime, one: FollowedDocument, version: int) -> list[FollowerAction]:
        if one.fetching != version:
            one.fetching, one.chunks, one.asked = version, "", None
        if one.asked is not None and now < one.asked + FETCH_RETRY_INTERVAL:
            return []
        one.asked = now
        return [FetchChunk(one.definition.name, version, len(one.chunks))]

    def handle_chunk(self, now: datetime, piece: DocumentChunk, left: timedelta) -> list[FollowerAction]:
        one = self.documents.get(piece.name)
        if one is None or one.fetching != piece.version or piece.offset != len(one.chunks) or piece.size < 0:
            return []
        one.chunks += piece.data
        one.asked = None
        if len(one.chunks) < piece.size:
            return self._fetch(now, one, piece.version)
        one.prepared_contents = {**(one.prepared_contents or {}), piece.version: one.chunks}
        one.fetching, one.chunks = 0, ""
        return self._follow(now, one) if one.target is not None and left > ZERO else []

    def handle_check_result(
        self, now: datetime, check: CheckVersion, why: str, left: timedelta
    ) -> list[FollowerAction]:
        """What the check of a content came to; empty: this node can act on it."""
        one = self.documents[check.name]
        one.checks[check.version] = why
        return self._follow(now, one) if one.target is not None and left > ZERO else []

    def acknowledgement_lost(self, name: str, version: int) -> None:
        """The log did not take it: it is said again."""
        one = self.documents[name]
        if one.acked == version:
            one.acked = 0

    # Time.

    def tick(self, now: datetime, left: timedelta) -> list[FollowerAction]:
        """Whenever time has passed: without a lease nothing is acted on any more, by each document's rule."""
        done: list[FollowerAction] = []
        for one in self.documents.values():
            if left > ZERO:
                if one.target is not None:
                    done += self._follow(now, one)
            elif one.state in (FollowerState.ACTING, FollowerState.SUSPENDED, FollowerState.BEHIND):
                one.state = FollowerState.CUT_OFF
                done.append(
                    LoseDocument(
                        one.definition.name,
                        one.definition.disconnect_policy,
                        "the lease on the rules has run out",
                    )
                )
        return done

    def accepts_work(self, left: timedelta) -> bool:
        """Whether new work may be taken now, with so much left of the lease; work in hand goes on in any case."""
        return all(self._document_accepts_work(one, left) for one in self.documents.values())

    @staticmethod
    def _document_accepts_work(one: FollowedDocument, left: timedelta) -> bool:
        match one.state:
            case FollowerState.FIXED:
                return True
            case FollowerState.SUSPENDED | FollowerState.HELD_OUT:
                return False
            case FollowerState.ACTING if left > ZERO:
                return True
            case FollowerState.BEHIND if one.definition.strict:
                return False
        return one.definition.disconnect_policy is not DisconnectPolicy.STOP

    def document_states(self, now: datetime) -> tuple[DocumentState, ...]:
        """For the group and for operators: what is acted on here, for how long, and why nothing newer."""
        return tuple(
            DocumentState(
                name,
                one.version,
                one.state.name.lower(),
                0 if one.since is None else max(0, (now - one.since) // MILLISECOND),
                self._reason(one),
            )
            for name, one in self.documents.items()
        )

    @staticmethod
    def _reason(one: FollowedDocument) -> str:
        if one.state is FollowerState.ACTING and one.target is not None and one.version == one.target.version:
            return ""
        if one.fetching:
            return f"fetches version {one.fetching}, has {len(one.chunks)} characters of it"
        if one.state is FollowerState.HELD_OUT:
            return max(one.checks.items(), default=(0, ""))[1][:128]
        if (
            one.state is FollowerState.ACTING
            and one.target is not None
            and one.version == one.target.prepared_version
        ):
            return "a stage: it is among the first"
        return str(one.state.value)

    def group_content(self, name: str) -> str | None:
        """The content that is in force in the group, beside a fixed one; None where it is not known here."""
        one = self.documents[name]
        if one.target is None:
            return None
        return self._content_or_fetch(one, one.target.version, one.target.digest)

    def start(self) -> list[FollowerAction]:
        """At a start nothing is acted on before the group has said which version is in force."""
        return [
            LoseDocument(one.definition.name, one.definition.disconnect_policy, "not heard of yet")
            for one in self.documents.values()
        ]

    # Operators.

    def pin(self, now: datetime, name: str, content: str) -> list[FollowerAction]:
        """A fixed version by an operator's word, until `unfix`: for a group that is lost."""
        one = self.documents[name]
        one.state, one.content, one.version, one.since = FollowerState.FIXED, content, -1, now
        return [ActivateVersion(name, -1, content)]

    def unpin(self, name: str) -> list[FollowerAction]:
        one = self.documents[name]
        if one.state is not FollowerState.FIXED:
            return []
        one.state, one.version = FollowerState.UNKNOWN, 0
        return [LoseDocument(name, one.definition.disconnect_policy, "the fixed version was taken back")]
