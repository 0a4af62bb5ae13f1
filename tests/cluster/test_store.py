"""A voter's memory on a disk that is cut, corrupt, copied, full, read-only, in use or of another version."""

from __future__ import annotations

import random
import shutil
import subprocess
import sys
from pathlib import Path

import apsw
import pytest

from marlstep.cluster.store import (
    FILE,
    OpenedStore,
    ReplicaStore,
    StoreError,
    StoreRefusedError,
    make_group,
    recover,
)
from marlstep.consensus.log import Configuration, EntryType, LogEntry, PersistentState, Snapshot
from marlstep.consensus.raft import Ready


def ready(first: int, last: int, term: int = 1, **other: object) -> Ready:
    rows = [LogEntry(index, term, EntryType.COMMAND, f'{{"n":{index}}}') for index in range(first, last + 1)]
    return Ready(1, term, "n1#a", entries=rows, **other)  # type: ignore[arg-type]


def reopened(folder: Path, identity: str = "n1#new") -> OpenedStore:
    store = ReplicaStore(folder)
    try:
        return store.open("n1", identity)
    finally:
        store.close()


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """A store with ten entries."""
    store = ReplicaStore(tmp_path / "s")
    assert store.open("n1", "n1#a").fresh
    store.set_group("1.g")
    store.save(ready(1, 10))
    store.close()
    return tmp_path / "s"


def test_what_was_saved_comes_back(folder: Path) -> None:
    told = reopened(folder)
    assert (told.identity, told.group, told.fresh) == ("n1#a", "1.g", False)
    assert (told.state.term, told.state.voted_for) == (1, "n1#a")
    assert [one.index for one in told.state.entries] == list(range(1, 11))
    store = ReplicaStore(folder)
    store.open("n1", "x")
    store.save(ready(6, 7, term=2))  # another leader's log goes on differently from 6 on
    group = Configuration(("n1#a",))
    store.save(Ready(2, 2, "", Snapshot(5, 1, group, "data"), keep_after_index=3))
    store.close()
    saved = reopened(folder).state
    assert saved.snapshot == Snapshot(5, 1, group, "data") and [one.index for one in saved.entries] == [6, 7]
    store = ReplicaStore(folder)
    store.open("n1", "x")
    store.save(Ready(3, 3, "", Snapshot(90, 3, group, "far"), replaces_log=True, keep_after_index=90))
    store.close()
    assert reopened(folder).state == PersistentState(3, "", Snapshot(90, 3, group, "far"), [])


def test_a_copy_is_not_the_memory_of_this_voter(folder: Path, tmp_path: Path) -> None:
    shutil.copytree(folder, tmp_path / "backup")
    shutil.rmtree(folder)
    shutil.copytree(tmp_path / "backup", folder)
    told = reopened(folder)
    assert told.fresh and told.identity == "n1#new" and told.state.term == 0
    assert (folder / "voter.aside-1").exists()  # kept for whoever wants to look


def test_a_file_cut_at_any_place_or_with_a_changed_byte_is_never_taken_for_the_whole(folder: Path) -> None:
    path = folder / FILE
    whole = path.read_bytes()
    stat = path.stat()
    chance = random.Random(5)
    for number in range(60):
        data = bytearray(whole)
        if number % 2:
            del data[chance.randrange(len(data)) :]
        else:
            data[chance.randrange(len(data))] ^= 1 << chance.randrange(8)
        for left in folder.iterdir():
            if left.name != FILE:
                left.unlink()
        if not path.exists():
            path.touch()
        path.write_bytes(bytes(data))
        try:
            told = reopened(folder)
        except StoreRefusedError:
            continue  # the format's own number was hit
        except StoreError:
            continue
        whole_again = [one.body for one in told.state.entries] == [
            f'{{"n":{index}}}' for index in range(1, 11)
        ]
        assert told.fresh or whole_again or path.stat().st_ino != stat.st_ino
        if told.fresh:  # set aside: put a file of the old identity back
            path.unlink()
            for aside in folder.glob("*aside*"):
                aside.unlink()
            store = ReplicaStore(folder)
            store.open("n1", "n1#a")
            store.save(ready(1, 10))
            store.close()
            whole, stat = path.read_bytes(), path.stat()


