"""`marlstep fleet situation`: show the partition state of one node, and what it may do in it."""

from __future__ import annotations

import click

from marlstep.cli.admin_client import AdminClient, node_options
from marlstep.cli.output import JsonObject, print_json

MAX_TRANSITIONS = 8  # the newest ones, which are printed


@click.command()
@node_options
def situation(client: AdminClient, as_json: bool) -> None:
    """How this node stands among the others, what it does there, and how it came to that."""
    page = client.get("/v1/fleet/situation")
    if as_json:
        print_json(page)
        return
    overdue = "; LONGER THAN IT SHOULD" if page["overdue"] else ""
    click.echo(f"{page['node']}: {page['situation']}, for {page['for_ms'] / 1000:.1f} s{overdue}")
    click.echo(_render_conduct(page["conduct"]))
    for key, value in page["sees"].items():
        click.echo(f"  {_with_spaces(key)}: {', '.join(value) if isinstance(value, list) else value}")
    for transition in page["turns"][-MAX_TRANSITIONS:]:
        age_s = transition["ago_ms"] / 1000
        click.echo(f"  {age_s:.1f} s ago: {transition['now']}, before: {transition['before']}")


def _render_conduct(conduct: JsonObject) -> str:
    allowed = [_with_spaces(name) for name, is_allowed in conduct.items() if is_allowed]
    forbidden = [_with_spaces(name) for name, is_allowed in conduct.items() if not is_allowed]
    return f"does: {', '.join(allowed) or 'nothing of it'}; does not: {', '.join(forbidden) or 'nothing'}"


def _with_spaces(name: str) -> str:
    return name.replace("_", " ")
