"""`marlstep fleet log`: print the last entries of the replicated log, and the events of one node."""

from __future__ import annotations

import json

import click

from marlstep.cli.admin_client import AdminClient, node_options
from marlstep.cli.output import JsonObject, Row, print_json, render_table


@click.command()
@node_options
def log(client: AdminClient, as_json: bool) -> None:
    """The last entries of the log, and what this node saw change, with the reason for each."""
    page = client.get("/v1/fleet/log")
    if as_json:
        print_json(page)
        return
    entries = [_entry_row(entry) for entry in page["applied"]]
    click.echo(render_table(("entry", "of", "what", "command", "result"), entries))
    events: list[Row] = [(event["at"], event["what"], event["why"]) for event in page["changes"]]
    click.echo(render_table(("at", "change", "why"), events))


def _entry_row(entry: JsonObject) -> Row:
    command = entry["command"]
    return (
        entry["index"],
        command.get("m"),
        command.get("do"),
        json.dumps(command),
        json.dumps(entry["result"]),
    )
