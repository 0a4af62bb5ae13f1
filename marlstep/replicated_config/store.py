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

from marlstep.consensus.state_machine import Command, Result
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
from marlstep.replicated_config.documents import MOST_BYTES, Kind, Version, digest_of, shrinks

MOST_DOCUMENTS = 32
KEPT_VERSIONS = 50  # of a document, with their content, as long as that fits
KEPT_BYTES = 4 << 20  # of the content of a document's older versions
MOST_UPLOADS = 8
KEPT_TURNED_DOWN = 10
LONGEST_STAGE_MS = 7 * 24 * 3_600_000


@dataclass(slots=True)
class Stage:
    """Of a change that some nodes act on first."""

    nodes: list[str] = field(metadata=wire("nodes", list_of(TEXT)))
    for_ms: int = field(metadata=wire("for_ms", INTEGER))
    worse: float = field(
        metadata=wire("worse", NUMBER)
    )  # share of requests by which these nodes may do worse
    least: int = field(metadata=wire("least", INTEGER))  # requests that have to be seen on them
    begun: bool = field(metadata=wire("begun", BOOLEAN), default=False)


@dataclass(slots=True)
class Pending:
    version: Version = field(metadata=wire("version", nested(Version)))
    # It goes through without the nodes that can't take it.
    hold_out: bool = field(metadata=wire("hold_out", BOOLEAN))
    stage: Stage | None = field(metadata=wire("stage", optional(nested(Stage))), default=None)
    # Processes, as node/boot.
    acked: list[str] = field(metadata=wire("acked", list_of(TEXT)), default_factory=list)
    # And why.
    refused: dict[str, str] = field(metadata=wire("refused", OBJECT), default_factory=dict)


@dataclass(slots=True)
class Document:
    kind: Kind = field(metadata=wire("kind", member_of(Kind)))
    strict: bool = field(metadata=wire("strict", BOOLEAN))
    # The last is in force.
    versions: list[Version] = field(metadata=wire("versions", list_of(nested(Version))), default_factory=list)
    count: int = field(metadata=wire("count", INTEGER), default=0)
    pending: Pending | None = field(metadata=wire("pending", optional(nested(Pending))), default=None)
    # From the version in force, and why.
    held_out: dict[str, str] = field(metadata=wire("held_out", OBJECT), default_factory=dict)
    turned_down: list[dict[str, Any]] = field(
        metadata=wire("turned_down", list_of(OBJECT)), default_factory=list
    )

    @property
    def current(self) -> Version | None:
        return self.versions[-1] if self.versions else None

    @property
    def number(self) -> int:
        """Of the version in force; 0 where there is none yet."""
        return self.versions[-1].version if self.versions else 0


