"""A voter's store with every kind of content, and its file as SQL schema and rows."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import apsw

from marlstep.cluster.store import OpenedStore, ReplicaStore
from marlstep.consensus.log import Configuration, EntryType, LogEntry, Snapshot
from marlstep.consensus.raft import Ready
from tests.golden.files import read_golden

FILE = "voter.sqlite"
NODE, IDENTITY, GROUP = "n1", "n1#0a0b0c", "1.feedbeef"
DISK_SPECIFIC_FACTS = ("file", "sum")  # facts that are different for each file


def write_store(folder: Path) -> None:
    """Write a store with a snapshot, later log entries of each type, a vote in a later term, and a group."""
    data = read_golden("snapshots.json")[0]["data"]
    bodies = [row["body"] for row in read_golden("log_commands.json")[:8]]
    group = Configuration((IDENTITY, "n2#1a"), ("n3#2a",))
    entries = [LogEntry(number, 1, EntryType.COMMAND, body) for number, body in enumerate(bodies, 1)]
    store = ReplicaStore(folder)
    store.open(NODE, IDENTITY)
    store.set_group(GROUP)
    store.save(Ready(1, 1, IDENTITY, entries=entries))
    store.save(Ready(2, 1, IDENTITY, Snapshot(5, 1, Configuration((IDENTITY,)), data), keep_after_index=2))
    more = [
        LogEntry(9, 2, EntryType.NOOP, ""),
        LogEntry(10, 2, EntryType.CONFIGURATION, group.encode()),
        LogEntry(11, 2, EntryType.COMMAND, 'a "text" with \u00e4, \u2713 and \\n'),
    ]
    store.save(Ready(3, 2, "n2#1a", entries=more))
    store.save(Ready(4, 3, "n3#2a"))
    store.close()


def read_store(folder: Path) -> dict[str, Any]:
    """Open the store and return the state that the program reads from it."""
    store = ReplicaStore(folder)
    try:
        opened: OpenedStore = store.open(NODE, "n1#anew")
    finally:
        store.close()
    saved, snapshot = opened.state, opened.state.snapshot
    return {
        "identity": opened.identity,
        "group": opened.group,
        "fresh": opened.fresh,
        "term": saved.term,
        "vote": saved.voted_for,
        "snapshot": {
            "index": snapshot.index,
            "term": snapshot.term,
            "group": snapshot.configuration.encode(),
            "data": snapshot.data,
        },
        "entries": [[entry.index, entry.term, entry.entry_type.value, entry.body] for entry in saved.entries],
    }


def dump(path: Path) -> dict[str, Any]:
    """Return the schema and rows of a file, with blobs in hexadecimal and `*` for facts that differ per file."""
    db = apsw.Connection(str(path))
    try:
        schema = db.execute(
            "select name, sql from sqlite_master where sql is not null order by name"
        ).fetchall()
        tables = {
            str(name): [list(row) for row in db.execute(f"select * from {name} order by 1").fetchall()]
            for name, _ in schema
        }
    finally:
        db.close()
    rows = {
        name: [[cell.hex() if isinstance(cell, bytes) else cell for cell in row] for row in table]
        for name, table in tables.items()
    }
    rows["facts"] = [["file", "*"] if name == "file" else [name, value] for name, value in rows["facts"]]
    rows["facts"] = [["sum", "*"] if name == "sum" else [name, value] for name, value in rows["facts"]]
    return {"schema": [list(row) for row in schema], "rows": rows}
