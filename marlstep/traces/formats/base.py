"""What a format is: its columns, and one row of cells to an arrival."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Protocol

from marlstep.traces.rows import Arrival, BadRow, Reason

Skip = str  # why a row that can be read is no arrival
Parse = Callable[[list[str], int], Arrival | Skip]


class RowReader(Protocol):
    """Reads the rows of one trace, over all its parts."""

    def header(self, cells: list[str]) -> bool:
        """The first line of a part. True where it is a header; raises BadRow where a column is missing."""

    def parse(self, cells: list[str], line: int) -> Arrival | Skip:
        """One row; raises BadRow."""

    def end_of_part(self) -> Iterator[Arrival]:
        """Arrivals that only a whole part tells, in order of time; none for most formats."""


class Format(Protocol):
    """One public format. `make` gives a reader that starts afresh."""

    @property
    def name(self) -> str: ...

    @property
    def columns(self) -> tuple[str, ...]: ...

    def make(self, seed: int) -> RowReader: ...


class PlainReader:
    """A reader of a format without header, whose rows each stand for themselves."""

    first: str = ""  # the name of the first column, by which a header that was added is known

    def header(self, cells: list[str]) -> bool:
        return bool(self.first) and cells[0].strip() == self.first

    def end_of_part(self) -> Iterator[Arrival]:
        return iter(())


def places(cells: list[str], names: Mapping[str, tuple[str, ...]], needed: tuple[str, ...]) -> dict[str, int]:
    """Where the columns stand in a header. Each may go by several names; raises BadRow for a missing one."""
    given = {cell.strip(): index for index, cell in reversed(list(enumerate(cells)))}
    found = {}
    for column, spellings in names.items():
        for spelling in spellings:
            if spelling in given:
                found[column] = given[spelling]
                break
        else:
            if column in needed:
                raise BadRow(Reason.NO_HEADER, column, ",".join(cells))
    return found
