"""Processor sharing: how fast runs advance that share the cores of a machine. Pure.

Of n runs on c cores each advances at min(1, c / n) of the machine's speed. From a knee on, each further run slows all
runs, as contention does on the machines of the platform. Times are microseconds on the caller's clock.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple


class _Completion(NamedTuple):
    """Where a run ends, on the scale of the work that each run has received since the start."""

    at_work_us: float
    order: int  # of arrival; decides between runs that end together
    run_id: str


class ProcessorSharing:
    """Runs that share the cores evenly.

    Call `advance` with the current time before any other method: the others act at the time of the last call.
    """

    def __init__(self, cores: float, speed: float = 1.0, knee: float = 3.0, slowdown: float = 0.02) -> None:
        """Start with no runs at time 0.

        Args:
            cores: Number of cores.
            speed: Work in microseconds that one core does in a microsecond.
            knee: Runs per core up to which further runs cost nothing but their share.
            slowdown: Part of the speed that each further run per core past the knee costs.
        """
        self.cores, self.speed = cores, speed
        self.busy_us = 0.0  # core time used since the start
        self._knee_runs, self._slowdown_per_run = knee * cores, slowdown / cores
        self._now_us = 0
        self._work_per_run_us = 0.0  # that a run present since the start would have received
        self._completions: list[
            _Completion
        ] = []  # a heap; entries of removed runs stay until they come first
        self._running: dict[str, _Completion] = {}
        self._added = 0

    def __len__(self) -> int:
        """Return how many runs are on the cores."""
        return len(self._running)

    def add(self, run_id: str, work_us: float) -> None:
        """Put a run on the cores that needs so much work, in microseconds at speed 1."""
        self._added += 1
        completion = _Completion(self._work_per_run_us + max(0.0, work_us), self._added, run_id)
        self._running[run_id] = completion
        heapq.heappush(self._completions, completion)

    def remove(self, run_id: str) -> float:
        """Take a run off the cores, and return the work that it still needs, in microseconds at speed 1.

        Raises:
            KeyError: No such run is on the cores.
        """
        completion = self._running.pop(run_id)
        return max(0.0, completion.at_work_us - self._work_per_run_us)

    def next_completion_us(self) -> int | None:
        """Return when the next run ends if none is added or removed; None if there is none."""
        first = self._first_completion()
        if first is None:
            return None
        remaining_us = (first.at_work_us - self._work_per_run_us) / self._rate()
        return self._now_us + max(1, -int(-remaining_us // 1))

    def advance(self, now_us: int) -> list[str]:
        """Let time pass until `now_us`, and return the runs that have ended by then, in that order."""
        ended = []
        reached_us = float(self._now_us)
        while (first := self._first_completion()) is not None:
            remaining_us = (first.at_work_us - self._work_per_run_us) / self._rate()
            if reached_us + remaining_us > now_us:
                break
            self._work_for(max(0.0, remaining_us))
            reached_us += max(0.0, remaining_us)
            heapq.heappop(self._completions)
            del self._running[first.run_id]
            ended.append(first.run_id)
        if self._running:
            self._work_for(max(0.0, now_us - reached_us))
        self._now_us = max(self._now_us, now_us)
        return ended

    def _rate(self) -> float:
        """Return the work that each run receives in a microsecond."""
        running = len(self._running)
        rate = self.speed * min(1.0, self.cores / running)
        runs_past_knee = max(0.0, running - self._knee_runs)
        return rate / (1 + self._slowdown_per_run * runs_past_knee)

    def _work_for(self, duration_us: float) -> None:
        """Let the runs work for so long, during which none of them ends."""
        self._work_per_run_us += duration_us * self._rate()
        self.busy_us += duration_us * min(self.cores, len(self._running))

    def _first_completion(self) -> _Completion | None:
        """Return the completion that comes first, and drop those of runs that were removed."""
        while self._completions:
            first = self._completions[0]
            if self._running.get(first.run_id) == first:
                return first
            heapq.heappop(self._completions)
        return None
