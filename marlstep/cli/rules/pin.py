"""`marlstep rules fix` and `unfix`: pin a version of a document on one node, and unpin it."""

from __future__ import annotations

import click

from marlstep.cli.admin_client import AdminClient, node_order_options
from marlstep.cli.errors import OptionError
from marlstep.cli.output import print_json
from marlstep.cli.rules.documents import read_content

NOT_CONFIRMED = "this node will follow nobody, whatever the others act on: say so with --yes"


@click.command()
@click.argument("name")
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@click.option("--yes", "is_confirmed", is_flag=True, help="The group is lost, and this node alone is meant.")
@node_order_options
def fix(client: AdminClient, name: str, path: str, is_confirmed: bool) -> None:
    """Put a version in force on one node, without the group, until `unfix`."""
    if not is_confirmed:
        raise OptionError(NOT_CONFIRMED)
    print_json(client.post("/v1/fleet/rules/fix", {"doc": name, "content": read_content(path)}))


@click.command()
@click.argument("name")
@node_order_options
def unfix(client: AdminClient, name: str) -> None:
    """Follow the group again. `status` before it shows how the two differ."""
    print_json(client.post("/v1/fleet/rules/unfix", {"doc": name}))
