"""What runs have taken on the cores, and requests to be read: running means, sums and counts."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from marlstep.admission.entry import Entry
from marlstep.admission.settings import ClassSettings

EWMA_WEIGHT = 0.1  # of the newest value in an exponentially weighted mean
DECAY_PER_SECOND = 0.8  # share of the measured use of the cores that a second leaves


class RunStatistics:
    """Time on the cores, in microseconds: by request class, by priority weight, and of single runs.

    Attributes:
        mean_run_us: by class name; 0 while unknown.
        spent_us: by priority weight, decaying each second.
        runs_ended: decaying each second.
        least_run_us: of complete runs that were never paused; 0 while unknown.
        recent_runs_us: of such runs, in this second.
        read_lag_us: how long requests lie unread, in the mean.
    """

    def __init__(self) -> None:
        """Start without a measurement."""
        self.mean_run_us: dict[str, float] = {}
        self.spent_us: dict[float, float] = {}
        self.runs_ended = 0.0
        self.least_run_us = 0
        self.recent_runs_us: list[int] = []
        self.read_lag_us = 0.0

    def configure(self, classes: Iterable[ClassSettings]) -> None:
        """Measure these classes from now on; what was measured of them stays."""
        known = list(classes)
        self.mean_run_us = {each.name: self.mean_run_us.get(each.name, 0.0) for each in known}
        self.spent_us = {each.priority_weight: self.spent_us.get(each.priority_weight, 0.0) for each in known}

    def record(self, entry: Entry, is_complete: bool) -> None:
        """Take a run that has ended into the means.

        One that was cut short only shows that runs take at least as long.

        Args:
            entry: the request, with its time on the cores.
            is_complete: whether the run came to its own end.
        """
        name, run_us = entry.request_class.name, entry.run_us
        mean = self.mean_run_us[name] or run_us
        shows_mean = run_us > 0 if is_complete else run_us > mean
        if shows_mean:
            self.mean_run_us[name] = mean + EWMA_WEIGHT * (run_us - mean)
        if is_complete and run_us and not entry.was_paused:
            self.recent_runs_us.append(run_us)
            self.least_run_us = min(self.least_run_us or run_us, run_us)

    def record_read_lag(self, unread_us: int) -> None:
        """Take the time for which a request lay unread into the mean."""
        self.read_lag_us += EWMA_WEIGHT * (unread_us - self.read_lag_us)

    def us_per_run(self) -> float:
        """Return the time on the cores per run that ended lately, however it ended; 0 while too few have."""
        return sum(self.spent_us.values()) / self.runs_ended if self.runs_ended >= 1 else 0.0

    def share_above(self, priority_weight: float) -> float:
        """Return the share of the time lately spent on the cores that went to higher weights, 0 to 1."""
        total = sum(self.spent_us.values()) or 1.0
        return sum(spent for weight, spent in self.spent_us.items() if weight > priority_weight) / total

    def end_second(self) -> None:
        """Let the recent figures decay for a second that is over."""
        self.runs_ended *= DECAY_PER_SECOND
        self.spent_us = {weight: DECAY_PER_SECOND * spent for weight, spent in self.spent_us.items()}
        self.recent_runs_us = []

    def adopt(self, means_us: Mapping[str, float], least_run_us: float) -> None:
        """Take over the figures of another process of this server where nothing was measured here."""
        self.mean_run_us = {name: mean or means_us.get(name, 0.0) for name, mean in self.mean_run_us.items()}
        self.least_run_us = self.least_run_us or int(least_run_us)
