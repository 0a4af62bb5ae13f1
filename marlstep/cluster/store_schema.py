"""The SQLite schema of a replica's store: its tables, the form of their rows, and the checksums over them.

The names in the tables are those of the first version of the format; `StoreFacts` maps them to Python's.
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
FACTS_CHECKSUM = "sum"  # the name of the fact that holds the checksum of all others
SCHEMA = (
    "create table facts (name text primary key, value text not null) without rowid",
    "create table log (i integer primary key, term integer not null, kind text not null, body text not null,"
    " sum blob not null)",
    "create table snapshot (one integer primary key check (one = 1), i integer not null, term integer not null,"
    " members text not null, data text not null, sum blob not null)",
)

EntryRow = tuple[int, int, str, str, bytes]  # index, term, entry type, body, checksum


def checksum(*values: object) -> bytes:
    """The checksum of one row's values."""
    return hashlib.blake2b(orjson.dumps(values), digest_size=CHECKSUM_BYTES).digest()


@dataclass(slots=True, frozen=True)
class StoreFacts:
    """What the file records about itself: one value for each name, all under one checksum.

    A property raises KeyError where the file does not have the fact, and ValueError where it is not a number.
    """

    values: Mapping[str, str]  # by the names in the table

    @classmethod
    def of_new_store(cls, node: str, identity: str, file_identity: str) -> StoreFacts:
        """The facts of a store that holds nothing yet."""
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
        """The version of this schema that the file was written with."""
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
        """The group's own name; empty until the replica has been admitted to one."""
        return self.values["group"]

    @property
    def file_identity(self) -> str:
        """Which file this was when it was made (see `file_identity`)."""
        return self.values["file"]

    @property
    def term(self) -> int:
        """The current Raft term."""
        return int(self.values["term"])

    @property
    def voted_for(self) -> str:
        """Who got this replica's vote in the current term; empty where nobody has."""
        return self.values["vote"]

    @property
    def last_index(self) -> int:
        """The index of the last entry of the log, or of the snapshot where the log is empty."""
        return int(self.values["last"])

    def with_group(self, group: str) -> StoreFacts:
        """These facts, with another group."""
        return StoreFacts({**self.values, "group": group})

    def with_progress(self, term: int, voted_for: str, last_index: int) -> StoreFacts:
        """These facts, with what changes when a `Ready` is saved."""
        return StoreFacts({**self.values, "term": str(term), "vote": voted_for, "last": str(last_index)})

    def checksum(self) -> str:
        """The checksum over all facts, in hexadecimal."""
        return checksum(*sorted(self.values.items())).hex()

    def write(self, db: apsw.Connection) -> None:
        """Write all facts and their checksum. Raises apsw.Error."""
        rows = [*self.values.items(), (FACTS_CHECKSUM, self.checksum())]
        db.executemany("insert or replace into facts values (?, ?)", rows)


def write_entries(db: apsw.Connection, entries: list[LogEntry]) -> None:
    """Append entries to the log, in place of all from the first one's index on. Raises apsw.Error."""
    db.execute("delete from log where i >= ?", (entries[0].index,))
    db.executemany("insert into log values (?, ?, ?, ?, ?)", [_entry_row(entry) for entry in entries])


def _entry_row(entry: LogEntry) -> EntryRow:
    kind = entry.entry_type.value
    return entry.index, entry.term, kind, entry.body, checksum(entry.index, entry.term, kind, entry.body)


def write_snapshot(db: apsw.Connection, snapshot: Snapshot) -> None:
    """Replace the snapshot. Raises apsw.Error."""
    row = (snapshot.index, snapshot.term, snapshot.configuration.encode(), snapshot.data)
    db.execute("insert or replace into snapshot values (1, ?, ?, ?, ?, ?)", (*row, checksum(*row)))
