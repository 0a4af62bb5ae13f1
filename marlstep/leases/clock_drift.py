"""Whether a node's clock goes as it is stated to: the leader sees it in the beats.

Each beat carries the node's clock. Over windows of some seconds the two clocks should have gone the same way, within
twice the drift and what a message may be late. A beat that is late makes one window long and the next one short; so
only two windows in a row that err the same way are believed.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.units import MILLISECOND, SECOND

MEASUREMENT_WINDOW = 3 * SECOND
MESSAGE_DELAY_ALLOWANCE = 100 * MILLISECOND  # that a message may be, and is no drift


@dataclass(slots=True)
class ClockObservation:
    remote_time: datetime
    local_time: datetime
    previous_sign: int = 0  # of the window before, where it erred
    exceeds_bound: bool = False


class ClockDriftMonitor:
    def __init__(self, drift: float) -> None:
        self._max_drift = drift
        self._observations: dict[str, ClockObservation] = {}

    def observe(self, name: str, theirs: datetime, ours: datetime) -> float | None:
        """A beat with the clock of `name` came. Gives by which share it errs, once, when that is first believed."""
        one = self._observations.get(name)
        if one is None or theirs < one.remote_time:
            self._observations[name] = ClockObservation(theirs, ours)
            return None
        passed: timedelta = ours - one.local_time
        if passed < MEASUREMENT_WINDOW:
            return None
        error = (theirs - one.remote_time) - passed
        limit = 2 * self._max_drift * passed + MESSAGE_DELAY_ALLOWANCE
        sign = 0 if abs(error) <= limit else 1 if error > timedelta(0) else -1
        believed = sign != 0 and sign == one.previous_sign
        first = believed and not one.exceeds_bound
        one.remote_time, one.local_time, one.previous_sign, one.exceeds_bound = theirs, ours, sign, believed
        return error / passed if first else None

    def exceeds_bound(self, name: str) -> bool:
        """Its clock errs by more than the group guards against: only tokens protect from it."""
        one = self._observations.get(name)
        return one is not None and one.exceeds_bound

    def retain_only(self, names: set[str]) -> None:
        """Forget all others."""
        for name in self._observations.keys() - names:
            del self._observations[name]
