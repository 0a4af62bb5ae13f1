"""`marlstep rules rollback`: propose a new version with the content of an old one."""

from __future__ import annotations

import json

import click

from marlstep.cli.admin_client import AdminClient, node_options
from marlstep.cli.rules.documents import fetch_document, find_version
from marlstep.cli.rules.orders import Proposal, proposal_options, propose


@click.command()
@click.argument("name")
@click.argument("number", type=int)
@proposal_options
@node_options
def rollback(client: AdminClient, name: str, number: int, proposal: Proposal, as_json: bool) -> None:
    """Make a new version with the content of an old one."""
    old = find_version(fetch_document(client, name), number)
    body = proposal.body(proposal.note or f"back to version {number}")
    propose(client, name, json.loads(old["content"]), body, proposal.wait_s, as_json)
