"""All deadlines of the program, in one ordered structure with one alarm of the event loop behind it."""

from __future__ import annotations

import heapq
import logging
from collections.abc import Callable
from datetime import datetime
from typing import Protocol

log = logging.getLogger(__name__)
COMPACT_AT = 64  # cancelled deadlines that may stay before the heap is made anew


class Waker(Protocol):
    """The clock and the one alarm."""

    def now(self) -> datetime: ...

    def wake_at(self, when: datetime, callback: Callable[[], None]) -> None:
        """Set the alarm; it replaces the one before."""

    def soon(self, callback: Callable[[], None]) -> None: ...


class Deadline:
    __slots__ = ("callback", "number", "when")

    def __init__(self, when: datetime, number: int, callback: Callable[[], None]) -> None:
        self.when, self.number = when, number
        self.callback: Callable[[], None] | None = callback

    def __lt__(self, other: Deadline) -> bool:
        return (self.when, self.number) < (other.when, other.number)


class TimerQueue:
    def __init__(self, waker: Waker) -> None:
        self._waker = waker
        self._heap: list[Deadline] = []
        self._number = self._dead = 0
        self._alarm: datetime | None = None
        self.now = waker.now
        self.soon = waker.soon

    def __len__(self) -> int:
        return len(self._heap) - self._dead

    def at(self, when: datetime, callback: Callable[[], None]) -> Deadline:
        self._number += 1
        deadline = Deadline(when, self._number, callback)
        heapq.heappush(self._heap, deadline)
        self._set_alarm()
        return deadline

    def after_reading(self, callback: Callable[[], None]) -> None:
        """Once what has come by now has been read. A loop calls its timers before it reads: what a late one would
        give up may lie unread since before it was due."""
        self.soon(lambda: self.soon(callback))

    def cancel(self, deadline: Deadline | None) -> None:
        if deadline is None or deadline.callback is None:
            return
        deadline.callback = None
        self._dead += 1
        if self._dead > max(COMPACT_AT, len(self._heap) // 2):
            self._heap = [one for one in self._heap if one.callback is not None]
            heapq.heapify(self._heap)
            self._dead = 0

    def run_due(self) -> None:
        """Call what is due. A callback that fails is logged, and the others still have their turn."""
        self._alarm = None
        now = self._waker.now()
        while self._heap and self._heap[0].when <= now:
            deadline = heapq.heappop(self._heap)
            callback, deadline.callback = deadline.callback, None
            if callback is None:
                self._dead -= 1
                continue
            try:
                callback()
            except Exception:
                log.exception("a deadline's callback failed")
        self._set_alarm()

    def _set_alarm(self) -> None:
        while self._heap and self._heap[0].callback is None:
            heapq.heappop(self._heap)
            self._dead -= 1
        if self._heap and (self._alarm is None or self._heap[0].when < self._alarm):
            self._alarm = self._heap[0].when
            self._waker.wake_at(self._alarm, self.run_due)
