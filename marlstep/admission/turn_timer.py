"""The controller's timer."""

from __future__ import annotations

from marlstep.admission.actions import SetTimer
from marlstep.admission.timing import NEVER


class TurnTimer:
    """Tracks the earliest timer that the controller has set, and replaces it only by an earlier one.

    Attributes:
        due_at: When the timer is due, in microseconds, which is also its tag; `NEVER` if none is set.
    """

    def __init__(self) -> None:
        """Initialize with no timer set."""
        self.due_at = NEVER

    def mark_fired(self, tag: int) -> None:
        """Clear the timer if it is the one with this tag, and not one that was set after it."""
        if tag == self.due_at:
            self.due_at = NEVER

    def arm(self, now: int, due: int) -> list[SetTimer]:
        """Return the action that sets a timer for `due`, or none if one is due at least as early.

        Times are microseconds.
        """
        if due >= self.due_at:
            return []
        self.due_at = max(due, now + 1)
        return [SetTimer(self.due_at - now, self.due_at)]