class Book:
    def __init__(self, table: LeaseTable) -> None:
        self._table = table
        self.documents: dict[str, Document] = {}
        self._uploads: OrderedDict[str, str] = OrderedDict()
        self._news: tuple[DocumentStatus, ...] | None = None  # until something changes
        self._allowances: dict[str, float] | None = None  # likewise

    # What others read.

    def live(self) -> list[str]:
        """The processes that act on documents now."""
        return [
            one.holder
            for name, one in self._table.leases.items()
            if name.startswith(CONFIG_LEASE_PREFIX) and one.holder
        ]

    def waits_for(self, document: Document) -> list[str]:
        """Whose word a change still lacks."""
        pending = document.pending
        if pending is None:
            return []
        return [one for one in self.live() if one not in pending.acked and one not in pending.refused]

    def ready(self) -> list[tuple[str, int]]:
        """The changes that can come into force now."""
        found = []
        for name, one in self.documents.items():
            pending = one.pending
            begun = pending is not None and pending.stage is not None and pending.stage.begun
            if pending is not None and not begun and not self.waits_for(one):
                found.append((name, pending.version.version))
        return found

    def staged(self) -> list[tuple[str, Pending]]:
        """The changes that some nodes act on already."""
        return [
            (name, one.pending)
            for name, one in self.documents.items()
            if one.pending is not None and one.pending.stage is not None and one.pending.stage.begun
        ]

    def news(self) -> tuple[DocumentStatus, ...]:
        if self._news is None:
            self._news = tuple(self._news_of(name, one) for name, one in self.documents.items())
        return self._news

    @staticmethod
    def _news_of(name: str, one: Document) -> DocumentStatus:
        digest = one.current.digest if one.current else ""
        pending = one.pending
        if pending is None:
            return DocumentStatus(name, one.number, digest, strict=one.strict)
        stage = pending.stage
        on = tuple(stage.nodes) if stage is not None and stage.begun else ()
        told = pending.version
        return DocumentStatus(name, one.number, digest, told.version, told.digest, one.strict, on)

    def allowances(self) -> dict[str, float]:
        """Of each tenant, requests a second, by the version in force; those without one are not limited."""
        if self._allowances is None:
            self._allowances = {}
            for one in self.documents.values():
                if one.kind is Kind.TENANTS and one.current is not None:
                    rows = orjson.loads(one.current.content).get("tenants", {})
                    told = {name: row.get("allowance_per_s") for name, row in rows.items()}
                    self._allowances |= {name: float(per_s) for name, per_s in told.items() if per_s}
        return self._allowances

    def content(self, name: str, version: int) -> str | None:
        """None where that version is not kept."""
        one = self.documents.get(name)
        if one is None:
            return None
        if one.pending is not None and one.pending.version.version == version:
            return one.pending.version.content
        return next((kept.content for kept in one.versions if kept.version == version), None)

    # Commands.

    def apply(self, command: Command) -> Result:
        self._news = self._allowances = None
        match command["do"]:
            case "part":
                return self._part(str(command["upload"]), int(command["offset"]), command["data"])
            case "put":
                return self._put(command)
        one = self.documents.get(command["doc"])
        if one is None:
            return {"refused": "no such document"}
        match command["do"]:
            case "ack":
                return self._ack(one, command)
            case "commit":
                return self._commit(one, int(command["version"]), bool(command.get("whole")))
            case "get":
                return self._get(one)
            case "withdraw":
                return self._withdraw(one, int(command["version"]), str(command["why"]))
        raise ValueError(f"nothing that is done to a document: {command['do']!r}")

    def _part(self, upload: str, offset: int, data: Any) -> Result:
        """A document comes in pieces, as an entry of the log is small."""
        if not isinstance(data, str) or not 0 < len(upload) <= 64:
            raise ValueError("a piece of a document")
        so_far = self._uploads.pop(upload, "") if offset else ""
        if offset != len(so_far):
            return {"refused": f"the next piece begins at {len(so_far)}"}
        if len(so_far) + len(data) > MOST_BYTES:
            return {"refused": f"a document has {MOST_BYTES} bytes at the most"}
        self._uploads[upload] = so_far + data
        while len(self._uploads) > MOST_UPLOADS:
            self._uploads.popitem(last=False)
        return {"taken": offset + len(data)}

    def _put(self, command: Command) -> Result:
        name, kind = command["doc"], Kind(command["kind"])
        if not isinstance(name, str) or not 0 < len(name) <= 64:
            raise ValueError("a document's name")
        content = self._uploads.get(str(command["upload"]))
        if content is None or digest_of(content) != str(command["digest"]):
            return {"refused": "its content did not come whole"}
        one = self.documents.get(name)
        number = one.number if one is not None else 0
        if number != int(command["expect"]):
            return {
                "refused": f"version {number} is in force, and {command['expect']} was expected",
                "version": number,
            }
        if one is not None and one.pending is not None:
            waits = self.waits_for(one)
            return {"refused": "a change is on its way", "version": number, "waits_for": waits}
        if one is not None and one.kind is not kind:
            return {"refused": f"it is of kind {one.kind.value}"}
        if one is None and len(self.documents) >= MOST_DOCUMENTS:
            return {"refused": f"a fleet has {MOST_DOCUMENTS} documents at the most"}
        if one is not None and one.current is not None and kind is Kind.SERVERS and not command.get("force"):
            why = shrinks(one.current.content, content)
            if why:
                return {"refused": f"{why}: say so with force"}
        stage = None
        if command.get("stage") is not None:
            asked = self._stage(command["doc"], number, bool(command["strict"]), command["stage"])
            if isinstance(asked, str):
                return {"refused": asked}
            stage = asked
        del self._uploads[str(command["upload"])]
        if one is None:
            one = self.documents[name] = Document(kind, bool(command["strict"]))
        one.count = max(one.count, number) + 1
        made = Version(
            one.count,
            content,
            str(command["author"])[:64],
            str(command["note"])[:256],
            str(command["at"])[:40],
        )
        one.pending = Pending(made, bool(command.get("hold_out")), stage)
        told: Result = {"prepares": made.version, "digest": made.digest, "waits_for": self.waits_for(one)}
        return told if stage is None else {**told, "first_on": stage.nodes}

    def _stage(self, name: str, number: int, strict: bool, told: Any) -> Stage | str:
        """Or why there can't be one. Raises ValueError, KeyError, TypeError."""
        if strict:
            return "a strict document can't be staged: two versions of it never stand side by side"
        if not number:
            return "the first version can't be staged: there is nothing to compare it with"
        live = sorted({one.partition("/")[0] for one in self.live()})
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
        if not 0 < for_ms <= LONGEST_STAGE_MS or least < 0 or not 0 <= worse <= 1:
            raise ValueError("a stage's time, least or worse")
        return Stage(nodes, for_ms, worse, least)

    @staticmethod
    def _get(one: Document) -> Result:
        """What all have agreed on at this place of the log."""
        pending = one.pending
        return {
            "version": one.number,
            "digest": one.current.digest if one.current else "",
            "pending": pending.version.version if pending is not None else 0,
            "staged": bool(pending is not None and pending.stage is not None and pending.stage.begun),
            "turned_down": [dict(row) for row in one.turned_down],
        }

    def _ack(self, one: Document, command: Command) -> Result:
        pending, by = one.pending, str(command["holder"])
        if pending is None or pending.version.version != int(command["version"]):
            return {"refused": "that change is not being prepared"}
        if pending.version.digest != command["digest"]:
            return {"refused": "the content is another"}
        if by not in self.live():
            return {"refused": "that process has no lease on the rules"}
        why = str(command.get("why", ""))[:256]
        if not why:
            if by not in pending.acked:
                pending.acked.append(by)
            return {"acked": by}
        pending.refused[by] = why
        if not pending.hold_out:
            self._turn_down(one, f"{by} can't take it: {why}")
        return {"noted": by}

    def _commit(self, one: Document, version: int, whole: bool) -> Result:
        pending = one.pending
        if pending is None or pending.version.version != version:
            return {"refused": "that change is not being prepared"}
        if waits := self.waits_for(one):
            return {"waits_for": waits}  # somebody came meanwhile
        stage = pending.stage
        if stage is not None and not stage.begun:
            stage.begun = True
            return {"staged": version, "first_on": stage.nodes}
        if stage is not None and not whole:
            return {"refused": "it is staged: it goes on once its time is over"}
        one.versions.append(pending.version)
        one.held_out, one.pending = dict(pending.refused), None
        self._forget(one)
        return {"in_force": version}

    @staticmethod
    def _forget(one: Document) -> None:
        """The oldest versions go, where there are too many or they take too much."""
        sizes = sum(len(kept.content) for kept in one.versions[:-1])
        while len(one.versions) > 1 and (len(one.versions) > KEPT_VERSIONS or sizes > KEPT_BYTES):
            sizes -= len(one.versions.pop(0).content)

    def _withdraw(self, one: Document, version: int, why: str) -> Result:
        if one.pending is None or one.pending.version.version != version:
            return {"refused": "that change is not being prepared"}
        self._turn_down(one, why[:256])
        return {"withdrawn": version}

    @staticmethod
    def _turn_down(one: Document, why: str) -> None:
        assert one.pending is not None
        told = one.pending.version
        one.turned_down.append({"version": told.version, "author": told.author, "why": why})
        del one.turned_down[:-KEPT_TURNED_DOWN]
        one.pending = None

    # Snapshots.

    def snapshot(self) -> object:
        return {
            "documents": [[name, write_fields(one)] for name, one in self.documents.items()],
            "uploads": list(self._uploads.items()),
        }

    def restore(self, told: Any) -> None:
        self._news = self._allowances = None
        self._uploads = OrderedDict((key, data) for key, data in told["uploads"])
        self.documents = {name: read_fields(Document, row) for name, row in told["documents"]}
