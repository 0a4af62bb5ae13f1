"""Azure Functions 2019: invocations_per_function_md, one row per function, with a header.

Source: "Azure Functions trace 2019" (Shahrad et al.). Columns: HashOwner, HashApp, HashFunction, Trigger, then 1 to
1440, the number of invocations in each minute of the day; each part is one day. The tenant is the owner, the category
the trigger, and the sender the function; there is no work hint.

The trace states how many invocations occurred in a minute, but not when. They are spread evenly over the minute; the
first one is placed by a hash of seed, function and minute. The same seed therefore gives the same times, and functions
are not synchronized with each other.

The rows are per function, so arrivals can be ordered by time only after the last row of a day. Until then the counts
are kept in memory, in 16 bytes for each non-zero count.
"""

from __future__ import annotations

import heapq
from array import array
from collections.abc import Iterator

from blake3 import blake3

from marlstep.traces.formats.base import RowReaderBase, SkipReason
from marlstep.traces.rows import Arrival, BadRowError, Reason, check_width, read_integer, read_nonempty

MINUTES = 1440
MINUTE_US = 60_000_000
FUNCTION_COLUMNS = ("HashOwner", "HashApp", "HashFunction", "Trigger")
COLUMNS = (*FUNCTION_COLUMNS, *(str(number) for number in range(1, MINUTES + 1)))
MAX_FUNCTIONS = 500_000  # functions of one day; also bounds the heap of one minute
MAX_COUNTS = 16_000_000  # non-zero counts of one day; 256 MB
MAX_PER_MINUTE = 1_000_000  # invocations of one function in one minute; a higher count is invalid


class Reader(RowReaderBase):
    """Reads the rows of one trace."""

    def __init__(self, seed: int) -> None:
        """Initialize the reader before the first day.

        Args:
            seed: Key of the hashes that place invocations within a minute; 0 to 2**64 - 1.
        """
        self._seed = seed.to_bytes(8, "little", signed=False)
        self._day = -1
        self._count_total = 0
        self._functions: list[tuple[str, str, str, str, int]] = []
        self._seen_functions: set[str] = set()
        self._counts_by_minute: list[array[int]] = []
        self._start_day()

    def _start_day(self) -> None:
        self._day += 1
        self._count_total = 0
        self._functions.clear()
        self._seen_functions.clear()
        # For each minute: function number and count, alternating.
        self._counts_by_minute = [array("L") for _ in range(MINUTES)]

    def header(self, cells: list[str]) -> bool:
        """Check the header; always returns True.

        Raises:
            BadRowError: The columns are not exactly those of the format.
        """
        # A corrupt header must not be read as a row: its column names 1 to 1440 would count as a million invocations.
        if tuple(cell.strip() for cell in cells) != COLUMNS:
            raise BadRowError(Reason.NO_HEADER, text=",".join(cells))
        return True

    def parse(self, cells: list[str], line: int) -> Arrival | SkipReason:
        """Store the counts of one row for `end_of_part`; return the skip reason `counted`, or `duplicate`.

        Raises:
            BadRowError: The row is invalid, or the day exceeds MAX_FUNCTIONS or MAX_COUNTS.
        """
        check_width(cells, len(COLUMNS))
        owner, app, function, trigger = cells[:4]
        read_nonempty(owner, "HashOwner")
        read_nonempty(function, "HashFunction")
        read_nonempty(trigger, "Trigger")
        counts = [
            (minute, read_integer(cell, str(minute + 1)))
            for minute, cell in enumerate(cells[4:])
            if cell != "0"
        ]
        for minute, count in counts:
            if count > MAX_PER_MINUTE:
                raise BadRowError(Reason.OVERFLOW, str(minute + 1), str(count))
        identity = f"{owner}/{app}/{function}"
        if identity in self._seen_functions:
            return "duplicate"
        if len(self._functions) >= MAX_FUNCTIONS or self._count_total + len(counts) > MAX_COUNTS:
            raise BadRowError(
                Reason.TOO_MANY, text=f"over {MAX_FUNCTIONS} functions or {MAX_COUNTS} counts a day"
            )
        self._seen_functions.add(identity)
        number = len(self._functions)
        self._functions.append((owner, app, function, trigger, line))
        self._count_total += len(counts)
        for minute, count in counts:
            self._counts_by_minute[minute].extend((number, count))
        return "counted"

    def end_of_part(self) -> Iterator[Arrival]:
        """Yield the arrivals of the day, in order of time."""
        for minute, counts in enumerate(self._counts_by_minute):
            yield from self._arrivals_of_minute(minute, counts)
        self._start_day()

    def _arrivals_of_minute(self, minute: int, counts: array[int]) -> Iterator[Arrival]:
        start = (self._day * MINUTES + minute) * MINUTE_US
        # Heap with the next invocation of each function; its size is the number of functions active in the minute.
        next_invocations: list[tuple[int, int, int, int, float]] = []
        for number, count in zip(counts[::2], counts[1::2], strict=True):
            if count:
                phase = self._phase(number, minute)
                next_invocations.append((int(phase * MINUTE_US / count), number, 0, count, phase))
        heapq.heapify(next_invocations)
        while next_invocations:
            at, number, index, count, phase = next_invocations[0]
            owner, app, function, trigger, line = self._functions[number]
            yield Arrival(start + at, f"{app}/{function}", "", owner, trigger, 0.0, line)
            if index + 1 < count:
                next_offset_us = int((index + 1 + phase) * MINUTE_US / count)
                heapq.heapreplace(next_invocations, (next_offset_us, number, index + 1, count, phase))
            else:
                heapq.heappop(next_invocations)

    def _phase(self, number: int, minute: int) -> float:
        """Return the offset of a function's first invocation in a minute, as a fraction of the interval between two."""
        owner, app, function = self._functions[number][:3]
        at = (self._day * MINUTES + minute).to_bytes(8, "little")
        digest = blake3(f"{owner}/{app}/{function}".encode() + at, key=self._seed.ljust(32, b"\0")).digest(8)
        return int.from_bytes(digest, "little") / (1 << 64)


class Azure2019:
    """Format with counts per minute; the times of arrivals depend on the seed."""

    name = "azure-2019"
    columns = COLUMNS

    def make(self, seed: int) -> Reader:
        """Return a new reader that places arrivals by the seed."""
        return Reader(seed)


FORMAT = Azure2019()
