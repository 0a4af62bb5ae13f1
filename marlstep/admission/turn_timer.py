"""The one timer that the controller has set."""

from __future__ import annotations

from marlstep.admission.actions import SetTimer
from marlstep.admission.timing import NEVER


class TurnTimer:
    """The time at which the next timer is due, in microseconds; the timer's tag is that time."""

    def __init__(self) -> None:
        """Start with no timer."""
        self.due_at = NEVER

    def fired(self, tag: int) -> None:
        """Take note of a timer that is due, unless an earlier one was set after it."""
        if tag == self.due_at:
            self.due_at = NEVER

    def arm(self, now: int, due: int) -> list[SetTimer]:
        """Set a timer for the given time unless one is due as early."""
        if due >= self.due_at:
            return []
        self.due_at = max(due, now + 1)
        return [SetTimer(self.due_at - now, self.due_at)]
