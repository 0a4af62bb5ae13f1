"""`marlstep rules diff`: compare two versions of a document, or a version and a file."""

from __future__ import annotations

import json

import click

from marlstep.cli.admin_client import AdminClient, node_options
from marlstep.cli.output import JsonObject, print_json, unwrapped_help
from marlstep.cli.rules.documents import fetch_document, find_version, read_content
from marlstep.replicated_config.comparison import differences


@click.command()
@click.argument("name")
@click.argument("first")
@click.argument("second", required=False)
@node_options
@unwrapped_help("Example:", "  marlstep rules diff settings 3 new.json --operator n1.toml")
def diff(client: AdminClient, name: str, first: str, second: str | None, as_json: bool) -> None:
    """What a change changes, figure by figure: two versions, or a version and a file."""
    document = fetch_document(client, name)
    lines = list(differences(_content(document, first), _content(document, second)))
    if as_json:
        print_json(lines)
    else:
        click.echo("\n".join(lines) or "no difference")


def _content(document: JsonObject, source: str | None) -> object:
    """Return the content of the newest version if `source` is None, else of the version or file that it names."""
    if source is not None and not source.isdigit():
        return read_content(source)
    version = find_version(document, int(source) if source else None)
    content: object = json.loads(version["content"])
    return content
