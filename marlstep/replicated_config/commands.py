"""The commands of the replicated configuration, and their JSON form in the log."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from marlstep.consensus.state_machine import CommandJson
from marlstep.replicated_config.documents import Kind
from marlstep.replicated_config.errors import (
    InvalidChunkError,
    InvalidDocumentNameError,
    UnknownConfigCommandError,
)

MACHINE = "rules"  # the state machine's name in the log
MAX_NAME_CHARACTERS = 64  # of the name of a document or an upload

Number = TypeVar("Number", int, float)


@dataclass(slots=True, frozen=True)
class UploadChunk:
    """Append a chunk to an upload. A document is uploaded in chunks as it may be too large for one log entry."""

    upload: str
    offset: int  # in characters; 0 restarts the upload
    data: str

    def to_json(self) -> CommandJson:
        """Return the stored form."""
        stored = {"m": MACHINE, "do": "part", "upload": self.upload}
        return {**stored, "offset": self.offset, "data": self.data}


@dataclass(slots=True, frozen=True)
class RolloutRequest:
    """The canary rollout that an operator requests, on named nodes or on a share of all nodes.

    A value is None if the stored form lacks it. Whether the version itself is admissible is checked first, so a
    missing value is reported only when the rollout is planned.
    """

    duration_ms: int | None
    max_degradation: float | None  # as in `Rollout`
    min_requests: int | None  # as in `Rollout`
    nodes: tuple[str, ...] = ()
    share: float | None = None  # of the nodes, between 0 and 1 (exclusive); used if `nodes` is empty

    def to_json(self) -> CommandJson:
        """Return the stored form."""
        stored: dict[str, object] = {"for_ms": self.duration_ms, "worse": self.max_degradation}
        stored["least"] = self.min_requests
        if self.share is not None:
            return {**stored, "share": self.share}
        return {**stored, "nodes": list(self.nodes)}


@dataclass(slots=True, frozen=True)
class PrepareOptions:
    """The options of a change that an operator proposes."""

    may_exclude: bool = False  # commit although nodes reject the version, without them
    force: bool = False  # accept the change even if a pool shrinks too much
    rollout: RolloutRequest | None = None

    def to_json(self) -> CommandJson:
        """Return the keys that these options add to the stored form of `PrepareVersion`."""
        stored: dict[str, object] = {"hold_out": self.may_exclude, "force": self.force}
        return stored if self.rollout is None else {**stored, "stage": self.rollout.to_json()}


@dataclass(slots=True, frozen=True)
class PrepareVersion:
    """Prepare an uploaded content as the next version if the active version is the expected one (compare-and-set)."""

    document: str
    kind: Kind
    strict: bool
    upload: str
    digest: str
    expected_version: int  # 0: no version is active yet
    author: str
    note: str
    at: str  # the proposer's wall clock, for display only
    options: PrepareOptions | None = None  # None if a node proposes the first version from its own files

    def to_json(self) -> CommandJson:
        """Return the stored form."""
        stored: dict[str, object] = {"m": MACHINE, "do": "put", "doc": self.document, "kind": self.kind.value}
        stored |= {"strict": self.strict, "upload": self.upload, "digest": self.digest}
        stored |= {"expect": self.expected_version, "author": self.author, "note": self.note, "at": self.at}
        return stored if self.options is None else {**stored, **self.options.to_json()}


@dataclass(slots=True, frozen=True)
class ReadDocument:
    """Read a document's state at the position of this command in the log, which makes the read linearizable."""

    document: str

    def to_json(self) -> CommandJson:
        """Return the stored form."""
        return {"m": MACHINE, "do": "get", "doc": self.document}


@dataclass(slots=True, frozen=True)
class RecordAcknowledgement:
    """Record that a process can activate the prepared version, or why it rejects it."""

    document: str
    version: int
    digest: str
    holder: str  # the process, as `node/process`
    rejection: str = ""  # empty: it can activate the version

    def to_json(self) -> CommandJson:
        """Return the stored form."""
        stored = {"m": MACHINE, "do": "ack", "doc": self.document, "version": self.version}
        return {**stored, "digest": self.digest, "holder": self.holder, "why": self.rejection}


