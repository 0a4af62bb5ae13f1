"""Task commands and their results: their stored forms, and the replicated error texts of invalid commands."""

from __future__ import annotations

from typing import Any

import pytest

from marlstep.scheduled_tasks.actions import ActionKind, NoLogCommandError, RunnerAction
from marlstep.scheduled_tasks.commands import (
    BeginRun,
    EndRun,
    InspectTask,
    RecordFence,
    TaskCommand,
    parse_task_command,
)
from marlstep.scheduled_tasks.outcomes import Outcome
from marlstep.scheduled_tasks.results import (
    FenceRecorded,
    RunBegun,
    RunEnded,
    TaskCommandRefused,
    TaskResult,
    TaskStatus,
    parse_task_result,
)

STATUS = TaskStatus(4, 7, Outcome.UNKNOWN, 2, may_be_in_flight=True)


@pytest.mark.parametrize(
    "command",
    [
        InspectTask("t", 7),
        RecordFence("t", 7),
        BeginRun("t", 7, 4, is_repeat=True),
        EndRun("t", 7, 4, Outcome.FAILED),
    ],
)
def test_a_command_is_parsed_from_its_stored_form(command: TaskCommand) -> None:
    assert parse_task_command(command.to_json()) == command


@pytest.mark.parametrize(
    ("stored", "error"),
    [
        ({"do": "look", "task": 7, "token": 1}, 'ValueError("a task\'s name")'),
        ({"do": "other", "task": "t", "token": 1}, "ValueError(\"nothing that is done to a task: 'other'\")"),
        ({"do": "begin", "task": "t", "token": 1}, "KeyError('run')"),
        (
            {"do": "end", "task": "t", "token": 1, "run": 1, "outcome": "x"},
            "ValueError(\"'x' is not a valid Outcome\")",
        ),
        ({"do": "look", "task": "t"}, "KeyError('token')"),
        ({"task": "t", "token": 1}, "KeyError('do')"),
    ],
)
def test_an_invalid_command_raises_an_error_with_its_replicated_text(
    stored: dict[str, Any], error: str
) -> None:
    with pytest.raises((ValueError, KeyError)) as raised:
        parse_task_command(stored)
    assert repr(raised.value) == error


@pytest.mark.parametrize(
    "result",
    [
        STATUS,
        FenceRecorded(),
        RunBegun(4),
        RunEnded(4),
        TaskCommandRefused("too many tasks"),
        TaskCommandRefused("a run is open", STATUS),
    ],
)
def test_a_result_is_parsed_from_its_stored_form(result: TaskResult) -> None:
    assert parse_task_result(result.to_json()) == result


def test_an_error_of_the_log_is_parsed_as_a_refusal() -> None:
    assert parse_task_result({"error": "no command"}) == TaskCommandRefused("no command")


@pytest.mark.parametrize("kind", ActionKind)
def test_an_action_is_either_a_request_or_a_command_named_by_its_kind(kind: ActionKind) -> None:
    action = RunnerAction(kind, 7, 4)
    if action.is_request:
        with pytest.raises(NoLogCommandError):
            action.command("t")
    else:
        assert action.command("t").to_json()["do"] == kind.value
