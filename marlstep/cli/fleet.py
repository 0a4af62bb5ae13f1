"""`marlstep fleet`: what a node knows of its fleet, and the steps by which a group begins or goes on."""

from __future__ import annotations

import http.client
import json
import os
import secrets
import time
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click

from marlstep.config import ConfigError, load
from marlstep.config.cluster import ClusterConfig

WAIT_S = 10.0  # for the group to answer one order
Where = tuple[str | None, str | None, str | None]  # operator's file, administration, token's file
TIMEOUT_S = 3.0


@click.group()
def group() -> None:
    """The fleet that a node is part of."""


def asked(function: Any) -> Any:
    """The options of commands that ask a running node."""
    for option in (
        click.option("--json", "as_json", is_flag=True, help="Print the node's answer as JSON."),
        click.option(
            "--token-file", type=click.Path(), help="Its bearer token; else from the operator's file."
        ),
        click.option("--admin", help="Its administration listener, as 127.0.0.1:9099."),
        click.option("--operator", type=click.Path(), help="The operator's file of that node."),
    ):
        function = option(function)
    return function


def call(path: str, operator: str | None, admin: str | None, token_file: str | None, told: Any = None) -> Any:
    """GET, or POST with what is told. Raises click.ClickException."""
    if operator is not None:
        try:
            named = tomllib.loads(Path(operator).read_text("utf-8")).get("admin", {})
        except (OSError, ValueError) as fault:
            raise click.UsageError(f"--operator: {operator}: {fault}") from fault
        admin, token_file = admin or named.get("listen"), token_file or named.get("token_file")
    if not admin or not token_file:
        raise click.UsageError("which node: --operator FILE with [admin], or --admin and --token-file")
    host, _, port = admin.rpartition(":")
    try:
        token = Path(token_file).read_text("utf-8").strip()
        line = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
        body = None if told is None else json.dumps(told)
        line.request("GET" if told is None else "POST", path, body, {"Authorization": f"Bearer {token}"})
        answer = line.getresponse()
        said = answer.read()
    except (OSError, ValueError, http.client.HTTPException) as fault:
        raise click.ClickException(f"{admin}: {fault}") from fault
    if answer.status == 404:
        raise click.ClickException(
            f"{admin}: no {path}: the operator's file of that node does not turn it on"
        )
    if answer.status not in (200, 202):
        raise click.ClickException(f"{admin}: {answer.status} {said.decode('utf-8', 'replace').strip()}")
    return json.loads(said)


