"""Running means of the duration of downstream calls."""

from __future__ import annotations

from marlstep.admission.run_statistics import EWMA_WEIGHT

SLOW_CALL_FACTOR = 3.0  # of the usual duration; calls are slow while their mean exceeds it
# Of the shortest latency objective; the usual duration before any call is measured.
INITIAL_CALL_FRACTION = 0.1
USUAL_EWMA_WEIGHT = EWMA_WEIGHT * EWMA_WEIGHT


class CallLatency:
    """The usual and the recent duration of downstream calls, in microseconds.

    Attributes:
        usual_us: A mean that adapts slowly and is not updated while calls are slow.
        mean_us: A mean of the most recent calls; 0 until the first call has ended.
    """

    def __init__(self, shortest_objective_us: int) -> None:
        """Initialize the usual duration with an estimate.

        Args:
            shortest_objective_us: The shortest latency objective of all classes, in microseconds.
        """
        self.usual_us = shortest_objective_us * INITIAL_CALL_FRACTION
        self.mean_us = 0.0

    @property
    def slow_us(self) -> int:
        """The mean duration above which calls count as slow, in microseconds."""
        return int(SLOW_CALL_FACTOR * self.usual_us)

    def record(self, elapsed_us: int) -> None:
        """Add an ended call to the means, whatever its outcome, since failed calls take time as well."""
        are_calls_slow = self.mean_us > SLOW_CALL_FACTOR * self.usual_us
        if not are_calls_slow:
            self.usual_us += USUAL_EWMA_WEIGHT * (elapsed_us - self.usual_us)
        self.mean_us += EWMA_WEIGHT * (elapsed_us - self.mean_us)

    def adopt(self, usual_us: float, mean_us: float) -> None:
        """Adopt the means of another process of this server; 0 means that it has not measured one.

        Its usual duration replaces this one because it was measured for longer. Its recent mean is used only
        if there is none here.
        """
        self.usual_us = usual_us or self.usual_us
        self.mean_us = self.mean_us or mean_us
