"""Creation of a group, and its recovery from the store of a single replica."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from marlstep.cluster.recovery import create_group, recover_group
from marlstep.cluster.store import ReplicaStore
from marlstep.cluster.store_errors import StoreRefusedError
from marlstep.consensus.log import Configuration, EntryType, LogEntry
from marlstep.consensus.raft import Ready
from marlstep.consensus.state_machine import StateMachines
from marlstep.leases.table import LeaseTable
from marlstep.membership.roster import Roster
from marlstep.membership.roster_commands import ConfirmFailures
from marlstep.replicated_config.commands import PrepareVersion, UploadChunk
from marlstep.replicated_config.documents import Kind, content_digest
from marlstep.replicated_config.store import ConfigStore
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
    assert recovered.to_json() == {
        "identity": "n1#a",
        "group": "2.h",
        "entries": 2,
        "token": 1_000_001,
        "documents": {},
    }
    opened = reopen(tmp_path)
    assert (
        opened.group == "2.h"
        and opened.state.snapshot.configuration == Configuration(("n1#a",))
        and opened.state.term == 2
    )
    assert '"task/t","n2/b",1' in opened.state.snapshot.data and not opened.state.entries
    with pytest.raises(StoreRefusedError, match="does not exist"):
        recover_group(tmp_path / "other", "n1", "2.h")


def test_a_recovered_group_keeps_documents_and_roster_and_reuses_no_version_number(tmp_path: Path) -> None:
    # Guards against a recovery that drops documents: nodes then proposed the older ones of their own files.
    content = '{"main":["127.0.0.1:1"]}'
    prepare = PrepareVersion(
        "servers", Kind.SERVERS, False, "u1", content_digest(content), 0, "ann", "", "2026-12-03T00:00:00"
    )
    commands = [
        UploadChunk("u1", 0, content).to_json(),
        prepare.to_json(),
        {"m": "rules", "do": "commit", "doc": "servers", "version": 1},
        ConfirmFailures(("n3",)).to_json(),
    ]
    create_group(tmp_path, "n1", "n1#a", "1.g")
    store = ReplicaStore(tmp_path)
    store.open("n1", "x")
    entries = [
        LogEntry(number, 1, EntryType.COMMAND, json.dumps(command))
        for number, command in enumerate(commands, 1)
    ]
    store.save(Ready(1, 1, "n1#a", entries=entries))
    store.close()
    assert recover_group(tmp_path, "n1", "2.h").documents == {"servers": 1}
    leases = LeaseTable()
    documents, roster = ConfigStore(leases), Roster()
    restored = StateMachines({"leases": leases, "rules": documents, "members": roster})
    restored.restore(reopen(tmp_path).state.snapshot.data)
    servers = documents.documents["servers"]
    assert servers.active is not None and servers.active.content == content
    assert servers.version_count == 1_001
    assert "n3" in json.dumps(roster.snapshot())
