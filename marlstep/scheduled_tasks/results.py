"""Results of commands on tasks, as the replicated log returns them to the proposing process."""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.consensus.state_machine import ResultJson
from marlstep.scheduled_tasks.outcomes import Outcome


@dataclass(slots=True, frozen=True)
class TaskStatus:
    """Status of a task's last run."""

    run: int
    token: int  # token under which the run was begun
    outcome: Outcome
    attempts: int
    may_be_in_flight: bool  # a request for this run or an earlier one may still take effect

    def to_json(self) -> ResultJson:
        """Return the result as stored in snapshots and sent to the proposing process."""
        return {
            "run": self.run,
            "token": self.token,
            "outcome": self.outcome.value,
            "tries": self.attempts,
            "doubt": self.may_be_in_flight,
        }


@dataclass(slots=True, frozen=True)
class FenceRecorded:
    """It is recorded that no request with an earlier token can still take effect."""

    def to_json(self) -> ResultJson:
        """Return the result as stored in snapshots and sent to the proposing process."""
        return {"fenced": True}


@dataclass(slots=True, frozen=True)
class RunBegun:
    """The run was opened."""

    run: int

    def to_json(self) -> ResultJson:
        """Return the result as stored in snapshots and sent to the proposing process."""
        return {"begun": self.run}


@dataclass(slots=True, frozen=True)
class RunEnded:
    """The run was closed."""

    run: int

    def to_json(self) -> ResultJson:
        """Return the result as stored in snapshots and sent to the proposing process."""
        return {"ended": self.run}


@dataclass(slots=True, frozen=True)
class TaskCommandRefused:
    """The command was refused and changed nothing."""

    reason: str
    status: TaskStatus | None = None  # the existing run because of which the command was refused

    def to_json(self) -> ResultJson:
        """Return the result as stored in snapshots and sent to the proposing process."""
        status = {} if self.status is None else self.status.to_json()
        return {"refused": self.reason, **status}


TaskResult = TaskStatus | FenceRecorded | RunBegun | RunEnded | TaskCommandRefused


def parse_task_result(stored: ResultJson) -> TaskResult:
    """Parse a result from the log. An error of the log is returned as a refusal."""
    match stored:
        case {"refused": reason}:
            return TaskCommandRefused(str(reason), _parse_status(stored) if "run" in stored else None)
        case {"fenced": _}:
            return FenceRecorded()
        case {"begun": run}:
            return RunBegun(int(run))
        case {"ended": run}:
            return RunEnded(int(run))
        case {"run": _}:
            return _parse_status(stored)
        case _:
            return TaskCommandRefused(str(stored.get("error", "")))


def _parse_status(stored: ResultJson) -> TaskStatus:
    return TaskStatus(
        run=int(stored["run"]),
        token=int(stored["token"]),
        outcome=Outcome(stored["outcome"]),
        attempts=int(stored["tries"]),
        may_be_in_flight=bool(stored["doubt"]),
    )
