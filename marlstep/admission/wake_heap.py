"""When which entry is to be looked at again: a heap, no decisions."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from marlstep.admission.entry import Entry
from marlstep.admission.timing import NEVER


class WakeHeap:
    """Entries by the time at which they are due; of one time, in the order in which they were added."""

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[tuple[int, int, Entry]] = []
        self._added = 0

    def __len__(self) -> int:
        """Count what waits, entries that are no longer known included."""
        return len(self._heap)

    def add(self, entry: Entry, when: int) -> None:
        """Have an entry looked at again at this time."""
        self._added += 1
        heapq.heappush(self._heap, (when, self._added, entry))

    def next_due(self) -> int:
        """Give the earliest time; never, where nothing waits."""
        return self._heap[0][0] if self._heap else NEVER

    def pop_due(self, now: int, is_current: Callable[[Entry], bool]) -> Entry | None:
        """Take out the first entry if it is due, and drop those before it that are no longer current."""
        heap = self._heap
        while heap and (heap[0][0] <= now or not is_current(heap[0][2])):
            entry = heapq.heappop(heap)[2]
            if is_current(entry):
                return entry
        return None
