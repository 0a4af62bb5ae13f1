"""The commands of `marlstep trace`, as one group."""

from __future__ import annotations

import click

from marlstep.cli.trace.compile import compile_schedule
from marlstep.cli.trace.inspect import inspect
from marlstep.cli.trace.replay import replay
from marlstep.cli.trace.report import report
from marlstep.cli.trace.tenants import tenants


@click.group()
def group() -> None:
    """Read, compile and replay public cluster traces.

    A FILE may be plain, gzip or zstd, whatever its name; `-` is standard input.
    """


for command in (inspect, compile_schedule, tenants, replay, report):
    group.add_command(command)
