"""A voter's memory: term, vote, log and snapshot in one SQLite file, through apsw.

One transaction holds all that one `Ready` asks for, and is synced before it returns. The file says whose it is, of
which format, and which file it is on this disk: one that was put there from a backup, or copied, is not the memory of
this voter, and is never taken for it.
"""

from __future__ import annotations

import contextlib
import ctypes
import fcntl
import hashlib
import logging
import os
from dataclasses import dataclass
from pathlib import Path

import apsw
import orjson

from marlstep.consensus.log import Configuration, EntryType, LogEntry, PersistentState, Snapshot
from marlstep.consensus.raft import Ready

log = logging.getLogger(__name__)

FORMAT = 1
FILE = "voter.sqlite"
SCHEMA = (
    "create table facts (name text primary key, value text not null) without rowid",
    "create table log (i integer primary key, term integer not null, kind text not null, body text not null,"
    " sum blob not null)",
    "create table snapshot (one integer primary key check (one = 1), i integer not null, term integer not null,"
    " members text not null, data text not null, sum blob not null)",
)


class StoreError(Exception):
    """The store can't be used now: full, read-only, broken. What was not synced before is lost."""


class StoreRefusedError(Exception):
    """The file is another program's matter: a newer format, or in use. It is left as it is."""


class ForeignStoreError(Exception):
    """The file is no memory of this voter: cut, corrupt, or a copy. Who goes on here is somebody new."""


@dataclass(slots=True)
class OpenedStore:
    identity: str
    group: str  # the group's own name, given when it was made; empty before this voter was taken in
    state: PersistentState
    fresh: bool  # there was nothing before


def _sum(*parts: object) -> bytes:
    return hashlib.blake2b(orjson.dumps(parts), digest_size=12).digest()


