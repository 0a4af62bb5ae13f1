"""A replica's persistent state (term, vote, log and snapshot) in one SQLite file, through apsw.

All changes of one `Ready` are written in one transaction, which is synced before `save` returns. The file records the
replica that it belongs to, its format version, and its identity on this disk. A file that was copied or restored from a
backup may lack entries and votes that this replica has acknowledged, and is never used as its store.
"""

from __future__ import annotations

import contextlib
import logging
import os
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import apsw

from marlstep.cluster.file_identity import file_identity
from marlstep.cluster.store_errors import ForeignStoreError, StoreError, StoreRefusedError
from marlstep.cluster.store_reader import StoreReader
from marlstep.cluster.store_schema import SCHEMA, StoreFacts, write_entries, write_snapshot
from marlstep.consensus.log import PersistentState
from marlstep.consensus.raft import Ready

# Includes the errors that opening and saving raise, so that callers need to import this module only.
__all__ = ["FILE_NAME", "ForeignStoreError", "OpenedStore", "ReplicaStore", "StoreError", "StoreRefusedError"]

log = logging.getLogger(__name__)

FILE_NAME = "voter.sqlite"
WAL_SUFFIX, SHARED_MEMORY_SUFFIX = "-wal", "-shm"  # suffixes of SQLite's auxiliary files
PRAGMAS = ("locking_mode = exclusive", "journal_mode = wal", "synchronous = full")


@dataclass(slots=True)
class OpenedStore:
    """The content of the store when it was opened."""

    identity: str  # of the replica within its group
    group: str  # the name of the group; empty until this replica was admitted to one
    state: PersistentState
    fresh: bool  # whether the store was newly created


