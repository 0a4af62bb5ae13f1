"""Settings for tenants and classes out of a public cluster trace in CSV.

    python -m marlstep trace tenants --preset google-2011 --as 0=temp-history --as 3=setpoint-cmd part.csv
    python -m marlstep trace tenants --tenant user --kind queue --time submit --unit s trace.csv

It reads the trace line by line, whatever its size, and counts arrivals for each tenant and class. Columns are
named by the header, or by number (from 0) where there is none. Nothing is replayed. Lines that can't be read
are named on standard error and left out.
"""

from __future__ import annotations

import argparse
import csv
import math
import sys
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TextIO

from marlstep.units import MICROSECOND, MILLISECOND, SECOND

UNITS: Mapping[str, timedelta] = {"us": MICROSECOND, "ms": MILLISECOND, "s": SECOND}
BAD_NAMED = 20  # bad lines that are named; the others are counted
OTHERS = "others"  # what stands for the tenants beyond those listed
MOST_NAMES = 100_000  # tenants that are told apart: memory stays bounded


@dataclass(slots=True, frozen=True)
class Columns:
    """Where in a line things stand: names of the header, or numbers."""

    tenant: str
    kind: str
    time: str
    unit: timedelta
    only: tuple[str, str] | None = None  # a column and the one value that counts as an arrival


PRESETS: Mapping[str, Columns] = {
    # task_events: time, missing, job, index, machine, event (0 is a submission), user, scheduling class, ...
    "google-2011": Columns("6", "7", "0", MICROSECOND, ("5", "0")),
    # batch_task: task, instances, job, type, status, start, end, ...; a job stands for its sender
    "alibaba-2018": Columns("2", "3", "5", SECOND),
}


class BadLine(ValueError):
    """Why a line can't be counted."""


@dataclass(slots=True)
class Tally:
    tenants: Counter[str] = field(default_factory=Counter)
    kinds: Counter[str] = field(default_factory=Counter)
    first: float = math.inf  # seconds
    last: float = -math.inf
    good: int = 0
    bad: int = 0

    def add(self, tenant: str, kind: str, seconds: float) -> None:
        known = tenant in self.tenants or len(self.tenants) < MOST_NAMES
        self.tenants[tenant if known else OTHERS] += 1
        self.kinds[kind] += 1
        self.first, self.last = min(self.first, seconds), max(self.last, seconds)
        self.good += 1

    @property
    def seconds(self) -> float:
        return max(1.0, self.last - self.first)


def places(columns: Columns, header: list[str] | None) -> dict[str, int]:
    """Column by column where it stands; raises ValueError that names one that is not there."""
    found: dict[str, int] = {}
    for name in (columns.tenant, columns.kind, columns.time, *([columns.only[0]] if columns.only else [])):
        if header is not None and name in header:
            found[name] = header.index(name)
        elif name.isascii() and name.isdigit():
            found[name] = int(name)
        else:
            raise ValueError(f"no column {name!r}")
    return found


def count(lines: Iterable[str], columns: Columns, header: bool, complain: TextIO) -> Tally:
    tally = Tally()
    reader = csv.reader(lines, strict=True)
    where = places(columns, next(reader, []) if header else None)
    while True:
        try:
            row = next(reader)
            if row:
                _count_row(row, columns, where, tally)
        except StopIteration:
            return tally
        except (BadLine, csv.Error, UnicodeDecodeError) as fault:
            tally.bad += 1
            if tally.bad <= BAD_NAMED:
                print(f"line {reader.line_num}: {fault}", file=complain)


def _count_row(row: list[str], columns: Columns, where: Mapping[str, int], tally: Tally) -> None:
    def cell(name: str) -> str:
        if where[name] >= len(row):
            raise BadLine(f"only {len(row)} columns")
        return row[where[name]].strip()

    if columns.only and cell(columns.only[0]) != columns.only[1]:
        return
    try:
        seconds = float(cell(columns.time)) * columns.unit.total_seconds()
    except ValueError:
        raise BadLine(f"no time: {cell(columns.time)[:32]!r}") from None
    if not math.isfinite(seconds) or seconds < 0:
        raise BadLine(f"no time: {cell(columns.time)[:32]!r}")
    tenant, kind = cell(columns.tenant), cell(columns.kind)
    if not tenant or not kind:
        raise BadLine("no tenant" if not tenant else "no class")
    tally.add(tenant, kind, seconds)


