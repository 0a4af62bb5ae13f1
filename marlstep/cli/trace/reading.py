"""What the commands that read a trace share: their options, the report of bad rows, and a progress bar."""

from __future__ import annotations

import csv
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import wraps
from pathlib import Path
from typing import NoReturn, TextIO

import click
import structlog

from marlstep.cli import exit_codes
from marlstep.cli.errors import OptionError
from marlstep.cli.spans import SPAN_TYPE
from marlstep.config.readers import ConfigError
from marlstep.config.traces import load_trace
from marlstep.traces.compiling import NoArrivalsError
from marlstep.traces.formats import MODULES, format_by_name
from marlstep.traces.formats.base import Format
from marlstep.traces.formats.generic import Generic
from marlstep.traces.mapping import MappingSettings
from marlstep.traces.reading import Reading, StrictReadingError
from marlstep.traces.rows import Reject
from marlstep.traces.schedule import ScheduleError
from marlstep.traces.sources import STANDARD_INPUT, SourceError

MAX_LOGGED_REJECTS = 20
MAX_SEED = (1 << 63) - 1
REJECT_COLUMNS = ("where", "reason", "column", "text")

log = structlog.get_logger("marlstep.trace")


@dataclass(slots=True, frozen=True)
class ReadingOptions:
    """What every command that reads a trace is given.

    Attributes:
        parts: paths of the trace; `-` is standard input.
        format_name: the trace's format.
        map_path: an operator's file with `[trace]`.
        seed: sets what the trace leaves open, and keys hashes.
        reorder_us: how late a row may come, in microseconds; None for what the format needs.
        rejects_path: where every bad row is written.
        is_strict: end at the first bad row.
        as_json: print JSON.
    """

    parts: tuple[str, ...]
    format_name: str | None
    map_path: str | None
    seed: int
    reorder_us: int | None
    rejects_path: str | None
    is_strict: bool
    as_json: bool

    def load_format(self, format_name: str | None) -> tuple[Format, MappingSettings]:
        """Return the format of that name, and how its rows become requests.

        Raises:
            OptionError: no format is named.
            ConfigError: the operator's file is wrong.
        """
        if format_name is None:
            raise OptionError.unmet("--format", f"is missing: one of {', '.join(sorted(MODULES))}")
        config = load_trace(self.map_path, format_name)
        trace_format = format_by_name(format_name) if config.columns is None else Generic(config.columns)
        return trace_format, config.mapping

    def make_reading(self, trace_format: Format) -> Reading:
        """Return a new reading of the trace."""
        return Reading(
            trace_format, self.parts, self.seed, window_us=self.reorder_us, is_strict=self.is_strict
        )


def reading_options(function: Callable[..., None]) -> Callable[..., None]:
    """Add the options of every command that reads a trace, given to it as one `ReadingOptions`."""

    @wraps(function)
    def command(
        parts: tuple[str, ...],
        format_name: str | None,
        map_path: str | None,
        seed: int,
        reorder: int | None,
        rejects: str | None,
        strict: bool,
        as_json: bool,
        **others: object,
    ) -> None:
        options = ReadingOptions(parts, format_name, map_path, seed, reorder, rejects, strict, as_json)
        function(options=options, **others)

    decorated: Callable[..., None] = command
    for option in (
        click.option("--json", "as_json", is_flag=True, help="Print one JSON object."),
        click.option("--strict", is_flag=True, help="End with 3 at the first bad row."),
        click.option("--rejects", type=click.Path(), help="Write every bad row to this CSV file."),
        click.option(
            "--reorder", type=SPAN_TYPE, help="How late a row may come; else what the format needs."
        ),
        click.option("--seed", type=click.IntRange(0, MAX_SEED), default=1, show_default=True),
        click.option("--map", "map_path", type=click.Path(), help="An operator's file with [trace]."),
        click.option(
            "--format", "format_name", type=click.Choice(sorted(MODULES)), help="The trace's format."
        ),
        click.argument("parts", nargs=-1, required=True, metavar="FILE..."),
    ):
        decorated = option(decorated)
    return decorated


class RejectReport:
    """Logs the first bad rows of a reading, and writes all of them where a file is given."""

    def __init__(self, reading: Reading, sink: TextIO | None) -> None:
        """Report the bad rows of the reading from now on."""
        self._reading = reading
        self._writer = None if sink is None else csv.writer(sink)
        self._count = 0
        if self._writer is not None:
            self._writer.writerow(REJECT_COLUMNS)
        reading.on_reject = self._add

    def _add(self, reject: Reject) -> None:
        self._count += 1
        place = self._reading.place(reject.line)
        if self._writer is not None:
            text = reject.text.encode("utf-8", "backslashreplace").decode()
            self._writer.writerow((place, reject.reason.value, reject.column, text))
        if self._count <= MAX_LOGGED_REJECTS:
            log.warning("trace_row_rejected", place=place, reason=reject.describe())

    def end(self) -> None:
        """Log how many bad rows were not logged by themselves."""
        if self._count > MAX_LOGGED_REJECTS:
            log.warning("trace_rows_rejected_without_log", count=self._count - MAX_LOGGED_REJECTS)


@contextmanager
def reported_rejects(reading: Reading, path: str | None) -> Iterator[None]:
    """Report the bad rows of a reading, and write them to the file where there is a path."""
    if path is None:
        report = RejectReport(reading, None)
        yield
        report.end()
        return
    with open(path, "w", newline="") as sink:
        report = RejectReport(reading, sink)
        yield
        report.end()


@contextmanager
def shown_progress(parts: tuple[str, ...]) -> Iterator[Callable[[bytes], None]]:
    """Show a progress bar on a terminal, and nothing elsewhere; yield what is given the bytes that were read."""
    size = sum(Path(part).stat().st_size for part in parts if part != STANDARD_INPUT and Path(part).exists())
    if not size or not sys.stderr.isatty():
        yield lambda _: None
        return
    with click.progressbar(length=size, label="reading", file=sys.stderr) as bar:
        yield lambda data: bar.update(len(data))


@contextmanager
def exit_on_error(ctx: click.Context) -> Iterator[None]:
    """End the command with one line and its exit code where a trace, a mapping or a schedule is at fault."""
    try:
        yield
    except StrictReadingError as error:
        _end_strict(ctx, error)
    except (ConfigError, SourceError, ScheduleError, NoArrivalsError, OSError) as error:
        end_unusable(ctx, error)


def _end_strict(ctx: click.Context, error: StrictReadingError) -> NoReturn:
    log.error("trace_strict_reading_failed", error=str(error))
    ctx.exit(exit_codes.STRICT_REJECT)


def end_unusable(ctx: click.Context, problem: object) -> NoReturn:
    """Print the problem, and end the command as one whose input is unusable."""
    click.echo(f"marlstep: {problem}", err=True)
    ctx.exit(exit_codes.UNUSABLE)
