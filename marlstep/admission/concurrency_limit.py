"""The limit on runs at once, adapted each second to the load of the cores and the latency of runs."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from marlstep.admission.controller_state import ControllerState

CPU_BUSY_THRESHOLD = 0.85  # of the cores; below it the limit does not fall
LIMIT_INCREASE_PER_SECOND = 2.0  # runs
MAX_READ_LAG_FRACTION = 0.1  # of the shortest latency objective; beyond it runs yield cores to reading


def is_cpu_busy(cpu_load: float) -> bool:
    """Return whether the cores are so busy that more runs at once would only slow each other down.

    Args:
        cpu_load: share of the cores in use, 0 to 1.
    """
    return cpu_load >= CPU_BUSY_THRESHOLD


def adapted_limit(
    limit: float, is_busy: bool, was_full: bool, base_latency_us: int, latencies_us: Sequence[int]
) -> float:
    """Return the limit for the next second, before it is clamped.

    While the cores have time to spare the limit grows by a fixed step if it was reached, and never falls. On
    busy cores it follows the gradient of latency, `limit * base / mean + step`: longer runs than at the base
    show that the cores are shared by too many. Without a measured run a limit on busy cores stays.

    Args:
        limit: of the last second, in runs.
        is_busy: whether the cores are busy.
        was_full: whether the limit was reached in the last second.
        base_latency_us: of the quickest run measured, in microseconds.
        latencies_us: of the complete runs of the last second that were never paused, in microseconds.
    """
    if not is_busy:
        return limit + LIMIT_INCREASE_PER_SECOND if was_full else limit
    if not latencies_us:
        return limit
    total_us = max(1, sum(latencies_us))
    return limit * base_latency_us * len(latencies_us) / total_us + LIMIT_INCREASE_PER_SECOND


def read_lag_factor(read_lag_us: float, shortest_objective_us: int) -> float:
    """Return the share of the limit that is left while requests lie unread, 0 to 1.

    Reading shares the cores with runs. A mean lag above `MAX_READ_LAG_FRACTION` of the shortest objective
    takes cores back from the runs, in proportion, so that reading catches up.

    Args:
        read_lag_us: for which requests lie unread in the mean, in microseconds.
        shortest_objective_us: the shortest latency objective of all classes, in microseconds.
    """
    allowed_us = MAX_READ_LAG_FRACTION * shortest_objective_us
    return min(1.0, allowed_us / max(1.0, read_lag_us))


@dataclass(slots=True)
class ConcurrencyLimit:
    """How many requests run at once: never fewer than the cores, never more than the server survives."""

    state: ControllerState
    limit: float = 0.0
    adjusted_at: int = 0
    was_full: bool = False  # at any time since the last adjustment

    def clamp(self) -> None:
        """Keep the limit within its bounds after these or the limit have changed."""
        self.limit = max(float(self.state.settings.cores), min(self.limit, self.state.max_concurrency))

    def adopt(self, limit: float) -> None:
        """Take over the limit of another process of this server if it is higher."""
        self.limit = max(self.limit, min(limit, self.state.max_concurrency))

    def lag_factor(self) -> float:
        """Return the share of the limit that is left at the present lag of reading."""
        return read_lag_factor(self.state.statistics.read_lag_us, self.state.shortest_objective_us)

    def effective_limit(self) -> float:
        """Return how many may run at present: the limit, less what reading needs, and one at least."""
        return max(1.0, self.limit * self.lag_factor())

    def adjust(self, is_busy: bool) -> None:
        """Adapt the limit to the second that ends now."""
        statistics = self.state.statistics
        self.limit = adapted_limit(
            self.limit, is_busy, self.was_full, statistics.least_run_us, statistics.recent_runs_us
        )
        self.clamp()
        self.adjusted_at = self.state.now
        self.was_full = False
