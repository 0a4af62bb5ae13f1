"""What runs have taken on the cores, and requests to be read: running means, sums and counts.

They are measured here and weighed elsewhere.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from marlstep.admission.entry import Entry
from marlstep.admission.settings import ClassSettings

EWMA_WEIGHT = 0.1  # of the newest value in a running mean
DECAY_PER_SECOND = 0.8  # what a second leaves of the measured use of the cores: some seconds back count


class RunStatistics:
    """Time on the cores, in microseconds: by request class, by priority weight, and of single runs."""

    def __init__(self) -> None:
        """Start without a measurement."""
        self.mean_run_us: dict[str, float] = {}  # by class name; 0 while unknown
        self.spent_us: dict[float, float] = {}  # by priority weight, fading
        self.runs_ended = 0.0  # fading
        self.least_run_us = 0  # of complete runs that were never paused; 0 while unknown
        self.recent_runs_us: list[int] = []  # of such runs, in this second
        self.read_lag_us = 0.0  # how long requests lie unread, in the mean

    def configure(self, classes: Iterable[ClassSettings]) -> None:
        """Hold figures for these classes; what was measured of them stays."""
        known = list(classes)
        self.mean_run_us = {each.name: self.mean_run_us.get(each.name, 0.0) for each in known}
        self.spent_us = {each.priority_weight: self.spent_us.get(each.priority_weight, 0.0) for each in known}

    def record(self, entry: Entry, is_complete: bool) -> None:
        """Count a run that has ended; one that was cut short only shows that runs are longer."""
        name, run_us = entry.request_class.name, entry.run_us
        mean = self.mean_run_us[name] or run_us
        if run_us > (0 if is_complete else mean):
            self.mean_run_us[name] = mean + EWMA_WEIGHT * (run_us - mean)
        if is_complete and run_us and not entry.was_paused:
            self.recent_runs_us.append(run_us)
            self.least_run_us = min(self.least_run_us or run_us, run_us)

    def record_read_lag(self, unread_us: int) -> None:
        """Count how long a request lay unread."""
        self.read_lag_us += EWMA_WEIGHT * (unread_us - self.read_lag_us)

    def us_per_run(self) -> float:
        """Give the time on the cores per run that ended lately, however it ended; 0 while too few have."""
        return sum(self.spent_us.values()) / self.runs_ended if self.runs_ended >= 1 else 0.0

    def share_above(self, priority_weight: float) -> float:
        """Give the share of the measured time that was spent on higher priority weights."""
        total = sum(self.spent_us.values()) or 1.0
        return sum(spent for weight, spent in self.spent_us.items() if weight > priority_weight) / total

    def end_second(self) -> None:
        """Let the figures fade for a second that is over."""
        self.runs_ended *= DECAY_PER_SECOND
        self.spent_us = {weight: DECAY_PER_SECOND * spent for weight, spent in self.spent_us.items()}
        self.recent_runs_us = []

    def adopt(self, means_us: Mapping[str, float], least_run_us: float) -> None:
        """Take the figures of another process of this server where nothing was measured here."""
        self.mean_run_us = {name: mean or means_us.get(name, 0.0) for name, mean in self.mean_run_us.items()}
        self.least_run_us = self.least_run_us or int(least_run_us)
