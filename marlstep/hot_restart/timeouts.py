"""How long the work of a process that was lost still matters to the others of its node."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True, frozen=True)
class LostProcessTimeouts:
    """How long the work of a lost process still matters."""

    termination: timedelta  # after which that process and its runs must have ended
    retry_window: timedelta  # in which a client may send again what that process ran

    def extended_by(self, other: LostProcessTimeouts) -> LostProcessTimeouts:
        """Return the longer of each: what ran under longer settings is not covered by shorter ones."""
        return LostProcessTimeouts(
            max(self.termination, other.termination), max(self.retry_window, other.retry_window)
        )
