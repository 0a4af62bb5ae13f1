"""What the Raft core hands to its driver: messages to send and state to make durable."""

from __future__ import annotations

from dataclasses import dataclass, field

from marlstep.consensus.log import LogEntry, PersistentState, RaftLog, Snapshot
from marlstep.consensus.messages import RaftMessage

AddressedMessage = tuple[str, RaftMessage]  # the identity of the member to send it to, and the message


@dataclass(slots=True)
class Ready:
    """State to make durable, in the order of these fields, and messages to send only after that."""

    number: int
    term: int
    voted_for: str
    snapshot: Snapshot | None = None  # covers all entries up to its index
    replaces_log: bool = False  # the snapshot came from the leader: no entry stored before it stays
    keep_after_index: int = 0  # with a snapshot: entries after this index stay in the log
    # The first entry replaces the stored log from its index on.
    entries: list[LogEntry] = field(default_factory=list)
    messages: list[AddressedMessage] = field(default_factory=list)
    needs_sync: bool = False  # there is state to make durable, not only messages to send
    last_index: int = 0  # of the log, once this is durable
    last_term: int = 0


class Outbox:
    """Messages that the core wants sent, by whether they must wait for durable state."""

    def __init__(self) -> None:
        """Start with no message."""
        self._immediate: list[AddressedMessage] = []
        self._after_sync: list[AddressedMessage] = []

    def send_now(self, to: str, message: RaftMessage) -> None:
        """Send a message that promises nothing of this member's own durable state."""
        self._immediate.append((to, message))

    def send_after_sync(self, to: str, message: RaftMessage) -> None:
        """Send a message once everything that the member has changed so far is durable."""
        self._after_sync.append((to, message))

    @property
    def has_after_sync(self) -> bool:
        """Whether a message waits for durable state."""
        return bool(self._after_sync)

    def take_immediate(self) -> list[AddressedMessage]:
        """Return the messages to send now, each once."""
        messages, self._immediate = self._immediate, []
        return messages

    def take_after_sync(self) -> list[AddressedMessage]:
        """Return the messages to send with the next Ready, each once."""
        messages, self._after_sync = self._after_sync, []
        return messages


class ReadyTracker:
    """Remembers which state was handed out already, so that each Ready holds only what changed since."""

    def __init__(self, saved: PersistentState, log: RaftLog) -> None:
        """Take all that came from the store as handed out."""
        self._number = 0
        self._term, self._voted_for = saved.term, saved.voted_for
        self._last_index = log.last_index
        self._snapshot_index = saved.snapshot.index
        self._received_snapshot: Snapshot | None = None

    def record_truncation(self, first: int) -> None:
        """Hand the log out again from the entry `first`, which was overwritten."""
        self._last_index = min(self._last_index, first - 1)

    def record_received_snapshot(self, snapshot: Snapshot) -> None:
        """Hand out a snapshot that replaces the whole log."""
        self._received_snapshot = snapshot
        self._last_index = snapshot.index

    def next_ready(self, term: int, voted_for: str, log: RaftLog, outbox: Outbox) -> Ready | None:
        """Return what changed since the last Ready, with the messages that wait for it; None where nothing did."""
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
