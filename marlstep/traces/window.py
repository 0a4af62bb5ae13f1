"""A part of a trace, and how much of it; pure.

Time compression keeps the order and the shape, and raises the rate. Thinning keeps or drops a sender as a whole, by
a keyed hash of who it is, so that its bursts and its repeated tries keep their shape. What each does to burstiness
is told by the index of dispersion: the variance of the counts in equal spans over their mean; 1 for a Poisson
stream, more for bursts.
"""

from __future__ import annotations

import math
from array import array
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from marlstep.traces.mapping import Planned

SPAN_US = 1_000_000  # of the counts by which peaks are looked for and burstiness is told
MOST_SPANS = 8_000_000  # three months of seconds
HASH_ONE = 1 << 64


class Counts:
    """Arrivals and work in each second of a trace."""

    def __init__(self, span_us: int = SPAN_US) -> None:
        self.span_us = span_us
        self.arrivals = array("L")
        self.work_us = 0
        self.total = 0
        self.beyond = 0  # arrivals past the last span that is kept

    def add(self, at_us: int, work_us: int = 0) -> None:
        at = at_us // self.span_us
        self.total += 1
        self.work_us += work_us
        if at >= len(self.arrivals):
            if at >= MOST_SPANS:
                self.beyond += 1
                return
            self.arrivals.extend([0] * (at + 1 - len(self.arrivals)))
        self.arrivals[at] += 1

    @property
    def seconds(self) -> float:
        return len(self.arrivals) * self.span_us / 1e6

    def dispersion(self) -> float:
        """Index of dispersion; 0 where there is nothing to count."""
        return dispersion(self.arrivals)


def dispersion(counts: Sequence[int]) -> float:
    number = len(counts)
    if number < 2 or not any(counts):
        return 0.0
    mean = sum(counts) / number
    return sum((count - mean) ** 2 for count in counts) / (number - 1) / mean


@dataclass(slots=True, frozen=True)
class Section:
    """A stretch of the trace, in microseconds since its start."""

    start_us: int
    length_us: int

    @property
    def end_us(self) -> int:
        return self.start_us + self.length_us


def busiest(counts: Counts, length_us: int, number: int) -> list[Section]:
    """The `number` busiest stretches that don't overlap, in order of time."""
    width = max(1, round(length_us / counts.span_us))
    values = counts.arrivals
    if len(values) <= width:
        return [Section(0, length_us)]
    sums = array("Q", [sum(values[:width])])
    for at in range(width, len(values)):
        sums.append(sums[-1] + values[at] - values[at - width])
    found: list[int] = []
    # The highest first, of equals the first; a stretch that overlaps a higher one is passed over.
    for at in sorted(range(len(sums)), key=lambda at: (-sums[at], at)):
        if all(abs(at - other) >= width for other in found):
            found.append(at)
            if len(found) >= number:
                break
    return [Section(at * counts.span_us, length_us) for at in sorted(found)]


def cut(rows: Iterator[Planned], sections: Sequence[Section]) -> Iterator[Planned]:
    """The rows of the sections, one section after another without a gap."""
    shift, index = 0, 0
    taken_us = 0
    for row in rows:
        while index < len(sections) and row.at_us >= sections[index].end_us:
            taken_us += sections[index].length_us
            index += 1
        if index >= len(sections):
            return
        section = sections[index]
        if row.at_us >= section.start_us:
            shift = taken_us - section.start_us
            yield row._replace(at_us=row.at_us + shift)


def thinned(rows: Iterator[Planned], share: float) -> Iterator[Planned]:
    """Keep this share of the senders, each whole. `sender` is a keyed hash already."""
    bound = math.ceil(share * HASH_ONE)
    for row in rows:
        if row.sender < bound:
            yield row


def compressed(rows: Iterator[Planned], factor: float) -> Iterator[Planned]:
    """Time runs `factor` times as fast."""
    for row in rows:
        yield row._replace(at_us=int(row.at_us / factor))


def repeated(make: Callable[[], Iterator[Planned]], period_us: int, length_us: int) -> Iterator[Planned]:
    """A stream that lasts `period_us`, again and again until `length_us` is full; cut off there."""
    shift = 0
    while shift < length_us:
        empty = True
        for row in make():
            at = row.at_us + shift
            if at >= length_us:
                return
            empty = False
            yield row._replace(at_us=at)
        if empty:
            return
        shift += max(1, period_us)


def share_for_rate(total: int, seconds: float, rate: float) -> float:
    """The share of the senders that brings a trace down to `rate` arrivals a second; 1 where it has fewer."""
    if rate <= 0 or total <= 0 or seconds <= 0:
        return 1.0
    return min(1.0, rate * seconds / total)


def factor_for_load(work_us: int, seconds: float, cores: float, load: float) -> float:
    """The compression at which the work asked for is `load` times what `cores` can do."""
    if work_us <= 0 or seconds <= 0:
        return 1.0
    return load * cores / (work_us / 1e6 / seconds)
