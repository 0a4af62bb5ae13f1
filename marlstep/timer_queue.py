"""Timer queue: all timers of the program in one heap, driven by a single event-loop timer."""

from __future__ import annotations

import heapq
import logging
from collections.abc import Callable
from datetime import datetime
from typing import Protocol

log = logging.getLogger(__name__)
# The heap is rebuilt without cancelled timers once it holds more of them than this, and than half of its entries.
MAX_CANCELLED_TIMERS = 64


class Waker(Protocol):
    """The clock of a timer queue, and its single alarm."""

    def now(self) -> datetime:
        """Return the current time."""

    def wake_at(self, when: datetime, callback: Callable[[], None]) -> None:
        """Set the alarm, replacing the previous one."""

    def soon(self, callback: Callable[[], None]) -> None:
        """Call back in the next iteration of the event loop."""


class Timer:
    """One timer, ordered by its time and then by its number.

    Attributes:
        when: the time at which it is due.
        number: its sequence number; timers due at the same time run in the order in which they were set.
        callback: called when the timer is due; None once it has run or was cancelled.
    """

    __slots__ = ("callback", "number", "when")

    def __init__(self, when: datetime, number: int, callback: Callable[[], None]) -> None:
        """Create a timer that is due at `when`."""
        self.when, self.number = when, number
        self.callback: Callable[[], None] | None = callback

    def __lt__(self, other: Timer) -> bool:
        """Order timers for the heap."""
        return (self.when, self.number) < (other.when, other.number)


class TimerQueue:
    """Calls back at given times, in chronological order.

    Attributes:
        now: the `now` method of the waker.
        soon: the `soon` method of the waker.
    """

    def __init__(self, waker: Waker) -> None:
        """Create an empty queue on a waker, whose alarm nothing else may use."""
        self._waker = waker
        self._heap: list[Timer] = []
        self._number = 0
        self._cancelled = 0  # cancelled timers that are still in the heap
        self._alarm: datetime | None = None
        self.now = waker.now
        self.soon = waker.soon

    def __len__(self) -> int:
        """Return the number of pending timers."""
        return len(self._heap) - self._cancelled

    def at(self, when: datetime, callback: Callable[[], None]) -> Timer:
        """Call back at that time, or in the next loop iteration if it has passed. Returns the timer, for `cancel`."""
        self._number += 1
        timer = Timer(when, self._number, callback)
        heapq.heappush(self._heap, timer)
        self._set_alarm()
        return timer

    def after_reading(self, callback: Callable[[], None]) -> None:
        """Call back once all data that has arrived by now has been read.

        An event loop runs its timers before it reads. A late timer could thus time out a request or call whose data has
        arrived in time, but has not been read yet.
        """
        self.soon(lambda: self.soon(callback))

    def cancel(self, timer: Timer | None) -> None:
        """Cancel a timer. Does nothing for None, or for a timer that has run or was cancelled before."""
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
