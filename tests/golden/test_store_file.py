"""A voter's store on disk: the committed file opens with its whole state, and the same state is written again alike."""

from __future__ import annotations

import hashlib
from pathlib import Path

import apsw
import orjson
import pytest

from marlstep.cluster.store import ReplicaStore
from tests.golden.files import FOLDER, read_golden
from tests.golden.stored import DISK_SPECIFIC_FACTS, FILE, IDENTITY, NODE, dump, read_store, write_store

GOLDEN = read_golden("store.json")


def read_facts(path: Path) -> dict[str, str]:
    db = apsw.Connection(str(path))
    try:
        return {str(name): str(value) for name, value in db.execute("select name, value from facts")}
    finally:
        db.close()


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """Return a folder with the committed file, adapted to pass as a file that the program made on this disk."""
    store = ReplicaStore(tmp_path)
    store.open(NODE, IDENTITY)
    store.close()
    path = tmp_path / FILE
    file_mark = read_facts(path)["file"]
    path.write_bytes((FOLDER / FILE).read_bytes())  # overwritten in place, so that it keeps its inode
    facts = read_facts(path) | {"file": file_mark}
    del facts["sum"]
    checksum = hashlib.blake2b(orjson.dumps(sorted(facts.items())), digest_size=12).hexdigest()
    db = apsw.Connection(str(path))
    db.execute("update facts set value = ? where name = 'file'", (file_mark,))
    db.execute("update facts set value = ? where name = 'sum'", (checksum,))
    db.close()
    return tmp_path


def test_the_committed_file_opens_with_the_exact_stored_state(folder: Path) -> None:
    assert read_store(folder) == GOLDEN["state"]
    assert dump(folder / FILE) == GOLDEN["file"]
    assert not list(folder.glob("*aside*"))


def test_the_committed_file_can_be_changed_and_reopened(folder: Path) -> None:
    store = ReplicaStore(folder)
    opened = store.open(NODE, "n1#anew")
    store.set_group("1.other")
    store.close()
    reopened = read_store(folder)
    assert opened.identity == IDENTITY and reopened == GOLDEN["state"] | {"group": "1.other"}


def test_the_same_state_is_written_with_the_same_schema_and_rows(tmp_path: Path) -> None:
    write_store(tmp_path)
    assert dump(tmp_path / FILE) == GOLDEN["file"]
    assert read_store(tmp_path) == GOLDEN["state"]


def test_only_disk_specific_facts_are_left_out_of_the_rows() -> None:
    left_out = {name for name, value in GOLDEN["file"]["rows"]["facts"] if value == "*"}
    assert left_out == set(DISK_SPECIFIC_FACTS)


def test_the_committed_file_holds_the_stored_rows(tmp_path: Path) -> None:
    (tmp_path / FILE).write_bytes((FOLDER / FILE).read_bytes())
    assert dump(tmp_path / FILE) == GOLDEN["file"]
