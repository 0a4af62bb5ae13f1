"""The room of one node between its processes: memory, crowd and connections, as shares that add up to 1 at most.

A share is given only by who has it, after that process has bounded itself to what it keeps, so at no moment do two
processes together take more than the node has. Where the line between them is lost, each keeps to a half until the
other must have ended.
"""

from __future__ import annotations

from datetime import datetime, timedelta

FULL_SHARE, HALF_SHARE = 1.0, 0.5
MIN_SHARE = 0.2  # an elder that leaves keeps so much until it is done: what still comes there is run too
MIN_TRANSFER = 0.02  # what is given at a time, at the least


class ResourceSharing:
    """One process's part. With nobody beside it, it has all."""

    def __init__(self) -> None:
        self._mine = FULL_SHARE
        self._lent = 0.0  # to the younger
        self._elder = self._younger = False
        self._leaves = FULL_SHARE  # what is kept at the most, once this process leaves
        self._elder_ends: datetime | None = None  # by then a lost one must have ended
        self._younger_ends: datetime | None = None

    @property
    def limit(self) -> float:
        """What this process may use."""
        half = (self._mine + self._lent) * HALF_SHARE if self._younger else FULL_SHARE
        return min(self._mine, half, self._leaves)

    @property
    def alone(self) -> bool:
        return not (self._elder or self._younger)

    def predecessor_connected(self) -> None:
        """There is an elder: all is its, until it gives some."""
        self._elder, self._mine = True, 0.0

    def receive(self, share: float) -> None:
        """The elder gave a share."""
        if self._elder and 0 < share <= FULL_SHARE:
            self._mine = min(FULL_SHARE - self._lent, self._mine + share)

    def predecessor_done(self) -> None:
        """It has left in order, and gave all it had before."""
        self._elder, self._mine = False, FULL_SHARE - self._lent

    def predecessor_lost(self, now: datetime, wait: timedelta) -> None:
        if self._elder and self._elder_ends is None:
            self._elder_ends = now + wait
            self._mine = max(self._mine, HALF_SHARE - self._lent)

    def successor_connected(self) -> None:
        self._younger, self._younger_ends = True, None

    def successor_lost(self, now: datetime, wait: timedelta) -> None:
        self._leaves = FULL_SHARE  # nobody is there to leave it to
        if self._younger:
            self._younger_ends = now + wait

    def drain(self, need: float) -> None:
        """This process leaves: `need` is what all that it has in hand may come to use."""
        self._leaves = min(self.limit, max(MIN_SHARE, need))

    def give(self, use: float, rest: bool = False) -> float:
        """What to give to the younger now, when so much is in use here; 0 while it is not worth a word."""
        share = self._mine if rest else self._mine - max(self.limit, use)
        if (
            not self._younger
            or self._younger_ends is not None
            or share <= 0
            or (share < MIN_TRANSFER and not rest)
        ):
            return 0.0
        self._mine -= share
        self._lent += share
        return share

    def pass_time(self, now: datetime) -> None:
        """What lost processes had comes to this one when they must have ended."""
        if self._elder_ends is not None and self._elder_ends <= now:
            self._elder_ends = None
            self.predecessor_done()
        if self._younger_ends is not None and self._younger_ends <= now:
            self._younger, self._younger_ends = False, None
            self._mine, self._lent = self._mine + self._lent, 0.0
