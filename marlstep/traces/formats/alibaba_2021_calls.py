"""Alibaba microservices trace 2021: the table MSCallGraph, as CSV with a header.

Source: "cluster-trace-microservices-v2021". Columns: an unnamed index (may be missing), traceid, timestamp
(milliseconds from the trace's start), rpcid, um (calling microservice), rpctype, dm (called microservice), interface,
rt (response time in milliseconds). Each call is an arrival at its timestamp. The sender is the traceid, so that
thinning keeps or drops all calls of a request. The tenant is the calling microservice, the category the type of the
call, and the work hint its response time in milliseconds.
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

COLUMNS = ("traceid", "timestamp", "rpcid", "um", "rpctype", "dm", "interface", "rt")
MILLISECOND_US = 1_000


class Reader(RowReaderBase):
    """Reads the rows of one trace."""

    def __init__(self) -> None:
        """Initialize the reader; `header` must be called before `parse`."""
        self._indices: dict[str, int] = {}
        self._width = 0

    def header(self, cells: list[str]) -> bool:
        """Find the columns in the header; always returns True.

        Raises:
            BadRowError: A required column is missing.
        """
        self._width = 0
        self._indices = find_columns(cells, {name: (name,) for name in COLUMNS}, COLUMNS)
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
        indices = self._indices
        at_us = read_instant_us(
            read_nonempty(cells[indices["timestamp"]], "timestamp"), "timestamp", MILLISECOND_US
        )
        trace_id = read_nonempty(cells[indices["traceid"]], "traceid")
        name = f"{cells[indices['rpcid']]}/{cells[indices['um']]}/{cells[indices['dm']]}/{cells[indices['interface']]}"
        hint = read_decimal(cells[indices["rt"]], "rt")
        category = read_nonempty(cells[indices["rpctype"]], "rpctype")
        return Arrival(at_us, trace_id, name, read_nonempty(cells[indices["um"]], "um"), category, hint, line)


FORMAT = FixedFormat("alibaba-2021-calls", COLUMNS, Reader)
