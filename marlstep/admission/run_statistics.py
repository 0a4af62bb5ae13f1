"""Statistics of the time that runs take on the cores, and of the read lag of requests."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from marlstep.admission.entry import Entry
from marlstep.admission.settings import ClassSettings

EWMA_WEIGHT = 0.1  # of the newest value in an exponentially weighted moving average
DECAY_PER_SECOND = 0.8  # factor applied each second to the measured use of the cores


class RunStatistics:
    """Time on the cores, in microseconds: by request class, by priority weight, and of single runs.

    Attributes:
        mean_run_us: Mean run time by class name; 0 while unknown.
        spent_us: Time spent on the cores by priority weight, decaying each second.
        runs_ended: Number of ended runs, decaying each second.
        least_run_us: Shortest complete run that was never paused; 0 while unknown.
        recent_runs_us: Complete runs of this second that were never paused.
        read_lag_us: Mean time that requests wait in the buffers before they are read.
    """

    def __init__(self) -> None:
        """Initialize with no measurements."""
        self.mean_run_us: dict[str, float] = {}
        self.spent_us: dict[float, float] = {}
        self.runs_ended = 0.0
        self.least_run_us = 0
        self.recent_runs_us: list[int] = []
        self.read_lag_us = 0.0

    def configure(self, classes: Iterable[ClassSettings]) -> None:
        """Set the classes to measure; existing measurements of these classes are kept."""
        measured = list(classes)
        self.mean_run_us = {each.name: self.mean_run_us.get(each.name, 0.0) for each in measured}
        self.spent_us = {
            each.priority_weight: self.spent_us.get(each.priority_weight, 0.0) for each in measured
        }

    def record(self, entry: Entry, is_complete: bool) -> None:
        """Add a run that has ended to the statistics.

        An incomplete run only shows a lower bound of the run time, so it counts only if it exceeds the mean.

        Args:
            entry: The request, with its time on the cores.
            is_complete: Whether the run completed normally.
        """
        name, run_us = entry.request_class.name, entry.run_us
        mean = self.mean_run_us[name] or run_us
        updates_mean = run_us > 0 if is_complete else run_us > mean
        if updates_mean:
            self.mean_run_us[name] = mean + EWMA_WEIGHT * (run_us - mean)
        if is_complete and run_us and not entry.was_paused:
            self.recent_runs_us.append(run_us)
            self.least_run_us = min(self.least_run_us or run_us, run_us)

    def record_read_lag(self, unread_us: int) -> None:
        """Add the time that a request waited before it was read, in microseconds, to the mean."""
        self.read_lag_us += EWMA_WEIGHT * (unread_us - self.read_lag_us)

    def us_per_run(self) -> float:
        """Return the recent time on the cores per ended run of any outcome; 0 while too few have ended."""
        return sum(self.spent_us.values()) / self.runs_ended if self.runs_ended >= 1 else 0.0

    def share_above(self, priority_weight: float) -> float:
        """Return the share of the recent time on the cores spent on higher weights, 0 to 1."""
        total = sum(self.spent_us.values()) or 1.0
        return sum(spent for weight, spent in self.spent_us.items() if weight > priority_weight) / total

    def end_second(self) -> None:
        """Decay the recent measurements at the end of a second."""
        self.runs_ended *= DECAY_PER_SECOND
        self.spent_us = {weight: DECAY_PER_SECOND * spent for weight, spent in self.spent_us.items()}
        self.recent_runs_us = []

    def adopt(self, means_us: Mapping[str, float], least_run_us: float) -> None:
        """Adopt measurements of another process of this server, in microseconds, if there are none here."""
        self.mean_run_us = {name: mean or means_us.get(name, 0.0) for name, mean in self.mean_run_us.items()}
        self.least_run_us = self.least_run_us or int(least_run_us)
