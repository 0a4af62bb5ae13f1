"""Alibaba microservices trace 2021: the table MSCallGraph, as CSV with header.

Source: "cluster-trace-microservices-v2021". Columns: an index without a name (may be missing), traceid, timestamp
(milliseconds from the trace's start), rpcid, um (the calling microservice), rpctype, dm (the called one),
interface, rt (milliseconds). A call is an arrival at its timestamp. The sender is the trace that it belongs to, so
that a request keeps all its calls when the trace is thinned; the tenant is the calling microservice, the kind the
type of call, and the work hint its response time in milliseconds.
"""

from __future__ import annotations

from marlstep.traces.formats.base import PlainReader, Skip, places
from marlstep.traces.rows import Arrival, BadRow, Reason, decimal, instant_us, width, word

COLUMNS = ("traceid", "timestamp", "rpcid", "um", "rpctype", "dm", "interface", "rt")
MILLISECOND_US = 1_000


class Reader(PlainReader):
    def __init__(self) -> None:
        self._at: dict[str, int] = {}
        self._width = 0

    def header(self, cells: list[str]) -> bool:
        self._width = 0
        self._at = places(cells, {name: (name,) for name in COLUMNS}, COLUMNS)
        self._width = len(cells)
        return True

    def parse(self, cells: list[str], line: int) -> Arrival | Skip:
        if not self._width:
            raise BadRow(Reason.NO_HEADER)
        if len(cells) != self._width:
            width(cells, self._width)
        at = self._at
        when = instant_us(word(cells[at["timestamp"]], "timestamp"), "timestamp", MILLISECOND_US)
        trace = word(cells[at["traceid"]], "traceid")
        name = f"{cells[at['rpcid']]}/{cells[at['um']]}/{cells[at['dm']]}/{cells[at['interface']]}"
        hint = decimal(cells[at["rt"]], "rt")
        kind = word(cells[at["rpctype"]], "rpctype")
        return Arrival(when, trace, name, word(cells[at["um"]], "um"), kind, hint, line)


class Alibaba2021Calls:
    name = "alibaba-2021-calls"
    columns = COLUMNS

    def make(self, seed: int) -> Reader:
        return Reader()


FORMAT = Alibaba2021Calls()
