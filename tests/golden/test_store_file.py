"""A voter's file on disk: the committed one opens and gives back all, and is written again as it was."""

from __future__ import annotations

import hashlib
from pathlib import Path

import apsw
import orjson
import pytest

from marlstep.cluster.store import ReplicaStore
from tests.golden.files import FOLDER, read_golden
from tests.golden.stored import FILE, IDENTITY, NODE, OF_THIS_DISK, dump, read_store, write_store

GOLDEN = read_golden("store.json")


def facts_of(path: Path) -> dict[str, str]:
    db = apsw.Connection(str(path))
    try:
        return {str(name): str(value) for name, value in db.execute("select name, value from facts")}
    finally:
        db.close()


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """The committed file, in the place of one that the program made on this disk."""
    store = ReplicaStore(tmp_path)
    store.open(NODE, IDENTITY)
    store.close()
    path = tmp_path / FILE
    mark = facts_of(path)["file"]
    path.write_bytes((FOLDER / FILE).read_bytes())  # written over: to the disk it is the same file
    facts = facts_of(path) | {"file": mark}
    del facts["sum"]
    told = hashlib.blake2b(orjson.dumps(sorted(facts.items())), digest_size=12).hexdigest()
    db = apsw.Connection(str(path))
    db.execute("update facts set value = ? where name = 'file'", (mark,))
    db.execute("update facts set value = ? where name = 'sum'", (told,))
    db.close()
    return tmp_path


def test_the_committed_file_opens_and_gives_back_the_exact_state(folder: Path) -> None:
    assert read_store(folder) == GOLDEN["state"]
    assert dump(folder / FILE) == GOLDEN["file"]
    assert not list(folder.glob("*aside*"))


def test_the_committed_file_goes_on_where_it_is(folder: Path) -> None:
    store = ReplicaStore(folder)
    told = store.open(NODE, "n1#anew")
    store.set_group("1.other")
    store.close()
    again = read_store(folder)
    assert told.identity == IDENTITY and again == GOLDEN["state"] | {"group": "1.other"}


def test_the_same_state_is_written_with_the_same_schema_and_rows(tmp_path: Path) -> None:
    write_store(tmp_path)
    assert dump(tmp_path / FILE) == GOLDEN["file"]
    assert read_store(tmp_path) == GOLDEN["state"]


def test_only_what_is_of_this_disk_is_left_out_of_the_rows() -> None:
    left_out = {name for name, value in GOLDEN["file"]["rows"]["facts"] if value == "*"}
    assert left_out == set(OF_THIS_DISK)


def test_the_committed_file_is_the_one_that_the_rows_were_taken_from(tmp_path: Path) -> None:
    (tmp_path / FILE).write_bytes((FOLDER / FILE).read_bytes())
    assert dump(tmp_path / FILE) == GOLDEN["file"]
