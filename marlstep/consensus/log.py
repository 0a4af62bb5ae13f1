"""The replicated log in memory: the latest snapshot, the entries after it, and the configurations in these entries.

The terminology and rules follow the Raft paper: section 5.3 (log replication), section 6 (cluster membership) and
section 7 (log compaction).
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import islice

import orjson

from marlstep.errors import MarlstepError


class InvalidConfigurationError(MarlstepError, ValueError):
    """The text of a configuration entry does not name each member exactly once as a string."""

    def __init__(self, text: str) -> None:
        """Initialize the error with the text that was read."""
        super().__init__(
            f"expected a configuration that names each member once, as a string; found {text[:200]}"
        )


class LogGapError(MarlstepError, ValueError):
    """The stored entries are not contiguous, or do not continue the snapshot."""

    def __init__(self, expected: int, found: int) -> None:
        """Initialize the error with the expected index and the index that was found in its place."""
        super().__init__(f"stored log is not contiguous: found entry {found} in place of entry {expected}")


class EntryNotFoundError(MarlstepError, LookupError):
    """The entry was compacted into the snapshot, or was never appended."""

    def __init__(self, index: int, first: int, last: int) -> None:
        """Initialize the error with the requested index and the bounds of the log."""
        super().__init__(f"entry {index} is not in the log, which has entries {first} to {last}")


class EntryType(enum.StrEnum):
    """The type of an entry. Messages and stores contain the values."""

    NOOP = "empty"  # a leader appends it at the start of its term
    COMMAND = "command"  # applied to a state machine
    CONFIGURATION = "group"  # the voters and learners from this entry on


@dataclass(slots=True, frozen=True)
class LogEntry:
    """One entry of the log. Indexes start at 1."""

    index: int
    term: int
    entry_type: EntryType
    body: str


@dataclass(slots=True, frozen=True)
class Configuration:
    """The members of the group by identity: voters, and learners that replicate the log without a vote."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()

    @property
    def members(self) -> tuple[str, ...]:
        """The voters, then the learners."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """The number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def encode(self) -> str:
        """Return the configuration as the body of a log entry."""
        return orjson.dumps([self.voters, self.learners]).decode()

    @staticmethod
    def decode(text: str) -> Configuration:
        """Return the configuration in the text that `encode` returned.

        Raises:
            ValueError: The text is not a JSON array of two elements.
            InvalidConfigurationError: A member is not a string or is named twice.
        """
        voters, learners = orjson.loads(text)
        names = [*voters, *learners]
        if not all(isinstance(name, str) for name in names) or len(set(names)) < len(names):
            raise InvalidConfigurationError(text)
        return Configuration(tuple(voters), tuple(learners))


@dataclass(slots=True, frozen=True)
class Snapshot:
    """The state of the state machines after the entry at `index`, and the configuration at that entry."""

    index: int = 0
    term: int = 0
    configuration: Configuration = field(default_factory=lambda: Configuration(()))
    data: str = ""


@dataclass(slots=True)
class PersistentState:
    """The durable state that a replica's store returns at startup (figure 2 of the Raft paper)."""

    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[LogEntry] = field(default_factory=list)


