"""The typed commands compared with the stored form that proposers have written to the log."""

from __future__ import annotations

import json
from typing import Any

import pytest

from marlstep.consensus.state_machine import InvalidCommandError
from marlstep.replicated_config.commands import MACHINE, CommitVersion, WithdrawVersion, parse_config_command
from marlstep.replicated_config.documents import content_digest
from marlstep.replicated_config.rollout import RolloutDecision
from tests.golden.files import read_golden
from tests.replicated_config.support import ConfigLog

ROWS: list[dict[str, str]] = read_golden("log_commands.json")
CLIENT_KEYS = ("by", "no")  # added by the client that sends the command


def stored_commands() -> list[dict[str, Any]]:
    """Return the golden commands of this state machine whose results are not errors."""
    commands = []
    for row in ROWS:
        if "error" in json.loads(row["result"]):
            continue
        command = json.loads(row["body"])
        if command.get("m") == MACHINE:
            commands.append({key: value for key, value in command.items() if key not in CLIENT_KEYS})
    return commands


def test_parsing_and_writing_a_command_returns_the_same_bytes() -> None:
    commands = [command for command in stored_commands() if list(command)[1] == "do"]
    assert {command["do"] for command in commands} == {"part", "put", "get", "ack", "commit", "withdraw"}
    for command in commands:
        assert json.dumps(parse_config_command(command).to_json()) == json.dumps(command)


def test_rollout_decisions_have_the_stored_bytes_and_are_parsed_as_commands() -> None:
    commands = [
        command for command in stored_commands() if list(command)[:4] == ["m", "doc", "version", "why"]
    ]
    assert {command["do"] for command in commands} == {"commit", "withdraw"}
    for command in commands:
        promote = command["do"] == "commit"
        decision = RolloutDecision(command["doc"], command["version"], promote, command["why"])
        assert json.dumps(decision.to_json()) == json.dumps(command)
        parsed = parse_config_command(command)
        if promote:
            assert parsed == CommitVersion(command["doc"], command["version"], promote=True)
        else:
            assert parsed == WithdrawVersion(command["doc"], command["version"], command["why"])


@pytest.mark.parametrize("command", [{"do": "other"}, {"do": "part", "upload": "", "offset": 0, "data": "x"}])
def test_the_error_of_a_malformed_command_has_the_repr_of_a_value_error(
    command: dict[str, Any],
) -> None:
    with pytest.raises(InvalidCommandError) as raised:
        parse_config_command(command)
    assert repr(raised.value).startswith("ValueError(")


@pytest.mark.parametrize("missing", ["kind", "strict", "upload", "digest", "expect", "author", "note", "at"])
def test_a_put_command_without_a_required_field_leaves_the_state_unchanged(missing: str) -> None:
    log = ConfigLog()
    log.store.apply({"do": "part", "upload": "u", "offset": 0, "data": "[1]"})
    before = log.store.snapshot()
    command = {"do": "put", "doc": "d", "kind": "settings", "strict": False, "upload": "u", "expect": 0}
    command |= {"digest": content_digest("[1]"), "author": "", "note": "", "at": ""}
    with pytest.raises(KeyError, match=missing):
        log.store.apply({key: value for key, value in command.items() if key != missing})
    assert log.store.snapshot() == before
    assert log.store.apply(command)["prepares"] == 1
