"""From a trace to a compiled schedule: what to read twice, what to cut, and what it did to the load."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import orjson
from blake3 import blake3

from marlstep.traces.mapping import Mapper, MappingSettings, Planned
from marlstep.traces.reading import Reading
from marlstep.traces.schedule import Writer
from marlstep.traces.window import (
    SPAN_US,
    Counts,
    Section,
    busiest,
    compressed,
    cut,
    factor_for_load,
    share_for_rate,
    thinned,
)


class CompileError(Exception):
    """Why there is nothing to compile, in one line."""


@dataclass(slots=True, frozen=True)
class Cut:
    """Which part of a trace, and how much of it. Times are microseconds."""

    from_us: int = 0  # since the first arrival
    for_us: int | None = None
    busiest_us: int | None = None  # in place of from and for: the busiest stretches
    peaks: int = 1
    rate: float | None = None  # arrivals a second after thinning, before compression
    keep: float = 1.0  # share of the senders, where no rate is given
    compress: float = 1.0
    load: float | None = None  # in place of compress: work asked for over what `cores` can do
    cores: float = 6.0


@dataclass(slots=True)
class Compiled:
    """What a compilation did, for the report and the head of the file."""

    sections: list[Section] = field(default_factory=list)
    keep: float = 1.0
    compress: float = 1.0
    requests: int = 0
    seconds: float = 0.0
    work_s: float = 0.0
    by_class: dict[str, int] = field(default_factory=dict)
    dropped: dict[str, int] = field(default_factory=dict)
    dispersion_trace: float = 0.0  # of the whole trace, in counts a second
    dispersion_cut: float = 0.0  # of the sections
    dispersion_thinned: float = 0.0
    dispersion: float = 0.0  # of what is sent, after compression


MakeReading = Callable[[Callable[[bytes], None] | None], Reading]


def planned(reading: Reading, mapper: Mapper) -> Iterator[Planned]:
    """The mapped requests of a reading, with times since the first arrival."""
    start: int | None = None
    for batch in reading.batches():
        for row in batch:
            if start is None:
                start = row.at_us
            request = mapper.map(row, start)
            if request is not None:
                yield request


def compile_trace(
    make: MakeReading, settings: MappingSettings, seed: int, wanted: Cut, path: str
) -> tuple[Compiled, Reading]:
    """Read the trace as often as it takes, and write the schedule.

    Once for the counts of its seconds, where peaks, a rate or a load ask for them or burstiness is told; once to
    write. So a trace must be files.
    """
    done = Compiled()
    whole = Counts()
    hashes: dict[str, Any] = {}
    reading = make(None)
    hasher = [(blake3(), 0)]

    def tap(data: bytes) -> None:
        total, size = hasher[0]
        total.update(data)
        hasher[0] = (total, size + len(data))

    reading.on_raw = tap
    for request in planned(reading, Mapper(settings, seed)):
        whole.add(request.at_us, request.work_us)
    if not whole.total:
        raise CompileError("no arrival in it that is mapped to a class")
    hashes = {
        "parts": [Path(part).name for part in reading.parts],
        "bytes": hasher[0][1],
        "blake3": hasher[0][0].hexdigest(),
    }
    done.dispersion_trace = whole.dispersion()
    done.sections = _sections(whole, wanted)
    done.keep = wanted.keep
    cut_counts, thin_counts, last = Counts(), Counts(), Counts()
    if wanted.rate is not None or wanted.load is not None:
        within = Counts()
        thin_work = 0
        for request in cut(planned(make(None), Mapper(settings, seed)), done.sections):
            within.add(request.at_us, request.work_us)
        seconds = _length(done.sections, whole)
        if wanted.rate is not None:
            done.keep = share_for_rate(within.total, seconds, wanted.rate)
        if wanted.load is not None:
            rows = cut(planned(make(None), Mapper(settings, seed)), done.sections)
            thin_work = sum(request.work_us for request in thinned(rows, done.keep))
            done.compress = factor_for_load(thin_work, seconds, wanted.cores, wanted.load)
    if wanted.load is None:
        done.compress = wanted.compress
    mapper = Mapper(settings, seed)
    head = {
        "format": reading.format.name,
        "seed": seed,
        "sources": hashes,
        "settings": settings_digest(settings),
    }
    by_class: dict[str, int] = {}

    def counted(rows: Iterator[Planned], counts: Counts) -> Iterator[Planned]:
        for row in rows:
            counts.add(row.at_us, row.work_us)
            yield row

    with Writer(path, head) as writer:
        rows = counted(cut(planned(make(None), mapper), done.sections), cut_counts)
        rows = counted(thinned(rows, done.keep), thin_counts)
        for row in counted(compressed(rows, done.compress), last):
            by_class[row.kind] = by_class.get(row.kind, 0) + 1
            writer.add((row,))
        if not last.total:
            raise CompileError("no arrival in that part of the trace")
        done.requests, done.by_class, done.dropped = last.total, by_class, dict(mapper.dropped)
        done.seconds = _length(done.sections, whole) / done.compress
        done.work_s = last.work_us / 1e6
        done.dispersion_cut, done.dispersion_thinned = cut_counts.dispersion(), thin_counts.dispersion()
        done.dispersion = last.dispersion()
        writer.finish({**head, "compiled": asdict(done), "cut": asdict(wanted)})
    return done, reading


def _sections(counts: Counts, wanted: Cut) -> list[Section]:
    if wanted.busiest_us is not None:
        return busiest(counts, wanted.busiest_us, wanted.peaks)
    end = len(counts.arrivals) * SPAN_US
    length = wanted.for_us if wanted.for_us is not None else max(1, end - wanted.from_us)
    return [Section(wanted.from_us, length)]


def _length(sections: list[Section], counts: Counts) -> float:
    """Seconds of the trace that the sections cover."""
    end = len(counts.arrivals) * SPAN_US
    return max(1e-6, sum(max(0, min(one.end_us, end) - one.start_us) for one in sections) / 1e6)


def settings_digest(settings: MappingSettings) -> str:
    def plain(value: Any) -> Any:
        return sorted(value) if isinstance(value, frozenset) else str(value)

    text = orjson.dumps(asdict(settings), option=orjson.OPT_SORT_KEYS, default=plain)
    return blake3(text).hexdigest()
