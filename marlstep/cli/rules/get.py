"""`marlstep rules get`: print the content of a version."""

from __future__ import annotations

import json

import click

from marlstep.cli.admin_client import AdminClient, node_options
from marlstep.cli.output import print_json
from marlstep.cli.rules.documents import fetch_document, find_version
from marlstep.cli.rules.orders import order


@click.command()
@click.argument("name")
@click.option("--version", "number", type=int, help="Else the one in force.")
@click.option(
    "--agreed",
    "asks_group",
    is_flag=True,
    help="Ask the group which version is in force now, through its log.",
)
@node_options
def get(client: AdminClient, name: str, number: int | None, asks_group: bool, as_json: bool) -> None:
    """Print the content of a version; asked of a node that does not vote, the one that it acts on."""
    if asks_group:
        print_json(order(client, "get", {"doc": name}))
        return
    version = find_version(fetch_document(client, name), number)
    content = json.loads(version["content"])
    if as_json:
        print_json(version)
    else:
        click.echo(json.dumps(content, indent=2, sort_keys=True))
