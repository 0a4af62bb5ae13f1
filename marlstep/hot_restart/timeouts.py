"""Timeouts after which a lost process of the node no longer affects the remaining processes."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True, frozen=True)
class LostProcessTimeouts:
    """Timeouts that apply from the moment a process of the node is lost."""

    termination: timedelta  # by then the lost process and its runs must have ended
    retry_window: timedelta  # in which a client may retry a request that the lost process ran

    def extended_by(self, other: LostProcessTimeouts) -> LostProcessTimeouts:
        """Return the longer of each timeout: what ran under longer settings still needs the longer timeouts."""
        return LostProcessTimeouts(
            max(self.termination, other.termination), max(self.retry_window, other.retry_window)
        )
