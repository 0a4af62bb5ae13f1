"""Decides which numbered notices of the kernel are applied: each once, in order. No I/O."""

from __future__ import annotations

import enum


class NoticeDecision(enum.Enum):
    """What to do with a numbered notice."""

    APPLY = enum.auto()
    IGNORE = enum.auto()  # it has already been applied
    RECONNECT = enum.auto()  # notices before it are missing; the kernel repeats them on a new connection
    APPLY_AFTER_LOSS = enum.auto()  # a new connection did not repeat the missing notices: they are lost


class NoticeSequence:
    """Tracks the number of the last notice that was read, across connections."""

    def __init__(self) -> None:
        """Initialize the sequence before the first notice, which has number 1."""
        self.last = 0
        self._reconnected_after: int | None = None  # the last notice read when missing ones were requested

    def decide(self, number: int) -> NoticeDecision:
        """Decide what to do with a notice, and record it as read if it is to be applied.

        A notice that was read before is ignored, since a new connection repeats some notices. If notices are missing,
        they are requested on a new connection, but only once: if they are still missing there, the kernel no longer has
        them, and the notice is applied without them.
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
