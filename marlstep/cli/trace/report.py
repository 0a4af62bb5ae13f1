"""`marlstep trace report`: compare the reports of two replays."""

from __future__ import annotations

import click

from marlstep.cli.output import print_json, unwrapped_help
from marlstep.cli.trace.reading import exit_unusable


@click.command()
@click.argument("first", type=click.Path())
@click.argument("second", type=click.Path())
@click.option("--plot", "plot_path", type=click.Path(), help="A .png, or an .html that holds it.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.pass_context
@unwrapped_help("Example:", "  marlstep trace report a.json b.json --plot change.html")
def report(ctx: click.Context, first: str, second: str, plot_path: str | None, as_json: bool) -> None:
    """Compare two replays."""
    from marlstep.traces.replay import report as reports

    try:
        runs = reports.load(first), reports.load(second)
        if plot_path is not None:
            reports.plot(*runs, (first, second), plot_path)
    except (reports.ReportError, OSError) as error:
        exit_unusable(ctx, error)
    if as_json:
        rows = reports.compare(*runs)
        print_json({name: {"first": value, "second": other} for name, value, other in rows})
    else:
        click.echo(reports.as_text(*runs, (first, second)))
