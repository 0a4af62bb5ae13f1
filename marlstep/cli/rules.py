"""`marlstep rules`: documents on which the nodes of a fleet agree."""

from __future__ import annotations

import getpass
import json
import secrets
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click

from marlstep.cli.fleet import Where, asked, call, table
from marlstep.cli.fleet import order as fleet_order
from marlstep.cli.spans import SPAN_TYPE
from marlstep.replicated_config.comparison import differences
from marlstep.replicated_config.documents import canonical_json, content_digest

PIECE = 1_200  # characters in one call: the administration takes bodies of 4 KB


@click.group()
def group() -> None:
    """Documents on which the nodes of a fleet agree: settings, tenants, lists of servers."""


def order(where: Where, what: str, told: dict[str, Any]) -> dict[str, Any]:
    """Raises click.ClickException."""
    return fleet_order(where, f"rules/{what}", told)


def send(where: Where, name: str, content: Any, told: dict[str, Any]) -> dict[str, Any]:
    """A version in pieces, and then the change itself."""
    text, upload = canonical_json(content), secrets.token_hex(8)
    for offset in range(0, len(text), PIECE):
        piece = {"upload": upload, "offset": offset, "data": text[offset : offset + PIECE]}
        taken = order(where, "part", piece)
        if "taken" not in taken:
            raise click.ClickException(str(taken.get("refused", taken)))
    put = {"doc": name, "upload": upload, "digest": content_digest(text), "author": getpass.getuser()}
    return order(where, "put", {**put, **told})


def known(where: Where, name: str) -> dict[str, Any]:
    found: dict[str, Any] = call(f"/v1/fleet/rules/{name}", *where)
    return found


def version_of(told: dict[str, Any], number: int | None) -> dict[str, Any]:
    if not told["versions"]:
        raise click.ClickException(f"{told['name']} has no version yet")
    if number is None:
        found: dict[str, Any] = told["versions"][-1]
        return found
    kept = {one["version"]: one for one in told["versions"]}
    if number not in kept:
        raise click.ClickException(f"version {number} is not kept: {', '.join(map(str, kept))}")
    return dict(kept[number])


def read(path: str) -> Any:
    try:
        return json.loads(Path(path).read_text("utf-8"))
    except (OSError, ValueError) as fault:
        raise click.UsageError(f"{path}: {fault}") from fault


def end(answer: dict[str, Any], as_json: bool) -> None:
    """Say what became of a change; a refusal ends the command with 2."""
    if as_json:
        click.echo(json.dumps(answer))
    if "refused" in answer or "error" in answer:
        raise click.ClickException(str(answer.get("refused", answer.get("error"))))
    if not as_json and "in_force" in answer:
        click.echo(f"version {answer['in_force']} is in force")
    if not as_json and "staged" in answer:
        click.echo(f"version {answer['staged']} is acted on first by {', '.join(answer['first_on'])}")
    if not as_json and "withdrawn" in answer:
        click.echo(f"version {answer['withdrawn']} is withdrawn")
    if not as_json and "waits_for" in answer and "prepares" not in answer:
        raise click.ClickException(f"it waits for {', '.join(answer['waits_for'])}: try again")
    if not as_json and "prepares" in answer:
        waits = ", ".join(answer["waits_for"]) or "nobody"
        click.echo(f"version {answer['prepares']} is being prepared, and waits for {waits}")


def proposed(function: Any) -> Any:
    """The options of every new version."""
    for option in (
        click.option(
            "--wait", type=click.FloatRange(0, 3600), default=0.0, help="Seconds, until it is over."
        ),
        click.option("--force", is_flag=True, help="Also where a list empties, or loses over half."),
        click.option("--note", default="", help="Why, for the history."),
        click.option("--expect", type=int, required=True, help="The version that is in force now."),
    ):
        function = option(function)
    return function


def propose(where: Where, name: str, content: Any, told: dict[str, Any], wait: float, as_json: bool) -> None:
    """Send it, and with `wait` see it through to its end: in force, or turned down."""
    answer = send(where, name, content, told)
    if "prepares" not in answer or not wait:
        end(answer, as_json)
        return
    version, until = answer["prepares"], time.monotonic() + wait
    while time.monotonic() < until:
        now = order(where, "get", {"doc": name})
        down = [row for row in now["turned_down"] if row["version"] == version]
        if down:
            end({"refused": f"version {version} was turned down: {down[0]['why']}"}, as_json)
        if now["version"] >= version:
            click.echo(json.dumps(now) if as_json else f"version {version} is in force")
            return
        time.sleep(0.1)
    raise click.ClickException(
        f"version {version} is still on its way after {wait:g} s: see `rules log {name}`"
    )


