"""The commands of the log: stored bodies give the stored results, and the program's own proposers write them so."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from tests.golden.commands import LIMITS, record_commands
from tests.golden.files import read_golden
from tests.golden.machines import applied, machines, run_limit

# Every word of every machine. A new one needs its entry here, and a golden one.
WORDS = {
    "leases": {"grant", "expire", "return"},
    "tasks": {"look", "fenced", "begin", "end"},
    "rules": {"part", "put", "ack", "commit", "get", "withdraw"},
    "members": {"admit", "remove", "readmit", "believe"},
    "shares": {"tenants", "grow", "shrink", "gave"},
}
# What is proposed by the leader's own objects, without anybody's asking.
LED = {
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
        assert applied(log, row["body"]) == row["result"], (number, row["body"])


def test_proposers_write_the_stored_commands_byte_by_byte(tmp_path: Path) -> None:
    rows, _ = record_commands(tmp_path)
    for number, (row, golden) in enumerate(zip(rows, ROWS, strict=False)):
        assert row.body == golden["body"], number
        assert row.result == golden["result"], number
    assert len(rows) == len(ROWS)


def test_each_machine_and_each_of_its_words_is_there_with_a_success_and_an_error() -> None:
    assert set(machines().machines) == set(WORDS)
    for machine, words in WORDS.items():
        for word in words:
            rows = [
                one
                for one in ROWS
                if (command_of(one).get("m"), command_of(one).get("do")) == (machine, word)
            ]
            failed = [one for one in rows if {"error", "refused"} & set(json.loads(one["result"]))]
            assert len(rows) > len(failed), (machine, word)
            assert failed or (machine, word) in {
                ("leases", "expire"),
                ("leases", "return"),
                ("tasks", "fenced"),
            }
        known = {
            str(command_of(one).get("do")) for one in ROWS
            if command_of(one).get("m") == machine and "nothing that is done to" not in one["result"]
        }  # fmt: skip
        assert known - {"None"} == words, machine


def test_what_the_leader_proposes_by_itself_is_among_them() -> None:
    found = {
        (command_of(one).get("m"), command_of(one).get("do")) for one in ROWS if "by" not in command_of(one)
    }
    assert found >= LED


def test_a_word_that_no_machine_knows_is_turned_down() -> None:
    for machine in WORDS:
        assert any(
            command_of(one).get("m") == machine and "nothing that is done to" in one["result"] for one in ROWS
        )


@pytest.mark.parametrize("name", LIMITS)
def test_limits_turn_down_what_they_did(name: str) -> None:
    before, pattern, times = LIMITS[name]
    golden = LIMIT_ROWS[name]
    assert run_limit(before, pattern, times) == (golden["last"], golden["snapshot"])
