"""`marlstep config`: check configuration files."""

from __future__ import annotations

import os

import click

from marlstep.cli import exit_codes
from marlstep.cli.output import JsonObject, print_json, unwrapped_help
from marlstep.config import ConfigError, load
from marlstep.config.schema import Config


@click.group()
def group() -> None:
    """Check configuration files."""


@group.command()
@click.option("--config", "path", type=click.Path(), help="The platform's JSON; else PROXY_CONFIG names it.")
@click.option("--operator", type=click.Path(), help="The operator's file.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.pass_context
@unwrapped_help("Example:", "  marlstep config check --config deploy/node.json --operator deploy/uwsgi.toml")
def check(ctx: click.Context, path: str | None, operator: str | None, as_json: bool) -> None:
    """Say what is wrong with a configuration, by file and key; 0 where nothing is, else 2."""
    environ = dict(os.environ)
    if path is not None:
        environ["PROXY_CONFIG"] = path
    try:
        config = load(environ, operator)
    except ConfigError as error:
        _print_error(error, as_json)
        ctx.exit(exit_codes.UNUSABLE)
    summary = _summary(config)
    if as_json:
        print_json(summary)
    else:
        click.echo(f"good: {summary}")


def _print_error(error: ConfigError, as_json: bool) -> None:
    if as_json:
        print_json({"good": False, "fault": str(error)})
    else:
        click.echo(f"marlstep: {error}", err=True)


def _summary(config: Config) -> JsonObject:
    return {
        "good": True,
        "name": config.name,
        "classes": [request_class.name for request_class in config.settings.classes],
        "tenants": len(config.settings.tenants),
        "uwsgi": config.uwsgi is not None,
        "admin": config.admin is not None,
        "fleet": None if config.cluster is None else config.cluster.name,
    }
