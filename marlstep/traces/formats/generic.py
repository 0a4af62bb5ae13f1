"""Any CSV, with the columns that the operator's file names.

A column goes by its name in the header or, where there is none, by its number from 0. `time` is an instant in
`unit` (us, ms, s, or a number of microseconds); `hint` is a time or any size; `only` keeps the rows that have one
of the stated values in a column.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from marlstep.traces.formats.base import PlainReader, Skip
from marlstep.traces.rows import Arrival, BadRow, Reason, decimal, instant_us, width, word

UNITS: Mapping[str, float] = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000}


@dataclass(slots=True, frozen=True)
class Columns:
    """Where in a row things stand: names of the header, or numbers."""

    time: str
    unit_us: float = 1_000_000
    tenant: str | None = None
    kind: str | None = None
    hint: str | None = None
    key: str | None = None
    name: str | None = None
    header: bool = True
    only: Mapping[str, frozenset[str]] = field(default_factory=dict)

    def named(self) -> list[str]:
        parts = (self.time, self.tenant, self.kind, self.hint, self.key, self.name)
        return [part for part in (*parts, *self.only) if part is not None]


class Reader(PlainReader):
    def __init__(self, columns: Columns) -> None:
        self.columns = columns
        self._at: dict[str, int] = {}
        self._width = 0
        self._least = 1  # columns that a row must have where no header tells

    def header(self, cells: list[str]) -> bool:
        columns = self.columns
        self._at, self._width = {}, 0
        found: dict[str, int] = {}
        stripped = [cell.strip() for cell in cells]
        for name in columns.named():
            if columns.header and name in stripped:
                found[name] = stripped.index(name)
            elif name.isascii() and name.isdigit() and int(name) < len(cells):
                found[name] = int(name)
            else:
                raise BadRow(Reason.NO_HEADER if columns.header else Reason.MISSING, name, ",".join(cells))
        self._at, self._width = found, len(cells)
        self._least = max(found.values()) + 1
        return columns.header

    def parse(self, cells: list[str], line: int) -> Arrival | Skip:
        if not self._width:
            raise BadRow(Reason.NO_HEADER)
        if self.columns.header and len(cells) != self._width:
            width(cells, self._width)
        elif len(cells) < self._least:
            width(cells, self._least)
        columns, at = self.columns, self._at

        def cell(name: str) -> str:
            return cells[at[name]].strip()

        for name, values in columns.only.items():
            if cell(name) not in values:
                return "not-selected"
        when = instant_us(word(cell(columns.time), columns.time), columns.time, columns.unit_us)
        tenant = word(cell(columns.tenant), columns.tenant) if columns.tenant else "all"
        kind = word(cell(columns.kind), columns.kind) if columns.kind else "all"
        told = cell(columns.hint) if columns.hint else ""
        hint = decimal(told, columns.hint or "") if told else 0.0
        key = word(cell(columns.key), columns.key) if columns.key else tenant
        name = cell(columns.name) if columns.name else ""
        return Arrival(when, key, name, tenant, kind, hint, line)


@dataclass(slots=True, frozen=True)
class Generic:
    spec: Columns = field(default_factory=lambda: Columns(time="time"))
    name: str = "generic"

    @property
    def columns(self) -> tuple[str, ...]:
        return tuple(self.spec.named())

    def make(self, seed: int) -> Reader:
        return Reader(self.spec)


FORMAT = Generic()
