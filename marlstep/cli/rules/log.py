"""`marlstep rules log`: print the history of a document."""

from __future__ import annotations

import click

from marlstep.cli.admin_client import AdminClient, node_options
from marlstep.cli.output import Row, print_json, render_table
from marlstep.cli.rules.documents import fetch_document


@click.command()
@click.argument("name")
@node_options
def log(client: AdminClient, name: str, as_json: bool) -> None:
    """The versions that are kept, what is being prepared, and what was turned down."""
    document = fetch_document(client, name)
    if as_json:
        print_json(document)
        return
    rows: list[Row] = [
        (version["version"], version.get("author"), version.get("at"), version.get("note"))
        for version in document["versions"]
    ]
    click.echo(render_table(("version", "author", "at", "note"), rows))
    if document.get("preparing"):
        waits_for = ", ".join(document["waits_for"])
        click.echo(f"version {document['preparing']} is being prepared, and waits for {waits_for}")
    for rejection in document.get("turned_down", ()):
        click.echo(
            f"version {rejection['version']} of {rejection['author']} was turned down: {rejection['why']}"
        )
