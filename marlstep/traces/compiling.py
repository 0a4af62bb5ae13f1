"""Compilation of a trace to a schedule: cutting, thinning, time compression, and their effect on the load."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path

from blake3 import blake3

from marlstep.errors import MarlstepError
from marlstep.traces.cutting import (
    Counts,
    Section,
    busiest_sections,
    compress_time,
    cut_sections,
    factor_for_load,
    share_for_rate,
    thin_senders,
)
from marlstep.traces.mapping import Mapper, MappingSettings, PlannedRequest
from marlstep.traces.reading import Reading
from marlstep.traces.schedule import ScheduleWriter
from marlstep.traces.settings_digest import settings_digest

MIN_DURATION_S = 1e-6
NO_MAPPED_ARRIVAL = "expected at least one arrival that is mapped to a class, got none in the trace"
NO_ARRIVAL_IN_SECTIONS = "expected at least one arrival in the selected sections of the trace, got none"

MakeReading = Callable[[], Reading]
Requests = Iterator[PlannedRequest]


class NoArrivalsError(MarlstepError):
    """A trace, or the selected part of it, contains no usable arrival."""

    @classmethod
    def in_parts(cls, parts: Sequence[str]) -> NoArrivalsError:
        """Return the error for a trace whose parts contain no arrival at all."""
        return cls(f"{', '.join(parts)}: expected at least one arrival, got none")


@dataclass(slots=True, frozen=True)
class Cut:
    """Selection of a part of a trace, and its scaling. The field names are keys in the header of a schedule.

    Attributes:
        from_us: Start of the part, in microseconds since the first arrival.
        for_us: Length of the part, in microseconds; None for the rest of the trace.
        busiest_us: Length of each of the busiest sections, in microseconds; if set, replaces `from_us` and `for_us`.
        peaks: Number of busiest sections, which are joined in order of time.
        rate: Target rate after thinning and before compression, in arrivals per second; None to use `keep`.
        keep: Share of the senders that is kept, if `rate` is None.
        compress: Factor by which time is compressed, if `load` is None.
        load: Target ratio of the offered work to the capacity of `cores`; None to use `compress`.
        cores: Number of cores that `load` refers to.
    """

    from_us: int = 0
    for_us: int | None = None
    busiest_us: int | None = None
    peaks: int = 1
    rate: float | None = None
    keep: float = 1.0
    compress: float = 1.0
    load: float | None = None
    cores: float = 6.0


@dataclass(slots=True)
class Compiled:
    """Result of a compilation. The field names are keys in the header of a schedule and in a report.

    Attributes:
        sections: Sections of the trace that the schedule contains.
        keep: Share of the senders that was kept.
        compress: Factor by which time was compressed.
        requests: Number of requests in the schedule.
        seconds: Length of the schedule, in seconds.
        work_s: Work of all requests, in seconds on one core.
        by_class: Number of requests by class.
        dropped: Number of rows that no rule matched, by category of the trace.
        dispersion_trace: Index of dispersion of the arrivals per second of the whole trace.
        dispersion_cut: Index of dispersion after cutting.
        dispersion_thinned: Index of dispersion after thinning.
        dispersion: Index of dispersion of the schedule, after compression.
    """

    sections: list[Section] = field(default_factory=list)
    keep: float = 1.0
    compress: float = 1.0
    requests: int = 0
    seconds: float = 0.0
    work_s: float = 0.0
    by_class: dict[str, int] = field(default_factory=dict)
    dropped: dict[str, int] = field(default_factory=dict)
    dispersion_trace: float = 0.0
    dispersion_cut: float = 0.0
    dispersion_thinned: float = 0.0
    dispersion: float = 0.0


def compile_trace(
    make_reading: MakeReading, settings: MappingSettings, seed: int, cut: Cut, path: str
) -> tuple[Compiled, Reading]:
    """Compile a part of a trace; return the result, and the first reading with its account.

    The trace is read once to count its arrivals, once more each if a target rate or a target load is set, and once
    to write the schedule. Its parts must therefore be files, not standard input.

    Args:
        make_reading: Returns a new reading of the trace.
        settings: How rows are mapped to requests.
        seed: Key of the hashes of senders and tenants.
        cut: Selection and scaling of the trace.
        path: Path of the schedule to be written.

    Raises:
        NoArrivalsError: The trace, or the selected part, has no arrival that is mapped to a class.
        OSError: The file of the schedule can't be created or written.
        ScheduleError: The schedule exceeds a limit of its format.
        SourceError: A part of the trace can't be opened or read.
        StrictReadingError: A row is bad and the reading is strict.
    """
    source = _RequestSource(make_reading, settings, seed)
    counts, reading, sources = source.survey()
    compiled = Compiled(
        sections=choose_sections(counts, cut),
        keep=cut.keep,
        compress=cut.compress,
        dispersion_trace=counts.dispersion(),
    )
    covered_s = _covered_s(compiled.sections, counts)
    if cut.rate is not None:
        compiled.keep = share_for_rate(source.count_requests(compiled.sections), covered_s, cut.rate)
    if cut.load is not None:
        work_us = source.sum_work_us(compiled.sections, compiled.keep)
        compiled.compress = factor_for_load(work_us, covered_s, cut.cores, cut.load)
    compiled.seconds = covered_s / compiled.compress
    header: dict[str, object] = {
        "format": reading.format.name,
        "seed": seed,
        "sources": sources,
        "settings": settings_digest(settings),
    }
    with ScheduleWriter(path, header) as writer:
        _write_requests(writer, source, compiled)
        writer.finish({**header, "compiled": asdict(compiled), "cut": asdict(cut)})
    return compiled, reading


def choose_sections(counts: Counts, cut: Cut) -> list[Section]:
    """Return the busiest sections if `cut` asks for them, otherwise the one section from its start to its end."""
    if cut.busiest_us is not None:
        return busiest_sections(counts, cut.busiest_us, cut.peaks)
    length_us = cut.for_us if cut.for_us is not None else max(1, counts.duration_us - cut.from_us)
    return [Section(cut.from_us, length_us)]


def _covered_s(sections: list[Section], counts: Counts) -> float:
    """Return how much of the trace the sections cover, in seconds."""
    covered_us = sum(
        max(0, min(section.end_us, counts.duration_us) - section.start_us) for section in sections
    )
    return max(MIN_DURATION_S, covered_us / 1e6)


@dataclass(slots=True, frozen=True)
class _RequestSource:
    """Mapped requests of a trace; each query reads the trace again."""

    make_reading: MakeReading
    settings: MappingSettings
    seed: int

    def new_mapper(self) -> Mapper:
        return Mapper(self.settings, self.seed)

    def survey(self) -> tuple[Counts, Reading, dict[str, object]]:
        """Read the whole trace; return its counts, the reading, and the identification of its parts."""
        reading = self.make_reading()
        source_hasher = _SourceHasher()
        reading.on_raw = source_hasher
        counts = Counts()
        for request in map_requests(reading, self.new_mapper()):
            counts.add(request.at_us, request.work_us)
        if not counts.total:
            raise NoArrivalsError(NO_MAPPED_ARRIVAL)
        return counts, reading, source_hasher.identify(reading)

    def requests_in(self, sections: list[Section], mapper: Mapper) -> Requests:
        """Read the trace again and yield the requests of the sections."""
        return cut_sections(map_requests(self.make_reading(), mapper), sections)

    def count_requests(self, sections: list[Section]) -> int:
        """Return the number of requests in the sections."""
        return sum(1 for _ in self.requests_in(sections, self.new_mapper()))

    def sum_work_us(self, sections: list[Section], keep: float) -> int:
        """Return the work of the sections after thinning, in microseconds on one core."""
        requests = self.requests_in(sections, self.new_mapper())
        return sum(request.work_us for request in thin_senders(requests, keep))


class _SourceHasher:
    """Hashes the bytes of a trace as they are read."""

    def __init__(self) -> None:
        self._digest = blake3()
        self._size = 0

    def __call__(self, data: bytes) -> None:
        self._digest.update(data)
        self._size += len(data)

    def identify(self, reading: Reading) -> dict[str, object]:
        """Return the entry of a schedule's header that identifies the sources."""
        return {
            "parts": [Path(part).name for part in reading.parts],
            "bytes": self._size,
            "blake3": self._digest.hexdigest(),
        }


