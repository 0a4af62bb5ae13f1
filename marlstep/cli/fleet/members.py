"""`marlstep fleet members`: show the members as one node's failure detector sees them and as the group agreed."""

from __future__ import annotations

import click

from marlstep.cli.admin_client import AdminClient, node_options
from marlstep.cli.output import JsonObject, Row, print_json, render_table, unwrapped_help

HEADERS = ("node", "process", "heard", "for s", "by", "agreed", "zone", "why")
AGREED_STATES = {None: "unknown here", True: "belongs", False: "out"}


@click.command()
@node_options
@unwrapped_help("Example:", "  marlstep fleet members --operator n1.toml")
def members(client: AdminClient, as_json: bool) -> None:
    """Who is there: as this node hears it, as the group has agreed, since when and by whom."""
    page = client.get("/v1/fleet/members")
    if as_json:
        print_json(page)
        return
    doubt = f", doubts itself ({page['doubt']})" if page["doubt"] else ""
    click.echo(f"{page['node']}: the group answered {page['group_answered_ms']} ms ago{doubt}")
    if page["twin"]:
        click.echo(f"ANOTHER PROCESS GOES BY THE NAME {page['node']}")
    click.echo(render_table(HEADERS, [_member_row(member) for member in page["members"]]))
    if page["guarded"]:
        guarded = ", ".join(page["guarded"])
        click.echo(f"not believed to have failed all at once: {guarded}; see `fleet believe`")


def _member_row(member: JsonObject) -> Row:
    state_age_s = None if member["for_ms"] is None else f"{member['for_ms'] / 1000:.1f}"
    return (
        member["node"],
        member["process"],
        member["heard"],
        state_age_s,
        member["by"],
        AGREED_STATES[member["agreed"]],
        member["zone"],
        member["why"],
    )
