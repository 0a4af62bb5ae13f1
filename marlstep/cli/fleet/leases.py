"""`marlstep fleet leases`: show the leases that the group granted, and those that one node holds."""

from __future__ import annotations

import click

from marlstep.cli.admin_client import AdminClient, node_options
from marlstep.cli.output import JsonObject, Row, print_json, render_table


@click.command()
@node_options
def leases(client: AdminClient, as_json: bool) -> None:
    """Who holds what, and what this node does with what it holds."""
    page = client.get("/v1/fleet/leases")
    if as_json:
        print_json(page)
        return
    click.echo(_render_granted(page))
    held: list[Row] = [(lease["name"], lease["token"], lease["left_ms"]) for lease in page["holds"]]
    click.echo(render_table((f"held by {page['node']}", "token", "ms left"), held))
    tasks: list[Row] = [
        (task["name"], task["state"], task["token"], task["counts"]["acts"]) for task in page["tasks"]
    ]
    click.echo(render_table(("task", "here", "token", "acts"), tasks))


def _render_granted(page: JsonObject) -> str:
    if page["agreed"] is None:
        return f"{page['node']} does not vote: it knows only its own leases"
    rows: list[Row] = [
        (lease["name"], lease["holder"], lease["token"], lease["last"], lease["grants"])
        for lease in page["agreed"]
    ]
    return render_table(("lease", "holder", "token", "before", "grants"), rows)
