"""The SQLite schema of a replica's store: its tables, the format of their rows, and their checksums.

The names in the tables are fixed by the first version of the format; `StoreFacts` maps them to properties.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

import apsw
import orjson

from marlstep.consensus.log import LogEntry, Snapshot

FORMAT_VERSION = 1
CHECKSUM_BYTES = 12
FACTS_CHECKSUM = "sum"  # name of the fact that holds the checksum of all other facts
SCHEMA = (
    "create table facts (name text primary key, value text not null) without rowid",
    "create table log (i integer primary key, term integer not null, kind text not null, body text not null,"
    " sum blob not null)",
    "create table snapshot (one integer primary key check (one = 1), i integer not null, term integer not null,"
    " members text not null, data text not null, sum blob not null)",
)

EntryRow = tuple[int, int, str, str, bytes]  # index, term, entry type, body, checksum


def checksum(*values: object) -> bytes:
    """Return the checksum of one row's values."""
    return hashlib.blake2b(orjson.dumps(values), digest_size=CHECKSUM_BYTES).digest()


@dataclass(slots=True, frozen=True)
class StoreFacts:
    """Metadata of the file: one value for each name, with one checksum over all.

    A property raises KeyError if the file lacks the fact, and ValueError if a numeric fact is not a number.
    """

    values: Mapping[str, str]  # by name in the table

    @classmethod
    def of_new_store(cls, node: str, identity: str, file_identity: str) -> StoreFacts:
        """Return the facts of an empty store."""
        return cls(
            {
                "format": str(FORMAT_VERSION),
                "node": node,
                "identity": identity,
                "group": "",
                "file": file_identity,
                "term": "0",
                "vote": "",
                "last": "0",
            }
        )

    @property
    def format_version(self) -> int:
        """The schema version that the file was written with."""
        return int(self.values["format"])

    @property
    def node(self) -> str:
        """The name of the node that the replica belongs to."""
        return self.values["node"]

    @property
    def identity(self) -> str:
        """The replica's identity within its group."""
        return self.values["identity"]

    @property
    def group(self) -> str:
        """The name of the group; empty until the replica has been admitted to one."""
        return self.values["group"]

    @property
    def file_identity(self) -> str:
        """The identity of the file when it was created (see `file_identity`)."""
        return self.values["file"]

    @property
    def term(self) -> int:
        """The current Raft term."""
        return int(self.values["term"])

    @property
    def voted_for(self) -> str:
        """The candidate that this replica voted for in the current term; empty if none."""
        return self.values["vote"]

    @property
    def last_index(self) -> int:
        """The index of the last log entry, or of the snapshot if the log is empty."""
        return int(self.values["last"])

    def with_group(self, group: str) -> StoreFacts:
        """Return a copy of these facts with another group."""
        return StoreFacts({**self.values, "group": group})

    def with_progress(self, term: int, voted_for: str, last_index: int) -> StoreFacts:
        """Return a copy of these facts with the values that change when a `Ready` is saved."""
        return StoreFacts({**self.values, "term": str(term), "vote": voted_for, "last": str(last_index)})

    def checksum(self) -> str:
        """Return the checksum over all facts in hexadecimal."""
        return checksum(*sorted(self.values.items())).hex()

    def write(self, db: apsw.Connection) -> None:
        """Write all facts and their checksum.

        Raises:
            apsw.Error: the database can't be written.
        """
        rows = [*self.values.items(), (FACTS_CHECKSUM, self.checksum())]
        db.executemany("insert or replace into facts values (?, ?)", rows)


def write_entries(db: apsw.Connection, entries: list[LogEntry]) -> None:
    """Append entries to the log, and remove existing ones from the first entry's index on.

    Raises:
        apsw.Error: the database can't be written.
    """
    db.execute("delete from log where i >= ?", (entries[0].index,))
    db.executemany("insert into log values (?, ?, ?, ?, ?)", [_entry_row(entry) for entry in entries])


def _entry_row(entry: LogEntry) -> EntryRow:
    kind = entry.entry_type.value
    return entry.index, entry.term, kind, entry.body, checksum(entry.index, entry.term, kind, entry.body)


def write_snapshot(db: apsw.Connection, snapshot: Snapshot) -> None:
    """Replace the snapshot.

    Raises:
        apsw.Error: the database can't be written.
    """
    row = (snapshot.index, snapshot.term, snapshot.configuration.encode(), snapshot.data)
    db.execute("insert or replace into snapshot values (1, ?, ?, ?, ?, ?)", (*row, checksum(*row)))
