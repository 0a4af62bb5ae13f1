"""Snapshots of all replicated state machines keep their bytes when classes and fields are renamed.

Field names of documents and members are keys of a snapshot, which voters store and send to each other.
"""

from __future__ import annotations

import json

import orjson
import pytest

from marlstep.consensus.log import Configuration
from marlstep.consensus.state_machine import StateMachines
from tests.golden import snapshots

NAMES = list(snapshots.new_machines())


def test_writing_gives_the_stored_snapshot_and_group() -> None:
    assert snapshots.written() == snapshots.load()


def test_every_machine_is_in_the_stored_snapshot() -> None:
    assert set(json.loads(snapshots.load()["snapshot"])["machines"]) == set(NAMES)


@pytest.mark.parametrize("name", NAMES)
def test_a_machine_restores_its_part_of_the_stored_snapshot(name: str) -> None:
    stored = json.loads(snapshots.load()["snapshot"])["machines"][name]
    restored, expected = snapshots.new_machines()[name], snapshots.filled_machines()[name]
    restored.restore(stored)
    assert json.loads(orjson.dumps(restored.snapshot())) == stored
    for attribute in STATE[name]:
        assert getattr(restored, attribute) == getattr(expected, attribute)


STATE = {
    "leases": ("leases", "last_token"),
    "members": ("nodes", "confirmed_failures"),
    "rules": ("documents", "_uploads"),
    "shares": ("tenants",),
    "tasks": ("runs",),
}


def test_all_machines_restore_the_stored_snapshot() -> None:
    machines = StateMachines(snapshots.new_machines())
    machines.restore(snapshots.load()["snapshot"])
    assert machines.snapshot() == snapshots.load()["snapshot"]
    assert machines.cached_result("n2/b2", 5) == {"granted": "n2/b2", "token": 24}


def test_the_stored_group_is_decoded() -> None:
    assert Configuration.decode(snapshots.load()["group"]) == snapshots.GROUP
