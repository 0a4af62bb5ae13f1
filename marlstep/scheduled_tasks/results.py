"""Results of the commands on tasks, as the log gives them to the process that asked."""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.consensus.state_machine import ResultJson
from marlstep.scheduled_tasks.outcomes import Outcome


@dataclass(slots=True, frozen=True)
class TaskStatus:
    """A task's last run."""

    run: int
    token: int  # under which it was begun
    outcome: Outcome
    attempts: int
    may_be_in_flight: bool  # a request for it, or for a run before it, may still take effect

    def to_json(self) -> ResultJson:
        """The result as snapshots and clients have it."""
        return {
            "run": self.run,
            "token": self.token,
            "outcome": self.outcome.value,
            "tries": self.attempts,
            "doubt": self.may_be_in_flight,
        }


@dataclass(slots=True, frozen=True)
class FenceRecorded:
    """Nothing of an earlier token is in flight any more."""

    def to_json(self) -> ResultJson:
        """The result as snapshots and clients have it."""
        return {"fenced": True}


@dataclass(slots=True, frozen=True)
class RunBegun:
    """The run is open."""

    run: int

    def to_json(self) -> ResultJson:
        """The result as snapshots and clients have it."""
        return {"begun": self.run}


@dataclass(slots=True, frozen=True)
class RunEnded:
    """The run is closed."""

    run: int

    def to_json(self) -> ResultJson:
        """The result as snapshots and clients have it."""
        return {"ended": self.run}


@dataclass(slots=True, frozen=True)
class TaskCommandRefused:
    """The command changed nothing."""

    reason: str
    status: TaskStatus | None = None  # why: the run that is in its way

    def to_json(self) -> ResultJson:
        """The result as snapshots and clients have it."""
        status = {} if self.status is None else self.status.to_json()
        return {"refused": self.reason, **status}


TaskResult = TaskStatus | FenceRecorded | RunBegun | RunEnded | TaskCommandRefused


def parse_task_result(stored: ResultJson) -> TaskResult:
    """The result that came from the log; an error of the log counts as a refusal."""
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