def settings(tally: Tally, most: int, headroom: float, names: Mapping[str, str]) -> Iterator[str]:
    """The lines of an operator's file: tenants, and classes by their rank in the trace, renamed."""
    top = Counter(dict(tally.tenants.most_common(most)))
    top[OTHERS] += tally.good - top.total()
    yield f"# {tally.good} arrivals in {tally.seconds:.0f} s; {tally.bad} lines left out"
    for name, number in (+top).items():
        yield f"\n[tenants.{quoted(name)}]"
        yield f"share = {number / tally.good:.6f}"
        yield f"allowance_per_s = {headroom * number / tally.seconds:.6f}"
    ranked = sorted(tally.kinds, key=_order)
    worths = {names.get(kind, kind): rank for rank, kind in enumerate(ranked, 1)}  # of several the highest
    for name, rank in worths.items():
        number = sum(tally.kinds[kind] for kind in ranked if names.get(kind, kind) == name)
        yield f"\n[classes.{quoted(name)}]  # {number / tally.good:.6f} of the arrivals"
        yield f"worth = {rank:.1f}"


def _order(kind: str) -> tuple[float, str]:
    """Classes that are numbers rank as numbers, the higher the more urgent; names rank by the alphabet."""
    return (float(kind) if kind.isascii() and kind.isdigit() else math.inf, kind)


def quoted(name: str) -> str:
    """A key of TOML, whatever it holds."""
    plain = "".join(
        letter if letter.isprintable() else f"\\u{ord(letter) & 0xFFFF:04x}" for letter in _escape(name)
    )
    return f'"{plain}"'


def _escape(name: str) -> str:
    return name.replace("\\", "\\\\").replace('"', '\\"')


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="marlstep trace tenants", description=(__doc__ or "").split("\n", 1)[0]
    )
    parser.add_argument("file", help="the trace; - for standard input")
    parser.add_argument(
        "--preset", choices=sorted(PRESETS), help="the columns of a known trace, without header"
    )
    parser.add_argument("--tenant", help="column that names the sender")
    parser.add_argument("--kind", help="column that names the class")
    parser.add_argument("--time", help="column that holds the time of arrival")
    parser.add_argument("--unit", choices=sorted(UNITS), default="s", help="unit of that time")
    parser.add_argument(
        "--no-header", action="store_true", help="the first line is data; columns are numbers"
    )
    parser.add_argument(
        "--as", dest="names", action="append", default=[], metavar="KIND=CLASS", help="rename a class"
    )
    parser.add_argument("--most", type=int, default=50, help="tenants listed by themselves (default 50)")
    parser.add_argument(
        "--headroom", type=float, default=1.5, help="allowance over the mean rate (default 1.5)"
    )
    options = parser.parse_args(arguments)
    if options.preset:
        columns, header = PRESETS[options.preset], False
    elif options.tenant and options.kind and options.time:
        columns = Columns(options.tenant, options.kind, options.time, UNITS[options.unit])
        header = not options.no_header
    else:
        parser.error("either --preset, or --tenant, --kind and --time")
    if not all("=" in name for name in options.names):
        parser.error("--as takes KIND=CLASS")
    names = dict(name.split("=", 1) for name in options.names)
    if options.most < 1 or not 0 < options.headroom < math.inf:
        parser.error("--most must be at least 1 and --headroom above 0")
    try:
        if options.file == "-":
            tally = count(sys.stdin, columns, header, sys.stderr)
        else:
            with open(options.file, encoding="utf-8", errors="replace", newline="") as lines:
                tally = count(lines, columns, header, sys.stderr)
    except (OSError, ValueError) as fault:
        print(f"marlstep trace tenants: {options.file}: {fault}", file=sys.stderr)
        return 2
    if tally.bad > BAD_NAMED:
        print(f"and {tally.bad - BAD_NAMED} more bad lines", file=sys.stderr)
    if not tally.good:
        print(f"marlstep trace tenants: {options.file}: no arrival in it", file=sys.stderr)
        return 2
    print("\n".join(settings(tally, options.most, options.headroom, names)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
