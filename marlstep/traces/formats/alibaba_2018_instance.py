"""Alibaba cluster trace 2018: the table batch_instance. No header, 14 columns.

Source: "cluster-trace-v2018", schema of batch_instance. Times are seconds from the trace's start; cpu_avg is in
hundredths of a core. An instance arrives at its start_time. The sender and the tenant are the job, the kind the
task type, and the work hint the time from start to end in seconds, times the cores that it used where that is
told.
"""

from __future__ import annotations

from marlstep.traces.formats.alibaba_2018_task import started
from marlstep.traces.formats.base import PlainReader, Skip
from marlstep.traces.rows import Arrival, decimal, width, word

COLUMNS = (
    "instance_name",
    "task_name",
    "job_name",
    "task_type",
    "status",
    "start_time",
    "end_time",
    "machine_id",
    "seq_no",
    "total_seq_no",
    "cpu_avg",
    "cpu_max",
    "mem_avg",
    "mem_max",
)


class Reader(PlainReader):
    first = "instance_name"

    def parse(self, cells: list[str], line: int) -> Arrival | Skip:
        if len(cells) != 14:
            width(cells, 14)
        told = started(cells[5], cells[6], cells[4])
        if isinstance(told, str):
            return told
        job = word(cells[2], "job_name")
        cores = decimal(cells[10], "cpu_avg") / 100 if cells[10] else 1.0
        name = f"{cells[1]}/{cells[0]}/{cells[8]}"
        return Arrival(told[0], job, name, job, word(cells[3], "task_type"), told[1] * cores, line)


class Alibaba2018Instance:
    name = "alibaba-2018-instance"
    columns = COLUMNS

    def make(self, seed: int) -> Reader:
        return Reader()


FORMAT = Alibaba2018Instance()
