"""Order within a bounded window; pure.

A row may come late by up to the window, measured against the latest time read before it. What comes later is
given back as late. Which rows are late depends on the rows alone, not on how they were cut into batches.

One wrong time far ahead must not make all that follows late. A row further ahead than the gap waits aside until it
is known what it is: if MIN_ROWS_AFTER_GAP rows in a row are as far ahead the trace has a gap, and if one that is not
comes first, those that waited were wrong.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field

from marlstep.traces.rows import Arrival

WINDOW_US = 10_000_000  # where the format does not name a longer one
MAX_WAITING_ROWS = 100_000  # inside the window, some 40 MB; beyond it the older half goes out early
MIN_SORTED_ROWS = 8_192
GAP_US = 86_400_000_000  # no trace is silent for a day
MIN_ROWS_AFTER_GAP = 64  # rows in a row that are ahead of all others by more than the gap are believed


@dataclass(slots=True)
class Reordered:
    """What became of the rows of one batch and of those that waited.

    Attributes:
        ready: arrivals in order of time.
        late: rows that came late by more than the window.
        jumps: rows far ahead of all that came before and after.
    """

    ready: list[Arrival] = field(default_factory=list)
    late: list[Arrival] = field(default_factory=list)
    jumps: list[Arrival] = field(default_factory=list)


class Reorderer:
    """Puts the rows of one trace in order of time, within a window.

    Attributes:
        out_of_order: rows that came after a later one, late ones among them.
        duplicates: rows that were left out, as another of the window has the same time, sender and name.
        forced: times that the window held too many rows.
    """

    def __init__(
        self, window_us: int = WINDOW_US, max_waiting_rows: int = MAX_WAITING_ROWS, gap_us: int = GAP_US
    ) -> None:
        """Start with an empty window.

        Args:
            window_us: how late a row may come, in microseconds.
            max_waiting_rows: how many rows the window holds before the older half goes out early.
            gap_us: how far ahead of all others a row must be to wait aside, in microseconds.
        """
        self.out_of_order = 0
        self.duplicates = 0
        self.forced = 0
        self._window_us = window_us
        self._gap_us = max(gap_us, window_us)
        self._ahead: list[Arrival] = []
        self._max_waiting_rows = max(2, max_waiting_rows)
        self._latest_us = -1  # of the rows read so far
        self._floor_us = -1  # nothing before it may follow: it went out already
        self._waiting: list[Arrival] = []
        self._sort_at = MIN_SORTED_ROWS

    def push(self, rows: list[Arrival]) -> Reordered:
        """Take rows as they were read; return what is in order now, and what is not taken."""
        done = Reordered()
        waiting, latest, window, gap = self._waiting, self._latest_us, self._window_us, self._gap_us
        for row in rows:  # of millions: the loop keeps its state in local names
            at = row[0]
            if at >= latest:
                if at > latest + gap:
                    latest = self._set_aside(row, latest)
                    continue
                latest = at
            else:
                self.out_of_order += 1
                if at < latest - window or at < self._floor_us:
                    done.late.append(row)
                    continue
            if self._ahead:
                done.jumps += self._ahead
                self._ahead.clear()
            waiting.append(row)
            if len(waiting) >= self._sort_at:
                self._latest_us = latest
                done.ready += self._release(latest - window)
                waiting = self._waiting
        self._latest_us = latest
        return done

    def _set_aside(self, row: Arrival, latest_us: int) -> int:
        """Keep a row that is far ahead; return the latest time, which jumps once enough rows agree."""
        self._ahead.append(row)
        if len(self._ahead) < MIN_ROWS_AFTER_GAP:
            return latest_us
        self._waiting += self._ahead
        latest_us = max(latest_us, *(ahead.at_us for ahead in self._ahead))
        self._ahead.clear()
        return latest_us

    def end(self) -> list[Arrival]:
        """Return all that still waits. Rows far ahead that nothing came after are taken for the trace's own."""
        self._waiting += self._ahead
        self._latest_us = max([self._latest_us, *(row.at_us for row in self._ahead)])
        self._ahead.clear()
        return self._release(self._latest_us + 1)

    def _release(self, before_us: int) -> list[Arrival]:
        waiting = self._waiting
        waiting.sort()
        end = bisect_left(waiting, (before_us,))
        if len(waiting) - end >= self._max_waiting_rows:
            self.forced += 1
            end = len(waiting) - self._max_waiting_rows // 2
            # Equal times stay together, so that a duplicate is never cut off from its twin.
            end = bisect_left(waiting, (waiting[end][0],)) or len(waiting)
        ready, self._waiting = waiting[:end], waiting[end:]
        # Sorted anew when as many have come as wait, so that each row is sorted a few times only.
        still_waiting = len(self._waiting)
        room = self._max_waiting_rows - still_waiting
        self._sort_at = still_waiting + max(MIN_SORTED_ROWS, min(still_waiting, room))
        if ready:
            self._floor_us = max(self._floor_us, ready[-1].at_us + 1)
        return self._without_duplicates(ready)

    def _without_duplicates(self, rows: list[Arrival]) -> list[Arrival]:
        """Leave out duplicates, which lie side by side, as equal times are sorted by sender and name."""
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
