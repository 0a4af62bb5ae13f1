"""`marlstep trace`."""

from __future__ import annotations

import csv
import json
import math
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import asdict
from pathlib import Path
from typing import Any, TextIO

import click
import structlog

from marlstep.cli.spans import SPAN_TYPE
from marlstep.config.readers import ConfigError, read_file
from marlstep.config.traces import load_trace
from marlstep.traces import tenants as tenants_
from marlstep.traces.compiling import CompileError, Cut, compile_trace
from marlstep.traces.formats import MODULES, named
from marlstep.traces.formats.base import Format
from marlstep.traces.formats.generic import UNITS, Columns, Generic
from marlstep.traces.mapping import Mapper, MappingSettings
from marlstep.traces.reading import Account, Reading, Strict, described
from marlstep.traces.retries import Retries
from marlstep.traces.rows import Reject
from marlstep.traces.schedule import Schedule, ScheduleError
from marlstep.traces.sources import SourceError
from marlstep.traces.window import Counts

log = structlog.get_logger("marlstep.trace")
SHOWN = 20  # rejects that are named in the log
UNUSABLE, STRICT = 2, 3


@click.group()
def group() -> None:
    """Read, compile and replay public cluster traces.

    A FILE may be plain, gzip or zstd, whatever its name; `-` is standard input.
    """


Decorator = Callable[[Callable[..., Any]], Callable[..., Any]]


def reading_options(call: Callable[..., Any]) -> Callable[..., Any]:
    """What every command that reads a trace takes."""
    options: list[Decorator] = [
        click.argument("parts", nargs=-1, required=True, metavar="FILE..."),
        click.option(
            "--format", "format_name", type=click.Choice(sorted(MODULES)), help="The trace's format."
        ),
        click.option("--map", "map_path", type=click.Path(), help="An operator's file with [trace]."),
        click.option("--seed", type=click.IntRange(0, (1 << 63) - 1), default=1, show_default=True),
        click.option(
            "--reorder", type=SPAN_TYPE, help="How late a row may come; else what the format needs."
        ),
        click.option("--rejects", type=click.Path(), help="Write every bad row to this CSV file."),
        click.option("--strict", is_flag=True, help="End with 3 at the first bad row."),
        click.option("--json", "as_json", is_flag=True, help="Print one JSON object."),
    ]
    for option in reversed(options):
        call = option(call)
    return call


class Rejects:
    """Names the first few bad rows, and writes all of them where that was asked for."""

    def __init__(self, sink: TextIO | None) -> None:
        self.reading: Reading | None = None
        self._rows = csv.writer(sink) if sink is not None else None
        if self._rows is not None:
            self._rows.writerow(("where", "reason", "column", "text"))
        self._count = 0

    def __call__(self, reject: Reject) -> None:
        self._count += 1
        where = self.reading.where(reject.line) if self.reading is not None else str(reject.line)
        if self._rows is not None:
            text = reject.text.encode("utf-8", "backslashreplace").decode()
            self._rows.writerow((where, reject.reason.value, reject.column, text))
        if self._count <= SHOWN:
            log.warning("bad row", where=where, fault=described(reject))

    def end(self) -> None:
        if self._count > SHOWN:
            log.warning("more bad rows", number=self._count - SHOWN)


class Progress:
    """A bar on a terminal, and nothing elsewhere."""

    def __init__(self, parts: tuple[str, ...]) -> None:
        self._size = sum(Path(part).stat().st_size for part in parts if part != "-" and Path(part).exists())
        self._bar: Any = None

    def __enter__(self) -> Progress:
        if self._size and sys.stderr.isatty():
            self._bar = click.progressbar(length=self._size, label="reading", file=sys.stderr).__enter__()
        return self

    def __exit__(self, *_: object) -> None:
        if self._bar is not None:
            self._bar.__exit__(None, None, None)

    def __call__(self, data: bytes) -> None:
        if self._bar is not None:
            self._bar.update(len(data))


@contextmanager
def faults(ctx: click.Context) -> Iterator[None]:
    """What a trace, a mapping or a schedule may have wrong with it, as one line and the exit code."""
    try:
        yield
    except Strict as fault:
        log.error("strict", fault=str(fault))
        ctx.exit(STRICT)
    except (ConfigError, SourceError, ScheduleError, CompileError, OSError) as fault:
        click.echo(f"marlstep: {fault}", err=True)
        ctx.exit(UNUSABLE)


