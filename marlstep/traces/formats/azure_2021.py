"""Azure Functions 2021: one row an invocation, with header.

Source: "Azure Functions invocation trace 2021" (Zhang et al.). Columns: app, func, end_timestamp and duration, both
in seconds. A row stands where its invocation ended, so that arrivals are out of order by as much as they last; they
arrive at end less duration. The tenant is the app, the sender the function, the work hint the duration in seconds.
There is no kind: it is `invocation`, and a mapping goes by the hint.
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
    read_word,
)

COLUMNS = ("app", "func", "end_timestamp", "duration")
SECOND_US = 1_000_000
KIND = "invocation"


class Reader(RowReaderBase):
    """Reads the rows of one trace."""

    def __init__(self) -> None:
        """Start before the first line."""
        self._indices: list[int] = []
        self._width = 0

    def header(self, cells: list[str]) -> bool:
        """Find the columns. Raises BadRowError where one is missing."""
        self._width = 0
        found = find_columns(cells, {name: (name,) for name in COLUMNS}, COLUMNS)
        self._indices = [found[name] for name in COLUMNS]
        self._width = len(cells)
        return True

    def parse(self, cells: list[str], line: int) -> Arrival | SkipReason:
        """Read one row. Raises BadRowError."""
        if not self._width:
            raise BadRowError(Reason.NO_HEADER)
        if len(cells) != self._width:
            check_width(cells, self._width)
        app, function, end, duration = (cells[at] for at in self._indices)
        until = read_instant_us(read_word(end, "end_timestamp"), "end_timestamp", SECOND_US)
        if duration.startswith("-"):
            read_decimal(duration[1:], "duration")
            raise BadRowError(Reason.END_BEFORE_START, "duration", duration)
        seconds = read_decimal(duration, "duration")
        at = until - round(seconds * SECOND_US)
        if at < 0:
            return "before-the-trace"
        return Arrival(at, read_word(function, "func"), duration, read_word(app, "app"), KIND, seconds, line)


FORMAT = FixedFormat("azure-2021", COLUMNS, Reader)
