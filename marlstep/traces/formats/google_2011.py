"""Google cluster-usage traces, version 2 (2011): the table task_events. No header, 13 columns.

Source: "Google cluster-usage traces: format + schema" (Reiss, Wilkes, Hellerstein), version 2.1. Times are
microseconds that count from 600 s before the trace; 0 means "before the trace" and 2^63 - 1 "after the trace". An
arrival is a SUBMIT event (0). The sender is the job, the tenant the user, the category the scheduling class (0 to 3),
and the work hint the requested share of a core, which is a measure of size and not a time.
"""

from __future__ import annotations

from marlstep.traces.formats.base import FixedFormat, RowReaderBase, SkipReason
from marlstep.traces.rows import (
    Arrival,
    BadRowError,
    Reason,
    check_width,
    read_decimal,
    read_integer,
    read_nonempty,
)

COLUMNS = (
    "time",
    "missing_info",
    "job_id",
    "task_index",
    "machine_id",
    "event_type",
    "user",
    "scheduling_class",
    "priority",
    "cpu_request",
    "memory_request",
    "disk_space_request",
    "different_machines",
)
EVENTS = frozenset("012345678")
BEFORE_TRACE, AFTER_TRACE = "0", str((1 << 63) - 1)


class Reader(RowReaderBase):
    """Reads the rows of one trace."""

    first_column = "time"

    def parse(self, cells: list[str], line: int) -> Arrival | SkipReason:
        """Parse one row; return its arrival, or the reason why it is skipped.

        Raises:
            BadRowError: The row is invalid.
        """
        if len(cells) != 13:
            check_width(cells, 13)
        time, _, job, index, _, event, user, category, _, cpu, _, _, _ = cells
        if time == BEFORE_TRACE:
            return "before-the-trace"
        if time == AFTER_TRACE:
            return "after-the-trace"
        at_us = read_integer(time, "time")
        if event != "0":
            if event not in EVENTS:
                raise BadRowError(Reason.NOT_A_NUMBER if event else Reason.EMPTY, "event_type", event)
            return "not-a-submission"
        if not (job and user and category):
            read_nonempty(job, "job_id")
            read_nonempty(user, "user")
            read_nonempty(category, "scheduling_class")
        return Arrival(
            at_us, job, index, user, category, read_decimal(cpu, "cpu_request") if cpu else 0.0, line
        )


FORMAT = FixedFormat("google-2011", COLUMNS, Reader)
