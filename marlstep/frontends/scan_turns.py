"""Whose turn it is to have a large block of variables scanned. No I/O.

A scan of a large block takes milliseconds. If the blocks of many connections are complete at the same time, all other
connections would wait for all of them; so one large block is scanned in an iteration of the event loop.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable

LARGE_BLOCK_BYTES = 4 * 1024  # smaller blocks are scanned at once


class ScanTurns:
    """Grants one scan of a large block in an iteration of the event loop, and keeps a queue of the others."""

    def __init__(self, run_soon: Callable[[Callable[[], None]], None]) -> None:
        """Initialize with an empty queue; `run_soon` runs a callback in the next iteration of the event loop."""
        self._run_soon = run_soon
        self._is_taken = False  # the turn of this iteration
        self._waiting: dict[Hashable, Callable[[], None]] = {}  # in the order of arrival

    def take(self, size: int) -> bool:
        """Return whether a block of `size` bytes may be scanned now."""
        if size < LARGE_BLOCK_BYTES:
            return True
        if self._is_taken:
            return False
        self._is_taken = True
        self._run_soon(self._end_turn)
        return True

    def wait(self, key: Hashable, resume: Callable[[], None]) -> None:
        """Call `resume` when it is the turn of `key`, which keeps its place if it waits already."""
        self._waiting.setdefault(key, resume)

    def leave(self, key: Hashable) -> None:
        """Remove `key` from the queue."""
        self._waiting.pop(key, None)

    def is_waiting(self, key: Hashable) -> bool:
        """Return whether `key` is in the queue."""
        return key in self._waiting

    def _end_turn(self) -> None:
        self._is_taken = False
        while self._waiting and not self._is_taken:
            key = next(iter(self._waiting))
            resume = self._waiting.pop(key)
            resume()
