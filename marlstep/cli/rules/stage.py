"""`marlstep rules stage`: propose a new version, and roll it out to some nodes first."""

from __future__ import annotations

import click

from marlstep.cli.admin_client import AdminClient, node_options
from marlstep.cli.errors import OptionError
from marlstep.cli.output import JsonObject, unwrapped_help
from marlstep.cli.rules.documents import read_content
from marlstep.cli.rules.orders import Proposal, proposal_options, propose
from marlstep.cli.spans import SPAN_TYPE

MAX_PERCENT = 100
NODES_OR_SHARE = "say which nodes with --node, or how many with --share"


@click.command()
@click.argument("name")
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@proposal_options
@click.option("--node", "nodes", multiple=True, help="Acts on it first; may be given again.")
@click.option(
    "--share", type=click.FloatRange(0, 1, min_open=True, max_open=True), help="Of the nodes, instead."
)
@click.option(
    "--for",
    "duration_us",
    type=SPAN_TYPE,
    default="60s",
    show_default=True,
    help="As 500ms, 30s or 10m.",
)
@click.option(
    "--worse",
    "max_worse_percent",
    type=click.FloatRange(0, MAX_PERCENT),
    default=2.0,
    show_default=True,
    help="Points of percent.",
)
@click.option(
    "--least",
    "min_requests",
    type=click.IntRange(0),
    default=50,
    show_default=True,
    help="Requests to be seen.",
)
@node_options
@unwrapped_help(
    "It goes back by itself as soon as a larger share of the requests there is refused, late or failed than on the",
    "other nodes (by more than --worse and beyond chance), or one of their processes ends; else on to all after --for.",
    "Example:",
    "  marlstep rules stage servers new.json --expect 3 --node n4 --for 5m --operator n1.toml",
)
def stage(
    client: AdminClient,
    name: str,
    path: str,
    proposal: Proposal,
    nodes: tuple[str, ...],
    share: float | None,
    duration_us: int,
    max_worse_percent: float,
    min_requests: int,
    as_json: bool,
) -> None:
    """Propose a new version that some nodes act on first, and go on or back by how they do."""
    if bool(nodes) == (share is not None):
        raise OptionError(NODES_OR_SHARE)
    stage_body: JsonObject = {
        "for_ms": duration_us // 1000,
        "worse": max_worse_percent / MAX_PERCENT,
        "least": min_requests,
    }
    stage_body |= {"nodes": list(nodes)} if nodes else {"share": share}
    body = {**proposal.body(), "stage": stage_body}
    propose(client, name, read_content(path), body, proposal.wait_s, as_json)