@dataclass(slots=True, frozen=True)
class CommitVersion:
    """Activate the prepared version. If it has a rollout, the first commit activates it only on the rollout's nodes."""

    document: str
    version: int
    promote: bool = False  # ends the rollout by activating the version on all nodes

    def to_json(self) -> CommandJson:
        """Return the stored form."""
        stored: dict[str, object] = {"m": MACHINE, "do": "commit", "doc": self.document}
        if self.promote:
            stored["whole"] = True
        return {**stored, "version": self.version}


@dataclass(slots=True, frozen=True)
class WithdrawVersion:
    """Withdraw the prepared version. The nodes of a started rollout return to the active version."""

    document: str
    version: int
    reason: str

    def to_json(self) -> CommandJson:
        """Return the stored form."""
        stored = {"m": MACHINE, "do": "withdraw", "doc": self.document}
        return {**stored, "version": self.version, "why": self.reason}


DocumentCommand = ReadDocument | RecordAcknowledgement | CommitVersion | WithdrawVersion
ConfigCommand = UploadChunk | PrepareVersion | DocumentCommand


def parse_config_command(stored: CommandJson) -> ConfigCommand:
    """Parse a command from the log, including all of its fields, so that a malformed command changes no state.

    Raises:
        KeyError: A field is missing.
        ValueError, TypeError: A field has an invalid value or type, or the command is unknown.
    """
    match stored["do"]:
        case "part":
            return _parse_chunk(stored)
        case "put":
            return _parse_prepare(stored)
        case "get":
            return ReadDocument(stored["doc"])
        case "ack":
            return _parse_acknowledgement(stored)
        case "commit":
            return CommitVersion(stored["doc"], int(stored["version"]), bool(stored.get("whole")))
        case "withdraw":
            return WithdrawVersion(stored["doc"], int(stored["version"]), str(stored["why"]))
    raise UnknownConfigCommandError(stored["do"])


def _parse_chunk(stored: CommandJson) -> UploadChunk:
    chunk = UploadChunk(str(stored["upload"]), int(stored["offset"]), stored["data"])
    if not isinstance(chunk.data, str) or not 0 < len(chunk.upload) <= MAX_NAME_CHARACTERS:
        raise InvalidChunkError
    return chunk


def _parse_prepare(stored: CommandJson) -> PrepareVersion:
    name, kind = stored["doc"], Kind(stored["kind"])
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_CHARACTERS:
        raise InvalidDocumentNameError
    upload, digest = str(stored["upload"]), str(stored["digest"])
    expected = int(stored["expect"])
    return PrepareVersion(
        document=name,
        kind=kind,
        strict=bool(stored["strict"]),
        upload=upload,
        digest=digest,
        expected_version=expected,
        author=str(stored["author"]),
        note=str(stored["note"]),
        at=str(stored["at"]),
        options=_parse_options(stored),
    )


def _parse_acknowledgement(stored: CommandJson) -> RecordAcknowledgement:
    holder = str(stored["holder"])  # read first: the replicated error names the first missing key
    return RecordAcknowledgement(
        document=stored["doc"],
        version=int(stored["version"]),
        digest=stored["digest"],
        holder=holder,
        rejection=str(stored.get("why", "")),
    )


def _parse_options(stored: CommandJson) -> PrepareOptions | None:
    if not stored.keys() & {"hold_out", "force", "stage"}:
        return None
    rollout = stored.get("stage")
    return PrepareOptions(
        may_exclude=bool(stored.get("hold_out")),
        force=bool(stored.get("force")),
        rollout=None if rollout is None else parse_rollout_request(rollout),
    )


def parse_rollout_request(stored: CommandJson) -> RolloutRequest:
    """Parse the stored form of a rollout; missing values become None.

    Raises:
        ValueError, TypeError: A value has the wrong type.
    """
    return RolloutRequest(
        duration_ms=_optional_number(stored, "for_ms", int),
        max_degradation=_optional_number(stored, "worse", float),
        min_requests=_optional_number(stored, "least", int),
        nodes=tuple(str(node) for node in stored.get("nodes", ())),
        share=_optional_number(stored, "share", float),
    )


def _optional_number(stored: CommandJson, key: str, convert: Callable[[Any], Number]) -> Number | None:
    return convert(stored[key]) if key in stored else None
