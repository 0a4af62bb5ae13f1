"""Outcomes of the runs of a scheduled task."""

from __future__ import annotations

import enum

NO_RUN = -1  # number of the last run of a task that has had no run


class Outcome(enum.StrEnum):
    """The outcome of a run. The values and, in the error texts of refused commands, the class name are stored."""

    OPEN = "open"  # begun, end not recorded yet
    DONE = "done"
    FAILED = "failed"  # may have taken effect partially or not at all
    UNKNOWN = "may have run"  # it can no longer be determined whether the run took effect
    NOT_RUN = "never ran"  # refused before it started: the same run may be begun again
    FENCED_OFF = "refused as late"  # refused by a server that had seen a later token, so it never ran
