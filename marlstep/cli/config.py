"""`marlstep config`."""

from __future__ import annotations

import json
import os

import click

from marlstep.config import ConfigError, load


@click.group()
def group() -> None:
    """Check configuration files."""


@group.command()
@click.option("--config", "path", type=click.Path(), help="The platform's JSON; else PROXY_CONFIG names it.")
@click.option("--operator", type=click.Path(), help="The operator's file.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.pass_context
def check(ctx: click.Context, path: str | None, operator: str | None, as_json: bool) -> None:
    """Say what is wrong with a configuration, by file and key; 0 where nothing is, else 2.

    \b
    Example:
      marlstep config check --config deploy/node.json --operator deploy/uwsgi.toml
    """
    environ = dict(os.environ)
    if path is not None:
        environ["PROXY_CONFIG"] = path
    try:
        config = load(environ, operator)
    except ConfigError as fault:
        click.echo(
            json.dumps({"good": False, "fault": str(fault)}) if as_json else f"marlstep: {fault}",
            err=not as_json,
        )
        ctx.exit(2)
    told = {
        "good": True,
        "name": config.name,
        "classes": [kind.name for kind in config.settings.classes],
        "tenants": len(config.settings.tenants),
        "uwsgi": config.uwsgi is not None,
        "admin": config.admin is not None,
        "fleet": None if config.cluster is None else config.cluster.name,
    }
    click.echo(json.dumps(told) if as_json else f"good: {told}")
