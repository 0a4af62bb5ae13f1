"""Shared code of the commands that read a trace: options, the report of bad rows, and a progress bar."""

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
    """Options of the commands that read a trace.

    Attributes:
        parts: paths of the trace; `-` is standard input.
        format_name: name of the trace's format; None if it is not given.
        map_path: path of an operator's file with a section `[trace]`, or None.
        seed: seed of the values that the trace does not determine, and key of hashes.
        reorder_us: how far a row may lag behind the latest row, in microseconds; None for the format's default.
        rejects_path: path of the CSV file that bad rows are written to, or None.
        is_strict: fail at the first bad row.
        as_json: print the report as JSON.
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
        """Return a format by its name, and the mapping of its rows to requests.

        Raises:
            OptionError: no name is given.
            ConfigError: the operator's file is invalid.
        """
        if format_name is None:
            raise OptionError.unmet("--format", f"is missing: one of {', '.join(sorted(MODULES))}")
        config = load_trace(self.map_path, format_name)
        trace_format = format_by_name(format_name) if config.columns is None else Generic(config.columns)
        return trace_format, config.mapping

    def make_reading(self, trace_format: Format) -> Reading:
        """Create a new reading of the trace."""
        return Reading(
            trace_format, self.parts, self.seed, window_us=self.reorder_us, is_strict=self.is_strict
        )


def reading_options(function: Callable[..., None]) -> Callable[..., None]:
    """Add the options of the commands that read a trace, passed to the command as one `ReadingOptions`."""

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
    """Logs the first bad rows of a reading, and writes all of them to a CSV file if one is given."""

    def __init__(self, reading: Reading, sink: TextIO | None) -> None:
        """Initialize the report, and register it with the reading.

        Args:
            reading: the reading whose bad rows are reported.
            sink: the open CSV file, or None.
        """
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

    def log_suppressed_count(self) -> None:
        """Log the number of bad rows beyond `MAX_LOGGED_REJECTS`, which were not logged one by one."""
        if self._count > MAX_LOGGED_REJECTS:
            log.warning("trace_rows_rejected_without_log", count=self._count - MAX_LOGGED_REJECTS)


@contextmanager
def report_rejects(reading: Reading, path: str | None) -> Iterator[None]:
    """Report the bad rows of a reading, and write them to a CSV file if a path is given."""
    if path is None:
        report = RejectReport(reading, None)
        yield
        report.log_suppressed_count()
        return
    with open(path, "w", newline="") as sink:
        report = RejectReport(reading, sink)
        yield
        report.log_suppressed_count()


@contextmanager
def show_progress(parts: tuple[str, ...]) -> Iterator[Callable[[bytes], None]]:
    """Show a progress bar if standard error is a terminal; yield the function to call with each block of bytes read."""
    size = sum(Path(part).stat().st_size for part in parts if part != STANDARD_INPUT and Path(part).exists())
    if not size or not sys.stderr.isatty():
        yield lambda _: None
        return
    with click.progressbar(length=size, label="reading", file=sys.stderr) as bar:
        yield lambda data: bar.update(len(data))


@contextmanager
def exit_on_error(ctx: click.Context) -> Iterator[None]:
    """On an invalid trace, mapping or schedule, print or log one line and exit with the code of the error."""
    try:
        yield
    except StrictReadingError as error:
        _exit_strict(ctx, error)
    except (ConfigError, SourceError, ScheduleError, NoArrivalsError, OSError) as error:
        exit_unusable(ctx, error)


def _exit_strict(ctx: click.Context, error: StrictReadingError) -> NoReturn:
    log.error("trace_strict_reading_failed", error=str(error))
    ctx.exit(exit_codes.STRICT_REJECT)


def exit_unusable(ctx: click.Context, problem: object) -> NoReturn:
    """Print the problem, and exit with the code for unusable input."""
    click.echo(f"marlstep: {problem}", err=True)
    ctx.exit(exit_codes.UNUSABLE)
