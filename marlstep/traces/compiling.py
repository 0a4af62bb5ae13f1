"""From a trace to a compiled schedule: which part, how thinned and compressed, and what that did to the load."""

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
NONE_MAPPED = "no arrival in it that is mapped to a class"
NONE_IN_SECTIONS = "no arrival in that part of the trace"

MakeReading = Callable[[], Reading]
Requests = Iterator[PlannedRequest]


class NoArrivalsError(MarlstepError):
    """A trace, or the part of it that was asked for, holds no arrival that could be used."""

    @classmethod
    def in_parts(cls, parts: Sequence[str]) -> NoArrivalsError:
        """Name the parts of a trace without any arrival."""
        return cls(f"{', '.join(parts)}: no arrival in it")


@dataclass(slots=True, frozen=True)
class Cut:
    """Which part of a trace, and how much of it. The names of the fields are keys of a schedule's head.

    Attributes:
        from_us: where the part begins, in microseconds since the first arrival.
        for_us: its length, in microseconds; None to the end of the trace.
        busiest_us: in place of the two, the length of the busiest sections.
        peaks: how many busiest sections, one after another.
        rate: arrivals a second after thinning, before compression.
        keep: the share of the senders, where no rate is given.
        compress: how many times as fast time runs, where no load is given.
        load: the offered work over the capacity of `cores`.
        cores: what the load refers to.
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
    """What a compilation did. The names of the fields are keys of a schedule's head and of a report.

    Attributes:
        sections: the parts of the trace.
        keep: the share of the senders.
        compress: how many times as fast time runs.
        requests: requests of the schedule.
        seconds: its length.
        work_s: the work of all requests, in seconds on one core.
        by_class: requests, by class.
        dropped: rows that no rule matched, by category of the trace.
        dispersion_trace: the index of dispersion of the whole trace, in counts a second.
        dispersion_cut: of the sections.
        dispersion_thinned: of the senders that were kept.
        dispersion: of the schedule, after compression.
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
    """Compile a part of a trace; return what that did, and the first reading with its account.

    The trace is read once for its counts, up to twice more where a rate or a load is asked for, and once to write
    the schedule. So its parts must be files.

    Args:
        make_reading: begins a new reading.
        settings: how rows become requests.
        seed: keys the hashes of senders and tenants.
        cut: which part, and how much of it.
        path: where the schedule goes.

    Raises:
        NoArrivalsError: there is nothing to compile.
        ScheduleError: the schedule can't be written.
        SourceError: a part can't be read.
        StrictReadingError: a row is bad, and the reading is strict.
    """
    source = _Source(make_reading, settings, seed)
    counts, reading, sources = source.survey()
    compiled = Compiled(
        sections=choose_sections(counts, cut),
        keep=cut.keep,
        compress=cut.compress,
        dispersion_trace=counts.dispersion(),
    )
    section_s = _sections_s(compiled.sections, counts)
    if cut.rate is not None:
        compiled.keep = share_for_rate(source.total_in(compiled.sections), section_s, cut.rate)
    if cut.load is not None:
        work_us = source.work_in(compiled.sections, compiled.keep)
        compiled.compress = factor_for_load(work_us, section_s, cut.cores, cut.load)
    compiled.seconds = section_s / compiled.compress
    head: dict[str, object] = {
        "format": reading.format.name,
        "seed": seed,
        "sources": sources,
        "settings": settings_digest(settings),
    }
    with ScheduleWriter(path, head) as writer:
        _write_requests(writer, source, compiled)
        writer.finish({**head, "compiled": asdict(compiled), "cut": asdict(cut)})
    return compiled, reading


def choose_sections(counts: Counts, cut: Cut) -> list[Section]:
    """Return the sections of a trace: the busiest where these are asked for, else one from start to end."""
    if cut.busiest_us is not None:
        return busiest_sections(counts, cut.busiest_us, cut.peaks)
    length_us = cut.for_us if cut.for_us is not None else max(1, counts.duration_us - cut.from_us)
    return [Section(cut.from_us, length_us)]


