"""What a run of a task came to."""

from __future__ import annotations

import enum

NO_RUN = -1  # the number of a task's last run before its first


class Outcome(enum.StrEnum):
    """The outcome of a run; the values are stored, and so is the class's name, in the texts of refused commands."""

    OPEN = "open"  # begun, and not known to have ended
    DONE = "done"
    FAILED = "failed"  # it may have taken effect in part, or not at all
    UNKNOWN = "may have run"  # whether it ran can't be found out any more
    NOT_RUN = "never ran"  # it was refused before it began: the same run may be begun again
    FENCED_OFF = "refused as late"  # by the server, which had seen a later token: it never ran
