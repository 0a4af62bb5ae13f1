"""`marlstep trace replay`: send a schedule to a node, and report the service that it gave."""

from __future__ import annotations

import json
from pathlib import Path

import click

from marlstep.cli.output import unwrapped_help
from marlstep.cli.spans import SPAN_TYPE
from marlstep.cli.trace.output import print_report
from marlstep.cli.trace.reading import MAX_SEED, exit_on_error, exit_unusable
from marlstep.config.readers import read_file
from marlstep.traces.retries import Retries
from marlstep.traces.schedule import Schedule

MAX_NODES = 32
MAX_SPEED = 1000
DEFAULT_CALL_US = 30_000
DEFAULT_MAX_LATE_US = 50_000
LONG_VALUES = ("histograms", "by_second", "schedule")  # omitted from the text output


@click.command()
@click.argument("schedule", type=click.Path())
@click.option("--config", default="deploy/node.json", show_default=True, help="The node's configuration.")
@click.option("--virtual", "is_virtual", is_flag=True, help="On a clock moved by hand, without sockets.")
@click.option("--front", "frontend", type=click.Choice(["resp", "uwsgi"]), default="resp", show_default=True)
@click.option(
    "--retries", type=click.Choice([mode.value for mode in Retries]), default="none", show_default=True
)
@click.option(
    "--load", type=click.FloatRange(0, min_open=True), help="Of the cores' capacity; else its own pace."
)
@click.option("--for", "for_us", type=SPAN_TYPE, help="Repeat or cut the schedule to this length.")
@click.option(
    "--speed",
    type=click.FloatRange(0, MAX_SPEED, min_open=True),
    default=1.0,
    help="Of a stand-in core.",
)
@click.option(
    "--call",
    "call_us",
    type=SPAN_TYPE,
    default=DEFAULT_CALL_US,
    help="Time of a call below (default 30ms).",
)
@click.option(
    "--late",
    "max_late_us",
    type=SPAN_TYPE,
    default=DEFAULT_MAX_LATE_US,
    help="Most lateness of sending (default 50ms).",
)
@click.option("--nodes", type=click.IntRange(1, MAX_NODES), default=1, show_default=True)
@click.option("--seed", type=click.IntRange(0, MAX_SEED), default=1, show_default=True)
@click.option("--out", "out_path", type=click.Path(), help="Write the whole report here, for `report`.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.pass_context
@unwrapped_help(
    "Examples:",
    "  marlstep trace replay --virtual --load 1.3 --for 20s --speed 10 peak.sched",
    "  marlstep trace replay --load 0.9 --for 20s --speed 10 --out a.json peak.sched",
)
def replay(
    ctx: click.Context,
    schedule: str,
    config: str,
    is_virtual: bool,
    frontend: str,
    retries: str,
    load: float | None,
    for_us: int | None,
    speed: float,
    call_us: int,
    max_late_us: int,
    nodes: int,
    seed: int,
    out_path: str | None,
    as_json: bool,
) -> None:
    """Send a compiled schedule to a node, and tell the service that it gave.

    On sockets a node process is started between stand-ins of the kernel, the tier below and a uwsgi server, all on
    loopback. Senders with retries count them with the first try.
    """
    from marlstep.traces.replay import machine_info
    from marlstep.traces.replay.replaying import ReplayPlan
    from marlstep.traces.replay.replaying import replay as run
    from marlstep.traces.replay.settings import ReplayError, Settings

    try:
        with exit_on_error(ctx), Schedule(schedule) as opened:
            document = read_file(config, "--config", json.loads)
            settings = Settings(document, frontend, speed, call_us, nodes=nodes, late_us=max_late_us)
            plan = ReplayPlan(settings, is_virtual, Retries(retries), seed, load, for_us)
            report = run(opened, plan, machine_info.describe_this_machine())
    except ReplayError as error:
        exit_unusable(ctx, error)
    if out_path is not None:
        Path(out_path).write_text(json.dumps(report) + "\n")
    brief = {name: value for name, value in report.items() if name not in LONG_VALUES}
    print_report(report if as_json else brief, as_json)
    if not report["counts"]:
        exit_unusable(ctx, "the senders fell behind: this run does not count")
