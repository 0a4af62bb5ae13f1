"""`marlstep trace tenants`: generate an operator's file with the tenants and classes of a trace."""

from __future__ import annotations

import math

import click

from marlstep.cli.errors import OptionError
from marlstep.cli.output import unwrapped_help
from marlstep.cli.trace.reading import (
    ReadingOptions,
    exit_on_error,
    reading_options,
    report_rejects,
    show_progress,
)
from marlstep.traces.compiling import NoArrivalsError
from marlstep.traces.formats.base import Format
from marlstep.traces.formats.generic import UNITS, Columns, Generic
from marlstep.traces.operator_file import operator_lines
from marlstep.traces.reading import Reading

FORMATS_BY_PRESET = {"google-2011": "google-2011", "alibaba-2018": "alibaba-2018-task"}
WRONG_NAMES_OR_HEADROOM = "--as takes KIND=CLASS, --headroom a number"


@click.command()
@reading_options
@click.option("--preset", type=click.Choice(list(FORMATS_BY_PRESET)), help="The former name of --format.")
@click.option("--tenant", help="Column that names the sender, where there is no --format.")
@click.option("--kind", "category", help="Column that names the class.")
@click.option("--time", help="Column that holds the time of arrival.")
@click.option("--unit", type=click.Choice(sorted(UNITS)), default="s", help="Unit of that time.")
@click.option(
    "--no-header", "lacks_header", is_flag=True, help="The first line is data; columns are numbers from 0."
)
@click.option("--as", "names", multiple=True, metavar="KIND=CLASS", help="Rename a class.")
@click.option(
    "--most", "max_tenants", type=click.IntRange(1), default=50, help="Tenants listed by themselves."
)
@click.option(
    "--headroom", type=click.FloatRange(0, min_open=True), default=1.5, help="Allowance over the mean rate."
)
@click.pass_context
@unwrapped_help(
    "Examples:",
    "  marlstep trace tenants --format google-2011 --as 0=temp-history --as 3=setpoint-cmd part.csv",
    "  marlstep trace tenants --tenant user --kind queue --time submit --unit s trace.csv",
)
def tenants(
    ctx: click.Context,
    options: ReadingOptions,
    preset: str | None,
    tenant: str | None,
    category: str | None,
    time: str | None,
    unit: str,
    lacks_header: bool,
    names: tuple[str, ...],
    max_tenants: int,
    headroom: float,
) -> None:
    """Print an operator's file with the tenants and classes of a trace."""
    if not all("=" in name for name in names) or not math.isfinite(headroom):
        raise OptionError(WRONG_NAMES_OR_HEADROOM)
    with exit_on_error(ctx), show_progress(options.parts) as progress:
        if tenant and category and time:
            columns = Columns(time, UNITS[unit], tenant, category, has_header=not lacks_header)
            trace_format: Format = Generic(columns)
        else:
            trace_format, _ = options.load_format(options.format_name or FORMATS_BY_PRESET.get(preset or ""))
        reading = options.make_reading(trace_format)
        reading.on_raw = progress
        _read_all(reading)
    class_names = dict(name.split("=", 1) for name in names)
    click.echo("\n".join(operator_lines(reading.account, max_tenants, headroom, class_names)))


def _read_all(reading: Reading) -> None:
    """Read the whole trace to complete its account.

    Raises:
        NoArrivalsError: the trace has no arrival.
    """
    with report_rejects(reading, None):
        for _ in reading.batches():
            pass
    if not reading.account.arrivals:
        raise NoArrivalsError.in_parts(reading.parts)