class RaftLog:
    """The latest snapshot, the entries that were not compacted away, and the configurations by index.

    Methods that take an index raise EntryNotFoundError if the entry was compacted away or never appended.
    """

    def __init__(self, saved: PersistentState) -> None:
        """Initialize the log from the stored snapshot and entries.

        Raises:
            LogGapError: The stored entries are not contiguous, or do not continue the snapshot.
            ValueError: The body of a configuration entry is invalid.
        """
        self.snapshot = saved.snapshot
        # The entry before the first one kept; it is older than the snapshot if entries were kept for slow members.
        self._base_index, self._base_term = saved.snapshot.index, saved.snapshot.term
        self._entries = list(saved.entries)
        for expected, entry in enumerate(self._entries, self._base_index + 1):
            if entry.index != expected:
                raise LogGapError(expected, entry.index)
        self._configurations = [(saved.snapshot.index, saved.snapshot.configuration)]
        for entry in self._entries:
            self._record_configuration(entry)

    def _record_configuration(self, entry: LogEntry) -> None:
        if entry.entry_type is EntryType.CONFIGURATION:
            self._configurations.append((entry.index, Configuration.decode(entry.body)))

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot if no entry follows it."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the entry at `last_index`."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def first_index(self) -> int:
        """The index of the first entry that is still kept; the snapshot covers all earlier ones."""
        return self._base_index + 1

    @property
    def configuration(self) -> Configuration:
        """The configuration in force: the last one appended, committed or not (section 6)."""
        return self._configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """The index of the entry that holds the configuration in force."""
        return self._configurations[-1][0]

    def configuration_at(self, index: int) -> Configuration:
        """Return the configuration that was in force at the entry `index`."""
        return next(
            configuration for start, configuration in reversed(self._configurations) if start <= index
        )

    def matches(self, index: int, term: int) -> bool:
        """Tell whether the log holds the entry with that index and term, or has compacted that index away."""
        return index < self._base_index or (index <= self.last_index and self.term_at(index) == term)

    def term_at(self, index: int) -> int:
        """Return the term of the entry `index`, which may also be the last entry that was compacted away."""
        if index == self._base_index:
            return self._base_term
        return self[index].term

    def __getitem__(self, index: int) -> LogEntry:
        """Return the entry `index`."""
        if not self._base_index < index <= self.last_index:
            raise EntryNotFoundError(index, self.first_index, self.last_index)
        return self._entries[index - self._base_index - 1]

    def slice(self, first: int, last: int) -> list[LogEntry]:
        """Return the entries from `first` to `last`, both inclusive."""
        if first <= self._base_index:
            raise EntryNotFoundError(first, self.first_index, self.last_index)
        return list(islice(self._entries, first - self._base_index - 1, max(0, last - self._base_index)))

    def append(self, entry: LogEntry) -> None:
        """Append the entry, whose index must follow the last one."""
        assert entry.index == self.last_index + 1
        self._entries.append(entry)
        self._record_configuration(entry)

    def append_from_leader(self, entries: Sequence[LogEntry], commit_index: int) -> int | None:
        """Append the leader's missing entries and replace conflicting ones (section 5.3).

        Returns:
            The index of the first entry that was overwritten; None if no entry was.
        """
        overwritten = None
        for entry in entries:
            if entry.index <= self.last_index:
                if self.matches(entry.index, entry.term):
                    continue
                assert entry.index > commit_index, "a committed entry would be overwritten"
                self.truncate_from(entry.index)
                overwritten = entry.index
            self.append(entry)
        return overwritten

    def conflict_hint(self, index: int, commit_index: int) -> int:
        """Return the index before the first entry of the conflicting term at `index`, for the leader to retry from.

        Skipping the whole term saves one round trip per entry of the term (end of section 5.3).
        """
        term = self.term_at(index)
        while index > max(commit_index, self._base_index) and self.term_at(index) == term:
            index -= 1
        return index

    def truncate_from(self, first: int) -> None:
        """Delete the entry `first` and all later ones."""
        del self._entries[first - self._base_index - 1 :]
        self._configurations = [
            self._configurations[0],
            *(recorded for recorded in self._configurations[1:] if recorded[0] < first),
        ]

    def compact(self, snapshot: Snapshot, keep: int) -> None:
        """Discard the entries that the snapshot covers, except the last `keep`, which are sent to slow members."""
        base = max(self._base_index, snapshot.index - keep)
        term = self.term_at(base)
        configuration = self.configuration_at(base)
        del self._entries[: base - self._base_index]
        later = [recorded for recorded in self._configurations if recorded[0] > base]
        self._configurations = [(base, configuration), *later]
        self._base_index, self._base_term, self.snapshot = base, term, snapshot

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the whole log by a snapshot from the leader."""
        self._entries.clear()
        self._base_index, self._base_term, self.snapshot = snapshot.index, snapshot.term, snapshot
        self._configurations = [(snapshot.index, snapshot.configuration)]
