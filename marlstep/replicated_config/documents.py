"""The data types of versioned documents, with the form in which snapshots store them."""

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
MAX_VERSIONS_KEPT = 50  # of a document, with their content, as long as that fits
MAX_BYTES_KEPT = 4 << 20  # of the content of a document's older versions
MAX_REJECTED_KEPT = 10
CHUNK_CHARACTERS = 6 * 1024  # characters of a document in one command or message


class Kind(enum.StrEnum):
    """What a document configures. The class's name is part of replicated error texts."""

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
    """A document as the operator's file declares it; the same on all nodes."""

    name: str
    kind: Kind
    strict: bool  # the old version stops on every node before the new one starts on any
    disconnect_policy: DisconnectPolicy


def content_digest(content: str) -> str:
    """Return the digest by which nodes compare contents, in hexadecimal."""
    return hashlib.blake2b(content.encode(), digest_size=16).hexdigest()


def canonical_json(value: object) -> str:
    """Return the JSON text of a content with sorted keys, so that equal contents have equal digests."""
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
    # By how much the share of failing requests may be higher on these nodes than on the others.
    max_degradation: float = field(metadata=wire("worse", NUMBER))
    min_requests: int = field(metadata=wire("least", INTEGER))  # to be observed on these nodes
    started: bool = field(metadata=wire("begun", BOOLEAN), default=False)


@dataclass(slots=True)
class PreparedVersion:
    """A version in the first phase: nodes acknowledge or reject it before it may be committed."""

    version: DocumentVersion = field(metadata=wire("version", nested(DocumentVersion)))
    # Commit without the nodes that reject it, instead of withdrawing it.
    may_exclude: bool = field(metadata=wire("hold_out", BOOLEAN))
    rollout: Rollout | None = field(metadata=wire("stage", optional(nested(Rollout))), default=None)
    # Processes, as `node/process generation`.
    acknowledgements: list[str] = field(metadata=wire("acked", list_of(TEXT)), default_factory=list)
    # Reasons by process.
    rejections: dict[str, str] = field(metadata=wire("refused", OBJECT), default_factory=dict)

    @property
    def rollout_started(self) -> bool:
        """Whether the nodes of its canary rollout activate it already."""
        return self.rollout is not None and self.rollout.started


@dataclass(slots=True)
class Document:
    """A document's committed versions, and the one that is being prepared."""

    kind: Kind = field(metadata=wire("kind", member_of(Kind)))
    strict: bool = field(metadata=wire("strict", BOOLEAN))
    # The last one is active.
    versions: list[DocumentVersion] = field(
        metadata=wire("versions", list_of(nested(DocumentVersion))), default_factory=list
    )
    # The highest number given so far: a number is never given twice.
    version_count: int = field(metadata=wire("count", INTEGER), default=0)
    prepared: PreparedVersion | None = field(
        metadata=wire("pending", optional(nested(PreparedVersion))), default=None
    )
    # Processes that rejected the active version, with their reasons.
    excluded: dict[str, str] = field(metadata=wire("held_out", OBJECT), default_factory=dict)
    rejected_versions: list[dict[str, Any]] = field(
        metadata=wire("turned_down", list_of(OBJECT)), default_factory=list
    )

    @property
    def active(self) -> DocumentVersion | None:
        """The version that was committed last; None before the first."""
        return self.versions[-1] if self.versions else None

    @property
    def active_number(self) -> int:
        """The number of the active version; 0 before the first."""
        return self.versions[-1].number if self.versions else 0

    def commit_prepared(self) -> None:
        """Make the prepared version the active one, without the processes that rejected it."""
        assert self.prepared is not None
        self.versions.append(self.prepared.version)
        self.excluded, self.prepared = dict(self.prepared.rejections), None
        self._discard_old_versions()

    def withdraw_prepared(self, reason: str) -> None:
        """Drop the prepared version, and keep the reason for operators."""
        assert self.prepared is not None
        version = self.prepared.version
        self.rejected_versions.append({"version": version.number, "author": version.author, "why": reason})
        del self.rejected_versions[:-MAX_REJECTED_KEPT]
        self.prepared = None

    def _discard_old_versions(self) -> None:
        """Discard the oldest versions while there are too many, or while they are too large together."""
        size = sum(len(kept.content) for kept in self.versions[:-1])
        while len(self.versions) > 1 and (len(self.versions) > MAX_VERSIONS_KEPT or size > MAX_BYTES_KEPT):
            size -= len(self.versions.pop(0).content)
