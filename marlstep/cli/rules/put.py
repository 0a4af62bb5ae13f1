"""`marlstep rules put`: propose a new version of a document."""

from __future__ import annotations

import click

from marlstep.cli.admin_client import AdminClient, node_options
from marlstep.cli.output import unwrapped_help
from marlstep.cli.rules.documents import read_content
from marlstep.cli.rules.orders import Proposal, proposal_options, propose


@click.command()
@click.argument("name")
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@proposal_options
@click.option("--hold-out", is_flag=True, help="Go on without nodes that can't take it; these stop.")
@node_options
@unwrapped_help("Example:", "  marlstep rules put tenants new.json --expect 3 --wait 10 --operator n1.toml")
def put(client: AdminClient, name: str, path: str, proposal: Proposal, hold_out: bool, as_json: bool) -> None:
    """Propose a new version from a JSON file."""
    body = {**proposal.body(), "hold_out": hold_out}
    propose(client, name, read_content(path), body, proposal.wait_s, as_json)
