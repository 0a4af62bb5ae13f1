"""`marlstep fleet remove`, `readmit` and `believe`: change the members of the fleet."""

from __future__ import annotations

import click

from marlstep.cli.admin_client import AdminClient, check_accepted, node_order_options
from marlstep.cli.output import JsonObject, print_json


@click.command()
@click.argument("node")
@click.option("--why", "reason", default="an operator", help="For the record.")
@node_order_options
def remove(client: AdminClient, node: str, reason: str) -> None:
    """Take a node out of the fleet until `readmit`, whatever is heard of it."""
    _change_members(client, "remove", {"node": node, "why": reason})


@click.command()
@click.argument("node")
@node_order_options
def readmit(client: AdminClient, node: str) -> None:
    """Let a node come in again, after the shortest probation."""
    _change_members(client, "readmit", {"node": node})


@click.command()
@click.argument("nodes", nargs=-1, required=True)
@node_order_options
def believe(client: AdminClient, nodes: tuple[str, ...]) -> None:
    """These have failed indeed, though they are many at once: the leader may take them out."""
    _change_members(client, "believe", {"nodes": list(nodes)})


def _change_members(client: AdminClient, order: str, body: JsonObject) -> None:
    outcome = client.order(f"members/{order}", body)
    check_accepted(outcome)
    print_json(outcome)
