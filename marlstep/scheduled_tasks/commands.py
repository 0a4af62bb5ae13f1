"""Commands on tasks in the replicated log.

Each carries the token of the task's lease. The log checks the token before it reads the rest of a command, so that
every version of the program refuses the same commands with the same text.
"""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.consensus.state_machine import CommandJson, InvalidCommandError
from marlstep.scheduled_tasks.outcomes import Outcome

MACHINE_NAME = "tasks"
INVALID_NAME = "a task's name"  # a replicated text


class UnknownTaskActionError(InvalidCommandError):
    """A command that does nothing which is known to a task."""

    def __init__(self, action: object) -> None:
        """`action` is the command's, as the log has it. The text is replicated."""
        super().__init__(f"nothing that is done to a task: {action!r}")


def _stored(action: str, task: str, token: int) -> dict[str, object]:
    return {"m": MACHINE_NAME, "do": action, "task": task, "token": token}


@dataclass(slots=True, frozen=True)
class InspectTask:
    """Read the state of a task's last run."""

    task: str
    token: int

    def to_json(self) -> CommandJson:
        """The command as the log stores it."""
        return _stored("look", self.task, self.token)


@dataclass(slots=True, frozen=True)
class RecordFence:
    """Record that nothing which was sent under an earlier token can take effect any more."""

    task: str
    token: int

    def to_json(self) -> CommandJson:
        """The command as the log stores it."""
        return _stored("fenced", self.task, self.token)


@dataclass(slots=True, frozen=True)
class BeginRun:
    """Open a run before it is executed."""

    task: str
    token: int
    run: int
    is_repeat: bool  # of a run that was begun before and may have run

    def to_json(self) -> CommandJson:
        """The command as the log stores it."""
        return {**_stored("begin", self.task, self.token), "run": self.run, "again": self.is_repeat}


@dataclass(slots=True, frozen=True)
class EndRun:
    """Close the open run with its outcome."""

    task: str
    token: int
    run: int
    outcome: Outcome

    def to_json(self) -> CommandJson:
        """The command as the log stores it."""
        return {**_stored("end", self.task, self.token), "run": self.run, "outcome": self.outcome.value}


TaskCommand = InspectTask | RecordFence | BeginRun | EndRun


def parse_task_and_token(stored: CommandJson) -> tuple[str, int]:
    """The task of a stored command, and the token that it claims.

    Raises InvalidCommandError, ValueError, KeyError or TypeError.
    """
    task, token = stored["task"], int(stored["token"])
    if not isinstance(task, str):
        raise InvalidCommandError(INVALID_NAME)
    return task, token


def parse_task_command(stored: CommandJson) -> TaskCommand:
    """The command that the log holds.

    Raises InvalidCommandError, ValueError, KeyError or TypeError where it is none. These texts are part of replicated
    results: they, and the order of the checks, stay the same in all versions.
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
