"""`marlstep trace`."""

from __future__ import annotations

import click

from marlstep.traces import tenants as tenants_


@click.group()
def group() -> None:
    """Read, compile and replay public cluster traces."""


@group.command(context_settings={"ignore_unknown_options": True}, add_help_option=False)
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
@click.pass_context
def tenants(ctx: click.Context, words: tuple[str, ...]) -> None:
    """Settings for tenants and classes out of a trace."""
    ctx.exit(tenants_.main(list(words)))
