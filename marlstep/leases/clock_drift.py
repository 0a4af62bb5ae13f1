"""Detection, on the leader, of node clocks whose drift exceeds the configured bound.

Each heartbeat carries its sender's clock reading. Over a window of a few seconds both clocks should advance by the same
amount, within twice the drift bound plus the allowed message delay. A late heartbeat makes one window appear long and
the next one short, so drift is reported only if two consecutive windows are off in the same direction.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.units import MILLISECOND, SECOND, ZERO

MEASUREMENT_WINDOW = 3 * SECOND
MESSAGE_DELAY_ALLOWANCE = 100 * MILLISECOND  # message delay that does not count as drift


@dataclass(slots=True)
class ClockObservation:
    """Start of the current window of one process, and the result of its previous window."""

    remote_time: datetime  # the process's clock at the start of the window
    local_time: datetime  # the leader's clock at the start of the window
    previous_sign: int = 0  # sign of the previous window's error; 0 if it was within the bound
    exceeds_bound: bool = False


class ClockDriftMonitor:
    """Compares the clocks of processes with the leader's clock."""

    def __init__(self, max_drift: float) -> None:
        """Initialize the monitor; `max_drift` is the largest allowed clock error, as a fraction of elapsed time."""
        self._max_drift = max_drift
        self._observations: dict[str, ClockObservation] = {}

    def observe(self, process: str, remote_time: datetime, local_time: datetime) -> float | None:
        """Record the clock reading in a heartbeat of `process`, which arrived at `local_time`.

        Returns the relative clock error when it is first found to exceed the bound, and None otherwise.
        """
        previous = self._observations.get(process)
        if previous is None or remote_time < previous.remote_time:
            self._observations[process] = ClockObservation(remote_time, local_time)
            return None
        elapsed = local_time - previous.local_time
        if elapsed < MEASUREMENT_WINDOW:
            return None
        error = (remote_time - previous.remote_time) - elapsed
        sign = self._sign_beyond_bound(error, elapsed)
        exceeds = sign != 0 and sign == previous.previous_sign
        newly_exceeds = exceeds and not previous.exceeds_bound
        self._observations[process] = ClockObservation(remote_time, local_time, sign, exceeds)
        return error / elapsed if newly_exceeds else None

    def _sign_beyond_bound(self, error: timedelta, elapsed: timedelta) -> int:
        limit = 2 * self._max_drift * elapsed + MESSAGE_DELAY_ALLOWANCE
        if abs(error) <= limit:
            return 0
        return 1 if error > ZERO else -1

    def exceeds_bound(self, process: str) -> bool:
        """Return whether the process's clock drift exceeds the bound; then only fencing tokens protect its leases."""
        observation = self._observations.get(process)
        return observation is not None and observation.exceeds_bound

    def retain_only(self, processes: set[str]) -> None:
        """Remove the observations of all processes not in `processes`."""
        for process in self._observations.keys() - processes:
            del self._observations[process]
