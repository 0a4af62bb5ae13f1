"""A replica's persistent state (term, vote, log and snapshot) in one SQLite file, through apsw.

One transaction holds all that one `Ready` asks for, and is synced before `save` returns. The file records whose it
is, its format, and which file it is on this disk: one that was restored from a backup, or copied, may lack entries and
votes that this replica has confirmed, and is never taken for its store.
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

# With the errors that opening and saving raise, so that a caller needs this module alone.
__all__ = ["FILE_NAME", "ForeignStoreError", "OpenedStore", "ReplicaStore", "StoreError", "StoreRefusedError"]

log = logging.getLogger(__name__)

FILE_NAME = "voter.sqlite"
WAL_SUFFIX, SHARED_MEMORY_SUFFIX = "-wal", "-shm"  # of the files that SQLite keeps beside it
PRAGMAS = ("locking_mode = exclusive", "journal_mode = wal", "synchronous = full")


@dataclass(slots=True)
class OpenedStore:
    """What was in the store when it was opened."""

    identity: str  # of the replica, within its group
    group: str  # the group's own name, given when it was created; empty until this replica was admitted
    state: PersistentState
    fresh: bool  # there was nothing before


class ReplicaStore:
    """The store of one replica.

    All calls come from one thread, one at a time. After a StoreError the object is of no use any more.
    """

    def __init__(self, folder: Path) -> None:
        """The file is made in `folder`, which need not exist yet, when the store is opened."""
        self.path = folder / FILE_NAME
        self._db: apsw.Connection | None = None
        self._facts = StoreFacts({})
        self._file_identity = ""

    def open(self, node: str, new_identity: str) -> OpenedStore:
        """Open the store of `node`, or create it with `new_identity` for its replica.

        A file that is not the one this replica wrote is moved aside, and a new one is created. Raises StoreError, and
        StoreRefusedError for a file that must be left alone.
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
        """Rename the closed file and what SQLite keeps beside it, and return the new path. Raises OSError."""
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
        # Before SQLite opens the file: closing any other descriptor of it gives up this process's locks on it.
        self._file_identity = file_identity(self.path)
        db = self._connect()
        if existed and self._lock(db):
            return self._read(db, node)
        return self._create(db, node, new_identity)

    def _connect(self) -> apsw.Connection:
        with self._faults_of_opening():
            db = self._db = apsw.Connection(str(self.path))
            db.set_busy_timeout(0)
            for pragma in PRAGMAS:
                db.execute(f"pragma {pragma}").fetchall()
            return db

    def _lock(self, db: apsw.Connection) -> bool:
        """Take the write lock on an existing file; False where its creator died before it had a table."""
        with self._faults_of_opening():
            try:
                with db:
                    db.execute("update facts set value = value where name = 'format'")
            except apsw.SQLError as fault:
                if "no such table" not in str(fault):
                    raise
                return False
            return True

    @contextlib.contextmanager
    def _faults_of_opening(self) -> Iterator[None]:
        """Tell a file in use and a file that is no database from other faults of SQLite."""
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
        """Make the file's name durable."""
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
        """Write what `ready` asks for, in one transaction; it is durable on return. Raises StoreError."""
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
        """Record the group that this replica is a member of. Raises StoreError."""
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
        """The bytes of the file and of its write-ahead log."""
        total = 0
        for suffix in ("", WAL_SUFFIX):
            with contextlib.suppress(FileNotFoundError):
                total += os.stat(f"{self.path}{suffix}").st_size
        return total

    def close(self) -> None:
        """Release the file and its locks. May be called again."""
        db, self._db = self._db, None
        if db is not None:
            with contextlib.suppress(apsw.Error):
                db.close(True)
