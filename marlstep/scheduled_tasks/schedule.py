"""Schedules of tasks. Runs are numbered by wall-clock time, so that a number means the same run on all nodes."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.units import EPOCH, ZERO

DAY = timedelta(days=1)
GRACE_PERIODS_PER_INTERVAL = 10


class MissedRunPolicy(enum.StrEnum):
    """How to handle a run whose time passed while no process could execute it."""

    SKIP = "skip"  # execute it only within the grace period
    ONCE = "once"  # execute the last missed run once, as soon as possible


@dataclass(slots=True, frozen=True)
class Schedule:
    """A schedule with one run per interval."""

    interval: timedelta
    offset: timedelta = ZERO  # of run 0 from the epoch; for a daily schedule, the time of day in UTC
    missed: MissedRunPolicy = MissedRunPolicy.SKIP

    def current_run(self, wall: datetime) -> int:
        """Return the number of the latest run whose time has come."""
        return (wall - EPOCH - self.offset) // self.interval

    def start_of(self, run: int) -> datetime:
        """Return the wall-clock time at which the run is due."""
        return EPOCH + self.offset + run * self.interval

    @property
    def grace(self) -> timedelta:
        """How long after its time a run may still be executed if missed runs are skipped."""
        return self.interval / GRACE_PERIODS_PER_INTERVAL

    def due_run(self, wall: datetime, last_run: int) -> int | None:
        """Return the number of the run to begin now; None if none is due after `last_run`, the last one begun."""
        run = self.current_run(wall)
        if run <= last_run:
            return None
        if self.missed is MissedRunPolicy.SKIP and wall > self.start_of(run) + self.grace:
            return None
        return run

    def next_check(self, wall: datetime, last_run: int) -> datetime:
        """Return the wall-clock time at which the next run may be due."""
        return self.start_of(max(self.current_run(wall), last_run) + 1)