def chosen(format_name: str | None, map_path: str | None) -> tuple[Format, MappingSettings]:
    if format_name is None:
        raise click.UsageError(f"--format is missing: one of {', '.join(sorted(MODULES))}")
    settings, columns = load_trace(map_path, format_name)
    return (Generic(columns) if columns is not None else named(format_name)), settings


def account_json(account: Account) -> dict[str, Any]:
    return {
        "rows": account.rows,
        "good": account.good,
        "bad": account.bad,
        "bad_by_reason": dict(sorted(account.bad_by_reason.items())),
        "out_of_order": account.out_of_order,
        "duplicates": account.duplicates,
        "arrivals": account.arrivals,
        "skipped": dict(sorted(account.skipped.items())),
        "first_s": None if account.first_us is None else account.first_us / 1e6,
        "last_s": None if account.last_us is None else account.last_us / 1e6,
        "tenants": dict(account.tenants.most_common(50)),
        "tenants_total": len(account.tenants),
        "kinds": dict(account.kinds.most_common(50)),
        "lines": account.lines,
        "headers": account.headers,
        "blank": account.blank,
        "notes": dict(account.notes),
    }


@group.command()
@reading_options
@click.pass_context
def inspect(
    ctx: click.Context,
    parts: tuple[str, ...],
    format_name: str | None,
    map_path: str | None,
    seed: int,
    reorder: int | None,
    rejects: str | None,
    strict: bool,
    as_json: bool,
) -> None:
    """Say what a trace holds and what is wrong with it.

    \b
    Examples:
      marlstep trace inspect --format google-2011 examples/traces/google-2011.csv
      zcat part-*.csv.gz | marlstep trace inspect --format google-2011 --json -
    """
    with faults(ctx), Progress(parts) as progress:
        format, settings = chosen(format_name, map_path)
        sink = open(rejects, "w", newline="") if rejects else None  # noqa: SIM115  (closed below)
        try:
            on_reject = Rejects(sink)
            reading = Reading(format, parts, seed, reorder, strict, on_reject, on_raw=progress)
            on_reject.reading = reading
            mapper, counts = Mapper(settings, seed), Counts()
            start: int | None = None
            for batch in reading.batches():
                start = batch[0].at_us if start is None else start
                for row in batch:
                    mapper.map(row)
                    counts.add(row.at_us - start)
            on_reject.end()
        finally:
            if sink is not None:
                sink.close()
        told = account_json(reading.account)
        told["classes"] = dict(mapper.mapped)
        told["dropped"] = dict(mapper.dropped)
        told["dispersion"] = round(counts.dispersion(), 4)
        told["mean_per_s"] = round(counts.total / counts.seconds, 4) if counts.seconds else 0.0
        told["most_per_s"] = max(counts.arrivals, default=0)
    show(told, as_json)
    if not reading.account.arrivals:
        click.echo("marlstep: no arrival in it", err=True)
        ctx.exit(UNUSABLE)


def show(told: dict[str, Any], as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps(told))
        return
    for name, value in told.items():
        if isinstance(value, dict):
            value = ", ".join(f"{key} {number}" for key, number in value.items()) or "-"
        click.echo(f"{name:<16} {value}")


