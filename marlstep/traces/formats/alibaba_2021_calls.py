"""Alibaba microservices trace 2021: the table MSCallGraph, as CSV with header.

Source: "cluster-trace-microservices-v2021". Columns: an index without a name (may be missing), traceid, timestamp
(milliseconds from the trace's start), rpcid, um (the calling microservice), rpctype, dm (the called one),
interface, rt (milliseconds). A call is an arrival at its timestamp. The sender is the trace that it belongs to, so
that a request keeps all its calls when the trace is thinned; the tenant is the calling microservice, the kind the
type of call, and the work hint its response time in milliseconds.
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

COLUMNS = ("traceid", "timestamp", "rpcid", "um", "rpctype", "dm", "interface", "rt")
MILLISECOND_US = 1_000


class Reader(RowReaderBase):
    """Reads the rows of one trace."""

    def __init__(self) -> None:
        """Start before the first line."""
        self._indices: dict[str, int] = {}
        self._width = 0

    def header(self, cells: list[str]) -> bool:
        """Find the columns. Raises BadRowError where one is missing."""
        self._width = 0
        self._indices = find_columns(cells, {name: (name,) for name in COLUMNS}, COLUMNS)
        self._width = len(cells)
        return True

    def parse(self, cells: list[str], line: int) -> Arrival | SkipReason:
        """Read one row. Raises BadRowError."""
        if not self._width:
            raise BadRowError(Reason.NO_HEADER)
        if len(cells) != self._width:
            check_width(cells, self._width)
        indices = self._indices
        when = read_instant_us(
            read_word(cells[indices["timestamp"]], "timestamp"), "timestamp", MILLISECOND_US
        )
        trace = read_word(cells[indices["traceid"]], "traceid")
        name = f"{cells[indices['rpcid']]}/{cells[indices['um']]}/{cells[indices['dm']]}/{cells[indices['interface']]}"
        hint = read_decimal(cells[indices["rt"]], "rt")
        category = read_word(cells[indices["rpctype"]], "rpctype")
        return Arrival(when, trace, name, read_word(cells[indices["um"]], "um"), category, hint, line)


FORMAT = FixedFormat("alibaba-2021-calls", COLUMNS, Reader)
