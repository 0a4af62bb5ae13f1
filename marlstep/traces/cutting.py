"""A part of a trace, and how much of it; pure.

Time compression keeps the order and the shape, and raises the rate. Thinning keeps or drops a sender as a whole, by
a keyed hash of its name, so that its bursts and its retries keep their shape. What each does to burstiness
is shown by the index of dispersion: the variance of the counts in equal spans over their mean; 1 for a Poisson
stream, more for bursts.
"""

from __future__ import annotations

import math
from array import array
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from marlstep.traces.mapping import PlannedRequest

INTERVAL_US = 1_000_000  # of the counts by which peaks are found and burstiness is measured
MAX_INTERVALS = 8_000_000  # three months of seconds
HASH_ONE = 1 << 64


class Counts:
    """Arrivals and work in each interval of a trace.

    Attributes:
        interval_us: the length of an interval, in microseconds.
        arrivals: arrivals, by interval.
        work_us: the work of all arrivals, in microseconds on one core.
        total: all arrivals.
        beyond: arrivals past the last interval that is counted by itself.
    """

    def __init__(self, interval_us: int = INTERVAL_US) -> None:
        """Start with no arrivals."""
        self.interval_us = interval_us
        self.arrivals = array("L")
        self.work_us = 0
        self.total = 0
        self.beyond = 0

    def add(self, at_us: int, work_us: int = 0) -> None:
        """Count an arrival, by its time since the start."""
        index = at_us // self.interval_us
        self.total += 1
        self.work_us += work_us
        if index >= len(self.arrivals):
            if index >= MAX_INTERVALS:
                self.beyond += 1
                return
            self.arrivals.extend([0] * (index + 1 - len(self.arrivals)))
        self.arrivals[index] += 1

    @property
    def duration_us(self) -> int:
        """From the start to the end of the last interval with an arrival, in microseconds."""
        return len(self.arrivals) * self.interval_us

    @property
    def seconds(self) -> float:
        """The same, in seconds."""
        return self.duration_us / 1e6

    def dispersion(self) -> float:
        """Return the index of dispersion; 0 where there is nothing to count."""
        return dispersion_index(self.arrivals)


def dispersion_index(counts: Sequence[int]) -> float:
    """Return the variance of the counts over their mean; 0 where there are fewer than two, or all are 0."""
    size = len(counts)
    if size < 2 or not any(counts):
        return 0.0
    mean = sum(counts) / size
    variance = sum((count - mean) ** 2 for count in counts) / (size - 1)
    return variance / mean


@dataclass(slots=True, frozen=True)
class Section:
    """A part of the trace, in microseconds since its start."""

    start_us: int
    length_us: int

    @property
    def end_us(self) -> int:
        """Where the next section may begin."""
        return self.start_us + self.length_us


def busiest_sections(counts: Counts, length_us: int, number: int) -> list[Section]:
    """Return the busiest sections of a length that don't overlap, in order of time."""
    width = max(1, round(length_us / counts.interval_us))
    values = counts.arrivals
    if len(values) <= width:
        return [Section(0, length_us)]
    sums = array("Q", [sum(values[:width])])
    for index in range(width, len(values)):
        sums.append(sums[-1] + values[index] - values[index - width])
    starts = _highest_apart(sums, width, number)
    return [Section(start * counts.interval_us, length_us) for start in starts]


def _highest_apart(sums: Sequence[int], width: int, number: int) -> list[int]:
    """Return the indices of the highest sums, each `width` or more from the others; of equals the first."""
    found: list[int] = []
    for index in sorted(range(len(sums)), key=lambda index: (-sums[index], index)):
        if all(abs(index - other) >= width for other in found):
            found.append(index)
            if len(found) >= number:
                break
    return sorted(found)


def cut_sections(rows: Iterator[PlannedRequest], sections: Sequence[Section]) -> Iterator[PlannedRequest]:
    """Yield the requests of the sections, one section after another without a gap."""
    index = 0
    taken_us = 0
    for row in rows:
        while index < len(sections) and row.at_us >= sections[index].end_us:
            taken_us += sections[index].length_us
            index += 1
        if index >= len(sections):
            return
        section = sections[index]
        if row.at_us >= section.start_us:
            yield row._replace(at_us=row.at_us - section.start_us + taken_us)


def thin_senders(rows: Iterator[PlannedRequest], share: float) -> Iterator[PlannedRequest]:
    """Yield the requests of this share of the senders, each sender complete; `sender` is a keyed hash already."""
    bound = math.ceil(share * HASH_ONE)
    for row in rows:
        if row.sender < bound:
            yield row


def compress_time(rows: Iterator[PlannedRequest], factor: float) -> Iterator[PlannedRequest]:
    """Yield the requests with time running `factor` times as fast."""
    for row in rows:
        yield row._replace(at_us=int(row.at_us / factor))


def repeat(
    make: Callable[[], Iterator[PlannedRequest]], period_us: int, length_us: int
) -> Iterator[PlannedRequest]:
    """Yield a stream that lasts `period_us` again and again, until `length_us` is full; cut it off there."""
    shift_us = 0
    while shift_us < length_us:
        is_empty = True
        for row in make():
            at_us = row.at_us + shift_us
            if at_us >= length_us:
                return
            is_empty = False
            yield row._replace(at_us=at_us)
        if is_empty:
            return
        shift_us += max(1, period_us)


def share_for_rate(total: int, seconds: float, rate: float) -> float:
    """Return the share of the senders that brings a trace down to `rate` arrivals a second; 1 where it has fewer."""
    if rate <= 0 or total <= 0 or seconds <= 0:
        return 1.0
    return min(1.0, rate * seconds / total)


def factor_for_load(work_us: int, seconds: float, cores: float, load: float) -> float:
    """Return the compression at which the offered work is `load` times the capacity of `cores`."""
    if work_us <= 0 or seconds <= 0:
        return 1.0
    return load * cores / (work_us / 1e6 / seconds)
