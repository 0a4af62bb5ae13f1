"""When a task is due. Runs are numbered by the wall clock, so that all nodes mean the same run by a number."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.units import EPOCH, ZERO

DAY = timedelta(days=1)


class Missed(enum.StrEnum):
    """What becomes of runs whose time passed while nobody could do them."""

    SKIP = "skip"  # only a run whose time began less than a tenth of the interval ago is done
    ONCE = "once"  # the last of them is done, once, as soon as somebody can


@dataclass(slots=True, frozen=True)
class Schedule:
    every: timedelta
    at: timedelta = ZERO  # into the interval, from the epoch (for a day: the time of day, UTC)
    missed: Missed = Missed.SKIP

    def current(self, wall: datetime) -> int:
        """The run whose time began last."""
        return (wall - EPOCH - self.at) // self.every

    def begins(self, run: int) -> datetime:
        return EPOCH + self.at + run * self.every

    @property
    def patience(self) -> timedelta:
        """For how long after its time a run is still done, where missed ones are skipped."""
        return self.every / 10

    def due(self, wall: datetime, last: int) -> int | None:
        """The run to be done now, where `last` was the last that was begun; None where it is not time."""
        run = self.current(wall)
        if run <= last:
            return None
        if self.missed is Missed.SKIP and wall > self.begins(run) + self.patience:
            return None
        return run

    def next(self, wall: datetime, last: int) -> datetime:
        """When to look again."""
        return self.begins(max(self.current(wall), last) + 1)
