"""`marlstep fleet status`: show the group as one node knows it, and the node's counters."""

from __future__ import annotations

import click

from marlstep.cli.admin_client import AdminClient, node_options
from marlstep.cli.output import JsonObject, Row, print_json, render_table, unwrapped_help


@click.command()
@node_options
@unwrapped_help("Example:", "  marlstep fleet status --operator n1.toml")
def status(client: AdminClient, as_json: bool) -> None:
    """Who leads, who votes, how far behind each is, and what this node dropped."""
    page = client.get("/v1/fleet")
    if as_json:
        print_json(page)
        return
    click.echo(_render_node(page))
    click.echo(_render_voter(page["voter"]))
    counters = {**page["lines"], **page["counts"]}
    click.echo(render_table(("counted", "times"), sorted(counters.items())))


def _render_node(page: JsonObject) -> str:
    heard = "never" if page["heard_ms"] is None else f"{page['heard_ms']} ms ago"
    group_name = page["group"] or "none yet"
    return (
        f"{page['node']} of fleet {page['fleet']}, process {page['boot']}, group {group_name}\n"
        f"asks {page['asks']}; the group last answered {heard}"
    )


def _render_voter(voter: JsonObject | None) -> str:
    if voter is None:
        return "does not vote"
    lag = voter["lag"]
    rows: list[Row] = [(member, "votes", lag.get(member)) for member in voter["voters"]]
    rows += [(member, "listens", lag.get(member)) for member in voter["learners"]]
    return (
        f"votes as {voter['identity']}: {voter['role']}, term {voter['term']}, "
        f"leader {voter['leader'] or 'unknown'}, entries {voter['last']}, committed {voter['commit']}\n"
        + render_table(("member", "part", "entries behind"), rows)
    )
