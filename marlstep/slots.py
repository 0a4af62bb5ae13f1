"""Tables of numbered slots.

A handle names a slot and its generation: a use after the slot has been freed finds nothing, even if the slot holds
another value by then.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

from marlstep.errors import MarlstepError

T = TypeVar("T")
INDEX_BITS = 20  # of a handle, for the slot; the bits above are its generation
INDEX_MASK = (1 << INDEX_BITS) - 1


class TableFullError(MarlstepError):
    """All slots are in use: the caller has to wait until one is freed, or to reject."""

    @classmethod
    def at_limit(cls, limit: int) -> TableFullError:
        """Make the error of a table that holds `limit` values."""
        return cls(f"all {limit} slots are taken")


class InvalidTableLimitError(MarlstepError, ValueError):
    """A limit that handles can't number."""

    def __init__(self, limit: int) -> None:
        """Reject a limit, which is kept as a field."""
        self.limit = limit
        super().__init__(f"a table holds from 1 to 2^{INDEX_BITS} - 1 slots, not {limit}")


class SlotTable(Generic[T]):
    """Values by handle, at most `limit` at once. Memory is taken only as slots are used.

    Attributes:
        limit: the most values that the table holds.
    """

    def __init__(self, limit: int) -> None:
        """Make an empty table. Raises InvalidTableLimitError for a limit that handles can't number."""
        if not 0 < limit <= INDEX_MASK:
            raise InvalidTableLimitError(limit)
        self.limit = limit
        self._values: list[T | None] = []
        self._generations: list[int] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        """Count the values."""
        return len(self._values) - len(self._free)

    def __iter__(self) -> Iterator[T]:
        """Iterate over the values as they are now; slots may be freed meanwhile."""
        return iter([value for value in self._values if value is not None])

    def add(self, value: T) -> int:
        """Store a value, and return its handle, which is valid until `free`. Raises TableFullError."""
        if self._free:
            index = self._free.pop()
            self._values[index] = value
        elif len(self._values) < self.limit:
            index = len(self._values)
            self._values.append(value)
            self._generations.append(0)
        else:
            raise TableFullError.at_limit(self.limit)
        return self._generations[index] << INDEX_BITS | index

    def get(self, handle: int) -> T | None:
        """Look up a value; None once its slot has been freed."""
        index = handle & INDEX_MASK
        if index >= len(self._values) or self._generations[index] != handle >> INDEX_BITS:
            return None
        return self._values[index]

    def free(self, handle: int) -> bool:
        """Free a slot. Returns False where that has been done before."""
        if self.get(handle) is None:
            return False
        index = handle & INDEX_MASK
        self._values[index] = None
        self._generations[index] += 1
        self._free.append(index)
        return True