@group.command()
@click.argument("name")
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@proposed
@click.option("--hold-out", is_flag=True, help="Go on without nodes that can't take it; these stop.")
@asked
def put(
    name: str, path: str, expect: int, note: str, force: bool, wait: float, hold_out: bool,
    operator: str | None, admin: str | None, token_file: str | None, as_json: bool,
) -> None:  # fmt: skip
    """Propose a new version from a JSON file.

    \b
    Example:
      marlstep rules put tenants new.json --expect 3 --wait 10 --operator n1.toml
    """
    told = {"expect": expect, "note": note, "hold_out": hold_out, "force": force}
    propose((operator, admin, token_file), name, read(path), told, wait, as_json)


@group.command()
@click.argument("name")
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@proposed
@click.option("--node", "nodes", multiple=True, help="Acts on it first; may be given again.")
@click.option(
    "--share", type=click.FloatRange(0, 1, min_open=True, max_open=True), help="Of the nodes, instead."
)
@click.option(
    "--for", "for_us", type=SPAN_TYPE, default="60s", show_default=True, help="As 500ms, 30s or 10m."
)
@click.option(
    "--worse", type=click.FloatRange(0, 100), default=2.0, show_default=True, help="Points of percent."
)
@click.option("--least", type=click.IntRange(0), default=50, show_default=True, help="Requests to be seen.")
@asked
def stage(
    name: str, path: str, expect: int, note: str, force: bool, wait: float,
    nodes: tuple[str, ...], share: float | None, for_us: int, worse: float, least: int,
    operator: str | None, admin: str | None, token_file: str | None, as_json: bool,
) -> None:  # fmt: skip
    """Propose a new version that some nodes act on first, and go on or back by how they do.

    \b
    It goes back by itself as soon as a larger share of the requests there is refused, late or failed than on the
    other nodes (by more than --worse and beyond chance), or one of their processes ends; else on to all after --for.
    Example:
      marlstep rules stage servers new.json --expect 3 --node n4 --for 5m --operator n1.toml
    """
    if bool(nodes) == (share is not None):
        raise click.UsageError("say which nodes with --node, or how many with --share")
    told: dict[str, Any] = {"for_ms": for_us // 1000, "worse": worse / 100, "least": least}
    told |= {"nodes": list(nodes)} if nodes else {"share": share}
    put = {"expect": expect, "note": note, "force": force, "stage": told}
    propose((operator, admin, token_file), name, read(path), put, wait, as_json)


@group.command()
@click.argument("name")
@click.argument("number", type=int)
@asked
def go(
    name: str, number: int, operator: str | None, admin: str | None, token_file: str | None, as_json: bool
) -> None:
    """Let a staged change go on to all now, whatever the figures say."""
    end(order((operator, admin, token_file), "go", {"doc": name, "version": number}), as_json)


@group.command()
@click.argument("name")
@click.option("--version", "number", type=int, help="Else the one in force.")
@click.option("--agreed", is_flag=True, help="Ask the group which version is in force now, through its log.")
@asked
def get(
    name: str, number: int | None, agreed: bool,
    operator: str | None, admin: str | None, token_file: str | None, as_json: bool,
) -> None:  # fmt: skip
    """Print the content of a version; asked of a node that does not vote, the one that it acts on."""
    where = (operator, admin, token_file)
    if agreed:
        click.echo(json.dumps(order(where, "get", {"doc": name})))
        return
    found = version_of(known(where, name), number)
    content = json.loads(found["content"])
    click.echo(json.dumps(found) if as_json else json.dumps(content, indent=2, sort_keys=True))


@group.command()
@click.argument("name")
@asked
def log(name: str, operator: str | None, admin: str | None, token_file: str | None, as_json: bool) -> None:
    """The versions that are kept, what is being prepared, and what was turned down."""
    told = known((operator, admin, token_file), name)
    if as_json:
        click.echo(json.dumps(told))
        return
    rows: list[Sequence[object]] = [
        (one["version"], one.get("author"), one.get("at"), one.get("note")) for one in told["versions"]
    ]
    click.echo(table(("version", "author", "at", "note"), rows))
    if told.get("preparing"):
        click.echo(
            f"version {told['preparing']} is being prepared, and waits for {', '.join(told['waits_for'])}"
        )
    for one in told.get("turned_down", ()):
        click.echo(f"version {one['version']} of {one['author']} was turned down: {one['why']}")


@group.command()
@click.argument("name")
@click.argument("first")
@click.argument("second", required=False)
@asked
def diff(
    name: str, first: str, second: str | None,
    operator: str | None, admin: str | None, token_file: str | None, as_json: bool,
) -> None:  # fmt: skip
    """What a change changes, figure by figure: two versions, or a version and a file.

    \b
    Example:
      marlstep rules diff settings 3 new.json --operator n1.toml
    """
    told = known((operator, admin, token_file), name)

    def content(word: str | None) -> Any:
        if word is None or word.isdigit():
            return json.loads(version_of(told, int(word) if word else None)["content"])
        return read(word)

    lines = list(differences(content(first), content(second)))
    click.echo(json.dumps(lines) if as_json else "\n".join(lines) or "no difference")


@group.command()
@click.argument("name")
@click.argument("number", type=int)
@proposed
@asked
def rollback(
    name: str, number: int, expect: int, note: str, force: bool, wait: float,
    operator: str | None, admin: str | None, token_file: str | None, as_json: bool,
) -> None:  # fmt: skip
    """Make a new version with the content of an old one."""
    where = (operator, admin, token_file)
    old = version_of(known(where, name), number)
    told = {"expect": expect, "note": note or f"back to version {number}", "force": force}
    propose(where, name, json.loads(old["content"]), told, wait, as_json)


@group.command()
@click.argument("name")
@click.argument("number", type=int)
@click.option("--why", default="an operator", help="For the history.")
@asked
def withdraw(
    name: str, number: int, why: str,
    operator: str | None, admin: str | None, token_file: str | None, as_json: bool,
) -> None:  # fmt: skip
    """Take a change back that is still being prepared."""
    told = {"doc": name, "version": number, "why": why}
    end(order((operator, admin, token_file), "withdraw", told), as_json)


@group.command()
@click.option("--here", is_flag=True, help="Only what the node that is asked knows by itself.")
@asked
def status(
    here: bool, operator: str | None, admin: str | None, token_file: str | None, as_json: bool
) -> None:
    """What every node acts on, since when, under which lease, and why it is behind; how this one's files differ."""
    where = (operator, admin, token_file)
    told = call("/v1/fleet/rules", *where)
    all_of_them: list[dict[str, Any]] | None = None
    if not here:
        try:
            told_of = order(where, "standings", {})
            all_of_them = told_of["standings"]
            while len(all_of_them) < told_of["of"] and told_of["standings"]:
                told_of = order(where, "standings", {"from": len(all_of_them)})
                all_of_them += told_of["standings"]
        except click.ClickException:
            all_of_them = None  # no group: what this node knows is still shown
    if as_json:
        click.echo(json.dumps({**told, "nodes": all_of_them}))
        return
    takes = "takes work" if told["takes_work"] else "refuses new work"
    click.echo(f"{told['node']} {takes}; its lease on the rules has {told['lease_ms']} ms left")
    for one in told["documents"]:
        preparing = f", version {one['preparing']} is being prepared" if one["preparing"] else ""
        click.echo(
            f"{one['name']}: version {one['in_force']} is in force{preparing}; cut off: {one['cut_off']}"
        )
    mine = [{"process": told["node"], "lease_ms": told["lease_ms"], "heard_ms": 0, "acts": told["acts"]}]
    rows: list[Sequence[object]] = [
        (one["process"], one["lease_ms"], one["heard_ms"], name, version, f"{for_ms / 1000:.1f}", state, why)
        for one in (mine if all_of_them is None else all_of_them)
        for name, version, state, for_ms, why in one["acts"]
    ]
    heads = ("process", "lease ms", "heard ms", "document", "acts on", "for s", "state", "why")
    click.echo(table(heads, rows))
    if all_of_them is None and not here:
        click.echo("the group did not answer: only this node is shown")
    for one in told["documents"]:
        for line in one["differs"]:
            click.echo(f"{one['name']}: the files of this node differ: {line}")
        for line in one["against_group"] or ():
            click.echo(f"{one['name']}: the group's version differs from the fixed one: {line}")


@group.command()
@click.argument("name")
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@click.option("--yes", is_flag=True, help="The group is lost, and this node alone is meant.")
@asked
def fix(
    name: str, path: str, yes: bool,
    operator: str | None, admin: str | None, token_file: str | None, as_json: bool,
) -> None:  # fmt: skip
    """Put a version in force on one node, without the group, until `unfix`."""
    if not yes:
        raise click.UsageError("this node will follow nobody, whatever the others act on: say so with --yes")
    told = call("/v1/fleet/rules/fix", operator, admin, token_file, {"doc": name, "content": read(path)})
    click.echo(json.dumps(told))


@group.command()
@click.argument("name")
@asked
def unfix(name: str, operator: str | None, admin: str | None, token_file: str | None, as_json: bool) -> None:
    """Follow the group again. `status` before it shows how the two differ."""
    click.echo(json.dumps(call("/v1/fleet/rules/unfix", operator, admin, token_file, {"doc": name})))
