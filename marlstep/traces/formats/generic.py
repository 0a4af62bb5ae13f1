"""CSV files with columns that are configured in the operator's file.

A column is given by its name in the header, or by its index from 0. `time` is in units of `unit_us` microseconds;
`hint` is a duration or any other size; `selected` filters rows by the values in a column.
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
    read_nonempty,
)

UNITS: Mapping[str, float] = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000}
NOT_SELECTED = "not-selected"
ALL = "all"  # the tenant or category if no column is configured


@dataclass(slots=True, frozen=True)
class Columns:
    """Columns of the fields of an arrival, each a name in the header or an index from 0; None if there is none.

    Attributes:
        time: Column of the arrival time.
        unit_us: Unit of the arrival time, in microseconds.
        tenant: Column of the tenant.
        category: Column of the trace's own class of the row.
        hint: Column of the work hint, in any unit.
        key: Column of the sender; the tenant is the sender if None.
        name: Column that distinguishes the rows of a sender.
        has_header: Whether the first line of a part is a header.
        selected: Accepted values by column; rows with other values are skipped.
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

    def all_columns(self) -> list[str]:
        """Return all configured columns, which each row must have."""
        fields = (self.time, self.tenant, self.category, self.hint, self.key, self.name)
        return [column for column in (*fields, *self.selected) if column is not None]


class Reader(RowReaderBase):
    """Reads the rows of one trace by the configured columns."""

    def __init__(self, columns: Columns) -> None:
        """Initialize the reader with its columns; `header` must be called before `parse`."""
        self.columns = columns
        self._indices: dict[str, int] = {}
        self._width = 0
        self._min_width = 1  # minimum number of cells of a row if there is no header

    def header(self, cells: list[str]) -> bool:
        """Find the columns in the first line of a part; return whether it is a header.

        Raises:
            BadRowError: A configured column is missing.
        """
        self._indices, self._width = {}, 0
        names = [cell.strip() for cell in cells]
        indices = {column: self._index(column, names, cells) for column in self.columns.all_columns()}
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
        """Parse one row; return its arrival, or the reason why it is skipped.

        Raises:
            BadRowError: The row is invalid.
        """
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
            read_nonempty(self._cell(cells, columns.time), columns.time), columns.time, columns.unit_us
        )
        tenant = self._nonempty(cells, columns.tenant, ALL)
        category = self._nonempty(cells, columns.category, ALL)
        hint = self._hint(cells)
        key = self._nonempty(cells, columns.key, tenant)
        name = self._cell(cells, columns.name) if columns.name else ""
        return Arrival(at_us, key, name, tenant, category, hint, line)

    def _cell(self, cells: list[str], column: str) -> str:
        return cells[self._indices[column]].strip()

    def _nonempty(self, cells: list[str], column: str | None, default: str) -> str:
        return read_nonempty(self._cell(cells, column), column) if column else default

    def _hint(self, cells: list[str]) -> float:
        column = self.columns.hint
        text = self._cell(cells, column) if column else ""
        return read_decimal(text, column or "") if text else 0.0


@dataclass(slots=True, frozen=True)
class Generic:
    """Format with configured columns.

    Attributes:
        spec: Columns of the format.
        name: Name of the format on the command line.
    """

    spec: Columns = field(default_factory=lambda: Columns(time="time"))
    name: str = "generic"

    @property
    def columns(self) -> tuple[str, ...]:
        """Names or indices of the columns that are read."""
        return tuple(self.spec.all_columns())

    def make(self, seed: int) -> Reader:  # noqa: ARG002  (parameter of the protocol; only azure-2019 uses it)
        """Return a new reader."""
        return Reader(self.spec)


FORMAT = Generic()
