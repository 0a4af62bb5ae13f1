"""Actions that a task runner asks its node to perform."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from marlstep.errors import MarlstepError
from marlstep.scheduled_tasks.commands import BeginRun, EndRun, InspectTask, RecordFence, TaskCommand
from marlstep.scheduled_tasks.outcomes import NO_RUN, Outcome


class ActionKind(enum.StrEnum):
    """Kind of a runner action; the values are used in log commands, request identifiers and log lines."""

    INSPECT = "look"
    FENCE = "fence"  # a request to the server to reject older tokens from now on
    RECORD_FENCE = "fenced"
    BEGIN = "begin"
    EXECUTE = "act"  # a request to the server to run the task
    END = "end"


@dataclass(slots=True, frozen=True)
class RunnerAction:
    """An action to perform at once, and then to report to `TaskRunner.handle_result`."""

    kind: ActionKind
    token: int
    run: int = NO_RUN
    is_repeat: bool = False
    outcome: Outcome = Outcome.OPEN

    @property
    def is_request(self) -> bool:
        """Whether the action is a request to the pool's servers rather than a command for the log."""
        return self.kind in (ActionKind.FENCE, ActionKind.EXECUTE)

    def command(self, task: str) -> TaskCommand:
        """Return the command for the log. Raises NoLogCommandError if the action is a request."""
        match self.kind:
            case ActionKind.INSPECT:
                return InspectTask(task, self.token)
            case ActionKind.RECORD_FENCE:
                return RecordFence(task, self.token)
            case ActionKind.BEGIN:
                return BeginRun(task, self.token, self.run, self.is_repeat)
            case ActionKind.END:
                return EndRun(task, self.token, self.run, self.outcome)
            case ActionKind.FENCE | ActionKind.EXECUTE:
                raise NoLogCommandError(self.kind)


class NoLogCommandError(MarlstepError, ValueError):
    """Raised when a log command is asked for an action that is a request to a server."""

    def __init__(self, kind: ActionKind) -> None:
        """Initialize with the kind of the action."""
        super().__init__(f"expected an action with a log command, got a server request: kind={kind.value!r}")
