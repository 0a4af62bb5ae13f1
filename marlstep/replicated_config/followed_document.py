"""The state of one document on a node: its active version, and the contents that the node has fetched."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from marlstep.leases.messages import DocumentState, DocumentStatus
from marlstep.replicated_config.documents import DisconnectPolicy, DocumentDefinition, content_digest
from marlstep.replicated_config.messages import DocumentChunk, FetchChunk
from marlstep.units import MILLISECOND, ZERO

FETCH_RETRY_INTERVAL = 300 * MILLISECOND  # a chunk that has not arrived by then is requested again
MAX_REJECTION_CHARACTERS = 128  # of the reason for a rejection in a heartbeat


class FollowerState(enum.Enum):
    """The state of one document on a node. Heartbeats and status pages contain `wire_word`."""

    UNKNOWN = ("unknown", "has not heard of a version yet")
    ACTIVE = ("acting", "acts on it")
    SUSPENDED = ("suspended", "has stopped for the next version")
    LEASE_EXPIRED = ("cut_off", "its lease has run out")
    CATCHING_UP = ("behind", "fetches the version that is in force")
    EXCLUDED = ("held_out", "can't take it")
    PINNED = ("fixed", "an operator's fixed version is in force")

    def __init__(self, wire_word: str, description: str) -> None:
        """Initialize a state.

        Args:
            wire_word: Name of the state in heartbeats and on status pages.
            description: Text for operators in the same places.
        """
        self.wire_word = wire_word
        self.description = description


@dataclass(slots=True)
class FollowedDocument:
    """One document that this node follows."""

    definition: DocumentDefinition
    state: FollowerState = FollowerState.UNKNOWN
    version: int = 0  # active on this node, or the last that was; 0: none yet
    content: str = ""  # of that version
    active_since: datetime | None = None
    # From the last heartbeat response; None if that did not contain the document.
    target: DocumentStatus | None = None
    fetching_version: int = 0  # 0: none
    fetched_text: str = ""  # the part of that version received so far
    fetch_sent_at: datetime | None = None  # None: no request for a chunk is outstanding
    fetched_contents: dict[int, str] = field(default_factory=dict)  # complete, by version
    check_results: dict[int, str] = field(default_factory=dict)  # reason to reject, by version; empty: valid
    acknowledged_version: int = 0  # the last one that was acknowledged or rejected; 0: none
    newest_group_version: int = 0  # that was active in the group, as far as this process has heard
    proposed_at: datetime | None = None  # when this node last proposed a first version, as the group had none

    def goes_back(self, target: DocumentStatus | None) -> bool:
        """Record the group's status; return whether the group has an older active version than it had before."""
        self.target = target
        version = 0 if target is None else target.version
        goes_back = version < self.newest_group_version
        self.newest_group_version = version
        return goes_back

    def is_active_on(self, version: int) -> bool:
        """Return whether `version` is active on this node."""
        return self.state is FollowerState.ACTIVE and self.version == version

    def content_of(self, version: int, digest: str) -> str | None:
        """Return the content of a version; None if it was not fetched completely or has another digest."""
        content = self.fetched_contents.get(version)
        return content if content is not None and content_digest(content) == digest else None

    def fetch(self, now: datetime, version: int) -> list[FetchChunk]:
        """Return the request for the next chunk of a version, or none if one was sent within the retry interval."""
        if self.fetching_version != version:
            self.fetching_version, self.fetched_text, self.fetch_sent_at = version, "", None
        if self.fetch_sent_at is not None and now < self.fetch_sent_at + FETCH_RETRY_INTERVAL:
            return []
        self.fetch_sent_at = now
        return [FetchChunk(self.definition.name, version, len(self.fetched_text))]

    def is_next_chunk(self, chunk: DocumentChunk) -> bool:
        """Return whether the chunk is the next one of the content that is being fetched."""
        continues = self.fetching_version == chunk.version and chunk.offset == len(self.fetched_text)
        return continues and chunk.size >= 0

    def add_chunk(self, chunk: DocumentChunk) -> bool:
        """Append the next chunk, and return whether the content is complete."""
        self.fetched_text += chunk.data
        self.fetch_sent_at = None
        if len(self.fetched_text) < chunk.size:
            return False
        self.fetched_contents[chunk.version] = self.fetched_text
        self.fetching_version, self.fetched_text = 0, ""
        return True

    def activate(self, now: datetime, version: int, content: str) -> None:
        """Make a version active, and discard the contents and check results of versions that are no longer needed.

        Those of the group's active version are kept even if a newer one is activated here, as in a canary rollout:
        the node returns to it if the rollout is withdrawn.
        """
        self.version, self.content, self.active_since = version, content, now
        self.state = FollowerState.ACTIVE
        oldest = min(version, self.target.version if self.target is not None else version)
        self.fetched_contents = {
            number: text for number, text in self.fetched_contents.items() if number >= oldest
        }
        self.check_results = {
            number: rejection for number, rejection in self.check_results.items() if number >= oldest
        }

    def accepts_work(self, lease_left: timedelta) -> bool:
        """Return whether this document permits new work, with `lease_left` of the configuration lease remaining."""
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
        """Return the state of this document for heartbeats and status pages."""
        active_ms = 0 if self.active_since is None else max(0, (now - self.active_since) // MILLISECOND)
        return DocumentState(
            self.definition.name, self.version, self.state.wire_word, active_ms, self._reason()
        )

    def _reason(self) -> str:
        """Return why the group's active version is not active on this node; empty if it is."""
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
