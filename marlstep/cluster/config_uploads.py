"""Uploads of document versions to the log: first the chunks, then the command that puts the version."""

from __future__ import annotations

import logging
import secrets
from dataclasses import dataclass
from datetime import datetime

from marlstep.cluster.context import NodeContext
from marlstep.cluster.interfaces import Step, TurnRequester
from marlstep.cluster.order_tracker import OrderTracker
from marlstep.replicated_config.commands import PrepareVersion, UploadChunk
from marlstep.replicated_config.documents import CHUNK_CHARACTERS, DocumentDefinition, content_digest

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Upload:
    """The upload of one version and its progress."""

    document: str
    content: str
    upload_id: str
    put_command: PrepareVersion
    offset: int = 0  # characters already uploaded
    command_number: int | None = None  # of the pending command; None if none is pending
    is_put: bool = False  # whether the latest command was the put

    def next_command(self) -> UploadChunk | PrepareVersion:
        """Return the command for the next chunk, or the put once all chunks have been uploaded."""
        data = self.content[self.offset : self.offset + CHUNK_CHARACTERS]
        self.is_put = not data
        if self.is_put:
            return self.put_command
        return UploadChunk(self.upload_id, self.offset, data)


class ConfigUploads:
    """Proposes the commands of all uploads of this node, one command at a time for each upload."""

    def __init__(self, context: NodeContext, turns: TurnRequester, orders: OrderTracker) -> None:
        """Initialize with no uploads; `orders` records the result of each upload for operators."""
        self._context, self._turns, self._orders = context, turns, orders
        self._uploads: list[Upload] = []

    def put(
        self, definition: DocumentDefinition, content: str, expected_version: int, author: str, note: str
    ) -> None:
        """Start the upload of a version that is to follow `expected_version`."""
        upload_id = secrets.token_hex(8)
        command = PrepareVersion(
            definition.name,
            definition.kind,
            definition.strict,
            upload_id,
            content_digest(content),
            expected_version,
            author,
            note,
            self._context.wall().isoformat(timespec="seconds"),
        )
        self._uploads.append(Upload(definition.name, content, upload_id, command))
        self._turns.schedule()

    def tick(self, now: datetime) -> None:
        """Handle command results and propose the next command of each upload that is ready."""
        for upload in list(self._uploads):
            if self._is_ready(upload):
                self._propose(upload, now)

    def _is_ready(self, upload: Upload) -> bool:
        """Handle the result of the pending command; return whether the next command may be proposed."""
        if upload.command_number is None:
            return True
        result = self._context.client.take_result(upload.command_number)
        if result is None:
            return False
        if upload.is_put or "taken" not in result:
            self._uploads.remove(upload)
            self._orders.record(upload.command_number, {"what": f"put {upload.document}", **result})
            log.info("fleet: upload ended document=%s result=%s", upload.document, result)
            return False
        upload.offset, upload.command_number = int(result["taken"]), None
        return True

    def _propose(self, upload: Upload, now: datetime) -> None:
        command = upload.next_command()
        step = Step.VERSION_PROPOSING if upload.is_put else Step.CHUNK_UPLOADING
        self._context.observer.reached(step)
        upload.command_number = self._context.client.propose(now, command)
