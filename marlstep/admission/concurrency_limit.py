"""The limit on concurrent runs, adapted each second to the load of the cores and the latency of runs."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from marlstep.admission.controller_state import ControllerState

CPU_BUSY_THRESHOLD = 0.85  # share of the cores in use; below it the limit does not fall
LIMIT_INCREASE_PER_SECOND = 2.0  # runs
# Of the shortest latency objective; above it the limit is reduced so that reading gets cores.
MAX_READ_LAG_FRACTION = 0.1


def is_cpu_busy(cpu_load: float) -> bool:
    """Return whether the cores are so busy that more concurrent runs would only slow each other down.

    Args:
        cpu_load: Share of the cores in use, 0 to 1.
    """
    return cpu_load >= CPU_BUSY_THRESHOLD


def adapted_limit(
    limit: float, is_busy: bool, was_reached: bool, base_latency_us: int, latencies_us: Sequence[int]
) -> float:
    """Return the limit for the next second, before it is clamped.

    While the cores are not busy, the limit grows by a fixed step if it was reached, and never falls. On busy
    cores it follows the latency gradient, `limit * base / mean + step`: runs that take longer than the base
    latency show that too many share the cores. On busy cores without a measured run the limit is unchanged.

    Args:
        limit: Limit of the last second, in runs.
        is_busy: Whether the cores are busy.
        was_reached: Whether the limit was reached in the last second.
        base_latency_us: Latency of the quickest run measured, in microseconds.
        latencies_us: Latencies of the last second's complete, never paused runs, in microseconds.
    """
    if not is_busy:
        return limit + LIMIT_INCREASE_PER_SECOND if was_reached else limit
    if not latencies_us:
        return limit
    total_us = max(1, sum(latencies_us))
    return limit * base_latency_us * len(latencies_us) / total_us + LIMIT_INCREASE_PER_SECOND


def read_lag_factor(read_lag_us: float, shortest_objective_us: int) -> float:
    """Return the factor by which read lag reduces the limit, 0 to 1.

    Reading requests shares the cores with runs. A mean lag above `MAX_READ_LAG_FRACTION` of the shortest
    objective reduces the limit in proportion, so that reading catches up.

    Args:
        read_lag_us: Mean time that requests wait before they are read, in microseconds.
        shortest_objective_us: The shortest latency objective of all classes, in microseconds.
    """
    allowed_us = MAX_READ_LAG_FRACTION * shortest_objective_us
    return min(1.0, allowed_us / max(1.0, read_lag_us))


@dataclass(slots=True)
class ConcurrencyLimit:
    """The limit on concurrent runs: at least the number of cores, at most what the server survives."""

    state: ControllerState
    limit: float = 0.0
    adjusted_at: int = 0
    was_reached: bool = False  # at any time since the last adjustment

    def clamp(self) -> None:
        """Clamp the limit to its bounds, after the limit or a bound has changed."""
        self.limit = max(float(self.state.settings.cores), min(self.limit, self.state.max_concurrency))

    def adopt(self, limit: float) -> None:
        """Adopt the limit of another process of this server if it is higher."""
        self.limit = max(self.limit, min(limit, self.state.max_concurrency))

    def lag_factor(self) -> float:
        """Return the factor by which the current read lag reduces the limit, 0 to 1."""
        return read_lag_factor(self.state.statistics.read_lag_us, self.state.shortest_objective_us)

    def effective_limit(self) -> float:
        """Return the limit reduced by the read lag; at least 1."""
        return max(1.0, self.limit * self.lag_factor())

    def adjust(self, is_busy: bool) -> None:
        """Adapt the limit to the measurements of the second that ends now."""
        statistics = self.state.statistics
        self.limit = adapted_limit(
            self.limit, is_busy, self.was_reached, statistics.least_run_us, statistics.recent_runs_us
        )
        self.clamp()
        self.adjusted_at = self.state.now
        self.was_reached = False
