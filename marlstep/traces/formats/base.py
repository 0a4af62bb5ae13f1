"""Interface and base classes of the formats: the columns, and a reader that turns rows of cells into arrivals."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Protocol

from marlstep.traces.rows import Arrival, BadRowError, Reason

SkipReason = str  # why a valid row is not an arrival


class RowReader(Protocol):
    """Reads the rows of one trace, with all its parts."""

    def header(self, cells: list[str]) -> bool:
        """Return whether the first line of a part is a header.

        Raises:
            BadRowError: A required column is missing.
        """

    def parse(self, cells: list[str], line: int) -> Arrival | SkipReason:
        """Parse one row; return its arrival, or the reason why it is skipped.

        Raises:
            BadRowError: The row is invalid.
        """

    def end_of_part(self) -> Iterator[Arrival]:
        """Yield arrivals that are known only at the end of a part, in order of time; most formats have none."""


class Format(Protocol):
    """A trace format."""

    @property
    def name(self) -> str:
        """Name of the format on the command line."""

    @property
    def columns(self) -> tuple[str, ...]:
        """Names of the columns, in order."""

    def make(self, seed: int) -> RowReader:
        """Return a new reader; `seed` determines values that the trace does not state."""


class RowReaderBase:
    """Base class of readers whose rows are independent of each other; a header is optional."""

    first_column: str = ""  # name of the first column, to recognize a header that was added to the file

    def header(self, cells: list[str]) -> bool:
        """Return whether the first cell is the name of the first column."""
        return bool(self.first_column) and cells[0].strip() == self.first_column

    def end_of_part(self) -> Iterator[Arrival]:
        """Return an empty iterator."""
        return iter(())


@dataclass(slots=True, frozen=True)
class FixedFormat:
    """A format with fixed columns whose arrivals don't depend on the seed.

    Attributes:
        name: Name of the format on the command line.
        columns: Names of the columns, in order.
        reader: Returns a new reader.
    """

    name: str
    columns: tuple[str, ...]
    reader: Callable[[], RowReader]

    def make(self, seed: int) -> RowReader:  # noqa: ARG002  (parameter of the protocol)
        """Return a new reader."""
        return self.reader()


def find_columns(
    cells: list[str], names: Mapping[str, tuple[str, ...]], required: tuple[str, ...]
) -> dict[str, int]:
    """Return the index in the header of each column that is present.

    Args:
        cells: Cells of the header.
        names: Accepted spellings in the header by column, in order of preference.
        required: Columns that must be present.

    Raises:
        BadRowError: A required column is missing.
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