class ReplicaStore:
    """All calls come from one thread, one at a time. Raises StoreError, and is of no use after that."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / FILE
        self._db: apsw.Connection | None = None
        self._facts: dict[str, str] = {}
        self._mark = ""  # which file this is on this disk

    # Opening.

    def open(self, node: str, new_identity: str) -> OpenedStore:
        """Raises StoreError, StoreRefused. A file that is not this voter's memory is moved aside."""
        try:
            try:
                return self._open(node, new_identity)
            except ForeignStoreError as fault:
                self.close()
                aside = self.set_aside()
                log.error(
                    "%s is not the memory of this voter: %s. It is kept as %s; this node comes back as a "
                    "new member that listens before it votes",
                    self.path,
                    fault,
                    aside.name,
                )
                return self._open(node, new_identity)
        except (apsw.Error, OSError) as fault:
            self.close()
            raise StoreError(f"{self.path}: {fault}") from fault
        except ForeignStoreError as fault:
            self.close()
            raise StoreError(f"{self.path}: {fault}") from fault

    def set_aside(self) -> Path:
        """Keep the closed file under another name; a new one is made in its place."""
        number = 1
        while (aside := self.path.with_suffix(f".aside-{number}")).exists():
            number += 1
        self.path.rename(aside)
        for tail in ("-wal", "-shm"):
            with contextlib.suppress(FileNotFoundError):
                os.rename(f"{self.path}{tail}", f"{aside}{tail}")
        return aside

    def _open(self, node: str, new_identity: str) -> OpenedStore:
        self.path.parent.mkdir(parents=True, exist_ok=True)
        there = self.path.exists()
        if not there:
            self.path.touch()
        # Before SQLite has it: closing any other descriptor of a file gives up this process's locks on it.
        self._mark = self._file()
        try:
            db = self._db = apsw.Connection(str(self.path))
            db.set_busy_timeout(0)
            for pragma in ("locking_mode = exclusive", "journal_mode = wal", "synchronous = full"):
                db.execute(f"pragma {pragma}").fetchall()
            with db:
                db.execute("update facts set value = value where name = 'format'") if there else None
        except apsw.BusyError as fault:
            raise StoreRefusedError(f"{self.path} is in use by another process") from fault
        except (apsw.NotADBError, apsw.CorruptError) as fault:
            raise ForeignStoreError(str(fault)) from fault
        except apsw.SQLError as fault:
            if "no such table" not in str(fault):
                raise ForeignStoreError(str(fault)) from fault
            there = False  # the file was made, and its process died before it had a table
        if not there:
            return self._make(node, new_identity)
        return self._read(node)

    def _make(self, node: str, identity: str) -> OpenedStore:
        assert self._db is not None
        with self._db:
            for statement in SCHEMA:
                self._db.execute(statement)
            facts = {
                "format": str(FORMAT),
                "node": node,
                "identity": identity,
                "group": "",
                "file": self._mark,
                "term": "0",
                "vote": "",
                "last": "0",
            }
            self._facts = {}
            self._write_facts(**facts)
        self._sync_folder()
        return OpenedStore(identity, "", PersistentState(), True)

    def _file(self) -> str:
        """Which file this is on this disk: a copy is another one, also where it got the number of the first."""
        return f"{self.path.stat().st_ino}:{_generation(self.path)}:{_born(self.path)}"

    def _write_facts(self, **changed: str) -> None:
        """The facts change together, under one checksum."""
        assert self._db is not None
        self._facts |= changed
        rows = [*self._facts.items(), ("sum", _facts_sum(self._facts))]
        self._db.executemany("insert or replace into facts values (?, ?)", rows)

    def _sync_folder(self) -> None:
        folder = os.open(self.path.parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def _read(self, node: str) -> OpenedStore:
        assert self._db is not None
        try:
            rows = self._db.execute("select name, value from facts").fetchall()
            facts = {str(name): str(value) for name, value in rows}
            if int(facts["format"]) > FORMAT:
                raise StoreRefusedError(
                    f"{self.path} has format {facts['format']}, of a newer program; this one knows {FORMAT}"
                )
            if facts.pop("sum") != _facts_sum(facts):
                raise ForeignStoreError("what it says of itself is not as it was written")
            if facts["node"] != node:
                raise StoreRefusedError(f"{self.path} is of node {facts['node']}, and this is {node}")
            if facts["file"] != self._mark:
                raise ForeignStoreError(
                    f"it is a copy: made as file {facts['file']}, and this is {self._mark}"
                )
            saved = PersistentState(int(facts["term"]), facts["vote"], self._snapshot(), [])
            entries = self._db.execute(
                "select i, term, kind, body, sum from log where i > ? order by i", (saved.snapshot.index,)
            )
            for index, term, kind, body, check in entries:
                if check != _sum(index, term, kind, body) or index != saved.snapshot.index + 1 + len(
                    saved.entries
                ):
                    raise ForeignStoreError(f"entry {index} of the log is not as it was written")
                saved.entries.append(LogEntry(index, term, EntryType(kind), body))
            last = saved.snapshot.index + len(saved.entries)
            if last != int(facts["last"]):
                raise ForeignStoreError(f"its log ends at {last}, and was written to {facts['last']}")
            self._facts = facts
            return OpenedStore(facts["identity"], facts["group"], saved, False)
        except (apsw.CorruptError, apsw.SQLError, KeyError, ValueError) as fault:
            raise ForeignStoreError(f"it can't be read: {fault}") from fault

    def _snapshot(self) -> Snapshot:
        assert self._db is not None
        row = self._db.execute("select i, term, members, data, sum from snapshot").fetchone()
        if row is None:
            return Snapshot()
        index, term, members, data, check = row
        if check != _sum(index, term, members, data):
            raise ForeignStoreError("the snapshot is not as it was written")
        return Snapshot(index, term, Configuration.decode(members), data)

    # Writing.

    def save(self, ready: Ready) -> None:
        """Durable when this returns. Raises StoreError."""
        db, before = self._db, dict(self._facts)
        if db is None:
            raise StoreError(f"{self.path} is closed")
        try:
            with db:
                last = int(self._facts["last"])
                if ready.replaces_log and ready.snapshot is not None:
                    last = ready.snapshot.index
                if ready.entries:
                    last = ready.entries[-1].index
                self._write_facts(term=str(ready.term), vote=ready.voted_for, last=str(last))
                if (snapshot := ready.snapshot) is not None:
                    self._write_snapshot(db, snapshot)
                    if ready.replaces_log:
                        db.execute("delete from log")
                    db.execute("delete from log where i <= ?", (min(ready.keep_after_index, snapshot.index),))
                if ready.entries:
                    db.execute("delete from log where i >= ?", (ready.entries[0].index,))
                    rows = [
                        (
                            one.index,
                            one.term,
                            one.entry_type.value,
                            one.body,
                            _sum(one.index, one.term, one.entry_type, one.body),
                        )
                        for one in ready.entries
                    ]
                    db.executemany("insert into log values (?, ?, ?, ?, ?)", rows)
        except apsw.Error as fault:
            self._facts = before
            raise StoreError(f"{self.path}: {type(fault).__name__}: {fault}") from fault

    @staticmethod
    def _write_snapshot(db: apsw.Connection, snapshot: Snapshot) -> None:
        row = (snapshot.index, snapshot.term, snapshot.configuration.encode(), snapshot.data)
        db.execute("insert or replace into snapshot values (1, ?, ?, ?, ?, ?)", (*row, _sum(*row)))

    def set_group(self, group: str) -> None:
        """The group that this voter is of. Raises StoreError."""
        if self._db is None:
            raise StoreError(f"{self.path} is closed")
        try:
            with self._db:
                self._write_facts(group=group)
        except apsw.Error as fault:
            raise StoreError(f"{self.path}: {fault}") from fault

    def size(self) -> int:
        """Bytes of the file and of what is beside it."""
        total = 0
        for tail in ("", "-wal"):
            with contextlib.suppress(FileNotFoundError):
                total += os.stat(f"{self.path}{tail}").st_size
        return total

    def close(self) -> None:
        """The one place where the file is given back. May be called again."""
        db, self._db = self._db, None
        if db is not None:
            with contextlib.suppress(apsw.Error):
                db.close(True)


def _facts_sum(facts: dict[str, str]) -> str:
    return _sum(*sorted(facts.items())).hex()


GET_VERSION = 0x80087601  # FS_IOC_GETVERSION: grows when a file's number is used again
BORN = 0x800  # STATX_BTIME
BORN_AT = 80  # where it stands in a struct statx: 8 bytes of seconds, 4 of nanoseconds
AT_FDCWD = -100


def _generation(path: Path) -> int:
    """0 where the file system does not tell."""
    with path.open("rb") as one, contextlib.suppress(OSError):
        return int.from_bytes(fcntl.ioctl(one, GET_VERSION, b"\0" * 8)[:4], "little")
    return 0


def _born(path: Path) -> int:
    """When the file was made, in nanoseconds; 0 where the system does not tell. Python has no call for it yet."""
    told = ctypes.create_string_buffer(256)
    try:
        failed = ctypes.CDLL(None).statx(AT_FDCWD, os.fsencode(path), 0, BORN, told)
    except (AttributeError, OSError):
        return 0
    if failed or not int.from_bytes(told.raw[:4], "little") & BORN:
        return 0
    seconds = int.from_bytes(told.raw[BORN_AT : BORN_AT + 8], "little", signed=True)
    return seconds * 1_000_000_000 + int.from_bytes(told.raw[BORN_AT + 8 : BORN_AT + 12], "little")


def make_group(folder: Path, node: str, identity: str, group: str) -> None:
    """The first voter of a new group: it votes alone, and takes the others in.

    Raises StoreError, and StoreRefused where there is a store already.
    """
    store = ReplicaStore(folder)
    if store.path.exists():
        raise StoreRefusedError(f"{store.path} is there already: this voter is of a group, or waits for one")
    store.open(node, identity)
    try:
        store.set_group(group)
        store.save(Ready(1, 0, "", Snapshot(0, 0, Configuration((identity,)), "")))
    finally:
        store.close()


TOKENS_LEFT_OUT = 1_000_000  # entries that were lost may have given out tokens


def recover(folder: Path, node: str, group: str) -> dict[str, object]:
    """A group of this voter alone, from all that its store has. The others' stores are of the group before.

    Tokens go on far above those that are known: entries that only the others had may have given some out. Raises
    StoreError, StoreRefused.
    """
    from marlstep.consensus.state_machine import StateMachines
    from marlstep.leases.table import LeaseTable
    from marlstep.scheduled_tasks.run_log import RunLog

    store = ReplicaStore(folder)
    if not store.path.exists():
        raise StoreRefusedError(f"{store.path} is not there: there is nothing to go on from")
    told = store.open(node, "")
    try:
        if told.fresh:
            raise StoreRefusedError(f"{store.path} had no memory of this voter")
        table = LeaseTable()
        machines = StateMachines({"leases": table, "tasks": RunLog(table)})
        saved = told.state
        if saved.snapshot.data:
            machines.restore(saved.snapshot.data)
        for entry in saved.entries:
            if entry.entry_type is EntryType.COMMAND:
                machines.apply(entry.body)
        table.last_token += TOKENS_LEFT_OUT
        last = saved.entries[-1].index if saved.entries else saved.snapshot.index
        term = saved.term + 1
        snapshot = Snapshot(last, term, Configuration((told.identity,)), machines.snapshot())
        store.set_group(group)
        store.save(Ready(1, term, "", snapshot, True, last))
        return {"identity": told.identity, "group": group, "entries": last, "token": table.last_token}
    finally:
        store.close()
