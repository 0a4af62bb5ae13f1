"""The state of one document on a node: the version it has activated, and the contents it has fetched."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from marlstep.leases.messages import DocumentState, DocumentStatus
from marlstep.replicated_config.documents import DisconnectPolicy, DocumentDefinition, content_digest
from marlstep.replicated_config.messages import DocumentChunk, FetchChunk
from marlstep.units import MILLISECOND, ZERO

FETCH_RETRY_INTERVAL = 300 * MILLISECOND
MAX_REJECTION_CHARACTERS = 128  # of a rejection in a heartbeat


class FollowerState(enum.Enum):
    """What a node does with one document. Heartbeats and status pages carry the wire word."""

    UNKNOWN = ("unknown", "has not heard of a version yet")
    ACTIVE = ("acting", "acts on it")
    SUSPENDED = ("suspended", "has stopped for the next version")
    LEASE_EXPIRED = ("cut_off", "its lease has run out")
    CATCHING_UP = ("behind", "fetches the version that is in force")
    EXCLUDED = ("held_out", "can't take it")
    PINNED = ("fixed", "an operator's fixed version is in force")

    def __init__(self, wire_word: str, description: str) -> None:
        """Keep the word of heartbeats, and the text for operators."""
        self.wire_word = wire_word
        self.description = description


@dataclass(slots=True)
class FollowedDocument:
    """One document, as this node follows it."""

    definition: DocumentDefinition
    state: FollowerState = FollowerState.UNKNOWN
    version: int = 0  # that is active here, or was last
    content: str = ""
    active_since: datetime | None = None
    target: DocumentStatus | None = None  # what the group said last
    fetching_version: int = 0  # 0: none
    fetched_text: str = ""  # of that version, so far
    fetch_sent_at: datetime | None = None
    prepared_contents: dict[int, str] = field(default_factory=dict)  # fetched completely, by version
    check_results: dict[int, str] = field(default_factory=dict)  # rejections by version; empty: valid
    acknowledged_version: int = 0
    proposed_at: datetime | None = None  # when a first version was proposed, as the group had none

    def is_active_on(self, version: int) -> bool:
        """Whether that version is active here."""
        return self.state is FollowerState.ACTIVE and self.version == version

    def content_of(self, version: int, digest: str) -> str | None:
        """Return the content of a version; None where it has not been fetched, or is another one."""
        content = self.prepared_contents.get(version)
        return content if content is not None and content_digest(content) == digest else None

    def fetch(self, now: datetime, version: int) -> list[FetchChunk]:
        """Return the request for the next chunk, unless one was sent within the retry interval."""
        if self.fetching_version != version:
            self.fetching_version, self.fetched_text, self.fetch_sent_at = version, "", None
        if self.fetch_sent_at is not None and now < self.fetch_sent_at + FETCH_RETRY_INTERVAL:
            return []
        self.fetch_sent_at = now
        return [FetchChunk(self.definition.name, version, len(self.fetched_text))]

    def expects(self, chunk: DocumentChunk) -> bool:
        """Whether the chunk continues the content that is being fetched."""
        continues = self.fetching_version == chunk.version and chunk.offset == len(self.fetched_text)
        return continues and chunk.size >= 0

    def add_chunk(self, chunk: DocumentChunk) -> bool:
        """Append a chunk; return whether the content is complete."""
        self.fetched_text += chunk.data
        self.fetch_sent_at = None
        if len(self.fetched_text) < chunk.size:
            return False
        self.prepared_contents[chunk.version] = self.fetched_text
        self.fetching_version, self.fetched_text = 0, ""
        return True

    def activate(self, now: datetime, version: int, content: str) -> None:
        """Make a version active, and discard what is older than all versions that may still be needed."""
        self.version, self.content, self.active_since = version, content, now
        self.state = FollowerState.ACTIVE
        oldest = min(version, self.target.version if self.target is not None else version)
        self.prepared_contents = {
            number: text for number, text in self.prepared_contents.items() if number >= oldest
        }
        self.check_results = {
            number: rejection for number, rejection in self.check_results.items() if number >= oldest
        }

    def accepts_work(self, lease_left: timedelta) -> bool:
        """Whether new work may start under this document."""
        match self.state:
            case FollowerState.PINNED:
                return True
            case FollowerState.SUSPENDED | FollowerState.EXCLUDED:
                return False
            case FollowerState.ACTIVE if lease_left > ZERO:
                return True
            case FollowerState.CATCHING_UP if self.definition.strict:
                return False
        return self.definition.disconnect_policy is not DisconnectPolicy.STOP

    def report(self, now: datetime) -> DocumentState:
        """Return the row of this document in heartbeats and on status pages."""
        active_ms = 0 if self.active_since is None else max(0, (now - self.active_since) // MILLISECOND)
        return DocumentState(
            self.definition.name, self.version, self.state.wire_word, active_ms, self._reason()
        )

    def _reason(self) -> str:
        """Why no newer version is active here; empty where the group's version is."""
        target = self.target
        if target is not None and self.is_active_on(target.version):
            return ""
        if self.fetching_version:
            return f"fetches version {self.fetching_version}, has {len(self.fetched_text)} characters of it"
        if self.state is FollowerState.EXCLUDED:
            return max(self.check_results.items(), default=(0, ""))[1][:MAX_REJECTION_CHARACTERS]
        if target is not None and self.is_active_on(target.prepared_version):
            return "a stage: it is among the first"
        return self.state.description
