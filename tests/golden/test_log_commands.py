"""Commands in the log: stored bodies give the stored results, and the program's proposers write the same bodies."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from tests.golden.commands import LIMITS, record_commands
from tests.golden.files import read_golden
from tests.golden.machines import apply_command, machines, run_limit

# Every command of every state machine. A new command needs an entry here and in the golden files.
COMMANDS = {
    "leases": {"grant", "expire", "return"},
    "tasks": {"look", "fenced", "begin", "end"},
    "rules": {"part", "put", "ack", "commit", "get", "withdraw"},
    "members": {"admit", "remove", "readmit", "believe"},
    "shares": {"tenants", "grow", "shrink", "gave"},
}
# Commands that the leader proposes itself, without a command request.
LEADER_COMMANDS = {
    ("leases", "grant"), ("leases", "expire"), ("leases", "return"), ("rules", "commit"), ("rules", "withdraw"),
    ("members", "admit"), ("members", "remove"), ("shares", "tenants"), ("shares", "grow"), ("shares", "shrink"),
}  # fmt: skip
ROWS: list[dict[str, str]] = read_golden("log_commands.json")
LIMIT_ROWS: dict[str, dict[str, str]] = read_golden("limits.json")


def command_of(row: dict[str, str]) -> dict[str, Any]:
    try:
        command = json.loads(row["body"])
    except ValueError:
        return {}
    return command if isinstance(command, dict) else {}


def test_stored_commands_give_the_stored_results() -> None:
    log = machines()
    for number, row in enumerate(ROWS):
        assert apply_command(log, row["body"]) == row["result"], (number, row["body"])


def test_proposers_write_the_stored_commands_byte_for_byte(tmp_path: Path) -> None:
    rows, _ = record_commands(tmp_path)
    for number, (row, golden) in enumerate(zip(rows, ROWS, strict=False)):
        assert row.body == golden["body"], number
        assert row.result == golden["result"], number
    assert len(rows) == len(ROWS)


def test_every_command_of_every_state_machine_has_a_stored_success_and_error() -> None:
    assert set(machines().machines) == set(COMMANDS)
    for machine, names in COMMANDS.items():
        for name in names:
            rows = [
                row
                for row in ROWS
                if (command_of(row).get("m"), command_of(row).get("do")) == (machine, name)
            ]
            failed = [row for row in rows if {"error", "refused"} & set(json.loads(row["result"]))]
            assert len(rows) > len(failed), (machine, name)
            assert failed or (machine, name) in {
                ("leases", "expire"),
                ("leases", "return"),
                ("tasks", "fenced"),
            }
        known = {
            str(command_of(row).get("do")) for row in ROWS
            if command_of(row).get("m") == machine and "nothing that is done to" not in row["result"]
        }  # fmt: skip
        assert known - {"None"} == names, machine


def test_the_stored_commands_include_all_that_the_leader_proposes_itself() -> None:
    found = {
        (command_of(row).get("m"), command_of(row).get("do")) for row in ROWS if "by" not in command_of(row)
    }
    assert found >= LEADER_COMMANDS


def test_every_state_machine_has_a_stored_rejection_of_an_unknown_command() -> None:
    for machine in COMMANDS:
        assert any(
            command_of(row).get("m") == machine and "nothing that is done to" in row["result"] for row in ROWS
        )


@pytest.mark.parametrize("name", LIMITS)
def test_commands_beyond_a_limit_give_the_stored_result_and_snapshot(name: str) -> None:
    before, pattern, count = LIMITS[name]
    golden = LIMIT_ROWS[name]
    assert run_limit(before, pattern, count) == (golden["last"], golden["snapshot"])
