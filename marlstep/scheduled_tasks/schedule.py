"""When a task is due. Runs are numbered by the wall clock, so that a number means the same run on all nodes."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.units import EPOCH, ZERO

DAY = timedelta(days=1)
GRACE_PERIODS_PER_INTERVAL = 10


class MissedRunPolicy(enum.StrEnum):
    """What becomes of a run whose time passed while no process could execute it."""

    SKIP = "skip"  # it is executed only within the grace period
    ONCE = "once"  # the last of those that were missed is executed once, as soon as possible


@dataclass(slots=True, frozen=True)
class Schedule:
    """A run in every interval."""

    interval: timedelta
    offset: timedelta = ZERO  # into the interval, from the epoch; for a day, the time of day in UTC
    missed: MissedRunPolicy = MissedRunPolicy.SKIP

    def current_run(self, wall: datetime) -> int:
        """The number of the run whose time came last."""
        return (wall - EPOCH - self.offset) // self.interval

    def start_of(self, run: int) -> datetime:
        """The wall clock's time at which that run is due."""
        return EPOCH + self.offset + run * self.interval

    @property
    def grace(self) -> timedelta:
        """How long after its time a run is still executed, where missed ones are skipped."""
        return self.interval / GRACE_PERIODS_PER_INTERVAL

    def due_run(self, wall: datetime, last_run: int) -> int | None:
        """The run to begin now, where `last_run` was the last to be begun; None where none is due."""
        run = self.current_run(wall)
        if run <= last_run:
            return None
        if self.missed is MissedRunPolicy.SKIP and wall > self.start_of(run) + self.grace:
            return None
        return run

    def next_check(self, wall: datetime, last_run: int) -> datetime:
        """The wall clock's time at which another run may be due."""
        return self.start_of(max(self.current_run(wall), last_run) + 1)
