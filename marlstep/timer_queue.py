"""Timer queue: all timers of the program in one heap, with one alarm of the event loop behind it."""

from __future__ import annotations

import heapq
import logging
from collections.abc import Callable
from datetime import datetime
from typing import Protocol

log = logging.getLogger(__name__)
MAX_CANCELLED_TIMERS = 64  # in a small heap, before it is rebuilt without them; in a large one, half of it


class Waker(Protocol):
    """The clock that timers are counted by, and its one alarm."""

    def now(self) -> datetime:
        """Return the time."""

    def wake_at(self, when: datetime, callback: Callable[[], None]) -> None:
        """Set the alarm, in place of the one before."""

    def soon(self, callback: Callable[[], None]) -> None:
        """Call back in the next turn of the event loop."""


class Timer:
    """One timer, ordered by its time and then by its number.

    Attributes:
        when: it is due.
        number: of its setting; timers of the same time run in the order in which they were set.
        callback: None once it has run or was cancelled.
    """

    __slots__ = ("callback", "number", "when")

    def __init__(self, when: datetime, number: int, callback: Callable[[], None]) -> None:
        """Make a timer that is due at `when`."""
        self.when, self.number = when, number
        self.callback: Callable[[], None] | None = callback

    def __lt__(self, other: Timer) -> bool:
        """Order timers for the heap."""
        return (self.when, self.number) < (other.when, other.number)


class TimerQueue:
    """Calls back at given times, in their order.

    Attributes:
        now: returns the time, as the waker does.
        soon: calls back in the next turn of the event loop, as the waker does.
    """

    def __init__(self, waker: Waker) -> None:
        """Count by the clock of this waker, whose alarm belongs to the queue alone."""
        self._waker = waker
        self._heap: list[Timer] = []
        self._number = 0
        self._cancelled = 0  # timers that are still in the heap
        self._alarm: datetime | None = None
        self.now = waker.now
        self.soon = waker.soon

    def __len__(self) -> int:
        """Count the timers that are set."""
        return len(self._heap) - self._cancelled

    def at(self, when: datetime, callback: Callable[[], None]) -> Timer:
        """Call back at that time, or in the next turn if it has passed. Returns the timer, for `cancel`."""
        self._number += 1
        timer = Timer(when, self._number, callback)
        heapq.heappush(self._heap, timer)
        self._set_alarm()
        return timer

    def after_reading(self, callback: Callable[[], None]) -> None:
        """Call back once all that has arrived by now has been read.

        An event loop runs its timers before it reads: what a late timer would give up may have arrived in time.
        """
        self.soon(lambda: self.soon(callback))

    def cancel(self, timer: Timer | None) -> None:
        """Cancel a timer. Does nothing for one that has run or was cancelled before, and for None."""
        if timer is None or timer.callback is None:
            return
        timer.callback = None
        self._cancelled += 1
        if self._cancelled > max(MAX_CANCELLED_TIMERS, len(self._heap) // 2):
            self._heap = [timer for timer in self._heap if timer.callback is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def run_due(self) -> None:
        """Run the timers that are due. A callback that raises is logged, and the others still run."""
        self._alarm = None
        now = self._waker.now()
        while self._heap and self._heap[0].when <= now:
            timer = heapq.heappop(self._heap)
            callback, timer.callback = timer.callback, None
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
