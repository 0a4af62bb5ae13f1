"""The one timer that the controller has set."""

from __future__ import annotations

from marlstep.admission.actions import SetTimer
from marlstep.admission.timing import NEVER


class TurnTimer:
    """When the next timer is due, in microseconds; its tag is that time."""

    def __init__(self) -> None:
        """Start with no timer."""
        self.armed_at = NEVER

    def fired(self, tag: int) -> None:
        """Take note of a timer that is due, unless an earlier one was set after it."""
        if tag == self.armed_at:
            self.armed_at = NEVER

    def arm(self, now: int, due: int) -> list[SetTimer]:
        """Set a timer for the given time unless one is due as early."""
        if due >= self.armed_at:
            return []
        self.armed_at = max(due, now + 1)
        return [SetTimer(self.armed_at - now, self.armed_at)]
