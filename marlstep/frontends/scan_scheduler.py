"""Schedules the scans of blocks of variables over the iterations of the event loop. No I/O.

A scan takes time in proportion to the block, 0.1 ms for 1 KiB of short variables. If the blocks of many connections are
complete at the same time, all other connections would wait for all of them; so the scans of one iteration are bounded.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable

# Larger blocks have a scheduler of their own, so that the usual ones need not wait for them.
SMALL_BLOCK_BYTES = 4 * 1024
MAX_SCANNED_BYTES = 32 * 1024  # in an iteration of the event loop, or else a single block


class ScanScheduler:
    """Admits scans of blocks up to a number of bytes in an iteration, and queues the others in order."""

    def __init__(self, run_soon: Callable[[Callable[[], None]], None]) -> None:
        """Initialize with an empty queue; `run_soon` runs a callback in the next iteration of the event loop."""
        self._run_soon = run_soon
        self._scanned_bytes = 0  # in this iteration
        self._queue: dict[Hashable, Callable[[], None]] = {}  # in the order of arrival

    def admit(self, size: int) -> bool:
        """Return whether a block of `size` bytes may be scanned now."""
        is_over_limit = self._scanned_bytes > 0 and self._scanned_bytes + size > MAX_SCANNED_BYTES
        if self._queue or is_over_limit:
            return False
        if not self._scanned_bytes:
            self._run_soon(self._begin_iteration)
        self._scanned_bytes += size
        return True

    def enqueue(self, key: Hashable, resume: Callable[[], None]) -> None:
        """Call `resume` once the scan of `key` may be admitted. A key that is queued keeps its place."""
        self._queue.setdefault(key, resume)

    def remove(self, key: Hashable) -> None:
        """Remove `key` from the queue, if it is there."""
        self._queue.pop(key, None)

    def is_queued(self, key: Hashable) -> bool:
        """Return whether `key` is in the queue."""
        return key in self._queue

    def _begin_iteration(self) -> None:
        """Resume scans in order until one is not admitted, which is then the first in the queue again."""
        self._scanned_bytes = 0
        queue, self._queue = self._queue, {}
        for key in list(queue):
            resume = queue.pop(key)
            resume()
            if self._queue:
                break
        self._queue.update(queue)
