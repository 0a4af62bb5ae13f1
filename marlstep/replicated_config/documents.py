"""The data types of versioned documents, and the form in which snapshots store them."""

from __future__ import annotations

import enum
import hashlib
from dataclasses import dataclass, field
from typing import Any

import orjson

from marlstep.net.codec import (
    BOOLEAN,
    INTEGER,
    NUMBER,
    OBJECT,
    TEXT,
    list_of,
    member_of,
    nested,
    optional,
    wire,
)

MAX_DOCUMENT_BYTES = 1 << 20  # of one document
MAX_VERSIONS_KEPT = 50  # per document, including the active one; fewer if they exceed MAX_BYTES_KEPT
MAX_BYTES_KEPT = 4 << 20  # total content of the versions of a document before the active one
MAX_REJECTED_KEPT = 10  # withdrawn versions per document whose reasons are kept
CHUNK_CHARACTERS = 6 * 1024  # of a document's content per command or message


class Kind(enum.StrEnum):
    """What a document configures. The name of this class is part of replicated error texts."""

    SETTINGS = "settings"  # the platform's `settings`
    TENANTS = "tenants"  # the operator's tenants and their priority weights
    SERVERS = "servers"  # the servers of each pool


class DisconnectPolicy(enum.StrEnum):
    """What a node does with a document once its configuration lease has expired."""

    STOP = "stop"  # report unhealthy, and reject new work with a Retry-After
    NARROW = "narrow"  # tenants only: apply the smallest of the known allowances
    KEEP = "keep"  # continue, and report that this may contradict other nodes


@dataclass(slots=True, frozen=True)
class DocumentDefinition:
    """The declaration of a document in the node's configuration file; it has to be the same on all nodes."""

    name: str
    kind: Kind
    strict: bool  # every node stops using the old version before any node activates the new one
    disconnect_policy: DisconnectPolicy


def content_digest(content: str) -> str:
    """Return the digest by which nodes compare contents, as hexadecimal text."""
    return hashlib.blake2b(content.encode(), digest_size=16).hexdigest()


def canonical_json(value: object) -> str:
    """Return a content as JSON text with sorted keys, so that equal contents have equal digests."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS).decode()


@dataclass(slots=True, frozen=True)
class DocumentVersion:
    """One immutable version of a document."""

    number: int = field(metadata=wire("version", INTEGER))
    content: str = field(metadata=wire("content", TEXT))  # canonical JSON
    author: str = field(metadata=wire("author", TEXT))
    note: str = field(metadata=wire("note", TEXT))
    at: str = field(metadata=wire("at", TEXT))  # the proposer's wall clock, for display only

    @property
    def digest(self) -> str:
        """The digest of the content."""
        return content_digest(self.content)


@dataclass(slots=True)
class Rollout:
    """A canary rollout: the nodes that activate a prepared version first, and the criteria for promoting it."""

    nodes: list[str] = field(metadata=wire("nodes", list_of(TEXT)))
    duration_ms: int = field(metadata=wire("for_ms", INTEGER))
    # How much higher the share of failed requests may be on these nodes than on the others (0.02: two percentage
    # points).
    max_degradation: float = field(metadata=wire("worse", NUMBER))
    min_requests: int = field(metadata=wire("least", INTEGER))  # to observe on these nodes before a promotion
    started: bool = field(metadata=wire("begun", BOOLEAN), default=False)


@dataclass(slots=True)
class PreparedVersion:
    """A version in the first phase of activation: every process acknowledges or rejects it before the commit."""

    version: DocumentVersion = field(metadata=wire("version", nested(DocumentVersion)))
    # Whether a rejection excludes the process that sent it, instead of withdrawing the version.
    may_exclude: bool = field(metadata=wire("hold_out", BOOLEAN))
    rollout: Rollout | None = field(metadata=wire("stage", optional(nested(Rollout))), default=None)
    # The processes that can activate it, as `node/process`.
    acknowledgements: list[str] = field(metadata=wire("acked", list_of(TEXT)), default_factory=list)
    # The reason for the rejection, by process.
    rejections: dict[str, str] = field(metadata=wire("refused", OBJECT), default_factory=dict)

    @property
    def rollout_started(self) -> bool:
        """Whether its canary rollout has started, so that the nodes of the rollout activate it."""
        return self.rollout is not None and self.rollout.started


@dataclass(slots=True)
class Document:
    """A document's committed versions and its prepared version."""

    kind: Kind = field(metadata=wire("kind", member_of(Kind)))
    strict: bool = field(metadata=wire("strict", BOOLEAN))
    # The committed versions that are kept, oldest first; the last one is active.
    versions: list[DocumentVersion] = field(
        metadata=wire("versions", list_of(nested(DocumentVersion))), default_factory=list
    )
    # The highest version number assigned so far. Numbers are never reused, not even those of withdrawn versions.
    version_count: int = field(metadata=wire("count", INTEGER), default=0)
    prepared: PreparedVersion | None = field(
        metadata=wire("pending", optional(nested(PreparedVersion))), default=None
    )
    # The processes that rejected the active version: reason by process.
    excluded: dict[str, str] = field(metadata=wire("held_out", OBJECT), default_factory=dict)
    # The versions withdrawn last, oldest first, with author and reason.
    rejected_versions: list[dict[str, Any]] = field(
        metadata=wire("turned_down", list_of(OBJECT)), default_factory=list
    )

    @property
    def active(self) -> DocumentVersion | None:
        """The version that was committed last; None before the first commit."""
        return self.versions[-1] if self.versions else None

    @property
    def active_number(self) -> int:
        """The number of the active version; 0 before the first commit."""
        return self.versions[-1].number if self.versions else 0

    def commit_prepared(self) -> None:
        """Make the prepared version the active one, and exclude the processes that rejected it."""
        assert self.prepared is not None
        self.versions.append(self.prepared.version)
        self.excluded, self.prepared = dict(self.prepared.rejections), None
        self._discard_old_versions()

    def withdraw_prepared(self, reason: str) -> None:
        """Discard the prepared version, and record the reason for operators."""
        assert self.prepared is not None
        version = self.prepared.version
        self.rejected_versions.append({"version": version.number, "author": version.author, "why": reason})
        del self.rejected_versions[:-MAX_REJECTED_KEPT]
        self.prepared = None

    def _discard_old_versions(self) -> None:
        """Discard the oldest versions until neither their number nor their total size exceeds its limit."""
        size = sum(len(kept.content) for kept in self.versions[:-1])
        while len(self.versions) > 1 and (len(self.versions) > MAX_VERSIONS_KEPT or size > MAX_BYTES_KEPT):
            size -= len(self.versions.pop(0).content)
