"""Which numbered notices of the kernel are applied: each once, in order. Pure."""

from __future__ import annotations

import enum


class NoticeDecision(enum.Enum):
    """What to do with a numbered notice."""

    APPLY = enum.auto()
    IGNORE = enum.auto()  # it has been applied before
    RECONNECT = enum.auto()  # notices before it are missing; a new connection repeats them
    APPLY_AFTER_LOSS = enum.auto()  # a new connection did not repeat the missing ones: they are lost


class NoticeSequence:
    """The number of the last notice that was read, across connections."""

    def __init__(self) -> None:
        """No notice has been read."""
        self.last = 0
        self._reconnected_after: int | None = None  # the notice after which missing ones were asked for

    def decide(self, number: int) -> NoticeDecision:
        """Decide on a notice, and count it as read where it is to be applied.

        A notice that was read before is ignored, since a new connection repeats some. Where numbers are missing, a
        new connection is asked for them, but once only: if the kernel no longer has them, waiting would not help,
        and what came is applied.
        """
        if number == self.last + 1:
            self.last = number
            return NoticeDecision.APPLY
        if number <= self.last:
            return NoticeDecision.IGNORE
        if self._reconnected_after != self.last:
            self._reconnected_after = self.last
            return NoticeDecision.RECONNECT
        self.last = number
        return NoticeDecision.APPLY_AFTER_LOSS
