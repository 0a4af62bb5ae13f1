"""Running means of the time that downstream calls take. They are measured here and weighed elsewhere."""

from __future__ import annotations

from marlstep.admission.run_statistics import NEWEST_WEIGHT

SLOW_MULTIPLE = 3.0  # of the usual time: calls that take longer in the mean are slow
FIRST_GUESS = 0.1  # of the shortest latency objective: what calls usually take, until it is measured


class CallLatency:
    """What calls usually take, and what they take at present, in microseconds."""

    def __init__(self, shortest_objective: int) -> None:
        """Start from a guess."""
        self.usual_us = shortest_objective * FIRST_GUESS
        self.mean_us = 0.0

    @property
    def slow_us(self) -> int:
        """The time from which on calls are slow."""
        return int(SLOW_MULTIPLE * self.usual_us)

    def record(self, elapsed_us: int) -> None:
        """Measure a call that has ended; the usual time follows slowly, and only while calls are not slow."""
        if self.mean_us <= SLOW_MULTIPLE * self.usual_us:
            self.usual_us += NEWEST_WEIGHT * NEWEST_WEIGHT * (elapsed_us - self.usual_us)
        self.mean_us += NEWEST_WEIGHT * (elapsed_us - self.mean_us)

    def adopt(self, usual_us: float, mean_us: float) -> None:
        """Take the figures of another process of this server."""
        self.usual_us = usual_us or self.usual_us
        self.mean_us = self.mean_us or mean_us
