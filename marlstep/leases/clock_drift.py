"""Whether a node's clock goes as it is stated to: the leader sees it in the beats.

Each beat carries the node's clock. Over windows of some seconds the two clocks should have gone the same way, within
twice the drift and what a message may be late. A beat that is late makes one window long and the next one short; so
only two windows in a row that err the same way are believed.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.units import MILLISECOND, SECOND

WINDOW = 3 * SECOND
LATE = 100 * MILLISECOND  # that a message may be, and is no drift


@dataclass(slots=True)
class Watched:
    theirs: datetime
    ours: datetime
    sign: int = 0  # of the window before, where it erred
    beyond: bool = False


class DriftWatch:
    def __init__(self, drift: float) -> None:
        self._drift = drift
        self._watched: dict[str, Watched] = {}

    def beat(self, name: str, theirs: datetime, ours: datetime) -> float | None:
        """A beat with the clock of `name` came. Gives by which share it errs, once, when that is first believed."""
        one = self._watched.get(name)
        if one is None or theirs < one.theirs:
            self._watched[name] = Watched(theirs, ours)
            return None
        passed: timedelta = ours - one.ours
        if passed < WINDOW:
            return None
        error = (theirs - one.theirs) - passed
        limit = 2 * self._drift * passed + LATE
        sign = 0 if abs(error) <= limit else 1 if error > timedelta(0) else -1
        believed = sign != 0 and sign == one.sign
        first = believed and not one.beyond
        one.theirs, one.ours, one.sign, one.beyond = theirs, ours, sign, believed
        return error / passed if first else None

    def beyond(self, name: str) -> bool:
        """Its clock errs by more than the group guards against: only tokens protect from it."""
        one = self._watched.get(name)
        return one is not None and one.beyond

    def keep(self, names: set[str]) -> None:
        """Forget all others."""
        for name in self._watched.keys() - names:
            del self._watched[name]
