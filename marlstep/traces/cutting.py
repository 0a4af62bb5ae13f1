"""Selection, thinning and time compression of a trace. No I/O.

Time compression raises the rate and keeps the order and relative spacing of requests. Thinning keeps or drops all
requests of a sender, by a keyed hash of its name, so that the pattern of its bursts and retries is preserved. The
index of dispersion shows how each step changes the burstiness: it is the variance of the counts in equal intervals
divided by their mean, which is 1 for a Poisson process and higher for bursty traffic.
"""

from __future__ import annotations

import math
from array import array
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from marlstep.traces.mapping import PlannedRequest

INTERVAL_US = 1_000_000  # interval of the counts used to find peaks and to measure burstiness
MAX_INTERVALS = 8_000_000  # three months at one second each
HASH_RANGE = 1 << 64  # number of values of a sender's hash


class Counts:
    """Arrivals and work in each interval of a trace.

    Attributes:
        interval_us: Length of an interval, in microseconds.
        arrivals: Number of arrivals in each interval.
        work_us: Work of all arrivals, in microseconds on one core.
        total: Number of all arrivals.
        beyond: Number of arrivals after the first MAX_INTERVALS intervals; they are missing from `arrivals`.
    """

    def __init__(self, interval_us: int = INTERVAL_US) -> None:
        """Initialize the counts with no arrivals."""
        self.interval_us = interval_us
        self.arrivals = array("L")
        self.work_us = 0
        self.total = 0
        self.beyond = 0

    def add(self, at_us: int, work_us: int = 0) -> None:
        """Count an arrival at `at_us` microseconds since the start, with its work in microseconds on one core."""
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
        """Time from the start to the end of the last interval with an arrival, in microseconds."""
        return len(self.arrivals) * self.interval_us

    @property
    def seconds(self) -> float:
        """Time from the start to the end of the last interval with an arrival, in seconds."""
        return self.duration_us / 1e6

    def dispersion(self) -> float:
        """Return the index of dispersion of the arrivals per interval; 0 if there are no arrivals."""
        return dispersion_index(self.arrivals)


def dispersion_index(counts: Sequence[int]) -> float:
    """Return the variance of the counts divided by their mean; 0 for fewer than two counts or if all are 0."""
    size = len(counts)
    if size < 2 or not any(counts):
        return 0.0
    mean = sum(counts) / size
    variance = sum((count - mean) ** 2 for count in counts) / (size - 1)
    return variance / mean


@dataclass(slots=True, frozen=True)
class Section:
    """An interval of the trace; times are in microseconds since the start of the trace."""

    start_us: int
    length_us: int

    @property
    def end_us(self) -> int:
        """End of the section (exclusive), in microseconds since the start of the trace."""
        return self.start_us + self.length_us


def busiest_sections(counts: Counts, length_us: int, max_count: int) -> list[Section]:
    """Return up to `max_count` busiest sections of `length_us` microseconds that don't overlap, in order of time."""
    width = max(1, round(length_us / counts.interval_us))
    values = counts.arrivals
    if len(values) <= width:
        return [Section(0, length_us)]
    sums = array("Q", [sum(values[:width])])
    for index in range(width, len(values)):
        sums.append(sums[-1] + values[index] - values[index - width])
    starts = _highest_sums_apart(sums, width, max_count)
    return [Section(start * counts.interval_us, length_us) for start in starts]


def _highest_sums_apart(sums: Sequence[int], width: int, max_count: int) -> list[int]:
    """Return the sorted indices of the highest sums that are at least `width` apart; the first of equal sums wins."""
    found: list[int] = []
    for index in sorted(range(len(sums)), key=lambda index: (-sums[index], index)):
        if all(abs(index - other) >= width for other in found):
            found.append(index)
            if len(found) >= max_count:
                break
    return sorted(found)


def cut_sections(rows: Iterator[PlannedRequest], sections: Sequence[Section]) -> Iterator[PlannedRequest]:
    """Yield the requests of the sections, which are joined without gaps."""
    index = 0
    joined_us = 0
    for row in rows:
        while index < len(sections) and row.at_us >= sections[index].end_us:
            joined_us += sections[index].length_us
            index += 1
        if index >= len(sections):
            return
        section = sections[index]
        if row.at_us >= section.start_us:
            yield row._replace(at_us=row.at_us - section.start_us + joined_us)


def thin_senders(rows: Iterator[PlannedRequest], share: float) -> Iterator[PlannedRequest]:
    """Yield all requests of the given share of senders; `sender` is a uniformly distributed keyed hash."""
    bound = math.ceil(share * HASH_RANGE)
    for row in rows:
        if row.sender < bound:
            yield row


def compress_time(rows: Iterator[PlannedRequest], factor: float) -> Iterator[PlannedRequest]:
    """Yield the requests with their times divided by `factor`."""
    for row in rows:
        yield row._replace(at_us=int(row.at_us / factor))


def repeat(
    make: Callable[[], Iterator[PlannedRequest]], period_us: int, length_us: int
) -> Iterator[PlannedRequest]:
    """Repeat a stream of `period_us` microseconds, and yield its requests up to `length_us` microseconds.

    Args:
        make: Returns a new iterator over the stream.
        period_us: Length of the stream, in microseconds.
        length_us: Length of the result, in microseconds.
    """
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
    """Return the share of senders that reduces the rate of a trace to a target; 1 if its rate is lower.

    Args:
        total: Number of arrivals.
        seconds: Time in which they occur, in seconds.
        rate: Target, in arrivals per second.
    """
    if rate <= 0 or total <= 0 or seconds <= 0:
        return 1.0
    return min(1.0, rate * seconds / total)


def factor_for_load(work_us: int, seconds: float, cores: float, load: float) -> float:
    """Return the time compression factor at which the offered work is `load` times the capacity of `cores`.

    Args:
        work_us: Offered work, in microseconds on one core.
        seconds: Time in which it is offered before compression, in seconds.
        cores: Number of cores.
        load: Target ratio of the offered work to the capacity.
    """
    if work_us <= 0 or seconds <= 0:
        return 1.0
    return load * cores / (work_us / 1e6 / seconds)