def _sections_s(sections: list[Section], counts: Counts) -> float:
    """Return the seconds of the trace that the sections cover."""
    covered_us = sum(
        max(0, min(section.end_us, counts.duration_us) - section.start_us) for section in sections
    )
    return max(MIN_DURATION_S, covered_us / 1e6)


@dataclass(slots=True, frozen=True)
class _Source:
    """The requests of a trace, as often as they are asked for."""

    make_reading: MakeReading
    settings: MappingSettings
    seed: int

    def new_mapper(self) -> Mapper:
        return Mapper(self.settings, self.seed)

    def survey(self) -> tuple[Counts, Reading, dict[str, object]]:
        """Read the whole trace; return its counts, the reading, and what identifies the parts."""
        reading = self.make_reading()
        tap = _Tap()
        reading.on_raw = tap
        counts = Counts()
        for request in map_requests(reading, self.new_mapper()):
            counts.add(request.at_us, request.work_us)
        if not counts.total:
            raise NoArrivalsError(NONE_MAPPED)
        return counts, reading, tap.identify(reading)

    def requests_in(self, sections: list[Section], mapper: Mapper) -> Requests:
        """Read the sections anew."""
        return cut_sections(map_requests(self.make_reading(), mapper), sections)

    def total_in(self, sections: list[Section]) -> int:
        """Return the requests of the sections."""
        return sum(1 for _ in self.requests_in(sections, self.new_mapper()))

    def work_in(self, sections: list[Section], keep: float) -> int:
        """Return the work of the sections after thinning, in microseconds on one core."""
        requests = self.requests_in(sections, self.new_mapper())
        return sum(request.work_us for request in thin_senders(requests, keep))


class _Tap:
    """Hashes the bytes of a trace as they are read."""

    def __init__(self) -> None:
        self._digest = blake3()
        self._size = 0

    def __call__(self, data: bytes) -> None:
        self._digest.update(data)
        self._size += len(data)

    def identify(self, reading: Reading) -> dict[str, object]:
        """Return the part of a schedule's head that names its sources."""
        return {
            "parts": [Path(part).name for part in reading.parts],
            "bytes": self._size,
            "blake3": self._digest.hexdigest(),
        }


def map_requests(reading: Reading, mapper: Mapper) -> Requests:
    """Yield the mapped requests of a reading, with times since the first arrival."""
    start_us: int | None = None
    for batch in reading.batches():
        for row in batch:
            if start_us is None:
                start_us = row.at_us
            request = mapper.map(row, start_us)
            if request is not None:
                yield request


def _write_requests(writer: ScheduleWriter, source: _Source, compiled: Compiled) -> None:
    """Write the cut, thinned and compressed requests, and fill in what they came to."""
    mapper = source.new_mapper()
    after_cut, after_thinning, after_compression = Counts(), Counts(), Counts()
    by_class: Counter[str] = Counter()
    requests = _count(source.requests_in(compiled.sections, mapper), after_cut)
    requests = _count(thin_senders(requests, compiled.keep), after_thinning)
    for request in _count(compress_time(requests, compiled.compress), after_compression):
        by_class[request.request_class] += 1
        writer.add((request,))
    if not after_compression.total:
        raise NoArrivalsError(NONE_IN_SECTIONS)
    compiled.requests = after_compression.total
    compiled.by_class = dict(by_class)
    compiled.dropped = dict(mapper.dropped)
    compiled.work_s = after_compression.work_us / 1e6
    compiled.dispersion_cut = after_cut.dispersion()
    compiled.dispersion_thinned = after_thinning.dispersion()
    compiled.dispersion = after_compression.dispersion()


def _count(requests: Requests, counts: Counts) -> Requests:
    for request in requests:
        counts.add(request.at_us, request.work_us)
        yield request
