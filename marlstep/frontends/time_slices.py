"""Shares the time of an iteration of the event loop between connections with much input. No I/O.

A connection handles a few messages as they arrive. For more it needs a part of the time that all of them share, so that
one that sends without a pause, or hundreds at once, delay the others by little more than that time.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from datetime import datetime

from marlstep.units import MILLISECOND

SHARED_TIME = 20 * MILLISECOND  # in an iteration of the event loop, for all connections of a frontend


class TimeSlices:
    """Tells when the shared time of an iteration is used up, and queues the connections that wait for the next."""

    def __init__(self, now: Callable[[], datetime], run_soon: Callable[[Callable[[], None]], None]) -> None:
        """Initialize with an empty queue.

        Args:
            now: returns the current time.
            run_soon: runs a callback in the next iteration of the event loop.
        """
        self._now, self._run_soon = now, run_soon
        self._ends_at: datetime | None = None  # of the shared time; None if nobody asked in this iteration
        self._queue: dict[Hashable, Callable[[], None]] = {}  # in the order of arrival

    def is_used_up(self) -> bool:
        """Return whether the shared time is used up. It begins with the first question in an iteration."""
        now = self._now()
        if self._ends_at is None:
            self._ends_at = now + SHARED_TIME
            self._run_soon(self._begin_iteration)
        return now >= self._ends_at

    def enqueue(self, key: Hashable, resume: Callable[[], None]) -> None:
        """Call `resume` in a later iteration, when all that are queued now have had their part."""
        self._queue[key] = resume

    def remove(self, key: Hashable) -> None:
        """Remove `key` from the queue, if it is there."""
        self._queue.pop(key, None)

    def _begin_iteration(self) -> None:
        """Resume connections in order until the shared time is used up."""
        self._ends_at = None
        for key in list(self._queue):
            if self.is_used_up():
                return
            resume = self._queue.pop(key, None)
            if resume is not None:  # not removed meanwhile
                resume()
