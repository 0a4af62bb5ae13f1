"""Whose turn it is to have its block of variables scanned. No I/O.

A scan takes time in proportion to the block, 0.1 ms for 1 KiB of short variables. If the blocks of many connections are
complete at the same time, all other connections would wait for all of them; so the scans of one iteration of the event
loop are bounded.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable

SMALL_BLOCK_BYTES = (
    4 * 1024
)  # larger blocks have turns of their own, so that the usual ones need not wait for them
MAX_SCANNED_BYTES = 32 * 1024  # in an iteration of the event loop, or else a single block


class ScanTurns:
    """Grants scans of blocks up to a number of bytes in an iteration, and keeps a queue of the others."""

    def __init__(self, run_soon: Callable[[Callable[[], None]], None]) -> None:
        """Initialize with an empty queue; `run_soon` runs a callback in the next iteration of the event loop."""
        self._run_soon = run_soon
        self._scanned_bytes = 0  # in this iteration
        self._waiting: dict[Hashable, Callable[[], None]] = {}  # in the order of arrival

    def take(self, size: int) -> bool:
        """Return whether a block of `size` bytes may be scanned now."""
        is_over_limit = self._scanned_bytes > 0 and self._scanned_bytes + size > MAX_SCANNED_BYTES
        if self._waiting or is_over_limit:
            return False
        if not self._scanned_bytes:
            self._run_soon(self._begin_iteration)
        self._scanned_bytes += size
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

    def _begin_iteration(self) -> None:
        """Resume those whose turn it is. One that gets no turn after all waits in the first place again."""
        self._scanned_bytes = 0
        waiting, self._waiting = self._waiting, {}
        for key in list(waiting):
            resume = waiting.pop(key)
            resume()
            if self._waiting:  # the bytes of this iteration are used up
                break
        self._waiting.update(waiting)
