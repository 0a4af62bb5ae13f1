"""The room of one node between its processes: memory, crowd and connections, as shares that add up to 1 at most.

A share is given only by who has it, after that process has bounded itself to what it keeps, so at no moment do two
processes together take more than the node has. Where the line between them is lost, each keeps to a half until the
other must have ended.
"""

from __future__ import annotations

from datetime import datetime, timedelta

ALL, HALF = 1.0, 0.5
LEAST = 0.2  # an elder that leaves keeps so much until it is done: what still comes there is run too
STEP = 0.02  # what is given at a time, at the least


class Sharing:
    """One process's part. With nobody beside it, it has all."""

    def __init__(self) -> None:
        self._mine = ALL
        self._lent = 0.0  # to the younger
        self._elder = self._younger = False
        self._leaves = ALL  # what is kept at the most, once this process leaves
        self._elder_ends: datetime | None = None  # by then a lost one must have ended
        self._younger_ends: datetime | None = None

    @property
    def bound(self) -> float:
        """What this process may use."""
        half = (self._mine + self._lent) * HALF if self._younger else ALL
        return min(self._mine, half, self._leaves)

    @property
    def alone(self) -> bool:
        return not (self._elder or self._younger)

    def elder_came(self) -> None:
        """There is an elder: all is its, until it gives some."""
        self._elder, self._mine = True, 0.0

    def got(self, share: float) -> None:
        """The elder gave a share."""
        if self._elder and 0 < share <= ALL:
            self._mine = min(ALL - self._lent, self._mine + share)

    def elder_done(self) -> None:
        """It has left in order, and gave all it had before."""
        self._elder, self._mine = False, ALL - self._lent

    def elder_lost(self, now: datetime, wait: timedelta) -> None:
        if self._elder and self._elder_ends is None:
            self._elder_ends = now + wait
            self._mine = max(self._mine, HALF - self._lent)

    def younger_came(self) -> None:
        self._younger, self._younger_ends = True, None

    def younger_lost(self, now: datetime, wait: timedelta) -> None:
        self._leaves = ALL  # nobody is there to leave it to
        if self._younger:
            self._younger_ends = now + wait

    def leave(self, need: float) -> None:
        """This process leaves: `need` is what all that it has in hand may come to use."""
        self._leaves = min(self.bound, max(LEAST, need))

    def give(self, use: float, rest: bool = False) -> float:
        """What to give to the younger now, when so much is in use here; 0 while it is not worth a word."""
        share = self._mine if rest else self._mine - max(self.bound, use)
        if not self._younger or self._younger_ends is not None or share <= 0 or (share < STEP and not rest):
            return 0.0
        self._mine -= share
        self._lent += share
        return share

    def pass_time(self, now: datetime) -> None:
        """What lost processes had comes to this one when they must have ended."""
        if self._elder_ends is not None and self._elder_ends <= now:
            self._elder_ends = None
            self.elder_done()
        if self._younger_ends is not None and self._younger_ends <= now:
            self._younger, self._younger_ends = False, None
            self._mine, self._lent = self._mine + self._lent, 0.0
