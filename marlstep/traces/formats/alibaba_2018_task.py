"""Alibaba cluster trace 2018: the table batch_task. No header, 9 columns.

Source: "cluster-trace-v2018", schema of batch_task. Times are seconds from the trace's start. A task arrives at
its start_time, which is empty while it waits. Sender and tenant are the job, because the trace has no users. The
category is the task type, and the work hint is the time from start to end in seconds, or 0 without an end time.
"""

from __future__ import annotations

from marlstep.traces.formats.base import FixedFormat, RowReaderBase, SkipReason
from marlstep.traces.rows import Arrival, BadRowError, Reason, check_width, read_instant_us, read_nonempty

COLUMNS = (
    "task_name",
    "instance_num",
    "job_name",
    "task_type",
    "status",
    "start_time",
    "end_time",
    "plan_cpu",
    "plan_mem",
)
SECOND_US = 1_000_000


def parse_run(start: str, end: str, status: str) -> tuple[int, float] | SkipReason:
    """Return the start time in microseconds and the run time in seconds, or the reason why the row is skipped.

    Both tables of 2018 use this function.

    Args:
        start: Cell of the start time, in seconds.
        end: Cell of the end time, in seconds; may be empty.
        status: Cell of the status.

    Raises:
        BadRowError: A time is invalid, or the end is before the start.
    """
    if not start and status in ("Waiting", "Ready"):
        return "not-started"
    start_us = read_instant_us(read_nonempty(start, "start_time"), "start_time", SECOND_US)
    if not end or (end == "0" and status != "Terminated"):
        return start_us, 0.0
    end_us = read_instant_us(end, "end_time", SECOND_US)
    if end_us < start_us:
        raise BadRowError(Reason.END_BEFORE_START, "end_time", f"{start} to {end}")
    return start_us, (end_us - start_us) / SECOND_US


class Reader(RowReaderBase):
    """Reads the rows of one trace."""

    first_column = "task_name"

    def parse(self, cells: list[str], line: int) -> Arrival | SkipReason:
        """Parse one row; return its arrival, or the reason why it is skipped.

        Raises:
            BadRowError: The row is invalid.
        """
        if len(cells) != 9:
            check_width(cells, 9)
        name, _, job, category, status, start, end, _, _ = cells
        run = parse_run(start, end, status)
        if isinstance(run, str):
            return run
        at_us, seconds = run
        job = read_nonempty(job, "job_name")
        return Arrival(at_us, job, name, job, read_nonempty(category, "task_type"), seconds, line)


FORMAT = FixedFormat("alibaba-2018-task", COLUMNS, Reader)
