"""Detection, on the leader, of node clocks that drift by more than the settings guard against.

Each heartbeat carries its sender's clock. Over windows of some seconds both clocks should advance by the same time,
within twice the drift and the delay of a message. A late heartbeat makes one window long and the next one short, so an
error is believed only when two windows in a row err in the same direction.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.units import MILLISECOND, SECOND, ZERO

MEASUREMENT_WINDOW = 3 * SECOND
MESSAGE_DELAY_ALLOWANCE = 100 * MILLISECOND  # a message's delay that does not count as drift


@dataclass(slots=True)
class ClockObservation:
    """The start of the current window of one process, and the result of the window before."""

    remote_time: datetime
    local_time: datetime
    previous_sign: int = 0  # direction of the previous window's error; 0 where it was within bounds
    exceeds_bound: bool = False


class ClockDriftMonitor:
    """Compares the clocks of processes with the leader's own."""

    def __init__(self, max_drift: float) -> None:
        """`max_drift` is the largest error of a clock that is allowed, as a share of true time."""
        self._max_drift = max_drift
        self._observations: dict[str, ClockObservation] = {}

    def observe(self, process: str, remote_time: datetime, local_time: datetime) -> float | None:
        """Record the clock that a heartbeat of `process` carried.

        Returns its relative error once, when it is first believed to exceed the bound; None otherwise.
        """
        known = self._observations.get(process)
        if known is None or remote_time < known.remote_time:
            self._observations[process] = ClockObservation(remote_time, local_time)
            return None
        elapsed = local_time - known.local_time
        if elapsed < MEASUREMENT_WINDOW:
            return None
        error = (remote_time - known.remote_time) - elapsed
        sign = self._sign_beyond_bound(error, elapsed)
        exceeds = sign != 0 and sign == known.previous_sign
        newly_exceeds = exceeds and not known.exceeds_bound
        self._observations[process] = ClockObservation(remote_time, local_time, sign, exceeds)
        return error / elapsed if newly_exceeds else None

    def _sign_beyond_bound(self, error: timedelta, elapsed: timedelta) -> int:
        limit = 2 * self._max_drift * elapsed + MESSAGE_DELAY_ALLOWANCE
        if abs(error) <= limit:
            return 0
        return 1 if error > ZERO else -1

    def exceeds_bound(self, process: str) -> bool:
        """Whether its clock errs by more than leases guard against, so that only fencing tokens protect from it."""
        known = self._observations.get(process)
        return known is not None and known.exceeds_bound

    def retain_only(self, processes: set[str]) -> None:
        """Forget all other processes."""
        for process in self._observations.keys() - processes:
            del self._observations[process]