def table(heads: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    cells = [list(heads), *([("-" if one in (None, "") else str(one)) for one in row] for row in rows)]
    widths = [max(len(row[at]) for row in cells) for at in range(len(heads))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    )


@group.command()
@asked
def members(operator: str | None, admin: str | None, token_file: str | None, as_json: bool) -> None:
    """Who is there: as this node hears it, as the group has agreed, since when and by whom.

    \b
    Example:
      marlstep fleet members --operator n1.toml
    """
    told = call("/v1/fleet/members", operator, admin, token_file)
    if as_json:
        click.echo(json.dumps(told))
        return
    doubt = f", doubts itself ({told['doubt']})" if told["doubt"] else ""
    click.echo(f"{told['node']}: the group answered {told['group_answered_ms']} ms ago{doubt}")
    if told["twin"]:
        click.echo(f"ANOTHER PROCESS GOES BY THE NAME {told['node']}")
    rows = []
    for one in told["members"]:
        agreed = {None: "unknown here", True: "belongs", False: "out"}[one["agreed"]]
        since = None if one["for_ms"] is None else f"{one['for_ms'] / 1000:.1f}"
        rows.append(
            (one["node"], one["process"], one["heard"], since, one["by"], agreed, one["zone"], one["why"])
        )
    click.echo(table(("node", "process", "heard", "for s", "by", "agreed", "zone", "why"), rows))
    if told["guarded"]:
        click.echo(
            f"not believed to have failed all at once: {', '.join(told['guarded'])}; see `fleet believe`"
        )


@group.command()
@asked
def situation(operator: str | None, admin: str | None, token_file: str | None, as_json: bool) -> None:
    """How this node stands among the others, what it does there, and how it came to that."""
    told = call("/v1/fleet/situation", operator, admin, token_file)
    if as_json:
        click.echo(json.dumps(told))
        return
    overdue = "; LONGER THAN IT SHOULD" if told["overdue"] else ""
    click.echo(f"{told['node']}: {told['situation']}, for {told['for_ms'] / 1000:.1f} s{overdue}")
    does = [name.replace("_", " ") for name, whether in told["conduct"].items() if whether]
    does_not = [name.replace("_", " ") for name, whether in told["conduct"].items() if not whether]
    click.echo(f"does: {', '.join(does) or 'nothing of it'}; does not: {', '.join(does_not) or 'nothing'}")
    for key, value in told["sees"].items():
        click.echo(f"  {key.replace('_', ' ')}: {', '.join(value) if isinstance(value, list) else value}")
    for turn in told["turns"][-8:]:
        click.echo(f"  {turn['ago_ms'] / 1000:.1f} s ago: {turn['now']}, before: {turn['before']}")


def order(where: Where, path: str, told: dict[str, Any]) -> dict[str, Any]:
    """Ask for it, and wait for what the group made of it. Raises click.ClickException."""
    number = str(call(f"/v1/fleet/{path}", *where, told)["asked"])
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        answers = call("/v1/fleet/asked", *where)
        if number in answers:
            found: dict[str, Any] = answers[number]
            return found
        time.sleep(0.02)
    raise click.ClickException(
        f"the group did not answer in {WAIT_S:.0f} s: nothing is known of what became of it"
    )


def ordered(where: Where, what: str, told: dict[str, Any]) -> None:
    """Ask for a change of the members, and say what became of it."""
    answer = order(where, f"members/{what}", told)
    if "refused" in answer or "error" in answer:
        raise click.ClickException(str(answer.get("refused", answer.get("error"))))
    click.echo(json.dumps(answer))


@group.command()
@click.argument("node")
@click.option("--why", default="an operator", help="For the record.")
@asked
def remove(
    node: str, why: str, operator: str | None, admin: str | None, token_file: str | None, as_json: bool
) -> None:
    """Take a node out of the fleet until `readmit`, whatever is heard of it."""
    ordered((operator, admin, token_file), "remove", {"node": node, "why": why})


@group.command()
@click.argument("node")
@asked
def readmit(
    node: str, operator: str | None, admin: str | None, token_file: str | None, as_json: bool
) -> None:
    """Let a node come in again, after the shortest probation."""
    ordered((operator, admin, token_file), "readmit", {"node": node})


@group.command()
@click.argument("nodes", nargs=-1, required=True)
@asked
def believe(
    nodes: tuple[str, ...], operator: str | None, admin: str | None, token_file: str | None, as_json: bool
) -> None:
    """These have failed indeed, though they are many at once: the leader may take them out."""
    ordered((operator, admin, token_file), "believe", {"nodes": list(nodes)})


@group.command()
@asked
def status(operator: str | None, admin: str | None, token_file: str | None, as_json: bool) -> None:
    """Who leads, who votes, how far behind each is, and what this node dropped.

    \b
    Example:
      marlstep fleet status --operator n1.toml
    """
    told = call("/v1/fleet", operator, admin, token_file)
    if as_json:
        click.echo(json.dumps(told))
        return
    heard = "never" if told["heard_ms"] is None else f"{told['heard_ms']} ms ago"
    click.echo(
        f"{told['node']} of fleet {told['fleet']}, process {told['boot']}, group {told['group'] or 'none yet'}"
    )
    click.echo(f"asks {told['asks']}; the group last answered {heard}")
    voter = told["voter"]
    if voter is None:
        click.echo("does not vote")
    else:
        click.echo(
            f"votes as {voter['identity']}: {voter['role']}, term {voter['term']}, leader "
            f"{voter['leader'] or 'unknown'}, entries {voter['last']}, committed {voter['commit']}"
        )
        rows: list[Sequence[object]] = [(one, "votes", voter["lag"].get(one)) for one in voter["voters"]]
        rows += [(one, "listens", voter["lag"].get(one)) for one in voter["learners"]]
        click.echo(table(("member", "part", "entries behind"), rows))
    counted = {**told["lines"], **told["counts"]}
    click.echo(table(("counted", "times"), sorted(counted.items())))


@group.command()
@asked
def leases(operator: str | None, admin: str | None, token_file: str | None, as_json: bool) -> None:
    """Who holds what, and what this node does with what it holds."""
    told = call("/v1/fleet/leases", operator, admin, token_file)
    if as_json:
        click.echo(json.dumps(told))
        return
    if told["agreed"] is None:
        click.echo(f"{told['node']} does not vote: it knows only its own leases")
    else:
        agreed: list[Sequence[object]] = [
            (one["name"], one["holder"], one["token"], one["last"], one["grants"]) for one in told["agreed"]
        ]
        click.echo(table(("lease", "holder", "token", "before", "grants"), agreed))
    rows: list[Sequence[object]] = [(one["name"], one["token"], one["left_ms"]) for one in told["holds"]]
    click.echo(table((f"held by {told['node']}", "token", "ms left"), rows))
    rows = [(one["name"], one["state"], one["token"], one["counts"]["acts"]) for one in told["tasks"]]
    click.echo(table(("task", "here", "token", "acts"), rows))


@group.command()
@asked
def log(operator: str | None, admin: str | None, token_file: str | None, as_json: bool) -> None:
    """The last entries of the log, and what this node saw change, with the reason for each."""
    told = call("/v1/fleet/log", operator, admin, token_file)
    if as_json:
        click.echo(json.dumps(told))
        return
    rows: list[Sequence[object]] = [
        (
            one["index"],
            one["command"].get("m"),
            one["command"].get("do"),
            json.dumps(one["command"]),
            json.dumps(one["result"]),
        )
        for one in told["applied"]
    ]
    click.echo(table(("entry", "of", "what", "command", "result"), rows))
    rows = [(one["at"], one["what"], one["why"]) for one in told["changes"]]
    click.echo(table(("at", "change", "why"), rows))


# Before a node starts.


def voter_of(config: str | None, operator: str) -> ClusterConfig:
    environ = dict(os.environ)
    if config is not None:
        environ["PROXY_CONFIG"] = config
    try:
        told = load(environ, operator).cluster
    except ConfigError as fault:
        raise click.UsageError(str(fault)) from fault
    if told is None or told.store is None:
        raise click.UsageError(f"{operator}: this node is no voter of a [fleet]")
    return told


@group.command()
@click.option("--config", type=click.Path(), help="The platform's JSON; else PROXY_CONFIG names it.")
@click.option("--operator", type=click.Path(), required=True)
def init(config: str | None, operator: str) -> None:
    """Make a new group, of this voter alone. Once for a fleet, on one voter, before it is first started.

    The other voters start with nothing, ask to be taken in, and vote once they have caught up.
    """
    from marlstep.cluster.recovery import create_group
    from marlstep.cluster.store_errors import StoreError, StoreRefusedError

    told = voter_of(config, operator)
    assert told.store is not None
    group_name = f"1.{secrets.token_hex(8)}"
    try:
        create_group(told.store, told.node, f"{told.node}#{secrets.token_hex(6)}", group_name)
    except (StoreError, StoreRefusedError) as fault:
        raise click.ClickException(str(fault)) from fault
    click.echo(
        f"group {group_name}: {told.node} votes alone until others are taken in; the store is {told.store}"
    )


@group.command()
@click.option("--config", type=click.Path(), help="The platform's JSON; else PROXY_CONFIG names it.")
@click.option("--operator", type=click.Path(), required=True)
@click.option(
    "--epoch", type=click.IntRange(2, 999_999), required=True, help="One more than the lost group's."
)
@click.option("--yes", is_flag=True, help="The other voters are stopped, and stay so until this one runs.")
def recover(config: str | None, operator: str, epoch: int, yes: bool) -> None:
    """Go on with this voter alone, after a majority was lost for good. What only the others had is lost.

    Tokens go on a million above those that this store knows, so that no old one can pass for new.
    """
    from marlstep.cluster.recovery import recover_group
    from marlstep.cluster.store_errors import StoreError, StoreRefusedError

    if not yes:
        raise click.UsageError(
            "stop the other voters, and say so with --yes: two groups must not act at once"
        )
    told = voter_of(config, operator)
    assert told.store is not None
    try:
        found = recover_group(told.store, told.node, f"{epoch}.{secrets.token_hex(8)}")
    except (StoreError, StoreRefusedError) as fault:
        raise click.ClickException(str(fault)) from fault
    click.echo(json.dumps(found.to_json()))
