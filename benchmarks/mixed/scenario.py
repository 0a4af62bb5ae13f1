"""Runs one scenario within its time limit and collects its result."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from benchmarks.mixed.errors import CallFailedError, CheckFailedError
from benchmarks.mixed.server_process import LogFindings, ServerProcess

MAX_SHOWN_FAILURES = 20
MAX_SHOWN_LOG_LINES = 10


@dataclass(slots=True)
class Result:
    """The result of one scenario.

    Attributes:
        name: The title of the scenario.
        failures: The failed checks and steps.
        counts: Counts and durations for the report, by JSON key.
        warnings: How often each warning was logged; warnings are not failures.
        seconds: How long the scenario took, in seconds.
    """

    name: str
    failures: list[str] = field(default_factory=list)
    counts: dict[str, Any] = field(default_factory=dict)
    warnings: dict[str, int] = field(default_factory=dict)
    seconds: float = 0.0

    @property
    def held(self) -> bool:
        """Whether there was no failure."""
        return not self.failures

    def check(self, holds: bool, failure: str) -> None:
        """Add a failure if the condition does not hold."""
        if not holds:
            self.failures.append(failure)

    def check_processes(self, processes: Iterable[ServerProcess], logs: Mapping[str, LogFindings]) -> None:
        """Check that no process exited by itself or logged an error, and count the warnings in the logs."""
        for process in processes:
            self.check(not process.ended_by_itself, f"{process.launch.log.stem} exited by itself")
        for name, findings in logs.items():
            self.failures += [f"log of {name}: {line}" for line in findings.errors[:MAX_SHOWN_LOG_LINES]]
            for text, count in findings.warnings.items():
                self.warnings[text] = self.warnings.get(text, 0) + count

    def to_json(self) -> dict[str, Any]:
        """Return the result for the report."""
        return {
            "name": self.name,
            "held": self.held,
            "seconds": round(self.seconds, 1),
            "failures": self.failures[:MAX_SHOWN_FAILURES],
            "failure_count": len(self.failures),
            "counts": self.counts,
            "warnings": self.warnings,
        }


async def run_scenario(name: str, body: Callable[[Result], Awaitable[None]]) -> Result:
    """Run a scenario and return its result; an error of one of its steps is a failure.

    Raises:
        CannotRunError: A version can't be run from its checkout.
        OSError: A file, socket or process could not be created.
    """
    result = Result(name)
    started_at = time.monotonic()
    try:
        await body(result)
    except (CheckFailedError, CallFailedError) as error:
        result.failures.append(str(error))
    except TimeoutError:
        result.failures.append("the scenario exceeded its time limit")
    result.seconds = time.monotonic() - started_at
    return result
