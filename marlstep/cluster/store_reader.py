"""Reads a replica's store, and verifies that this replica wrote the file and that it is complete."""

from __future__ import annotations

from pathlib import Path

import apsw

from marlstep.cluster.store_errors import ForeignStoreError, StoreRefusedError
from marlstep.cluster.store_schema import FACTS_CHECKSUM, FORMAT_VERSION, StoreFacts, checksum
from marlstep.consensus.log import Configuration, EntryType, LogEntry, PersistentState, Snapshot


class StoreReader:
    """Reads and verifies one open database."""

    def __init__(self, db: apsw.Connection, path: Path, node: str, file_identity: str) -> None:
        """Initialize the reader; the database is not read before `read`.

        Args:
            db: The open database.
            path: The path of its file, for error messages.
            node: The node that the store must belong to.
            file_identity: The actual identity of the file (see `file_identity`).

        """
        self._db, self._path, self._node, self._file_identity = db, path, node, file_identity

    def read(self) -> tuple[StoreFacts, PersistentState]:
        """Read and verify the whole file.

        Raises:
            ForeignStoreError: the file is corrupt or a copy.
            StoreRefusedError: the file has a newer format or belongs to another node.
        """
        try:
            facts = self._read_facts()
            snapshot = self._read_snapshot()
            entries = self._read_entries(snapshot.index)
            last_index = snapshot.index + len(entries)
            if last_index != facts.last_index:
                raise ForeignStoreError(self._path, "last index of the log", facts.last_index, last_index)
            return facts, PersistentState(facts.term, facts.voted_for, snapshot, entries)
        except (apsw.CorruptError, apsw.SQLError, KeyError, ValueError) as fault:
            raise ForeignStoreError(self._path, "contents", "readable rows", repr(fault)) from fault

    def _read_facts(self) -> StoreFacts:
        rows = self._db.execute("select name, value from facts").fetchall()
        values = {str(name): str(value) for name, value in rows}
        found_checksum = values.pop(FACTS_CHECKSUM, None)
        facts = StoreFacts(values)
        # The format is checked first, because a newer one may compute its checksum differently.
        if facts.format_version > FORMAT_VERSION:
            reason = (
                f"has format {facts.format_version}, of a newer program; expected at most {FORMAT_VERSION}"
            )
            raise StoreRefusedError(self._path, reason)
        if found_checksum != facts.checksum():
            raise ForeignStoreError(self._path, "checksum of the facts", facts.checksum(), found_checksum)
        if facts.node != self._node:
            raise StoreRefusedError(self._path, f"belongs to node {facts.node}, expected node {self._node}")
        if facts.file_identity != self._file_identity:
            raise ForeignStoreError(self._path, "file identity", facts.file_identity, self._file_identity)
        return facts

    def _read_snapshot(self) -> Snapshot:
        row = self._db.execute("select i, term, members, data, sum from snapshot").fetchone()
        if row is None:
            return Snapshot()
        index, term, members, data, found_checksum = row
        self._check_row("snapshot", found_checksum, index, term, members, data)
        return Snapshot(index, term, Configuration.decode(members), data)

    def _read_entries(self, after_index: int) -> list[LogEntry]:
        entries: list[LogEntry] = []
        rows = self._db.execute(
            "select i, term, kind, body, sum from log where i > ? order by i", (after_index,)
        )
        for index, term, kind, body, found_checksum in rows:
            self._check_row(f"log entry {index}", found_checksum, index, term, kind, body)
            expected_index = after_index + len(entries) + 1
            if index != expected_index:
                raise ForeignStoreError(self._path, "index of a log entry", expected_index, index)
            entries.append(LogEntry(index, term, EntryType(kind), body))
        return entries

    def _check_row(self, part: str, found: object, *values: object) -> None:
        expected = checksum(*values)
        if found != expected:
            raise ForeignStoreError(self._path, f"checksum of the {part}", expected, found)
