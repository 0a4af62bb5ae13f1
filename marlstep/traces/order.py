"""Order within a bounded window; pure.

A row may come late by up to the window, measured against the latest time read before it. What comes later is
given back as late. Which rows are late depends on the rows alone, not on how they were cut into batches.

One wrong time far ahead must not make all that follows late. A row further ahead than `gap` waits aside until it
is known what it is: if SURE rows in a row are as far ahead the trace has a gap, and if one that is not comes first,
those that waited were wrong.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field

from marlstep.traces.rows import Arrival

WINDOW_US = 10_000_000  # where the format does not name a longer one
MOST_WAITING = 100_000  # rows inside the window, some 40 MB; beyond it the older half goes out early
LEAST_SORTED = 8_192
GAP_US = 86_400_000_000  # no trace is silent for a day
SURE = 64  # rows in a row that are ahead of all others by more than the gap are believed


@dataclass(slots=True)
class Ordered:
    ready: list[Arrival] = field(default_factory=list)
    late: list[Arrival] = field(default_factory=list)  # by more than the window
    jumps: list[Arrival] = field(default_factory=list)  # far ahead of all that came before and after


class Reorder:
    def __init__(self, window_us: int = WINDOW_US, most: int = MOST_WAITING, gap_us: int = GAP_US) -> None:
        self.out_of_order = 0  # rows that came after a later one, late ones among them
        self.duplicates = 0  # left out: the same sender, name and time as another row of the window
        self.forced = 0  # times that the window held more than `most`
        self._window = window_us
        self._gap = max(gap_us, window_us)
        self._ahead: list[Arrival] = []
        self._most = max(2, most)
        self._high = -1  # the latest time read so far
        self._floor = -1  # nothing before it may follow: it went out already
        self._waiting: list[Arrival] = []
        self._sort_at = LEAST_SORTED

    def push(self, rows: list[Arrival]) -> Ordered:
        """Rows as they were read; gives what is in order now, and what is not taken."""
        done = Ordered()
        waiting, high, window, gap = self._waiting, self._high, self._window, self._gap
        for row in rows:
            at = row[0]
            if at >= high:
                if at > high + gap:
                    self._ahead.append(row)
                    if len(self._ahead) >= SURE:
                        waiting += self._ahead
                        high = max(high, *(one[0] for one in self._ahead))
                        self._ahead.clear()
                    continue
                high = at
            else:
                self.out_of_order += 1
                if at < high - window or at < self._floor:
                    done.late.append(row)
                    continue
            if self._ahead:
                done.jumps += self._ahead
                self._ahead.clear()
            waiting.append(row)
            if len(waiting) >= self._sort_at:
                self._high = high
                done.ready += self._release(high - window)
                waiting = self._waiting
        self._high = high
        return done

    def end(self) -> list[Arrival]:
        """All that still waits. Rows far ahead that nothing came after are taken for the trace's own."""
        self._waiting += self._ahead
        self._high = max([self._high, *(row[0] for row in self._ahead)])
        self._ahead.clear()
        return self._release(self._high + 1)

    def _release(self, before: int) -> list[Arrival]:
        waiting = self._waiting
        waiting.sort()
        cut = bisect_left(waiting, (before,))
        if len(waiting) - cut >= self._most:
            self.forced += 1
            cut = len(waiting) - self._most // 2
            # Equal times stay together, so that a duplicate is never cut off from its twin.
            cut = bisect_left(waiting, (waiting[cut][0],)) or len(waiting)
        ready, self._waiting = waiting[:cut], waiting[cut:]
        # Sorted anew when as many have come as wait, so that each row is sorted a few times only.
        kept = len(self._waiting)
        self._sort_at = kept + max(LEAST_SORTED, min(kept, self._most - kept))
        if ready:
            self._floor = max(self._floor, ready[-1][0] + 1)
        return self._without_twins(ready)

    def _without_twins(self, rows: list[Arrival]) -> list[Arrival]:
        """Twins lie side by side, as equal times are sorted by sender and name."""
        kept: list[Arrival] = []
        keep = kept.append
        last: tuple[object, ...] = ()
        for row in rows:
            this = row[:3]
            if this == last and row[2]:
                self.duplicates += 1
            else:
                keep(row)
                last = this
        return kept
