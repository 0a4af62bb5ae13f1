"""All documents, as the log has them: a machine. A change is prepared before it counts.

    put (compare-and-set) ──▶ prepared ──every node with a live lease has said that it can take it──▶ in force
                                 └────────one that must act on it can't, or it is withdrawn────▶ turned down

A staged change stands between: once all have said so, the named nodes act on it alone, until it goes on or back.

Who has to say so is read from the table of leases, which is on the same log: a node that comes while a change is being
prepared has to say so as well, and one whose lease was ended does not act on anything any more.
"""

from __future__ import annotations

import hashlib
import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

import orjson

from marlstep.consensus.state_machine import CommandJson, ResultJson
from marlstep.leases.messages import DocumentStatus
from marlstep.leases.settings import CONFIG_LEASE_PREFIX
from marlstep.leases.table import LeaseTable
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
    read_fields,
    wire,
    write_fields,
)
from marlstep.replicated_config.documents import (
    MAX_DOCUMENT_BYTES,
    DocumentVersion,
    Kind,
    content_digest,
    shrinks_too_much,
)

MAX_DOCUMENTS = 32
MAX_VERSIONS_KEPT = 50  # of a document, with their content, as long as that fits
MAX_BYTES_KEPT = 4 << 20  # of the content of a document's older versions
MAX_UPLOADS = 8
MAX_REJECTED_KEPT = 10
MAX_ROLLOUT_MS = 7 * 24 * 3_600_000


@dataclass(slots=True)
class Rollout:
    """Of a change that some nodes act on first."""

    nodes: list[str] = field(metadata=wire("nodes", list_of(TEXT)))
    duration_ms: int = field(metadata=wire("for_ms", INTEGER))
    max_degradation: float = field(
        metadata=wire("worse", NUMBER)
    )  # share of requests by which these nodes may do worse
    min_requests: int = field(metadata=wire("least", INTEGER))  # requests that have to be seen on them
    started: bool = field(metadata=wire("begun", BOOLEAN), default=False)


@dataclass(slots=True)
class PreparedVersion:
    version: DocumentVersion = field(metadata=wire("version", nested(DocumentVersion)))
    # It goes through without the nodes that can't take it.
    may_exclude: bool = field(metadata=wire("hold_out", BOOLEAN))
    rollout: Rollout | None = field(metadata=wire("stage", optional(nested(Rollout))), default=None)
    # Processes, as node/boot.
    acknowledgements: list[str] = field(metadata=wire("acked", list_of(TEXT)), default_factory=list)
    # And why.
    rejections: dict[str, str] = field(metadata=wire("refused", OBJECT), default_factory=dict)


@dataclass(slots=True)
class Document:
    kind: Kind = field(metadata=wire("kind", member_of(Kind)))
    strict: bool = field(metadata=wire("strict", BOOLEAN))
    # The last is in force.
    versions: list[DocumentVersion] = field(
        metadata=wire("versions", list_of(nested(DocumentVersion))), default_factory=list
    )
    version_count: int = field(metadata=wire("count", INTEGER), default=0)
    prepared: PreparedVersion | None = field(
        metadata=wire("pending", optional(nested(PreparedVersion))), default=None
    )
    # From the version in force, and why.
    excluded: dict[str, str] = field(metadata=wire("held_out", OBJECT), default_factory=dict)
    rejected_versions: list[dict[str, Any]] = field(
        metadata=wire("turned_down", list_of(OBJECT)), default_factory=list
    )

    @property
    def active(self) -> DocumentVersion | None:
        return self.versions[-1] if self.versions else None

    @property
    def active_number(self) -> int:
        """Of the version in force; 0 where there is none yet."""
        return self.versions[-1].number if self.versions else 0


