"""When a task is due. Runs are numbered by the wall clock, so that all nodes mean the same run by a number."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.units import EPOCH, ZERO

DAY = timedelta(days=1)


class MissedRunPolicy(enum.StrEnum):
    """What becomes of runs whose time passed while nobody could do them."""

    SKIP = "skip"  # only a run whose time began less than a tenth of the interval ago is done
    ONCE = "once"  # the last of them is done, once, as soon as somebody can


@dataclass(slots=True, frozen=True)
class Schedule:
    interval: timedelta
    offset: timedelta = ZERO  # into the interval, from the epoch (for a day: the time of day, UTC)
    missed: MissedRunPolicy = MissedRunPolicy.SKIP

    def current_run(self, wall: datetime) -> int:
        """The run whose time began last."""
        return (wall - EPOCH - self.offset) // self.interval

    def start_of(self, run: int) -> datetime:
        return EPOCH + self.offset + run * self.interval

    @property
    def grace(self) -> timedelta:
        """For how long after its time a run is still done, where missed ones are skipped."""
        return self.interval / 10

    def due_run(self, wall: datetime, last: int) -> int | None:
        """The run to be done now, where `last` was the last that was begun; None where it is not time."""
        run = self.current_run(wall)
        if run <= last:
            return None
        if self.missed is MissedRunPolicy.SKIP and wall > self.start_of(run) + self.grace:
            return None
        return run

    def next_check(self, wall: datetime, last: int) -> datetime:
        """When to look again."""
        return self.start_of(max(self.current_run(wall), last) + 1)
