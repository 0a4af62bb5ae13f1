"""A replica's store: truncated, corrupt and copied files, full disks, files in use, and other format versions."""

from __future__ import annotations

import random
import shutil
import subprocess
import sys
from pathlib import Path

import apsw
import pytest

from marlstep.cluster.store import FILE_NAME, ReplicaStore
from marlstep.cluster.store_errors import StoreError, StoreRefusedError
from marlstep.consensus.log import Configuration, EntryType, LogEntry, PersistentState, Snapshot
from marlstep.consensus.raft import Ready
from tests.cluster.stores import reopen


def make_ready(first: int, last: int, term: int = 1, **other: object) -> Ready:
    entries = [
        LogEntry(index, term, EntryType.COMMAND, f'{{"n":{index}}}') for index in range(first, last + 1)
    ]
    return Ready(1, term, "n1#a", entries=entries, **other)  # type: ignore[arg-type]


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """The folder of a store with ten entries."""
    store = ReplicaStore(tmp_path / "s")
    assert store.open("n1", "n1#a").fresh
    store.set_group("1.g")
    store.save(make_ready(1, 10))
    store.close()
    return tmp_path / "s"


def test_a_reopened_store_contains_the_saved_state(folder: Path) -> None:
    opened = reopen(folder)
    assert (opened.identity, opened.group, opened.fresh) == ("n1#a", "1.g", False)
    assert (opened.state.term, opened.state.voted_for) == (1, "n1#a")
    assert [entry.index for entry in opened.state.entries] == list(range(1, 11))
    store = ReplicaStore(folder)
    store.open("n1", "x")
    store.save(make_ready(6, 7, term=2))  # another leader replaces the entries from index 6 on
    group = Configuration(("n1#a",))
    store.save(Ready(2, 2, "", Snapshot(5, 1, group, "data"), keep_after_index=3))
    store.close()
    saved = reopen(folder).state
    assert saved.snapshot == Snapshot(5, 1, group, "data")
    assert [entry.index for entry in saved.entries] == [6, 7]
    store = ReplicaStore(folder)
    store.open("n1", "x")
    store.save(Ready(3, 3, "", Snapshot(90, 3, group, "far"), replaces_log=True, keep_after_index=90))
    store.close()
    assert reopen(folder).state == PersistentState(3, "", Snapshot(90, 3, group, "far"), [])


def test_a_copy_is_set_aside_and_the_replica_gets_a_new_identity(folder: Path, tmp_path: Path) -> None:
    shutil.copytree(folder, tmp_path / "backup")
    shutil.rmtree(folder)
    shutil.copytree(tmp_path / "backup", folder)
    opened = reopen(folder)
    assert opened.fresh and opened.identity == "n1#new" and opened.state.term == 0
    assert (folder / "voter.aside-1").exists()  # kept for analysis


def test_a_truncated_file_or_a_flipped_bit_never_yields_wrong_entries(folder: Path) -> None:
    path = folder / FILE_NAME
    intact = path.read_bytes()
    stat = path.stat()
    rng = random.Random(5)
    for number in range(60):
        data = bytearray(intact)
        if number % 2:
            del data[rng.randrange(len(data)) :]
        else:
            data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
        for file in folder.iterdir():
            if file.name != FILE_NAME:
                file.unlink()
        if not path.exists():
            path.touch()
        path.write_bytes(bytes(data))
        try:
            opened = reopen(folder)
        except StoreRefusedError:
            continue  # the flipped bit raised the format version
        except StoreError:
            continue
        intact_again = [entry.body for entry in opened.state.entries] == [
            f'{{"n":{index}}}' for index in range(1, 11)
        ]
        assert opened.fresh or intact_again or path.stat().st_ino != stat.st_ino
        if opened.fresh:  # the file was set aside: create a store with the old identity again
            path.unlink()
            for aside in folder.glob("*aside*"):
                aside.unlink()
            store = ReplicaStore(folder)
            store.open("n1", "n1#a")
            store.save(make_ready(1, 10))
            store.close()
            intact, stat = path.read_bytes(), path.stat()


def test_a_newer_format_and_another_nodes_store_are_refused_and_left_unchanged(folder: Path) -> None:
    db = apsw.Connection(str(folder / FILE_NAME))
    db.execute("update facts set value = '2' where name = 'format'")
    db.close()
    before = (folder / FILE_NAME).read_bytes()
    with pytest.raises(StoreRefusedError, match="format 2, of a newer program"):
        reopen(folder)
    assert (folder / FILE_NAME).read_bytes() == before
    db = apsw.Connection(str(folder / FILE_NAME))
    db.execute("update facts set value = '1' where name = 'format'")
    db.close()
    with pytest.raises(StoreRefusedError, match="belongs to node n1, expected node n2"):
        ReplicaStore(folder).open("n2", "n2#x")


def test_a_second_process_cannot_open_a_store_in_use(folder: Path) -> None:
    store = ReplicaStore(folder)
    store.open("n1", "x")
    program = (
        "from pathlib import Path; import sys\n"
        "from marlstep.cluster.store import ReplicaStore\n"
        "from marlstep.cluster.store_errors import StoreRefusedError\n"
        "try: ReplicaStore(Path(sys.argv[1])).open('n1', 'x')\n"
        "except StoreRefusedError as fault: print(fault)"
    )
    process = subprocess.run(
        [sys.executable, "-c", program, str(folder)], capture_output=True, text=True, check=True,
        cwd=Path(__file__).parent.parent.parent,
    )  # fmt: skip
    assert "is in use by another process" in process.stdout
    store.save(make_ready(11, 12))
    store.close()
    assert len(reopen(folder).state.entries) == 12


def test_a_save_fails_on_a_full_disk_and_earlier_entries_are_kept(folder: Path) -> None:
    store = ReplicaStore(folder)
    store.open("n1", "x")
    assert store._db is not None
    store._db.execute("pragma max_page_count = 5").fetchall()
    with pytest.raises(StoreError, match="full"):
        store.save(make_ready(11, 2_000))
    store.close()
    assert [entry.index for entry in reopen(folder).state.entries] == list(range(1, 11))


def test_a_store_that_cannot_be_created_or_written_raises_store_error(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("no folder")
    with pytest.raises(StoreError):
        ReplicaStore(tmp_path / "file").open("n1", "x")
    store = ReplicaStore(tmp_path / "s")
    store.open("n1", "x")
    store.close()
    with pytest.raises(StoreError, match="closed"):
        store.save(make_ready(1, 2))
