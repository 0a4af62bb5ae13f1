"""`marlstep rules withdraw`: cancel a change that is being prepared."""

from __future__ import annotations

import click

from marlstep.cli.admin_client import AdminClient, node_options
from marlstep.cli.rules.orders import order, report_outcome


@click.command()
@click.argument("name")
@click.argument("number", type=int)
@click.option("--why", "reason", default="an operator", help="For the history.")
@node_options
def withdraw(client: AdminClient, name: str, number: int, reason: str, as_json: bool) -> None:
    """Take a change back that is still being prepared."""
    body = {"doc": name, "version": number, "why": reason}
    report_outcome(order(client, "withdraw", body), as_json)
