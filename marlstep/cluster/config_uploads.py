"""Versions of documents on their way into the log: in chunks, and then the command that puts the whole."""

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
    """One version, and how far it has come."""

    document: str
    content: str
    upload_id: str
    put_command: PrepareVersion
    offset: int = 0  # in characters
    number: int | None = None  # of the command whose result is waited for
    is_put: bool = False  # that command is the put

    def next_command(self) -> UploadChunk | PrepareVersion:
        """Return the next chunk's command, or the put once all chunks were taken."""
        data = self.content[self.offset : self.offset + CHUNK_CHARACTERS]
        self.is_put = not data
        if self.is_put:
            return self.put_command
        return UploadChunk(self.upload_id, self.offset, data)


class ConfigUploads:
    """Proposes the commands of all uploads of this node, one at a time for each."""

    def __init__(self, context: NodeContext, turns: TurnRequester, orders: OrderTracker) -> None:
        """`orders` shows operators what came of an upload."""
        self._context, self._turns, self._orders = context, turns, orders
        self._uploads: list[Upload] = []

    def put(
        self, definition: DocumentDefinition, content: str, expected_version: int, author: str, note: str
    ) -> None:
        """Begin to put a version that is to follow `expected_version`."""
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
        """Take in results, and propose what is next."""
        for upload in list(self._uploads):
            if self._is_ready(upload):
                self._propose(upload, now)

    def _is_ready(self, upload: Upload) -> bool:
        """Take in the result that is waited for; return whether the next command may be proposed."""
        if upload.number is None:
            return True
        result = self._context.client.take_result(upload.number)
        if result is None:
            return False
        if upload.is_put or "taken" not in result:
            self._uploads.remove(upload)
            self._orders.record(upload.number, {"what": f"put {upload.document}", **result})
            log.info("fleet: upload ended document=%s result=%s", upload.document, result)
            return False
        upload.offset, upload.number = int(result["taken"]), None
        return True

    def _propose(self, upload: Upload, now: datetime) -> None:
        command = upload.next_command()
        step = Step.VERSION_PROPOSING if upload.is_put else Step.CHUNK_UPLOADING
        self._context.observer.reached(step)
        upload.number = self._context.client.propose(now, command)