class ReplicaStore:
    """The store of one replica.

    All calls must come from one thread, one at a time. After a StoreError the object must not be used any more.
    """

    def __init__(self, folder: Path) -> None:
        """Initialize a closed store in `folder`. The folder and the file are created by `open` if necessary."""
        self.path = folder / FILE_NAME
        self._db: apsw.Connection | None = None
        self._facts = StoreFacts({})
        self._file_identity = ""

    def open(self, node: str, new_identity: str) -> OpenedStore:
        """Open the store of `node`, or create it with `new_identity` for its replica.

        A file that this replica did not write is renamed, and a new one is created.

        Raises:
            StoreError: the file can't be read or created.
            StoreRefusedError: the file must not be used or changed.
        """
        try:
            return self._open_or_replace(node, new_identity)
        except ForeignStoreError as fault:
            self.close()
            raise StoreError(self.path, fault.reason) from fault
        except (apsw.Error, OSError) as fault:
            self.close()
            raise StoreError(self.path, fault) from fault

    def _open_or_replace(self, node: str, new_identity: str) -> OpenedStore:
        try:
            return self._open(node, new_identity)
        except ForeignStoreError as fault:
            self.close()
            reason = fault.reason
        aside = self.set_aside()
        log.error(
            "store: not written by this replica, which rejoins as a new member and does not vote at first "
            "path=%s reason=%r kept_as=%s",
            self.path,
            reason,
            aside.name,
        )
        return self._open(node, new_identity)

    def set_aside(self) -> Path:
        """Rename the closed file and SQLite's auxiliary files, and return the new path.

        Raises:
            OSError: the file can't be renamed.
        """
        number = 1
        while (aside := self.path.with_suffix(f".aside-{number}")).exists():
            number += 1
        self.path.rename(aside)
        for suffix in (WAL_SUFFIX, SHARED_MEMORY_SUFFIX):
            with contextlib.suppress(FileNotFoundError):
                os.rename(f"{self.path}{suffix}", f"{aside}{suffix}")
        return aside

    def _open(self, node: str, new_identity: str) -> OpenedStore:
        self.path.parent.mkdir(parents=True, exist_ok=True)
        existed = self.path.exists()
        if not existed:
            self.path.touch()
        # Read before SQLite opens the file, because closing another descriptor of it would release SQLite's locks.
        self._file_identity = file_identity(self.path)
        db = self._connect()
        if existed and self._lock(db):
            return self._read(db, node)
        return self._create(db, node, new_identity)

    def _connect(self) -> apsw.Connection:
        with self._converted_open_errors():
            db = self._db = apsw.Connection(str(self.path))
            db.set_busy_timeout(0)
            for pragma in PRAGMAS:
                db.execute(f"pragma {pragma}").fetchall()
            return db

    def _lock(self, db: apsw.Connection) -> bool:
        """Take the write lock on an existing file; return False if its creator died before creating the tables."""
        with self._converted_open_errors():
            try:
                with db:
                    db.execute("update facts set value = value where name = 'format'")
            except apsw.SQLError as fault:
                if "no such table" not in str(fault):
                    raise
                return False
            return True

    @contextlib.contextmanager
    def _converted_open_errors(self) -> Iterator[None]:
        """Convert SQLite's errors for a file that is in use and for a file that is not a database."""
        try:
            yield
        except apsw.BusyError as fault:
            raise StoreRefusedError(self.path, "is in use by another process") from fault
        except (apsw.NotADBError, apsw.CorruptError, apsw.SQLError) as fault:
            raise ForeignStoreError(self.path, "file", "a SQLite database", repr(fault)) from fault

    def _create(self, db: apsw.Connection, node: str, identity: str) -> OpenedStore:
        facts = StoreFacts.of_new_store(node, identity, self._file_identity)
        with db:
            for statement in SCHEMA:
                db.execute(statement)
            facts.write(db)
        self._facts = facts
        self._sync_folder()
        return OpenedStore(identity, facts.group, PersistentState(), fresh=True)

    def _sync_folder(self) -> None:
        """Sync the folder, so that the file's name is durable."""
        folder = os.open(self.path.parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def _read(self, db: apsw.Connection, node: str) -> OpenedStore:
        facts, state = StoreReader(db, self.path, node, self._file_identity).read()
        self._facts = facts
        return OpenedStore(facts.identity, facts.group, state, fresh=False)

    def save(self, ready: Ready) -> None:
        """Write all changes of `ready` in one transaction, which is durable on return.

        Raises:
            StoreError: the store is closed or can't be written.
        """
        db = self._connection()
        facts = self._facts.with_progress(ready.term, ready.voted_for, self._last_index_after(ready))
        try:
            with db:
                facts.write(db)
                if (snapshot := ready.snapshot) is not None:
                    write_snapshot(db, snapshot)
                    if ready.replaces_log:
                        db.execute("delete from log")
                    covered = min(ready.keep_after_index, snapshot.index)
                    db.execute("delete from log where i <= ?", (covered,))
                if ready.entries:
                    write_entries(db, ready.entries)
        except apsw.Error as fault:
            raise StoreError(self.path, f"{type(fault).__name__}: {fault}") from fault
        self._facts = facts

    def _last_index_after(self, ready: Ready) -> int:
        if ready.entries:
            return ready.entries[-1].index
        if ready.replaces_log and ready.snapshot is not None:
            return ready.snapshot.index
        return self._facts.last_index

    def set_group(self, group: str) -> None:
        """Record the group that this replica is a member of.

        Raises:
            StoreError: the store is closed or can't be written.
        """
        db = self._connection()
        facts = self._facts.with_group(group)
        try:
            with db:
                facts.write(db)
        except apsw.Error as fault:
            raise StoreError(self.path, fault) from fault
        self._facts = facts

    def _connection(self) -> apsw.Connection:
        if self._db is None:
            raise StoreError(self.path, "the store is closed")
        return self._db

    def size(self) -> int:
        """Return the size in bytes of the file and its write-ahead log."""
        total = 0
        for suffix in ("", WAL_SUFFIX):
            with contextlib.suppress(FileNotFoundError):
                total += os.stat(f"{self.path}{suffix}").st_size
        return total

    def close(self) -> None:
        """Release the file and its locks. Repeated calls have no effect."""
        db, self._db = self._db, None
        if db is not None:
            with contextlib.suppress(apsw.Error):
                db.close(True)
