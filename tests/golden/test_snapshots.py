"""Snapshots of all state machines are written like the stored ones, and the stored ones are restored completely."""

from __future__ import annotations

import json
from typing import Any

import pytest

from tests.golden.files import read_golden
from tests.golden.machines import apply_command, machines

ROWS: list[dict[str, str]] = read_golden("log_commands.json")
SNAPSHOTS: list[dict[str, Any]] = read_golden("snapshots.json")


def test_the_stored_commands_give_the_stored_snapshots() -> None:
    log, stored = machines(), {entry["after"]: entry["data"] for entry in SNAPSHOTS}
    for number, row in enumerate(ROWS, 1):
        log.apply(row["body"])
        if number in stored:
            assert log.snapshot() == stored.pop(number), number
    assert not stored


@pytest.mark.parametrize("snapshot", SNAPSHOTS, ids=lambda entry: str(entry["after"]))
def test_a_restored_snapshot_is_written_unchanged_and_later_commands_give_the_stored_results(
    snapshot: dict[str, Any],
) -> None:
    log = machines()
    log.restore(snapshot["data"])
    assert log.snapshot() == snapshot["data"]
    for number, row in enumerate(ROWS[snapshot["after"] :], snapshot["after"]):
        # Compared as JSON objects: a snapshot sorts its keys, and so changes the key order of rows in a `get` result.
        assert json.loads(apply_command(log, row["body"])) == json.loads(row["result"]), (number, row["body"])
    assert log.snapshot() == SNAPSHOTS[-1]["data"]


def test_the_last_snapshot_holds_every_key() -> None:
    """Guards against a key of a snapshot that no stored snapshot covers."""
    last_snapshot = SNAPSHOTS[-1]["data"]
    for key in (
        '"asked":', '"leases":', '"token":', '"tasks":', '"open"', '"rules":', '"documents":', '"uploads":[["',
        '"kind":', '"strict":', '"versions":[{', '"count":', '"pending":{', '"held_out":', '"turned_down":[{',
        '"version":', '"content":', '"author":', '"note":', '"at":', '"hold_out":true', '"stage":{', '"nodes":',
        '"for_ms":', '"worse":', '"least":', '"begun":true', '"acked":["', '"refused":{"', '"members":',
        '"there":true', '"taken_out":1', '"why":', '"held_off":true', '"believed":["', '"shares":',
    ):  # fmt: skip
        assert key in last_snapshot, key
