"""What a task runner asks its node to do."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from marlstep.errors import MarlstepError
from marlstep.scheduled_tasks.commands import BeginRun, EndRun, InspectTask, RecordFence, TaskCommand
from marlstep.scheduled_tasks.outcomes import NO_RUN, Outcome


class ActionKind(enum.StrEnum):
    """The values are those of log commands, of request identifiers and of log lines."""

    INSPECT = "look"
    FENCE = "fence"  # a request to the server: it takes no older token from now on
    RECORD_FENCE = "fenced"
    BEGIN = "begin"
    EXECUTE = "act"  # a request to the server: it does the task
    END = "end"


@dataclass(slots=True, frozen=True)
class RunnerAction:
    """To be done at once; `TaskRunner.handle_result` is to be given how it went."""

    kind: ActionKind
    token: int
    run: int = NO_RUN
    is_repeat: bool = False
    outcome: Outcome = Outcome.OPEN

    @property
    def is_request(self) -> bool:
        """Whether it is a request to the pool's servers, rather than a command for the log."""
        return self.kind in (ActionKind.FENCE, ActionKind.EXECUTE)

    def command(self, task: str) -> TaskCommand:
        """The command for the log. Raises ValueError for an action that is a request."""
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
    """An action that is a request has no command for the log."""

    def __init__(self, kind: ActionKind) -> None:
        """`kind` is the action's."""
        super().__init__(f"expected an action on the log, got the request {kind.value!r}")
