"""Alibaba cluster trace 2018: the table batch_instance. No header, 14 columns.

Source: "cluster-trace-v2018", schema of batch_instance. Times are seconds from the trace's start; cpu_avg is in
hundredths of a core. An instance arrives at its start_time. Sender and tenant are the job, and the category is the
task type. The work hint is the time from start to end in seconds, multiplied by the cores used if cpu_avg is given.
"""

from __future__ import annotations

from marlstep.traces.formats.alibaba_2018_task import parse_run
from marlstep.traces.formats.base import FixedFormat, RowReaderBase, SkipReason
from marlstep.traces.rows import Arrival, check_width, read_decimal, read_nonempty

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


class Reader(RowReaderBase):
    """Reads the rows of one trace."""

    first_column = "instance_name"

    def parse(self, cells: list[str], line: int) -> Arrival | SkipReason:
        """Parse one row; return its arrival, or the reason why it is skipped.

        Raises:
            BadRowError: The row is invalid.
        """
        if len(cells) != 14:
            check_width(cells, 14)
        run = parse_run(cells[5], cells[6], cells[4])
        if isinstance(run, str):
            return run
        at_us, seconds = run
        job = read_nonempty(cells[2], "job_name")
        cores = read_decimal(cells[10], "cpu_avg") / 100 if cells[10] else 1.0
        name = f"{cells[1]}/{cells[0]}/{cells[8]}"
        return Arrival(at_us, job, name, job, read_nonempty(cells[3], "task_type"), seconds * cores, line)


FORMAT = FixedFormat("alibaba-2018-instance", COLUMNS, Reader)