class ConfigStore:
    def __init__(self, table: LeaseTable) -> None:
        self._table = table
        self.documents: dict[str, Document] = {}
        self._uploads: OrderedDict[str, str] = OrderedDict()
        self._statuses: tuple[DocumentStatus, ...] | None = None  # until something changes
        self._allowances: dict[str, float] | None = None  # likewise

    # What others read.

    def live_processes(self) -> list[str]:
        """The processes that act on documents now."""
        return [
            one.holder
            for name, one in self._table.leases.items()
            if name.startswith(CONFIG_LEASE_PREFIX) and one.holder
        ]

    def missing_acknowledgements(self, document: Document) -> list[str]:
        """Whose word a change still lacks."""
        pending = document.prepared
        if pending is None:
            return []
        return [
            one
            for one in self.live_processes()
            if one not in pending.acknowledgements and one not in pending.rejections
        ]

    def ready_to_commit(self) -> list[tuple[str, int]]:
        """The changes that can come into force now."""
        found = []
        for name, one in self.documents.items():
            pending = one.prepared
            begun = pending is not None and pending.rollout is not None and pending.rollout.started
            if pending is not None and not begun and not self.missing_acknowledgements(one):
                found.append((name, pending.version.number))
        return found

    def active_rollouts(self) -> list[tuple[str, PreparedVersion]]:
        """The changes that some nodes act on already."""
        return [
            (name, one.prepared)
            for name, one in self.documents.items()
            if one.prepared is not None and one.prepared.rollout is not None and one.prepared.rollout.started
        ]

    def statuses(self) -> tuple[DocumentStatus, ...]:
        if self._statuses is None:
            self._statuses = tuple(self._status_of(name, one) for name, one in self.documents.items())
        return self._statuses

    @staticmethod
    def _status_of(name: str, one: Document) -> DocumentStatus:
        digest = one.active.digest if one.active else ""
        pending = one.prepared
        if pending is None:
            return DocumentStatus(name, one.active_number, digest, strict=one.strict)
        stage = pending.rollout
        on = tuple(stage.nodes) if stage is not None and stage.started else ()
        told = pending.version
        return DocumentStatus(name, one.active_number, digest, told.number, told.digest, one.strict, on)

    def allowances(self) -> dict[str, float]:
        """Of each tenant, requests a second, by the version in force; those without one are not limited."""
        if self._allowances is None:
            self._allowances = {}
            for one in self.documents.values():
                if one.kind is Kind.TENANTS and one.active is not None:
                    rows = orjson.loads(one.active.content).get("tenants", {})
                    told = {name: row.get("allowance_per_s") for name, row in rows.items()}
                    self._allowances |= {name: float(per_s) for name, per_s in told.items() if per_s}
        return self._allowances

    def content(self, name: str, version: int) -> str | None:
        """None where that version is not kept."""
        one = self.documents.get(name)
        if one is None:
            return None
        if one.prepared is not None and one.prepared.version.number == version:
            return one.prepared.version.content
        return next((kept.content for kept in one.versions if kept.number == version), None)

    # Commands.

    def apply(self, command: CommandJson) -> ResultJson:
        self._statuses = self._allowances = None
        match command["do"]:
            case "part":
                return self._apply_chunk(str(command["upload"]), int(command["offset"]), command["data"])
            case "put":
                return self._apply_put(command)
        one = self.documents.get(command["doc"])
        if one is None:
            return {"refused": "no such document"}
        match command["do"]:
            case "ack":
                return self._apply_ack(one, command)
            case "commit":
                return self._apply_commit(one, int(command["version"]), bool(command.get("whole")))
            case "get":
                return self._apply_get(one)
            case "withdraw":
                return self._apply_withdraw(one, int(command["version"]), str(command["why"]))
        raise ValueError(f"nothing that is done to a document: {command['do']!r}")

    def _apply_chunk(self, upload: str, offset: int, data: Any) -> ResultJson:
        """A document comes in pieces, as an entry of the log is small."""
        if not isinstance(data, str) or not 0 < len(upload) <= 64:
            raise ValueError("a piece of a document")
        so_far = self._uploads.pop(upload, "") if offset else ""
        if offset != len(so_far):
            return {"refused": f"the next piece begins at {len(so_far)}"}
        if len(so_far) + len(data) > MAX_DOCUMENT_BYTES:
            return {"refused": f"a document has {MAX_DOCUMENT_BYTES} bytes at the most"}
        self._uploads[upload] = so_far + data
        while len(self._uploads) > MAX_UPLOADS:
            self._uploads.popitem(last=False)
        return {"taken": offset + len(data)}

    def _apply_put(self, command: CommandJson) -> ResultJson:
        name, kind = command["doc"], Kind(command["kind"])
        if not isinstance(name, str) or not 0 < len(name) <= 64:
            raise ValueError("a document's name")
        content = self._uploads.get(str(command["upload"]))
        if content is None or content_digest(content) != str(command["digest"]):
            return {"refused": "its content did not come whole"}
        one = self.documents.get(name)
        number = one.active_number if one is not None else 0
        if number != int(command["expect"]):
            return {
                "refused": f"version {number} is in force, and {command['expect']} was expected",
                "version": number,
            }
        if one is not None and one.prepared is not None:
            waits = self.missing_acknowledgements(one)
            return {"refused": "a change is on its way", "version": number, "waits_for": waits}
        if one is not None and one.kind is not kind:
            return {"refused": f"it is of kind {one.kind.value}"}
        if one is None and len(self.documents) >= MAX_DOCUMENTS:
            return {"refused": f"a fleet has {MAX_DOCUMENTS} documents at the most"}
        if one is not None and one.active is not None and kind is Kind.SERVERS and not command.get("force"):
            why = shrinks_too_much(one.active.content, content)
            if why:
                return {"refused": f"{why}: say so with force"}
        stage = None
        if command.get("stage") is not None:
            asked = self._plan_rollout(command["doc"], number, bool(command["strict"]), command["stage"])
            if isinstance(asked, str):
                return {"refused": asked}
            stage = asked
        del self._uploads[str(command["upload"])]
        if one is None:
            one = self.documents[name] = Document(kind, bool(command["strict"]))
        one.version_count = max(one.version_count, number) + 1
        made = DocumentVersion(
            one.version_count,
            content,
            str(command["author"])[:64],
            str(command["note"])[:256],
            str(command["at"])[:40],
        )
        one.prepared = PreparedVersion(made, bool(command.get("hold_out")), stage)
        told: ResultJson = {
            "prepares": made.number,
            "digest": made.digest,
            "waits_for": self.missing_acknowledgements(one),
        }
        return told if stage is None else {**told, "first_on": stage.nodes}

    def _plan_rollout(self, name: str, number: int, strict: bool, told: Any) -> Rollout | str:
        """Or why there can't be one. Raises ValueError, KeyError, TypeError."""
        if strict:
            return "a strict document can't be staged: two versions of it never stand side by side"
        if not number:
            return "the first version can't be staged: there is nothing to compare it with"
        live = sorted({one.partition("/")[0] for one in self.live_processes()})
        nodes = sorted({str(one) for one in told.get("nodes", ())})
        if not nodes:
            # Others each time: by the name and the number of the version that it follows.
            share = float(told["share"])
            if not 0 < share < 1:
                raise ValueError("a share is between 0 and 1")
            drawn = sorted(live, key=lambda one: hashlib.blake2b(f"{one} {name} {number}".encode()).digest())
            nodes = sorted(drawn[: max(1, math.ceil(share * len(live)))])
        if missing := [one for one in nodes if one not in live]:
            return f"{', '.join(missing)} does not act on documents now"
        if len(nodes) >= len(live):
            return "a stage on all nodes is none: at least one has to stay as it is"
        for_ms, least, worse = int(told["for_ms"]), int(told["least"]), float(told["worse"])
        if not 0 < for_ms <= MAX_ROLLOUT_MS or least < 0 or not 0 <= worse <= 1:
            raise ValueError("a stage's time, least or worse")
        return Rollout(nodes, for_ms, worse, least)

    @staticmethod
    def _apply_get(one: Document) -> ResultJson:
        """What all have agreed on at this place of the log."""
        pending = one.prepared
        return {
            "version": one.active_number,
            "digest": one.active.digest if one.active else "",
            "pending": pending.version.number if pending is not None else 0,
            "staged": bool(pending is not None and pending.rollout is not None and pending.rollout.started),
            "turned_down": [dict(row) for row in one.rejected_versions],
        }

    def _apply_ack(self, one: Document, command: CommandJson) -> ResultJson:
        pending, by = one.prepared, str(command["holder"])
        if pending is None or pending.version.number != int(command["version"]):
            return {"refused": "that change is not being prepared"}
        if pending.version.digest != command["digest"]:
            return {"refused": "the content is another"}
        if by not in self.live_processes():
            return {"refused": "that process has no lease on the rules"}
        why = str(command.get("why", ""))[:256]
        if not why:
            if by not in pending.acknowledgements:
                pending.acknowledgements.append(by)
            return {"acked": by}
        pending.rejections[by] = why
        if not pending.may_exclude:
            self._reject_prepared(one, f"{by} can't take it: {why}")
        return {"noted": by}

    def _apply_commit(self, one: Document, version: int, whole: bool) -> ResultJson:
        pending = one.prepared
        if pending is None or pending.version.number != version:
            return {"refused": "that change is not being prepared"}
        if waits := self.missing_acknowledgements(one):
            return {"waits_for": waits}  # somebody came meanwhile
        stage = pending.rollout
        if stage is not None and not stage.started:
            stage.started = True
            return {"staged": version, "first_on": stage.nodes}
        if stage is not None and not whole:
            return {"refused": "it is staged: it goes on once its time is over"}
        one.versions.append(pending.version)
        one.excluded, one.prepared = dict(pending.rejections), None
        self._discard_old_versions(one)
        return {"in_force": version}

    @staticmethod
    def _discard_old_versions(one: Document) -> None:
        """The oldest versions go, where there are too many or they take too much."""
        sizes = sum(len(kept.content) for kept in one.versions[:-1])
        while len(one.versions) > 1 and (len(one.versions) > MAX_VERSIONS_KEPT or sizes > MAX_BYTES_KEPT):
            sizes -= len(one.versions.pop(0).content)

    def _apply_withdraw(self, one: Document, version: int, why: str) -> ResultJson:
        if one.prepared is None or one.prepared.version.number != version:
            return {"refused": "that change is not being prepared"}
        self._reject_prepared(one, why[:256])
        return {"withdrawn": version}

    @staticmethod
    def _reject_prepared(one: Document, why: str) -> None:
        assert one.prepared is not None
        told = one.prepared.version
        one.rejected_versions.append({"version": told.number, "author": told.author, "why": why})
        del one.rejected_versions[:-MAX_REJECTED_KEPT]
        one.prepared = None

    # Snapshots.

    def snapshot(self) -> object:
        return {
            "documents": [[name, write_fields(one)] for name, one in self.documents.items()],
            "uploads": list(self._uploads.items()),
        }

    def restore(self, told: Any) -> None:
        self._statuses = self._allowances = None
        self._uploads = OrderedDict((key, data) for key, data in told["uploads"])
        self.documents = {name: read_fields(Document, row) for name, row in told["documents"]}
