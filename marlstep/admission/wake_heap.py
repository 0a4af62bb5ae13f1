"""Schedule of the times at which requests are to be checked again."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from marlstep.admission.entry import Entry
from marlstep.admission.timing import NEVER


class WakeHeap:
    """Entries ordered by due time, and by insertion for the same due time."""

    def __init__(self) -> None:
        """Initialize an empty heap."""
        self._heap: list[tuple[int, int, Entry]] = []
        self._added = 0

    def __len__(self) -> int:
        """Return the number of scheduled wakeups, including those of entries that are no longer known."""
        return len(self._heap)

    def add(self, entry: Entry, due_at: int) -> None:
        """Schedule a check of an entry at `due_at`, in microseconds."""
        self._added += 1
        heapq.heappush(self._heap, (due_at, self._added, entry))

    def next_due(self) -> int:
        """Return the earliest due time in microseconds, or `NEVER` if the heap is empty."""
        return self._heap[0][0] if self._heap else NEVER

    def pop_due(self, now: int, is_current: Callable[[Entry], bool]) -> Entry | None:
        """Remove and return the first entry if it is due; drop entries before it that are no longer current.

        Args:
            now: The current time, in microseconds.
            is_current: Returns whether an entry is still the one known under its ID.
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
