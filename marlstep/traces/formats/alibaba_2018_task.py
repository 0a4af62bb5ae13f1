"""Alibaba cluster trace 2018: the table batch_task. No header, 9 columns.

Source: "cluster-trace-v2018", schema of batch_task. Times are seconds from the trace's start. A task arrives at
its start_time; one that waits has none. The sender and the tenant are the job, as users are not in the trace;
the kind is the task type; the work hint is the time from start to end in seconds, 0 where it has no end yet.
"""

from __future__ import annotations

from marlstep.traces.formats.base import PlainReader, Skip
from marlstep.traces.rows import Arrival, BadRow, Reason, instant_us, width, word

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


def started(start: str, end: str, status: str) -> tuple[int, float] | Skip:
    """When a task began, in microseconds, and for how many seconds it ran; shared by the tables of 2018."""
    if not start and status in ("Waiting", "Ready"):
        return "not-started"
    at = instant_us(word(start, "start_time"), "start_time", SECOND_US)
    if not end or (end == "0" and status != "Terminated"):
        return at, 0.0
    until = instant_us(end, "end_time", SECOND_US)
    if until < at:
        raise BadRow(Reason.END_BEFORE_START, "end_time", f"{start} to {end}")
    return at, (until - at) / SECOND_US


class Reader(PlainReader):
    first = "task_name"

    def parse(self, cells: list[str], line: int) -> Arrival | Skip:
        if len(cells) != 9:
            width(cells, 9)
        name, _, job, kind, status, start, end, _, _ = cells
        told = started(start, end, status)
        if isinstance(told, str):
            return told
        job = word(job, "job_name")
        return Arrival(told[0], job, name, job, word(kind, "task_type"), told[1], line)


class Alibaba2018Task:
    name = "alibaba-2018-task"
    columns = COLUMNS

    def make(self, seed: int) -> Reader:
        return Reader()


FORMAT = Alibaba2018Task()
