"""Azure Functions 2021: one row per invocation, with a header.

Source: "Azure Functions invocation trace 2021" (Zhang et al.). Columns: app, func, end_timestamp and duration, both
in seconds. Rows are ordered by end time. The arrival time is the end time minus the duration, so arrivals are out of
order by up to the duration. The tenant is the app, the sender the function, and the work hint the duration in seconds.
The trace has no category, so it is always `invocation`, and mappings use the hint.
"""

from __future__ import annotations

from marlstep.traces.formats.base import FixedFormat, RowReaderBase, SkipReason, find_columns
from marlstep.traces.rows import (
    Arrival,
    BadRowError,
    Reason,
    check_width,
    read_decimal,
    read_instant_us,
    read_nonempty,
)

COLUMNS = ("app", "func", "end_timestamp", "duration")
SECOND_US = 1_000_000
CATEGORY = "invocation"


class Reader(RowReaderBase):
    """Reads the rows of one trace."""

    def __init__(self) -> None:
        """Initialize the reader; `header` must be called before `parse`."""
        self._indices: list[int] = []
        self._width = 0

    def header(self, cells: list[str]) -> bool:
        """Find the columns in the header; always returns True.

        Raises:
            BadRowError: A required column is missing.
        """
        self._width = 0
        found = find_columns(cells, {name: (name,) for name in COLUMNS}, COLUMNS)
        self._indices = [found[name] for name in COLUMNS]
        self._width = len(cells)
        return True

    def parse(self, cells: list[str], line: int) -> Arrival | SkipReason:
        """Parse one row; return its arrival, or the reason why it is skipped.

        Raises:
            BadRowError: The row is invalid.
        """
        if not self._width:
            raise BadRowError(Reason.NO_HEADER)
        if len(cells) != self._width:
            check_width(cells, self._width)
        app, function, end, duration = (cells[at] for at in self._indices)
        end_us = read_instant_us(read_nonempty(end, "end_timestamp"), "end_timestamp", SECOND_US)
        if duration.startswith("-"):
            read_decimal(duration[1:], "duration")
            raise BadRowError(Reason.END_BEFORE_START, "duration", duration)
        seconds = read_decimal(duration, "duration")
        at = end_us - round(seconds * SECOND_US)
        if at < 0:
            return "before-the-trace"
        return Arrival(
            at, read_nonempty(function, "func"), duration, read_nonempty(app, "app"), CATEGORY, seconds, line
        )


FORMAT = FixedFormat("azure-2021", COLUMNS, Reader)
