"""Timer queue: all deadlines of the program in one heap, with one alarm of the event loop behind it."""

from __future__ import annotations

import heapq
import logging
from collections.abc import Callable
from datetime import datetime
from typing import Protocol

log = logging.getLogger(__name__)
COMPACT_AT = 64  # cancelled entries that may stay before the heap is rebuilt


class Waker(Protocol):
    """The clock that deadlines are counted by, and its one alarm."""

    def now(self) -> datetime:
        """Give the time."""

    def wake_at(self, when: datetime, callback: Callable[[], None]) -> None:
        """Set the alarm; it replaces the one before."""

    def soon(self, callback: Callable[[], None]) -> None:
        """Call back in the next turn of the loop."""


class Timer:
    """One entry of the queue, ordered by time and then by number; without a callback once it is over."""

    __slots__ = ("callback", "number", "when")

    def __init__(self, when: datetime, number: int, callback: Callable[[], None]) -> None:
        """Make an entry that is due at `when`."""
        self.when, self.number = when, number
        self.callback: Callable[[], None] | None = callback

    def __lt__(self, other: Timer) -> bool:
        """Order entries for the heap."""
        return (self.when, self.number) < (other.when, other.number)


class TimerQueue:
    """Calls back at given times, in their order; those of the same time in the order in which they were set."""

    def __init__(self, waker: Waker) -> None:
        """Count by the clock of this waker. Its alarm belongs to the queue alone."""
        self._waker = waker
        self._heap: list[Timer] = []
        self._number = 0
        self._cancelled = 0  # entries that are still in the heap
        self._alarm: datetime | None = None
        self.now = waker.now
        self.soon = waker.soon

    def __len__(self) -> int:
        """Count the deadlines that are set."""
        return len(self._heap) - self._cancelled

    def at(self, when: datetime, callback: Callable[[], None]) -> Timer:
        """Call back at that time. The entry is good for `cancel`."""
        self._number += 1
        deadline = Timer(when, self._number, callback)
        heapq.heappush(self._heap, deadline)
        self._set_alarm()
        return deadline

    def after_reading(self, callback: Callable[[], None]) -> None:
        """Call back once all that has arrived by now has been read.

        A loop calls its timers before it reads: what a late timer would abandon may have arrived before it was due.
        """
        self.soon(lambda: self.soon(callback))

    def cancel(self, deadline: Timer | None) -> None:
        """Never call back; without effect where the deadline is over, or is none."""
        if deadline is None or deadline.callback is None:
            return
        deadline.callback = None
        self._cancelled += 1
        if self._cancelled > max(COMPACT_AT, len(self._heap) // 2):
            self._heap = [entry for entry in self._heap if entry.callback is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def run_due(self) -> None:
        """Call what is due. A callback that fails is logged, and the others are still called."""
        self._alarm = None
        now = self._waker.now()
        while self._heap and self._heap[0].when <= now:
            deadline = heapq.heappop(self._heap)
            callback, deadline.callback = deadline.callback, None
            if callback is None:
                self._cancelled -= 1
                continue
            try:
                callback()
            except Exception:
                log.exception("timer callback failed")
        self._set_alarm()

    def _set_alarm(self) -> None:
        while self._heap and self._heap[0].callback is None:
            heapq.heappop(self._heap)
            self._cancelled -= 1
        if self._heap and (self._alarm is None or self._heap[0].when < self._alarm):
            self._alarm = self._heap[0].when
            self._waker.wake_at(self._alarm, self.run_due)