def map_requests(reading: Reading, mapper: Mapper) -> Requests:
    """Yield the mapped requests of a reading; their times count from its first arrival."""
    start_us: int | None = None
    for batch in reading.batches():
        for row in batch:
            if start_us is None:
                start_us = row.at_us
            request = mapper.map(row, start_us)
            if request is not None:
                yield request


def _write_requests(writer: ScheduleWriter, source: _RequestSource, compiled: Compiled) -> None:
    """Write the cut, thinned and compressed requests, and set the totals in `compiled`."""
    mapper = source.new_mapper()
    after_cut, after_thinning, after_compression = Counts(), Counts(), Counts()
    by_class: Counter[str] = Counter()
    requests = _count_while_reading(source.requests_in(compiled.sections, mapper), after_cut)
    requests = _count_while_reading(thin_senders(requests, compiled.keep), after_thinning)
    for request in _count_while_reading(compress_time(requests, compiled.compress), after_compression):
        by_class[request.request_class] += 1
        writer.add((request,))
    if not after_compression.total:
        raise NoArrivalsError(NO_ARRIVAL_IN_SECTIONS)
    compiled.requests = after_compression.total
    compiled.by_class = dict(by_class)
    compiled.dropped = dict(mapper.dropped)
    compiled.work_s = after_compression.work_us / 1e6
    compiled.dispersion_cut = after_cut.dispersion()
    compiled.dispersion_thinned = after_thinning.dispersion()
    compiled.dispersion = after_compression.dispersion()


def _count_while_reading(requests: Requests, counts: Counts) -> Requests:
    for request in requests:
        counts.add(request.at_us, request.work_us)
        yield request
