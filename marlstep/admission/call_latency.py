"""Running means of the time that downstream calls take."""

from __future__ import annotations

from marlstep.admission.run_statistics import EWMA_WEIGHT

SLOW_CALL_FACTOR = 3.0  # of the usual time; calls that take longer in the mean are slow
INITIAL_CALL_FRACTION = 0.1  # of the shortest latency objective; the usual time until it is measured
USUAL_EWMA_WEIGHT = EWMA_WEIGHT * EWMA_WEIGHT


class CallLatency:
    """What calls usually take, and what they take at present, in microseconds.

    Attributes:
        usual_us: a slow mean, which does not follow calls while these are slow.
        mean_us: a mean over the latest calls; 0 while none has ended.
    """

    def __init__(self, shortest_objective_us: int) -> None:
        """Start from an estimate.

        Args:
            shortest_objective_us: the shortest latency objective of all classes, in microseconds.
        """
        self.usual_us = shortest_objective_us * INITIAL_CALL_FRACTION
        self.mean_us = 0.0

    @property
    def slow_us(self) -> int:
        """The mean time from which on calls count as slow, in microseconds."""
        return int(SLOW_CALL_FACTOR * self.usual_us)

    def record(self, elapsed_us: int) -> None:
        """Take a call that has ended into the means, whatever its outcome: it took time all the same."""
        are_calls_slow = self.mean_us > SLOW_CALL_FACTOR * self.usual_us
        if not are_calls_slow:
            self.usual_us += USUAL_EWMA_WEIGHT * (elapsed_us - self.usual_us)
        self.mean_us += EWMA_WEIGHT * (elapsed_us - self.mean_us)

    def adopt(self, usual_us: float, mean_us: float) -> None:
        """Take over the means of another process of this server; 0 stands for nothing measured there.

        The usual time is theirs, which was measured for longer; the present one stays if it is measured.
        """
        self.usual_us = usual_us or self.usual_us
        self.mean_us = self.mean_us or mean_us
