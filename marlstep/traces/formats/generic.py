"""Any CSV, with the columns that the operator's file names.

A column goes by its name in the header or, where there is none, by its number from 0. `time` is an instant in
`unit_us`; `hint` is a time or any size; `selected` keeps the rows that have one of the stated values in a column.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from marlstep.traces.formats.base import RowReaderBase, SkipReason
from marlstep.traces.rows import (
    Arrival,
    BadRowError,
    Reason,
    check_width,
    read_decimal,
    read_instant_us,
    read_word,
)

UNITS: Mapping[str, float] = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000}
NOT_SELECTED = "not-selected"
ALL = "all"  # the tenant or category where no column names one


@dataclass(slots=True, frozen=True)
class Columns:
    """Where the fields of an arrival stand in a row: names of the header, or numbers from 0.

    Attributes:
        time: the time of arrival.
        unit_us: the unit of that time, in microseconds.
        tenant: the tenant.
        category: the trace's own class of the row.
        hint: the work hint, in any unit.
        key: the sender.
        name: what tells the row from others of its sender.
        has_header: the first line of a part is a header.
        selected: the values that keep a row, by column.
    """

    time: str
    unit_us: float = 1_000_000
    tenant: str | None = None
    category: str | None = None
    hint: str | None = None
    key: str | None = None
    name: str | None = None
    has_header: bool = True
    selected: Mapping[str, frozenset[str]] = field(default_factory=dict)

    def named(self) -> list[str]:
        """Return all columns that must be there."""
        fields = (self.time, self.tenant, self.category, self.hint, self.key, self.name)
        return [column for column in (*fields, *self.selected) if column is not None]


class Reader(RowReaderBase):
    """Reads the rows of one trace, by the columns that it is given."""

    def __init__(self, columns: Columns) -> None:
        """Start before the first header."""
        self.columns = columns
        self._indices: dict[str, int] = {}
        self._width = 0
        self._min_width = 1  # columns that a row must have where there is no header

    def header(self, cells: list[str]) -> bool:
        """Find the columns. Raises BadRowError where one is missing."""
        self._indices, self._width = {}, 0
        names = [cell.strip() for cell in cells]
        indices = {column: self._index(column, names, cells) for column in self.columns.named()}
        self._indices, self._width = indices, len(cells)
        self._min_width = max(indices.values()) + 1
        return self.columns.has_header

    def _index(self, column: str, names: list[str], cells: list[str]) -> int:
        has_header = self.columns.has_header
        if has_header and column in names:
            return names.index(column)
        if column.isascii() and column.isdigit() and int(column) < len(cells):
            return int(column)
        raise BadRowError(Reason.NO_HEADER if has_header else Reason.MISSING, column, ",".join(cells))

    def parse(self, cells: list[str], line: int) -> Arrival | SkipReason:
        """Read one row. Raises BadRowError."""
        if not self._width:
            raise BadRowError(Reason.NO_HEADER)
        columns = self.columns
        if columns.has_header and len(cells) != self._width:
            check_width(cells, self._width)
        elif len(cells) < self._min_width:
            check_width(cells, self._min_width)
        for column, values in columns.selected.items():
            if self._cell(cells, column) not in values:
                return NOT_SELECTED
        at_us = read_instant_us(
            read_word(self._cell(cells, columns.time), columns.time), columns.time, columns.unit_us
        )
        tenant = self._word(cells, columns.tenant, ALL)
        category = self._word(cells, columns.category, ALL)
        hint = self._hint(cells)
        key = self._word(cells, columns.key, tenant)
        name = self._cell(cells, columns.name) if columns.name else ""
        return Arrival(at_us, key, name, tenant, category, hint, line)

    def _cell(self, cells: list[str], column: str) -> str:
        return cells[self._indices[column]].strip()

    def _word(self, cells: list[str], column: str | None, default: str) -> str:
        return read_word(self._cell(cells, column), column) if column else default

    def _hint(self, cells: list[str]) -> float:
        column = self.columns.hint
        text = self._cell(cells, column) if column else ""
        return read_decimal(text, column or "") if text else 0.0


@dataclass(slots=True, frozen=True)
class Generic:
    """The format with columns of the operator's choice."""

    spec: Columns = field(default_factory=lambda: Columns(time="time"))
    name: str = "generic"

    @property
    def columns(self) -> tuple[str, ...]:
        """The names or numbers of the columns that are read."""
        return tuple(self.spec.named())

    def make(self, seed: int) -> Reader:  # noqa: ARG002  (the protocol of all formats; only azure-2019 draws)
        """Return a reader that starts afresh."""
        return Reader(self.spec)


FORMAT = Generic()
