"""Creation of a group, and its recovery from the store of a single replica."""

from __future__ import annotations

from pathlib import Path

import pytest

from marlstep.cluster.recovery import create_group, recover_group
from marlstep.cluster.store import ReplicaStore
from marlstep.cluster.store_errors import StoreRefusedError
from marlstep.consensus.log import Configuration, EntryType, LogEntry
from marlstep.consensus.raft import Ready
from tests.cluster.stores import reopen


def test_a_group_is_created_once_and_recovered_from_one_store_with_much_higher_tokens(tmp_path: Path) -> None:
    create_group(tmp_path, "n1", "n1#a", "1.g")
    with pytest.raises(StoreRefusedError, match="already exists"):
        create_group(tmp_path, "n1", "n1#b", "1.h")
    opened = reopen(tmp_path)
    assert opened.state.snapshot.configuration == Configuration(("n1#a",)) and opened.group == "1.g"
    store = ReplicaStore(tmp_path)
    store.open("n1", "x")
    grant = '{"m":"leases","do":"grant","name":"task/t","holder":"n2/b","most":0}'
    entries = [
        LogEntry(1, 1, EntryType.COMMAND, grant),
        LogEntry(2, 1, EntryType.CONFIGURATION, Configuration(("n1#a", "n2#b")).encode()),
    ]
    store.save(Ready(1, 1, "n1#a", entries=entries))
    store.close()
    recovered = recover_group(tmp_path, "n1", "2.h")
    assert recovered.to_json() == {"identity": "n1#a", "group": "2.h", "entries": 2, "token": 1_000_001}
    opened = reopen(tmp_path)
    assert (
        opened.group == "2.h"
        and opened.state.snapshot.configuration == Configuration(("n1#a",))
        and opened.state.term == 2
    )
    assert '"task/t","n2/b",1' in opened.state.snapshot.data and not opened.state.entries
    with pytest.raises(StoreRefusedError, match="does not exist"):
        recover_group(tmp_path / "other", "n1", "2.h")
