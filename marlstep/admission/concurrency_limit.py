"""The limit of the running set, adapted each second to the load of the cores and the latency of runs."""

from dataclasses import dataclass

from marlstep.admission.server_state import ServerState

LIMIT_INCREASE_PER_SECOND = 2.0  # requests a second by which the limit grows (the design's figure)
MAX_READ_LAG_FRACTION = (
    0.1  # of the shortest objective: reading that lags more gets cores back from the running set
)


@dataclass(slots=True)
class ConcurrencyLimit:
    """How many requests run at once: never fewer than the cores, never more than the server survives."""

    state: ServerState
    limit: float = 0.0
    adjusted_at: int = 0
    was_full: bool = False  # since then

    def clamp(self) -> None:
        """Keep the limit within its bounds, whatever has moved them."""
        self.limit = max(float(self.state.settings.cores), min(self.limit, self.state.max_concurrency))

    def adopt(self, limit: float) -> None:
        """Take the limit of another process of this server, where it is higher."""
        self.limit = max(self.limit, min(limit, self.state.max_concurrency))

    def lag_factor(self) -> float:
        """Give the share of the limit that is left while reading lags."""
        allowed_us = MAX_READ_LAG_FRACTION * self.state.shortest_objective_us
        return min(1.0, allowed_us / max(1.0, self.state.statistics.read_lag_us))

    def adjust(self, is_busy: bool) -> None:
        """Adapt the limit to the second that ends now."""
        runs = self.state.statistics.recent_runs_us
        if not is_busy:
            self.limit += LIMIT_INCREASE_PER_SECOND if self.was_full else 0
        elif runs:
            self.limit = (
                self.limit * self.state.statistics.least_run_us * len(runs) / max(1, sum(runs))
                + LIMIT_INCREASE_PER_SECOND
            )
        self.clamp()
        self.adjusted_at, self.was_full = self.state.now, False
