"""Tables of numbered slots. A handle names a slot and its generation, so a late use finds nothing."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")
INDEX_BITS = 20
INDEX_MASK = (1 << INDEX_BITS) - 1


class TableFull(Exception):
    """All slots are taken."""


class SlotTable(Generic[T]):
    def __init__(self, limit: int) -> None:
        if not 0 < limit <= INDEX_MASK:
            raise ValueError("a table holds from 1 to 2^20 - 1 slots")
        self.limit = limit
        self._values: list[T | None] = []
        self._generations: list[int] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._values) - len(self._free)

    def __iter__(self) -> Iterator[T]:
        """The values as they are now; slots may be given back on the way."""
        return iter([value for value in self._values if value is not None])

    def add(self, value: T) -> int:
        """Take a slot; the handle is good until `free`."""
        if self._free:
            index = self._free.pop()
            self._values[index] = value
        elif len(self._values) < self.limit:
            index = len(self._values)
            self._values.append(value)
            self._generations.append(0)
        else:
            raise TableFull(f"all {self.limit} slots are taken")
        return self._generations[index] << INDEX_BITS | index

    def get(self, handle: int) -> T | None:
        index = handle & INDEX_MASK
        if index >= len(self._values) or self._generations[index] != handle >> INDEX_BITS:
            return None
        return self._values[index]

    def free(self, handle: int) -> bool:
        """Give the slot back; False where the handle is an old one."""
        if self.get(handle) is None:
            return False
        index = handle & INDEX_MASK
        self._values[index] = None
        self._generations[index] += 1
        self._free.append(index)
        return True