@group.command()
@reading_options
@click.option("--out", required=True, type=click.Path(), help="Where the schedule goes.")
@click.option("--from", "from_us", type=SPAN_TYPE, default=0, help="Since the first arrival, as 10m.")
@click.option("--for", "for_us", type=SPAN_TYPE, help="How much of the trace, as 20s.")
@click.option("--busiest", type=SPAN_TYPE, help="The busiest stretch of this length, in place of --from.")
@click.option("--peaks", type=click.IntRange(1, 100), default=1, help="So many of them, one after another.")
@click.option("--rate", type=click.FloatRange(0, min_open=True), help="Thin to so many arrivals a second.")
@click.option("--keep", type=click.FloatRange(0, 1, min_open=True), default=1.0, help="Share of the senders.")
@click.option(
    "--compress", type=click.FloatRange(0, min_open=True), default=1.0, help="Time runs so much faster."
)
@click.option("--load", type=click.FloatRange(0, min_open=True), help="Compress to this share of --cores.")
@click.option("--cores", type=click.FloatRange(0, min_open=True), default=6.0, show_default=True)
@click.pass_context
def compile(
    ctx: click.Context,
    parts: tuple[str, ...],
    format_name: str | None,
    map_path: str | None,
    seed: int,
    reorder: int | None,
    rejects: str | None,
    strict: bool,
    as_json: bool,
    out: str,
    from_us: int,
    for_us: int | None,
    busiest: int | None,
    peaks: int,
    rate: float | None,
    keep: float,
    compress: float,
    load: float | None,
    cores: float,
) -> None:
    """Write the requests of a part of a trace as a schedule, for `replay`.

    \b
    Example:
      marlstep trace compile --format google-2011 --busiest 20s --load 1.3 --out peak.sched part.csv.gz
    """
    if "-" in parts:
        raise click.UsageError("a trace is read more than once here: name files, not -")
    if busiest is not None and (from_us or for_us is not None):
        raise click.UsageError("--busiest picks the stretch itself: leave out --from and --for")
    wanted = Cut(from_us, for_us, busiest, peaks, rate, keep, compress, load, cores)
    with faults(ctx), Progress(parts) as progress:
        format, settings = chosen(format_name, map_path)
        sink = open(rejects, "w", newline="") if rejects else None  # noqa: SIM115  (closed below)
        try:
            on_reject = Rejects(sink)
            first: list[Reading] = []

            def make(on_raw: Any) -> Reading:
                """The first reading names what is bad; the others pass it over in silence."""
                if first:
                    return Reading(format, parts, seed, reorder, strict)
                first.append(Reading(format, parts, seed, reorder, strict, on_reject, on_raw=progress))
                on_reject.reading = first[0]
                return first[0]

            done, reading = compile_trace(make, settings, seed, wanted, out)
            on_reject.end()
        finally:
            if sink is not None:
                sink.close()
    told = {"out": out, **asdict(done), "rows": reading.account.rows, "bad": reading.account.bad}
    told["sections"] = [[one.start_us / 1e6, one.length_us / 1e6] for one in done.sections]
    show(told, as_json)


@group.command()
@reading_options
@click.option(
    "--preset", type=click.Choice(["google-2011", "alibaba-2018"]), help="The former name of --format."
)
@click.option("--tenant", help="Column that names the sender, where there is no --format.")
@click.option("--kind", help="Column that names the class.")
@click.option("--time", help="Column that holds the time of arrival.")
@click.option("--unit", type=click.Choice(sorted(UNITS)), default="s", help="Unit of that time.")
@click.option("--no-header", is_flag=True, help="The first line is data; columns are numbers from 0.")
@click.option("--as", "names", multiple=True, metavar="KIND=CLASS", help="Rename a class.")
@click.option("--most", type=click.IntRange(1), default=50, help="Tenants listed by themselves.")
@click.option(
    "--headroom", type=click.FloatRange(0, min_open=True), default=1.5, help="Allowance over the mean rate."
)
@click.pass_context
def tenants(
    ctx: click.Context,
    parts: tuple[str, ...],
    format_name: str | None,
    map_path: str | None,
    seed: int,
    reorder: int | None,
    rejects: str | None,
    strict: bool,
    as_json: bool,
    preset: str | None,
    tenant: str | None,
    kind: str | None,
    time: str | None,
    unit: str,
    no_header: bool,
    names: tuple[str, ...],
    most: int,
    headroom: float,
) -> None:
    """Print an operator's file with the tenants and classes of a trace.

    \b
    Examples:
      marlstep trace tenants --format google-2011 --as 0=temp-history --as 3=setpoint-cmd part.csv
      marlstep trace tenants --tenant user --kind queue --time submit --unit s trace.csv
    """
    if not all("=" in name for name in names) or not math.isfinite(headroom):
        raise click.UsageError("--as takes KIND=CLASS, --headroom a number")
    with faults(ctx), Progress(parts) as progress:
        if tenant and kind and time:
            columns = Columns(time, UNITS[unit], tenant, kind, header=not no_header)
            format: Format = Generic(columns)
        else:
            former = "alibaba-2018-task" if preset == "alibaba-2018" else preset
            format, _ = chosen(format_name or former, map_path)
        on_reject = Rejects(None)
        reading = Reading(format, parts, seed, reorder, strict, on_reject, on_raw=progress)
        on_reject.reading = reading
        for _ in reading.batches():
            pass
        on_reject.end()
        if not reading.account.arrivals:
            raise CompileError(f"{', '.join(parts)}: no arrival in it")
    renamed = dict(name.split("=", 1) for name in names)
    click.echo("\n".join(tenants_.settings(reading.account, most, headroom, renamed)))


