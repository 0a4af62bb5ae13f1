"""The memory that idempotency keys and kept results may take, and which results go first.

Keys are never dropped within their window, as their work could run twice: where even they don't fit, new work that
needs one is rejected before it runs. Results go, the oldest first: most repeats follow soon after the first attempt. A
repeat of work whose result is gone fails, as its work has run.
"""

from __future__ import annotations

import sys
from collections import deque
from typing import Protocol

from marlstep.core.request_registry import REQUEST_MEMORY, RequestRegistry

KEY_MEMORY = 3 << 9  # bytes of a key: its record and the controller's entry of the request, with their timers
RESULT_OVERHEAD = 64  # bytes of a kept result besides its content
MAX_DISCARDED_HOLDERS = 64  # holders without a result in the order of results, beyond as many as have one
MAX_KEY_SHARE = 7 / 8  # of the memory, for keys; the rest stays for requests in flight


class KeyMemory:
    """Divides a number of bytes between requests in flight, keys and kept results, in this order.

    Attributes:
        limit_bytes: the memory that the three share.
    """

    def __init__(self, requests: RequestRegistry) -> None:
        """Initialize without a limit. `requests` are the requests in flight."""
        self._requests = requests
        self.limit_bytes = sys.maxsize

    @property
    def max_keys(self) -> int:
        """How many keys fit while no request is in flight."""
        return int(MAX_KEY_SHARE * self.limit_bytes) // KEY_MEMORY

    def has_room_for_key(self, keys: int) -> bool:
        """Return whether one more key fits beside this number of keys and the requests in flight."""
        needed = (keys + 1) * KEY_MEMORY
        in_flight = len(self._requests) * REQUEST_MEMORY
        return keys < self.max_keys and needed + in_flight <= self.limit_bytes

    def room_for_results(self, keys: int) -> int:
        """Return how many bytes of results may be kept beside this number of keys and the requests in flight."""
        return max(0, self.limit_bytes - keys * KEY_MEMORY - len(self._requests) * REQUEST_MEMORY)


class ResultHolder(Protocol):
    """Holds the result of one piece of work."""

    result: bytes | None


class KeptResults:
    """The results that are kept for repeats, in the order in which the work ended.

    Attributes:
        kept_bytes: the memory that they take.
        dropped: how many have been dropped for lack of memory.
    """

    def __init__(self) -> None:
        """Initialize without results."""
        self._oldest_first: deque[ResultHolder] = deque()
        self._kept_count = 0  # holders in that order which still have a result
        self.kept_bytes = 0
        self.dropped = 0

    def add(self, holder: ResultHolder) -> None:
        """Count the result that this holder has got, if it has one."""
        if holder.result is not None:
            self._oldest_first.append(holder)
            self._kept_count += 1
            self.kept_bytes += _size(holder.result)

    def discard(self, holder: ResultHolder) -> None:
        """Drop the result of a holder that is no longer needed."""
        if holder.result is not None:
            self._kept_count -= 1
            self.kept_bytes -= _size(holder.result)
            holder.result = None
        while self._oldest_first and self._oldest_first[0].result is None:
            self._oldest_first.popleft()
        if len(self._oldest_first) > 2 * self._kept_count + MAX_DISCARDED_HOLDERS:
            self._oldest_first = deque(each for each in self._oldest_first if each.result is not None)

    def fit_into(self, limit_bytes: int) -> None:
        """Drop the oldest results until the rest takes at most this number of bytes."""
        while self.kept_bytes > limit_bytes:
            holder = self._oldest_first[0]
            self.dropped += holder.result is not None
            self.discard(holder)


def _size(result: bytes) -> int:
    return len(result) + RESULT_OVERHEAD