def test_a_newer_format_and_another_nodes_store_are_refused_by_name_and_left_alone(folder: Path) -> None:
    db = apsw.Connection(str(folder / FILE))
    db.execute("update facts set value = '2' where name = 'format'")
    db.close()
    before = (folder / FILE).read_bytes()
    with pytest.raises(StoreRefusedError, match="format 2, of a newer program"):
        reopened(folder)
    assert (folder / FILE).read_bytes() == before
    db = apsw.Connection(str(folder / FILE))
    db.execute("update facts set value = '1' where name = 'format'")
    db.close()
    with pytest.raises(StoreRefusedError, match="of node n1, and this is n2"):
        ReplicaStore(folder).open("n2", "n2#x")


def test_a_store_in_use_is_refused_to_a_second_process(folder: Path) -> None:
    store = ReplicaStore(folder)
    store.open("n1", "x")
    program = (
        "from pathlib import Path; import sys; from marlstep.cluster.store import *\n"
        "try: ReplicaStore(Path(sys.argv[1])).open('n1', 'x')\n"
        "except StoreRefusedError as fault: print(fault)"
    )
    told = subprocess.run(
        [sys.executable, "-c", program, str(folder)], capture_output=True, text=True, check=True,
        cwd=Path(__file__).parent.parent.parent,
    )  # fmt: skip
    assert "is in use by another process" in told.stdout
    store.save(ready(11, 12))
    store.close()
    assert len(reopened(folder).state.entries) == 12


def test_a_full_disk_fails_the_commit_and_what_was_durable_stays(folder: Path) -> None:
    store = ReplicaStore(folder)
    store.open("n1", "x")
    assert store._db is not None
    store._db.execute("pragma max_page_count = 5").fetchall()
    with pytest.raises(StoreError, match="full"):
        store.save(ready(11, 2_000))
    store.close()
    assert [one.index for one in reopened(folder).state.entries] == list(range(1, 11))


def test_a_store_that_cant_be_made_or_written_says_so(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("no folder")
    with pytest.raises(StoreError):
        ReplicaStore(tmp_path / "file").open("n1", "x")
    store = ReplicaStore(tmp_path / "s")
    store.open("n1", "x")
    store.close()
    with pytest.raises(StoreError, match="closed"):
        store.save(ready(1, 2))


def test_a_group_is_made_once_and_goes_on_from_one_store_with_tokens_far_above(tmp_path: Path) -> None:
    make_group(tmp_path, "n1", "n1#a", "1.g")
    with pytest.raises(StoreRefusedError, match="there already"):
        make_group(tmp_path, "n1", "n1#b", "1.h")
    told = reopened(tmp_path)
    assert told.state.snapshot.configuration == Configuration(("n1#a",)) and told.group == "1.g"
    store = ReplicaStore(tmp_path)
    store.open("n1", "x")
    grant = '{"m":"leases","do":"grant","name":"task/t","holder":"n2/b","most":0}'
    rows = [
        LogEntry(1, 1, EntryType.COMMAND, grant),
        LogEntry(2, 1, EntryType.CONFIGURATION, Configuration(("n1#a", "n2#b")).encode()),
    ]
    store.save(Ready(1, 1, "n1#a", entries=rows))
    store.close()
    found = recover(tmp_path, "n1", "2.h")
    assert found["token"] == 1_000_001
    told = reopened(tmp_path)
    assert (
        told.group == "2.h"
        and told.state.snapshot.configuration == Configuration(("n1#a",))
        and told.state.term == 2
    )
    assert '"task/t","n2/b",1' in told.state.snapshot.data and not told.state.entries
    with pytest.raises(StoreRefusedError, match="not there"):
        recover(tmp_path / "other", "n1", "2.h")
