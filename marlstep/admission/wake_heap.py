"""When which request is to be looked at again."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from marlstep.admission.entry import Entry
from marlstep.admission.timing import NEVER


class WakeHeap:
    """Entries by the time at which they are due; those due together in the order in which they came."""

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[tuple[int, int, Entry]] = []
        self._added = 0

    def __len__(self) -> int:
        """Return how many wakeups wait, those of entries that are no longer known included."""
        return len(self._heap)

    def add(self, entry: Entry, due_at: int) -> None:
        """Have an entry looked at again at this time, in microseconds."""
        self._added += 1
        heapq.heappush(self._heap, (due_at, self._added, entry))

    def next_due(self) -> int:
        """Return the earliest time, or `NEVER` if nothing waits."""
        return self._heap[0][0] if self._heap else NEVER

    def pop_due(self, now: int, is_current: Callable[[Entry], bool]) -> Entry | None:
        """Remove and return the first entry if it is due; drop entries before it that are no longer current.

        Args:
            now: the time, in microseconds.
            is_current: whether an entry is still known under its id.
        """
        heap = self._heap
        while heap:
            due_at, _, entry = heap[0]
            if due_at > now and is_current(entry):
                return None
            heapq.heappop(heap)
            if is_current(entry):
                return entry
        return None
