"""Output of the Raft core for its driver: messages to send and state to make durable."""

from __future__ import annotations

from dataclasses import dataclass, field

from marlstep.consensus.log import LogEntry, PersistentState, RaftLog, Snapshot
from marlstep.consensus.messages import RaftMessage

AddressedMessage = tuple[str, RaftMessage]  # recipient identity and message


@dataclass(slots=True)
class Ready:
    """State to make durable, in the order of these fields, and messages to send only afterwards."""

    number: int
    term: int
    voted_for: str
    snapshot: Snapshot | None = None  # covers all entries up to its index
    replaces_log: bool = False  # the snapshot came from the leader: discard all stored entries
    keep_after_index: int = 0  # with a snapshot: entries after this index stay in the log
    # Stored entries from the index of the first entry on are replaced.
    entries: list[LogEntry] = field(default_factory=list)
    messages: list[AddressedMessage] = field(default_factory=list)
    needs_sync: bool = False  # there is state to make durable, not only messages
    last_index: int = 0  # the last entry of the log once this Ready is durable
    last_term: int = 0


class Outbox:
    """Outgoing messages of the core: to send immediately, or after its state is durable."""

    def __init__(self) -> None:
        """Initialize the outbox without messages."""
        self._immediate: list[AddressedMessage] = []
        self._after_sync: list[AddressedMessage] = []

    def send_now(self, to: str, message: RaftMessage) -> None:
        """Queue a message that does not depend on this member's own durable state."""
        self._immediate.append((to, message))

    def send_after_sync(self, to: str, message: RaftMessage) -> None:
        """Queue a message to send once all state changes so far are durable."""
        self._after_sync.append((to, message))

    @property
    def has_after_sync(self) -> bool:
        """Whether a message waits for durable state."""
        return bool(self._after_sync)

    def take_immediate(self) -> list[AddressedMessage]:
        """Return and remove the messages to send immediately."""
        messages, self._immediate = self._immediate, []
        return messages

    def take_after_sync(self) -> list[AddressedMessage]:
        """Return and remove the messages to send with the next Ready."""
        messages, self._after_sync = self._after_sync, []
        return messages


class ReadyTracker:
    """Tracks which state was already returned in a Ready, so that each Ready contains only later changes."""

    def __init__(self, saved: PersistentState, log: RaftLog) -> None:
        """Initialize the tracker with the stored state, which needs no further write."""
        self._number = 0
        self._term, self._voted_for = saved.term, saved.voted_for
        self._last_index = log.last_index
        self._snapshot_index = saved.snapshot.index
        self._received_snapshot: Snapshot | None = None

    def record_truncation(self, first: int) -> None:
        """Include the log from the overwritten entry `first` on in the next Ready."""
        self._last_index = min(self._last_index, first - 1)

    def record_received_snapshot(self, snapshot: Snapshot) -> None:
        """Include a snapshot from the leader, which replaces the whole log, in the next Ready."""
        self._received_snapshot = snapshot
        self._last_index = snapshot.index

    def next_ready(self, term: int, voted_for: str, log: RaftLog, outbox: Outbox) -> Ready | None:
        """Return the changes since the last Ready and the messages that wait for them; None if there are neither."""
        entries = log.slice(max(self._last_index + 1, log.first_index), log.last_index)
        snapshot = self._pending_snapshot(log)
        vote_changed = (term, voted_for) != (self._term, self._voted_for)
        needs_sync = bool(entries or snapshot or vote_changed)
        if not needs_sync and not outbox.has_after_sync:
            return None
        self._number += 1
        ready = Ready(
            number=self._number,
            term=term,
            voted_for=voted_for,
            snapshot=snapshot,
            replaces_log=self._received_snapshot is not None,
            keep_after_index=log.first_index - 1,
            entries=entries,
            messages=outbox.take_after_sync(),
            needs_sync=needs_sync,
            last_index=log.last_index,
            last_term=log.last_term,
        )
        self._term, self._voted_for, self._last_index = term, voted_for, log.last_index
        self._snapshot_index, self._received_snapshot = log.snapshot.index, None
        return ready

    def _pending_snapshot(self, log: RaftLog) -> Snapshot | None:
        if self._received_snapshot is not None:
            return self._received_snapshot
        return log.snapshot if log.snapshot.index > self._snapshot_index else None
