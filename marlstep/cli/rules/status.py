"""`marlstep rules status`: show the version that each process acts on, and why a process is behind."""

from __future__ import annotations

import click

from marlstep.cli.admin_client import AdminClient, node_options
from marlstep.cli.output import JsonObject, Row, print_json, render_table
from marlstep.cli.rules.orders import order

HEADERS = ("process", "lease ms", "heard ms", "document", "acts on", "for s", "state", "why")


@click.command()
@click.option("--here", "is_local", is_flag=True, help="Only what the node that is asked knows by itself.")
@node_options
def status(client: AdminClient, is_local: bool, as_json: bool) -> None:
    """What every node acts on, since when, under which lease, and why it is behind; how this one's files differ."""
    page = client.get("/v1/fleet/rules")
    processes = None if is_local else _fetch_processes(client)
    if as_json:
        print_json({**page, "nodes": processes})
        return
    click.echo(_render_node(page))
    listed = [_own_process(page)] if processes is None else processes
    rows = [row for process in listed for row in _process_rows(process)]
    click.echo(render_table(HEADERS, rows))
    if processes is None and not is_local:
        click.echo("the group did not answer: only this node is shown")
    for line in _render_differences(page):
        click.echo(line)


def _fetch_processes(client: AdminClient) -> list[JsonObject] | None:
    """Fetch the status of all processes from the group, page by page; None if the group does not answer."""
    try:
        page = order(client, "standings", {})
        processes: list[JsonObject] = page["standings"]
        while len(processes) < page["of"] and page["standings"]:
            page = order(client, "standings", {"from": len(processes)})
            processes += page["standings"]
    except click.ClickException:
        return None  # the node's own status is still shown
    return processes


def _own_process(page: JsonObject) -> JsonObject:
    return {"process": page["node"], "lease_ms": page["lease_ms"], "heard_ms": 0, "acts": page["acts"]}


def _render_node(page: JsonObject) -> str:
    admission = "takes work" if page["takes_work"] else "refuses new work"
    lines = [f"{page['node']} {admission}; its lease on the rules has {page['lease_ms']} ms left"]
    for document in page["documents"]:
        preparing = f", version {document['preparing']} is being prepared" if document["preparing"] else ""
        lines.append(
            f"{document['name']}: version {document['in_force']} is in force{preparing}; "
            f"cut off: {document['cut_off']}"
        )
    return "\n".join(lines)


def _process_rows(process: JsonObject) -> list[Row]:
    process_cells = (process["process"], process["lease_ms"], process["heard_ms"])
    return [
        (*process_cells, name, version, f"{age_ms / 1000:.1f}", state, reason)
        for name, version, state, age_ms, reason in process["acts"]
    ]


def _render_differences(page: JsonObject) -> list[str]:
    lines = []
    for document in page["documents"]:
        name = document["name"]
        lines += [f"{name}: the files of this node differ: {line}" for line in document["differs"]]
        lines += [
            f"{name}: the group's version differs from the fixed one: {line}"
            for line in document["against_group"] or ()
        ]
    return lines
