"""What a format is: its columns, and a reader that makes an arrival of a row of cells."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Protocol

from marlstep.traces.rows import Arrival, BadRowError, Reason

SkipReason = str  # why a row that can be read is no arrival


class RowReader(Protocol):
    """Reads the rows of one trace, over all its parts."""

    def header(self, cells: list[str]) -> bool:
        """Return whether the first line of a part is a header. Raises BadRowError where a column is missing."""

    def parse(self, cells: list[str], line: int) -> Arrival | SkipReason:
        """Read one row. Raises BadRowError."""

    def end_of_part(self) -> Iterator[Arrival]:
        """Yield arrivals that only a complete part gives, in order of time; none for most formats."""


class Format(Protocol):
    """One public format."""

    @property
    def name(self) -> str:
        """Its name on the command line."""

    @property
    def columns(self) -> tuple[str, ...]:
        """The names of its columns, in order."""

    def make(self, seed: int) -> RowReader:
        """Return a reader that starts afresh; `seed` sets what the trace leaves open."""


class RowReaderBase:
    """A reader of rows that each stand for themselves, in a format without a header."""

    first_column: str = ""  # its name, by which a header that was added is recognized

    def header(self, cells: list[str]) -> bool:
        """Return whether the line begins with the name of the first column."""
        return bool(self.first_column) and cells[0].strip() == self.first_column

    def end_of_part(self) -> Iterator[Arrival]:
        """Yield nothing."""
        return iter(())


@dataclass(slots=True, frozen=True)
class FixedFormat:
    """A format whose columns are fixed and whose rows leave nothing open.

    Attributes:
        name: its name on the command line.
        columns: the names of its columns, in order.
        reader: makes a reader that starts afresh.
    """

    name: str
    columns: tuple[str, ...]
    reader: Callable[[], RowReader]

    def make(self, seed: int) -> RowReader:  # noqa: ARG002  (taken, as of every format; there is nothing to set)
        """Return a reader that starts afresh."""
        return self.reader()


def find_columns(
    cells: list[str], names: Mapping[str, tuple[str, ...]], required: tuple[str, ...]
) -> dict[str, int]:
    """Return the index of each column in a header, by the column's own name.

    Args:
        cells: the header.
        names: the spellings of each column, the preferred one first.
        required: the columns that must be there.

    Raises:
        BadRowError: a required column is missing.
    """
    indices = {cell.strip(): index for index, cell in reversed(list(enumerate(cells)))}
    found = {}
    for column, spellings in names.items():
        spelling = next((spelling for spelling in spellings if spelling in indices), None)
        if spelling is not None:
            found[column] = indices[spelling]
        elif column in required:
            raise BadRowError(Reason.NO_HEADER, column, ",".join(cells))
    return found
