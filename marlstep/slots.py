"""Slot table with generation-checked handles.

A handle contains the index of a slot and its generation. Once the slot has been freed, a lookup by the old handle
finds nothing, even if the slot holds another value by then.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

from marlstep.errors import MarlstepError

T = TypeVar("T")
INDEX_BITS = 20  # low bits of a handle: the slot index; the higher bits are the generation
INDEX_MASK = (1 << INDEX_BITS) - 1


class TableFullError(MarlstepError):
    """All slots are in use: the caller has to reject the value, or wait until a slot is freed."""

    @classmethod
    def at_limit(cls, limit: int) -> TableFullError:
        """Create the error of a table that holds at most `limit` values."""
        return cls(f"all {limit} slots are in use")


class InvalidTableLimitError(MarlstepError, ValueError):
    """The limit of a table is not positive, or larger than a handle can index.

    Attributes:
        limit: the invalid limit.
    """

    def __init__(self, limit: int) -> None:
        """Initialize with the invalid limit."""
        self.limit = limit
        super().__init__(f"expected a table limit from 1 to 2^{INDEX_BITS} - 1 slots, got {limit}")


class SlotTable(Generic[T]):
    """Values by handle, at most `limit` at once. Memory is allocated only as slots are used.

    Attributes:
        limit: the maximum number of values.
    """

    def __init__(self, limit: int) -> None:
        """Create an empty table for at most `limit` values.

        Raises:
            InvalidTableLimitError: the limit is not positive, or larger than a handle can index.
        """
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
        """Iterate over a copy of the values, so that slots may be freed meanwhile."""
        return iter([value for value in self._values if value is not None])

    def add(self, value: T) -> int:
        """Store a value, and return its handle, which is valid until `free`.

        Raises:
            TableFullError: all slots are in use.
        """
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
        """Return the value of a handle; None once its slot has been freed."""
        index = handle & INDEX_MASK
        if index >= len(self._values) or self._generations[index] != handle >> INDEX_BITS:
            return None
        return self._values[index]

    def free(self, handle: int) -> bool:
        """Free a slot. Returns False if it was already free."""
        if self.get(handle) is None:
            return False
        index = handle & INDEX_MASK
        self._values[index] = None
        self._generations[index] += 1
        self._free.append(index)
        return True
