"""`marlstep rules go`: end the canary rollout of a staged change, and activate it on all nodes."""

from __future__ import annotations

import click

from marlstep.cli.admin_client import AdminClient, node_options
from marlstep.cli.rules.orders import order, report_outcome


@click.command()
@click.argument("name")
@click.argument("number", type=int)
@node_options
def go(client: AdminClient, name: str, number: int, as_json: bool) -> None:
    """Let a staged change go on to all now, whatever the figures say."""
    report_outcome(order(client, "go", {"doc": name, "version": number}), as_json)