@group.command()
@click.argument("schedule", type=click.Path())
@click.option("--config", default="deploy/node.json", show_default=True, help="The node's configuration.")
@click.option("--virtual", is_flag=True, help="On a clock moved by hand, without sockets.")
@click.option("--front", type=click.Choice(["resp", "uwsgi"]), default="resp", show_default=True)
@click.option(
    "--retries", type=click.Choice([one.value for one in Retries]), default="none", show_default=True
)
@click.option(
    "--load", type=click.FloatRange(0, min_open=True), help="Of the cores' capacity; else its own pace."
)
@click.option("--for", "for_us", type=SPAN_TYPE, help="Repeat or cut the schedule to this length.")
@click.option(
    "--speed", type=click.FloatRange(0, 1000, min_open=True), default=1.0, help="Of a stand-in core."
)
@click.option(
    "--call", "call_us", type=SPAN_TYPE, default=30_000, help="Time of a call below (default 30ms)."
)
@click.option(
    "--late", "late_us", type=SPAN_TYPE, default=50_000, help="Most lateness of sending (default 50ms)."
)
@click.option("--nodes", type=click.IntRange(1, 32), default=1, show_default=True)
@click.option("--seed", type=click.IntRange(0, (1 << 63) - 1), default=1, show_default=True)
@click.option("--out", type=click.Path(), help="Write the whole report here, for `report`.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.pass_context
def replay(
    ctx: click.Context,
    schedule: str,
    config: str,
    virtual: bool,
    front: str,
    retries: str,
    load: float | None,
    for_us: int | None,
    speed: float,
    nodes: int,
    call_us: int,
    late_us: int,
    seed: int,
    out: str | None,
    as_json: bool,
) -> None:
    """Send a compiled schedule to a node, and tell the service that it gave.

    On sockets a node process is started between stand-ins of the kernel, the tier below and a uwsgi server, all on
    loopback. Senders with retries count them with the first try.

    \b
    Examples:
      marlstep trace replay --virtual --load 1.3 --for 20s --speed 10 peak.sched
      marlstep trace replay --load 0.9 --for 20s --speed 10 --out a.json peak.sched
    """
    from marlstep.traces.replay.loopback import ReplayError, Settings
    from marlstep.traces.replay.replaying import Wanted
    from marlstep.traces.replay.replaying import replay as run

    try:
        with faults(ctx), Schedule(schedule) as opened:
            told = read_file(config, "--config", json.loads)
            settings = Settings(told, front, speed, call_us, nodes=nodes, late_us=late_us)
            report = run(opened, Wanted(settings, virtual, Retries(retries), seed, load, for_us))
    except ReplayError as fault:
        click.echo(f"marlstep: {fault}", err=True)
        ctx.exit(UNUSABLE)
    if out is not None:
        Path(out).write_text(json.dumps(report) + "\n")
    brief = {
        name: value for name, value in report.items() if name not in ("histograms", "by_second", "schedule")
    }
    show(report if as_json else brief, as_json)
    if not report["counts"]:
        click.echo("marlstep: the senders fell behind: this run does not count", err=True)
        ctx.exit(UNUSABLE)


@group.command()
@click.argument("first", type=click.Path())
@click.argument("second", type=click.Path())
@click.option("--plot", "plot_path", type=click.Path(), help="A .png, or an .html that holds it.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.pass_context
def report(ctx: click.Context, first: str, second: str, plot_path: str | None, as_json: bool) -> None:
    """Compare two replays.

    \b
    Example:
      marlstep trace report a.json b.json --plot change.html
    """
    from marlstep.traces.replay import report as reports

    try:
        runs = reports.load(first), reports.load(second)
        if plot_path is not None:
            reports.plot(*runs, (first, second), plot_path)
    except (reports.ReportError, OSError) as fault:
        click.echo(f"marlstep: {fault}", err=True)
        ctx.exit(UNUSABLE)
    if as_json:
        rows = reports.compared(*runs)
        click.echo(json.dumps({name: {"first": one, "second": other} for name, one, other in rows}))
    else:
        click.echo(reports.as_text(*runs, (first, second)))
