"""Output of reports by the commands of `marlstep trace`."""

from __future__ import annotations

import click

from marlstep.cli.output import JsonObject, print_json

NAME_WIDTH = 16  # characters


def print_report(report: JsonObject, as_json: bool) -> None:
    """Print a report as JSON, or as text with one line per value."""
    if as_json:
        print_json(report)
        return
    for name, value in report.items():
        click.echo(f"{name:<{NAME_WIDTH}} {_render(value)}")


def _render(value: object) -> object:
    if isinstance(value, dict):
        return ", ".join(f"{key} {count}" for key, count in value.items()) or "-"
    return value
