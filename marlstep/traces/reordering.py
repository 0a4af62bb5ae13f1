"""Sorting of rows by time within a bounded window. No I/O.

A row may be out of order by up to the window, measured against the latest time read before it. A row beyond the
window is returned as late. Which rows are late depends on the rows alone, not on their division into batches.

A single wrong timestamp far in the future must not make all following rows late. A row that is ahead by more than the
gap is therefore set aside. If MIN_ROWS_AFTER_GAP consecutive rows are that far ahead, the trace has a real gap and
they are accepted; if a row that is not that far ahead follows sooner, they are returned as jumps.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field

from marlstep.traces.rows import Arrival

WINDOW_US = 10_000_000  # default; some formats need a longer window
MAX_WAITING_ROWS = 100_000  # about 40 MB; beyond this the older half is released early
MIN_SORTED_ROWS = 8_192
GAP_US = 86_400_000_000  # no trace is expected to have a day without rows
MIN_ROWS_AFTER_GAP = 64  # consecutive rows beyond the gap that are accepted as a real gap


@dataclass(slots=True)
class Reordered:
    """Result of adding one batch of rows; may include rows of earlier batches that were waiting.

    Attributes:
        ready: Arrivals in order of time.
        late: Rows that are out of order by more than the window.
        jumps: Rows that are ahead of their neighbours by more than the gap.
    """

    ready: list[Arrival] = field(default_factory=list)
    late: list[Arrival] = field(default_factory=list)
    jumps: list[Arrival] = field(default_factory=list)


class Reorderer:
    """Sorts the rows of one trace by time, within a window.

    Attributes:
        out_of_order: Number of rows whose time is earlier than that of a preceding row, including late rows.
        duplicates: Number of rows left out because another in the window has the same time, sender and name.
        forced_releases: Number of times that rows were released early because the window was full.
    """

    def __init__(
        self, window_us: int = WINDOW_US, max_waiting_rows: int = MAX_WAITING_ROWS, gap_us: int = GAP_US
    ) -> None:
        """Initialize the reorderer with an empty window.

        Args:
            window_us: How far out of order a row may be, in microseconds.
            max_waiting_rows: Number of waiting rows at which the older half is released early.
            gap_us: How far ahead of the latest time a row must be to be set aside, in microseconds.
        """
        self.out_of_order = 0
        self.duplicates = 0
        self.forced_releases = 0
        self._window_us = window_us
        self._gap_us = max(gap_us, window_us)
        self._rows_beyond_gap: list[Arrival] = []
        self._max_waiting_rows = max(2, max_waiting_rows)
        self._latest_us = -1  # latest time of the accepted rows
        self._released_until_us = -1  # rows before this time are late, because later rows have been released
        self._waiting: list[Arrival] = []
        self._sort_at = MIN_SORTED_ROWS

    def push(self, rows: list[Arrival]) -> Reordered:
        """Add rows in the order in which they were read; return the rows now in order and the rejected rows."""
        result = Reordered()
        waiting, latest, window, gap = self._waiting, self._latest_us, self._window_us, self._gap_us
        for row in rows:  # runs for millions of rows, so the state is kept in local variables
            at = row[0]
            if at >= latest:
                if at > latest + gap:
                    latest = self._set_aside(row, latest)
                    continue
                latest = at
            else:
                self.out_of_order += 1
                if at < latest - window or at < self._released_until_us:
                    result.late.append(row)
                    continue
            if self._rows_beyond_gap:
                result.jumps += self._rows_beyond_gap
                self._rows_beyond_gap.clear()
            waiting.append(row)
            if len(waiting) >= self._sort_at:
                self._latest_us = latest
                result.ready += self._release(latest - window)
                waiting = self._waiting
        self._latest_us = latest
        return result

    def _set_aside(self, row: Arrival, latest_us: int) -> int:
        """Set aside a row beyond the gap; return the latest time, which advances once enough rows are set aside."""
        self._rows_beyond_gap.append(row)
        if len(self._rows_beyond_gap) < MIN_ROWS_AFTER_GAP:
            return latest_us
        self._waiting += self._rows_beyond_gap
        latest_us = max(latest_us, *(ahead.at_us for ahead in self._rows_beyond_gap))
        self._rows_beyond_gap.clear()
        return latest_us

    def end(self) -> list[Arrival]:
        """Return all waiting rows. Rows that are still set aside are accepted, because no row contradicts them."""
        self._waiting += self._rows_beyond_gap
        self._latest_us = max([self._latest_us, *(row.at_us for row in self._rows_beyond_gap)])
        self._rows_beyond_gap.clear()
        return self._release(self._latest_us + 1)

    def _release(self, before_us: int) -> list[Arrival]:
        waiting = self._waiting
        waiting.sort()
        end = bisect_left(waiting, (before_us,))
        if len(waiting) - end >= self._max_waiting_rows:
            self.forced_releases += 1
            end = len(waiting) - self._max_waiting_rows // 2
            # Rows with equal times are released together, so that duplicates are always compared.
            end = bisect_left(waiting, (waiting[end][0],)) or len(waiting)
        ready, self._waiting = waiting[:end], waiting[end:]
        # The next sort waits until the number of rows has about doubled, so that each row is sorted only a few times.
        still_waiting = len(self._waiting)
        room = self._max_waiting_rows - still_waiting
        self._sort_at = still_waiting + max(MIN_SORTED_ROWS, min(still_waiting, room))
        if ready:
            self._released_until_us = max(self._released_until_us, ready[-1].at_us + 1)
        return self._without_duplicates(ready)

    def _without_duplicates(self, rows: list[Arrival]) -> list[Arrival]:
        """Remove duplicates; they are adjacent, because rows with equal times are sorted by sender and name.

        A row without a name is never a duplicate.
        """
        unique: list[Arrival] = []
        append = unique.append
        previous: tuple[object, ...] = ()
        for row in rows:
            identity = row[:3]  # time, sender and name
            if identity == previous and row[2]:
                self.duplicates += 1
            else:
                append(row)
                previous = identity
        return unique
