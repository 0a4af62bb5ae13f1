"""Azure Functions 2021: one row an invocation, with header.

Source: "Azure Functions invocation trace 2021" (Zhang et al.). Columns: app, func, end_timestamp and duration, both
in seconds. A row stands where its invocation ended, so that arrivals are out of order by as much as they last; they
arrive at end less duration. The tenant is the app, the sender the function, the work hint the duration in seconds.
There is no kind: it is `invocation`, and a mapping goes by the hint.
"""

from __future__ import annotations

from marlstep.traces.formats.base import PlainReader, Skip, places
from marlstep.traces.rows import Arrival, BadRow, Reason, decimal, instant_us, width, word

COLUMNS = ("app", "func", "end_timestamp", "duration")
SECOND_US = 1_000_000
KIND = "invocation"


class Reader(PlainReader):
    def __init__(self) -> None:
        self._at: list[int] = []
        self._width = 0

    def header(self, cells: list[str]) -> bool:
        self._width = 0
        found = places(cells, {name: (name,) for name in COLUMNS}, COLUMNS)
        self._at = [found[name] for name in COLUMNS]
        self._width = len(cells)
        return True

    def parse(self, cells: list[str], line: int) -> Arrival | Skip:
        if not self._width:
            raise BadRow(Reason.NO_HEADER)
        if len(cells) != self._width:
            width(cells, self._width)
        app, function, end, duration = (cells[at] for at in self._at)
        until = instant_us(word(end, "end_timestamp"), "end_timestamp", SECOND_US)
        if duration.startswith("-"):
            decimal(duration[1:], "duration")
            raise BadRow(Reason.END_BEFORE_START, "duration", duration)
        seconds = decimal(duration, "duration")
        at = until - round(seconds * SECOND_US)
        if at < 0:
            return "before-the-trace"
        return Arrival(at, word(function, "func"), duration, word(app, "app"), KIND, seconds, line)


class Azure2021:
    name = "azure-2021"
    columns = COLUMNS

    def make(self, seed: int) -> Reader:
        return Reader()


FORMAT = Azure2021()
