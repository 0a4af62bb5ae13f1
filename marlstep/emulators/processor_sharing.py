"""Processor-sharing model: the speed of runs that share the cores of a machine. No I/O.

With n runs on c cores, each run advances at min(1, c / n) of the machine's speed. Above a knee, each additional run
slows down all runs, as contention does on the machines of the platform. Times are in microseconds on the caller's
clock.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple


class _Completion(NamedTuple):
    """A run ends at the time when `_work_per_run_us` reaches `end_work_per_run_us`."""

    end_work_per_run_us: float
    order: int  # in which runs were added; breaks ties between runs that end together
    run_id: str


class ProcessorSharing:
    """A set of runs that share the cores evenly.

    Call `advance` with the current time before any other method: the others act at the time of its last call.

    Attributes:
        cores: number of cores.
        speed: microseconds of work that one core does in a microsecond.
        busy_us: core time used since time 0, in microseconds.
    """

    def __init__(self, cores: float, speed: float = 1.0, knee: float = 3.0, slowdown: float = 0.02) -> None:
        """Initialize the cores with no runs, at time 0.

        Args:
            cores: Number of cores.
            speed: Microseconds of work that one core does in a microsecond.
            knee: Runs per core up to which there is no contention.
            slowdown: Relative increase in the time that work takes, for each run per core above the knee.
        """
        self.cores, self.speed = cores, speed
        self.busy_us = 0.0
        self._knee_runs, self._slowdown_per_run = knee * cores, slowdown / cores
        self._now_us = 0
        self._work_per_run_us = (
            0.0  # work that a run would have received if it were on the cores since time 0
        )
        # A heap; the entry of a removed run stays until it is the first.
        self._completions: list[_Completion] = []
        self._running: dict[str, _Completion] = {}
        self._added_count = 0

    def __len__(self) -> int:
        """Return the number of runs on the cores."""
        return len(self._running)

    def add(self, run_id: str, work_us: float) -> None:
        """Put a run on the cores that needs `work_us` of work, in microseconds of core time at speed 1."""
        self._added_count += 1
        completion = _Completion(self._work_per_run_us + max(0.0, work_us), self._added_count, run_id)
        self._running[run_id] = completion
        heapq.heappush(self._completions, completion)

    def remove(self, run_id: str) -> float:
        """Remove a run from the cores, and return its remaining work in microseconds of core time at speed 1.

        Raises:
            KeyError: The run is not on the cores.
        """
        completion = self._running.pop(run_id)
        return max(0.0, completion.end_work_per_run_us - self._work_per_run_us)

    def next_completion_us(self) -> int | None:
        """Return the time at which the next run ends if none is added or removed; None if there are no runs."""
        first = self._first_completion()
        if first is None:
            return None
        remaining_us = (first.end_work_per_run_us - self._work_per_run_us) / self._rate()
        return self._now_us + max(1, -int(-remaining_us // 1))

    def advance(self, now_us: int) -> list[str]:
        """Advance to `now_us`, and return the runs that ended since the previous call in order of their ends."""
        ended = []
        reached_us = float(self._now_us)
        while (first := self._first_completion()) is not None:
            remaining_us = (first.end_work_per_run_us - self._work_per_run_us) / self._rate()
            if reached_us + remaining_us > now_us:
                break
            self._account_work(max(0.0, remaining_us))
            reached_us += max(0.0, remaining_us)
            heapq.heappop(self._completions)
            del self._running[first.run_id]
            ended.append(first.run_id)
        if self._running:
            self._account_work(max(0.0, now_us - reached_us))
        self._now_us = max(self._now_us, now_us)
        return ended

    def _rate(self) -> float:
        """Return the microseconds of work that each run receives in a microsecond. There must be a run."""
        running = len(self._running)
        rate = self.speed * min(1.0, self.cores / running)
        runs_past_knee = max(0.0, running - self._knee_runs)
        return rate / (1 + self._slowdown_per_run * runs_past_knee)

    def _account_work(self, duration_us: float) -> None:
        """Account for the work of `duration_us` microseconds during which no run ends."""
        self._work_per_run_us += duration_us * self._rate()
        self.busy_us += duration_us * min(self.cores, len(self._running))

    def _first_completion(self) -> _Completion | None:
        """Return the earliest completion, or None; drop the entries of removed runs before it."""
        while self._completions:
            first = self._completions[0]
            if self._running.get(first.run_id) == first:
                return first
            heapq.heappop(self._completions)
        return None
