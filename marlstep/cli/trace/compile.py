"""`marlstep trace compile`: compile a part of a trace into a schedule."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict
from functools import wraps

import click

from marlstep.cli.errors import OptionError
from marlstep.cli.output import JsonObject, unwrapped_help
from marlstep.cli.spans import SPAN_TYPE
from marlstep.cli.trace.output import print_report
from marlstep.cli.trace.reading import (
    ReadingOptions,
    exit_on_error,
    reading_options,
    report_rejects,
    show_progress,
)
from marlstep.traces.account import Account
from marlstep.traces.compiling import Compiled, Cut, compile_trace
from marlstep.traces.formats.base import Format
from marlstep.traces.mapping import MappingSettings
from marlstep.traces.reading import Reading
from marlstep.traces.sources import STANDARD_INPUT

MAX_PEAKS = 100
DEFAULT_CORES = 6.0
NEEDS_FILES = "a trace is read more than once here: name files, not -"
BUSIEST_EXCLUDES = "--busiest picks the stretch itself: leave out --from and --for"


def cut_options(function: Callable[..., None]) -> Callable[..., None]:
    """Add the options that select a part of a trace, passed to the command as one `Cut`."""

    @wraps(function)
    def command(
        from_us: int,
        for_us: int | None,
        busiest_us: int | None,
        peaks: int,
        rate: float | None,
        keep: float,
        compress: float,
        load: float | None,
        cores: float,
        **others: object,
    ) -> None:
        cut = Cut(from_us, for_us, busiest_us, peaks, rate, keep, compress, load, cores)
        function(cut=cut, **others)

    decorated: Callable[..., None] = command
    positive = click.FloatRange(0, min_open=True)
    for option in (
        click.option("--cores", type=positive, default=DEFAULT_CORES, show_default=True),
        click.option("--load", type=positive, help="Compress to this share of --cores."),
        click.option("--compress", type=positive, default=1.0, help="Time runs so much faster."),
        click.option(
            "--keep", type=click.FloatRange(0, 1, min_open=True), default=1.0, help="Share of the senders."
        ),
        click.option("--rate", type=positive, help="Thin to so many arrivals a second."),
        click.option(
            "--peaks",
            type=click.IntRange(1, MAX_PEAKS),
            default=1,
            help="So many of them, one after another.",
        ),
        click.option(
            "--busiest",
            "busiest_us",
            type=SPAN_TYPE,
            help="The busiest stretch of this length, in place of --from.",
        ),
        click.option("--for", "for_us", type=SPAN_TYPE, help="How much of the trace, as 20s."),
        click.option("--from", "from_us", type=SPAN_TYPE, default=0, help="Since the first arrival, as 10m."),
    ):
        decorated = option(decorated)
    return decorated


@click.command("compile")
@reading_options
@click.option("--out", "out_path", required=True, type=click.Path(), help="Where the schedule goes.")
@cut_options
@click.pass_context
@unwrapped_help(
    "Example:",
    "  marlstep trace compile --format google-2011 --busiest 20s --load 1.3 --out peak.sched part.csv.gz",
)
def compile_schedule(ctx: click.Context, options: ReadingOptions, out_path: str, cut: Cut) -> None:
    """Write the requests of a part of a trace as a schedule, for `replay`."""
    _check(options, cut)
    with exit_on_error(ctx), show_progress(options.parts):
        trace_format, mapping = options.load_format(options.format_name)
        compiled, account = _compile(options, trace_format, mapping, cut, out_path)
    print_report(_report(compiled, account, out_path), options.as_json)


def _check(options: ReadingOptions, cut: Cut) -> None:
    """Check that the options do not conflict.

    Raises:
        OptionError: the trace is read from standard input, or `--busiest` is combined with `--from` or `--for`.
    """
    if STANDARD_INPUT in options.parts:
        raise OptionError(NEEDS_FILES)
    has_range = bool(cut.from_us) or cut.for_us is not None
    if cut.busiest_us is not None and has_range:
        raise OptionError(BUSIEST_EXCLUDES)


def _compile(
    options: ReadingOptions, trace_format: Format, mapping: MappingSettings, cut: Cut, out_path: str
) -> tuple[Compiled, Account]:
    """Compile the schedule. Only the first reading of the trace reports bad rows; later ones read the same rows."""
    first = options.make_reading(trace_format)
    unused = [first]

    def make_reading() -> Reading:
        return unused.pop() if unused else options.make_reading(trace_format)

    with report_rejects(first, options.rejects_path):
        compiled, reading = compile_trace(make_reading, mapping, options.seed, cut, out_path)
    return compiled, reading.account


def _report(compiled: Compiled, account: Account, out_path: str) -> JsonObject:
    sections = [[section.start_us / 1e6, section.length_us / 1e6] for section in compiled.sections]
    counts = {"rows": account.rows, "bad": account.bad}
    return {"out": out_path, **asdict(compiled), **counts, "sections": sections}
