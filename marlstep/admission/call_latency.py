"""Running means of the time that downstream calls take. They are measured here and weighed elsewhere."""

from __future__ import annotations

from marlstep.admission.run_statistics import EWMA_WEIGHT

SLOW_CALL_FACTOR = 3.0  # of the usual time: calls that take longer in the mean are slow
INITIAL_CALL_FRACTION = (
    0.1  # of the shortest latency objective: what calls usually take, until it is measured
)


class CallLatency:
    """What calls usually take, and what they take at present, in microseconds."""

    def __init__(self, shortest_objective_us: int) -> None:
        """Start from a guess."""
        self.usual_us = shortest_objective_us * INITIAL_CALL_FRACTION
        self.mean_us = 0.0

    @property
    def slow_us(self) -> int:
        """The time from which on calls are slow."""
        return int(SLOW_CALL_FACTOR * self.usual_us)

    def record(self, elapsed_us: int) -> None:
        """Measure a call that has ended; the usual time follows slowly, and only while calls are not slow."""
        if self.mean_us <= SLOW_CALL_FACTOR * self.usual_us:
            self.usual_us += EWMA_WEIGHT * EWMA_WEIGHT * (elapsed_us - self.usual_us)
        self.mean_us += EWMA_WEIGHT * (elapsed_us - self.mean_us)

    def adopt(self, usual_us: float, mean_us: float) -> None:
        """Take the figures of another process of this server."""
        self.usual_us = usual_us or self.usual_us
        self.mean_us = self.mean_us or mean_us
