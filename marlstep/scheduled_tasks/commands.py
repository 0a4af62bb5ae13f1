"""Commands on tasks in the replicated log.

Each command carries the fencing token of the task's lease. The run log checks the token before it parses the rest of
the command, so that all versions of the program refuse the same commands with the same text.
"""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.consensus.state_machine import CommandJson, InvalidCommandError
from marlstep.scheduled_tasks.outcomes import Outcome

MACHINE_NAME = "tasks"
INVALID_NAME = "a task's name"  # part of replicated results: must not change


class UnknownTaskActionError(InvalidCommandError):
    """Raised for a command whose action is unknown."""

    def __init__(self, action: object) -> None:
        """Initialize with the action as stored in the log. The text is part of replicated results: must not change."""
        super().__init__(f"nothing that is done to a task: {action!r}")


def _stored(action: str, task: str, token: int) -> dict[str, object]:
    return {"m": MACHINE_NAME, "do": action, "task": task, "token": token}


@dataclass(slots=True, frozen=True)
class InspectTask:
    """Reads the state of a task's last run."""

    task: str
    token: int

    def to_json(self) -> CommandJson:
        """Return the command as stored in the log."""
        return _stored("look", self.task, self.token)


@dataclass(slots=True, frozen=True)
class RecordFence:
    """Records that requests sent under earlier tokens can no longer take effect."""

    task: str
    token: int

    def to_json(self) -> CommandJson:
        """Return the command as stored in the log."""
        return _stored("fenced", self.task, self.token)


@dataclass(slots=True, frozen=True)
class BeginRun:
    """Opens a run before it is executed."""

    task: str
    token: int
    run: int
    is_repeat: bool  # the run was begun before and may have run

    def to_json(self) -> CommandJson:
        """Return the command as stored in the log."""
        return {**_stored("begin", self.task, self.token), "run": self.run, "again": self.is_repeat}


@dataclass(slots=True, frozen=True)
class EndRun:
    """Closes the open run with its outcome."""

    task: str
    token: int
    run: int
    outcome: Outcome

    def to_json(self) -> CommandJson:
        """Return the command as stored in the log."""
        return {**_stored("end", self.task, self.token), "run": self.run, "outcome": self.outcome.value}


TaskCommand = InspectTask | RecordFence | BeginRun | EndRun


def parse_task_and_token(stored: CommandJson) -> tuple[str, int]:
    """Return the task name and the claimed token of a stored command.

    Raises:
        InvalidCommandError: the task name is not a string.
        KeyError: the task or the token is missing.
        ValueError: the token is not a number.
        TypeError: the token has a type that cannot be converted to a number.
    """
    task, token = stored["task"], int(stored["token"])
    if not isinstance(task, str):
        raise InvalidCommandError(INVALID_NAME)
    return task, token


def parse_task_command(stored: CommandJson) -> TaskCommand:
    """Parse a command as stored in the log.

    The error texts are part of replicated results: the texts and the order of the checks must be the same in all
    versions.

    Raises:
        InvalidCommandError: the task name or the action is invalid.
        KeyError: a field is missing.
        ValueError: the token or the run is not a number, or the outcome is unknown.
        TypeError: the token or the run has a type that cannot be converted to a number.
    """
    task, token = parse_task_and_token(stored)
    match stored["do"]:
        case "look":
            return InspectTask(task, token)
        case "fenced":
            return RecordFence(task, token)
        case "begin":
            return BeginRun(task, token, int(stored["run"]), bool(stored.get("again")))
        case "end":
            return EndRun(task, token, int(stored["run"]), Outcome(stored["outcome"]))
        case other:
            raise UnknownTaskActionError(other)
