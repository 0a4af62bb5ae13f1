"""The replicated log in memory: entries behind a snapshot, and the groups of voters that it has named."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from itertools import islice

import orjson


class EntryType(enum.StrEnum):
    NOOP = "empty"  # the first of a leader's term
    COMMAND = "command"  # for the machine
    CONFIGURATION = "group"  # who votes from here on


@dataclass(slots=True, frozen=True)
class LogEntry:
    index: int  # from 1
    term: int
    entry_type: EntryType
    body: str


@dataclass(slots=True, frozen=True)
class Configuration:
    """Who votes and who only listens, by identity."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()

    @property
    def members(self) -> tuple[str, ...]:
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        return len(self.voters) // 2 + 1

    def encode(self) -> str:
        return orjson.dumps([self.voters, self.learners]).decode()

    @staticmethod
    def decode(text: str) -> Configuration:
        """Raises ValueError."""
        voters, learners = orjson.loads(text)
        names = [*voters, *learners]
        if not all(isinstance(name, str) for name in names) or len(set(names)) < len(names):
            raise ValueError("a group's members must be names, each once")
        return Configuration(tuple(voters), tuple(learners))


@dataclass(slots=True, frozen=True)
class Snapshot:
    """What the machine had after the entry at `index`, and the group as of then."""

    index: int = 0
    term: int = 0
    configuration: Configuration = field(default_factory=lambda: Configuration(()))
    data: str = ""


@dataclass(slots=True)
class PersistentState:
    """What a voter's store gives back at a start: all that was durable."""

    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[LogEntry] = field(default_factory=list)


class RaftLog:
    """Raises LookupError for what the snapshot has swallowed, or what is not there."""

    def __init__(self, saved: PersistentState) -> None:
        self.snapshot = saved.snapshot
        self._snapshot_index, self._snapshot_term = saved.snapshot.index, saved.snapshot.term
        self._entries = list(saved.entries)
        for number, entry in enumerate(self._entries, self._snapshot_index + 1):
            if entry.index != number:
                raise ValueError(f"the log has entry {entry.index} where {number} should be")
        self._configurations = [(saved.snapshot.index, saved.snapshot.configuration)]
        for entry in self._entries:
            self._record_configuration(entry)

    def _record_configuration(self, entry: LogEntry) -> None:
        if entry.entry_type is EntryType.CONFIGURATION:
            self._configurations.append((entry.index, Configuration.decode(entry.body)))

    @property
    def last_index(self) -> int:
        return self._snapshot_index + len(self._entries)

    @property
    def last_term(self) -> int:
        return self._entries[-1].term if self._entries else self._snapshot_term

    @property
    def first_index(self) -> int:
        """The first entry that is still here; what is before it is in the snapshot."""
        return self._snapshot_index + 1

    @property
    def configuration(self) -> Configuration:
        """In force: the last that was appended, committed or not."""
        return self._configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        return self._configurations[-1][0]

    def configuration_at(self, index: int) -> Configuration:
        return next(group for at, group in reversed(self._configurations) if at <= index)

    def matches(self, index: int, term: int) -> bool:
        """That very entry is here, or was before it went into the snapshot."""
        return index < self._snapshot_index or (index <= self.last_index and self.term_at(index) == term)

    def term_at(self, index: int) -> int:
        if index == self._snapshot_index:
            return self._snapshot_term
        return self[index].term

    def __getitem__(self, index: int) -> LogEntry:
        if not self._snapshot_index < index <= self.last_index:
            raise LookupError(
                f"entry {index} is not in the log, which has {self.first_index} to {self.last_index}"
            )
        return self._entries[index - self._snapshot_index - 1]

    def slice(self, first: int, last: int) -> list[LogEntry]:
        """Both included."""
        if first <= self._snapshot_index:
            raise LookupError(f"entry {first} is in the snapshot")
        return list(
            islice(self._entries, first - self._snapshot_index - 1, max(0, last - self._snapshot_index))
        )

    def append(self, entry: LogEntry) -> None:
        assert entry.index == self.last_index + 1
        self._entries.append(entry)
        self._record_configuration(entry)

    def truncate_from(self, first: int) -> None:
        """Drop that entry and all behind it: another leader's log goes on differently."""
        del self._entries[first - self._snapshot_index - 1 :]
        self._configurations = [
            self._configurations[0],
            *(one for one in self._configurations[1:] if one[0] < first),
        ]

    def compact(self, snapshot: Snapshot, keep: int) -> None:
        """The snapshot stands for all up to its index; the last `keep` of those stay for members that lag."""
        base = max(self._snapshot_index, snapshot.index - keep)
        term = self.term_at(base)
        group = self.configuration_at(base)
        del self._entries[: base - self._snapshot_index]
        self._configurations = [(base, group), *(one for one in self._configurations if one[0] > base)]
        self._snapshot_index, self._snapshot_term, self.snapshot = base, term, snapshot

    def restore(self, snapshot: Snapshot) -> None:
        """The snapshot takes the place of all that is here."""
        self._entries.clear()
        self._snapshot_index, self._snapshot_term, self.snapshot = snapshot.index, snapshot.term, snapshot
        self._configurations = [(snapshot.index, snapshot.configuration)]
