"""The replicated state machine of versioned documents, with two-phase activation.

    prepare (compare-and-set) ──▶ prepared ──acknowledged by every live process──▶ committed: active
                                     └──rejected by a process, or withdrawn──▶ withdrawn

Once every live process has acknowledged a version with a canary rollout, it becomes active, but only on the nodes of
the rollout. Later it is promoted to all nodes or withdrawn.

The lease table on the same log determines which processes are live. A process that starts while a version is prepared
has to acknowledge it as well. A process whose configuration lease has expired does not, as it no longer uses any
version. If the version may exclude processes, it does not wait for those that have rejected it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from typing import Any

import orjson

from marlstep.consensus.state_machine import CommandJson, ResultJson
from marlstep.leases.messages import DocumentStatus
from marlstep.leases.settings import CONFIG_LEASE_PREFIX
from marlstep.leases.table import LeaseTable
from marlstep.net.codec import read_fields, write_fields
from marlstep.replicated_config.commands import (
    CommitVersion,
    ConfigCommand,
    PrepareOptions,
    PrepareVersion,
    ReadDocument,
    RecordAcknowledgement,
    UploadChunk,
    WithdrawVersion,
    parse_config_command,
)
from marlstep.replicated_config.comparison import find_unsafe_shrinkage
from marlstep.replicated_config.documents import (
    MAX_DOCUMENT_BYTES,
    Document,
    DocumentVersion,
    Kind,
    PreparedVersion,
    content_digest,
)
from marlstep.replicated_config.errors import (
    ChangeInProgressError,
    ChunkOffsetError,
    CommandRejectedError,
    DigestMismatchError,
    DocumentTooLargeError,
    IncompleteUploadError,
    KindMismatchError,
    NoConfigLeaseError,
    NotPreparedError,
    RolloutInProgressError,
    TooManyDocumentsError,
    UnknownDocumentError,
    UnsafeShrinkageError,
    VersionConflictError,
)
from marlstep.replicated_config.results import (
    AcknowledgementRecorded,
    ChunkStored,
    CommitDelayed,
    ConfigResult,
    DocumentSummary,
    RejectionRecorded,
    RolloutStarted,
    VersionCommitted,
    VersionPrepared,
    VersionWithdrawn,
)
from marlstep.replicated_config.rollout_plan import plan_rollout

MAX_DOCUMENTS = 32
MAX_UPLOADS = 8  # kept at a time; a further one evicts the oldest
MAX_AUTHOR_CHARACTERS = 64
MAX_REASON_CHARACTERS = 256  # of notes, rejections and withdrawals
MAX_TIME_CHARACTERS = 40  # of the time of a change
COMMANDS_WITHOUT_DOCUMENT = ("part", "put")  # all others need an existing document


class ConfigStore:
    """The state machine that holds all documents; only commands of the log change it."""

    def __init__(self, table: LeaseTable) -> None:
        """Initialize an empty store; `table` holds the leases, which determine the live processes."""
        self._table = table
        self.documents: dict[str, Document] = {}
        self._uploads: OrderedDict[str, str] = OrderedDict()
        self._statuses: tuple[DocumentStatus, ...] | None = None  # cached until the next command is applied
        self._allowances: dict[str, float] | None = None  # cached as well

    # Queries of the state.

    def live_processes(self) -> list[str]:
        """Return the processes with a live configuration lease, as `node/process`."""
        return [
            lease.holder
            for name, lease in self._table.leases.items()
            if name.startswith(CONFIG_LEASE_PREFIX) and lease.holder
        ]

    def missing_acknowledgements(self, document: Document) -> list[str]:
        """Return the live processes that have neither acknowledged nor rejected the prepared version."""
        prepared = document.prepared
        if prepared is None:
            return []
        return [
            process
            for process in self.live_processes()
            if process not in prepared.acknowledgements and process not in prepared.rejections
        ]

    def ready_to_commit(self) -> list[tuple[str, int]]:
        """Return name and prepared version of each document whose version can be committed or start its rollout."""
        return [
            (name, document.prepared.version.number)
            for name, document in self.documents.items()
            if document.prepared is not None
            and not document.prepared.rollout_started
            and not self.missing_acknowledgements(document)
        ]

    def active_rollouts(self) -> list[tuple[str, PreparedVersion]]:
        """Return name and prepared version of each document with a started canary rollout."""
        return [
            (name, document.prepared)
            for name, document in self.documents.items()
            if document.prepared is not None and document.prepared.rollout_started
        ]

    def statuses(self) -> tuple[DocumentStatus, ...]:
        """Return the status of each document for heartbeat responses."""
        if self._statuses is None:
            self._statuses = tuple(
                self._status_of(name, document) for name, document in self.documents.items()
            )
        return self._statuses

    @staticmethod
    def _status_of(name: str, document: Document) -> DocumentStatus:
        digest = document.active.digest if document.active else ""
        prepared = document.prepared
        if prepared is None:
            return DocumentStatus(name, document.active_number, digest, strict=document.strict)
        rollout = prepared.rollout
        return DocumentStatus(
            name,
            document.active_number,
            digest,
            prepared_version=prepared.version.number,
            prepared_digest=prepared.version.digest,
            strict=document.strict,
            rollout_nodes=tuple(rollout.nodes) if rollout is not None and rollout.started else (),
        )

    def allowances(self) -> dict[str, float]:
        """Return the allowance of each tenant in requests per second; tenants without an allowance are missing."""
        if self._allowances is None:
            self._allowances = {}
            for document in self.documents.values():
                if document.kind is Kind.TENANTS and document.active is not None:
                    self._allowances |= _tenant_allowances(document.active.content)
        return self._allowances

    def content(self, name: str, version: int) -> str | None:
        """Return the content of a committed or prepared version; None if it is not kept."""
        document = self.documents.get(name)
        if document is None:
            return None
        prepared = document.prepared
        if prepared is not None and prepared.version.number == version:
            return prepared.version.content
        return next((kept.content for kept in document.versions if kept.number == version), None)

    # Application of commands.

    def apply(self, command: CommandJson) -> ResultJson:
        """Apply a command of the log, and return its result.

        Raises:
            ValueError, KeyError, TypeError: The command is malformed; the state is unchanged.
        """
        self._statuses = self._allowances = None
        try:
            # Checked before the rest is parsed: replicas of all program versions must return this result, even if the
            # command is malformed otherwise.
            if command["do"] not in COMMANDS_WITHOUT_DOCUMENT and command["doc"] not in self.documents:
                raise UnknownDocumentError
            return self._dispatch(parse_config_command(command)).to_json()
        except CommandRejectedError as rejection:
            return rejection.to_json()

    def _dispatch(self, command: ConfigCommand) -> ConfigResult:
        match command:
            case UploadChunk():
                return self._apply_chunk(command)
            case PrepareVersion():
                return self._apply_prepare(command)
            case ReadDocument():
                return self._apply_read(command)
            case RecordAcknowledgement():
                return self._apply_acknowledgement(command)
            case CommitVersion():
                return self._apply_commit(command)
            case WithdrawVersion():
                return self._apply_withdraw(command)

    def _apply_chunk(self, chunk: UploadChunk) -> ChunkStored:
        received = self._uploads.pop(chunk.upload, "") if chunk.offset else ""
        if chunk.offset != len(received):
            raise ChunkOffsetError(len(received))
        if len(received) + len(chunk.data) > MAX_DOCUMENT_BYTES:
            raise DocumentTooLargeError(MAX_DOCUMENT_BYTES)
        self._uploads[chunk.upload] = received + chunk.data
        while len(self._uploads) > MAX_UPLOADS:
            self._uploads.popitem(last=False)
        return ChunkStored(chunk.offset + len(chunk.data))

    def _apply_prepare(self, command: PrepareVersion) -> VersionPrepared:
        options = command.options or PrepareOptions()
        content = self._uploaded_content(command)
        document = self.documents.get(command.document)
        active_number = document.active_number if document is not None else 0
        if active_number != command.expected_version:
            raise VersionConflictError(active_number, command.expected_version)
        self._check_admissible(command, document)
        if not options.force:
            _check_shrinkage(command.kind, document, content)
        rollout = None
        if options.rollout is not None:
            rollout = plan_rollout(command, options.rollout, active_number, self.live_processes())
        # All checks have passed. The state is changed only from here on, so a rejected command leaves it unchanged.
        del self._uploads[command.upload]
        if document is None:
            document = self.documents[command.document] = Document(command.kind, command.strict)
        version = _next_version(document, command, content)
        document.prepared = PreparedVersion(version, options.may_exclude, rollout)
        return VersionPrepared(
            version.number,
            version.digest,
            self.missing_acknowledgements(document),
            None if rollout is None else rollout.nodes,
        )

    def _uploaded_content(self, command: PrepareVersion) -> str:
        content = self._uploads.get(command.upload)
        if content is None or content_digest(content) != command.digest:
            raise IncompleteUploadError
        return content

    def _check_admissible(self, command: PrepareVersion, document: Document | None) -> None:
        if document is None:
            if len(self.documents) >= MAX_DOCUMENTS:
                raise TooManyDocumentsError(MAX_DOCUMENTS)
            return
        if document.prepared is not None:
            raise ChangeInProgressError(document.active_number, self.missing_acknowledgements(document))
        if document.kind is not command.kind:
            raise KindMismatchError(document.kind.value)

    def _apply_read(self, command: ReadDocument) -> DocumentSummary:
        document = self.documents[command.document]
        prepared = document.prepared
        return DocumentSummary(
            version=document.active_number,
            digest=document.active.digest if document.active else "",
            prepared_version=prepared.version.number if prepared is not None else 0,
            rollout_started=prepared is not None and prepared.rollout_started,
            rejected_versions=document.rejected_versions,
        )

    def _apply_acknowledgement(
        self, command: RecordAcknowledgement
    ) -> AcknowledgementRecorded | RejectionRecorded:
        document = self.documents[command.document]
        prepared = _prepared_version(document, command.version)
        if prepared.version.digest != command.digest:
            raise DigestMismatchError
        if command.holder not in self.live_processes():
            raise NoConfigLeaseError
        reason = command.rejection[:MAX_REASON_CHARACTERS]
        if not reason:
            if command.holder not in prepared.acknowledgements:
                prepared.acknowledgements.append(command.holder)
            return AcknowledgementRecorded(command.holder)
        prepared.rejections[command.holder] = reason
        if not prepared.may_exclude:
            document.withdraw_prepared(f"{command.holder} can't take it: {reason}")
        return RejectionRecorded(command.holder)

    def _apply_commit(self, command: CommitVersion) -> CommitDelayed | RolloutStarted | VersionCommitted:
        document = self.documents[command.document]
        prepared = _prepared_version(document, command.version)
        if waits_for := self.missing_acknowledgements(document):
            return CommitDelayed(waits_for)  # processes that started after the commit was proposed
        rollout = prepared.rollout
        if rollout is not None and not rollout.started:
            rollout.started = True
            return RolloutStarted(command.version, rollout.nodes)
        if rollout is not None and not command.promote:
            raise RolloutInProgressError
        document.commit_prepared()
        return VersionCommitted(command.version)

    def _apply_withdraw(self, command: WithdrawVersion) -> VersionWithdrawn:
        document = self.documents[command.document]
        _prepared_version(document, command.version)
        document.withdraw_prepared(command.reason[:MAX_REASON_CHARACTERS])
        return VersionWithdrawn(command.version)

    # Snapshots of the state.

    def skip_version_numbers(self, count: int) -> None:
        """Leave out the next `count` version numbers of each document, when a group is recovered."""
        self._statuses = None
        for document in self.documents.values():
            document.version_count += count

    def snapshot(self) -> object:
        """Return the whole state in a form that can be written as JSON."""
        return {
            "documents": [[name, write_fields(document)] for name, document in self.documents.items()],
            "uploads": list(self._uploads.items()),
        }

    def restore(self, stored: Mapping[str, Any]) -> None:
        """Replace the state by one that `snapshot` returned.

        Raises:
            ValueError, KeyError, TypeError: The snapshot is malformed.
        """
        self._statuses = self._allowances = None
        self._uploads = OrderedDict((upload, data) for upload, data in stored["uploads"])
        self.documents = {name: read_fields(Document, values) for name, values in stored["documents"]}


def _tenant_allowances(content: str) -> dict[str, float]:
    """Return the allowances in a document of tenants; what has another form has none, as nodes reject it themselves."""
    document = orjson.loads(content)
    tenants = document.get("tenants") if isinstance(document, dict) else None
    allowances: dict[str, float] = {}
    for name, tenant in tenants.items() if isinstance(tenants, dict) else ():
        allowance = tenant.get("allowance_per_s") if isinstance(tenant, dict) else None
        if isinstance(allowance, int | float) and allowance:
            allowances[name] = float(allowance)
    return allowances


def _check_shrinkage(kind: Kind, document: Document | None, content: str) -> None:
    if kind is not Kind.SERVERS or document is None or document.active is None:
        return
    shrinkage = find_unsafe_shrinkage(document.active.content, content)
    if shrinkage is not None:
        raise UnsafeShrinkageError(shrinkage)


def _next_version(document: Document, command: PrepareVersion, content: str) -> DocumentVersion:
    document.version_count = max(document.version_count, document.active_number) + 1
    return DocumentVersion(
        document.version_count,
        content,
        command.author[:MAX_AUTHOR_CHARACTERS],
        command.note[:MAX_REASON_CHARACTERS],
        command.at[:MAX_TIME_CHARACTERS],
    )


def _prepared_version(document: Document, version: int) -> PreparedVersion:
    """Return the prepared version.

    Raises:
        NotPreparedError: `version` is not the prepared version.
    """
    prepared = document.prepared
    if prepared is None or prepared.version.number != version:
        raise NotPreparedError
    return prepared
