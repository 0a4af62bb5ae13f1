"""Entry point of the command line. Modules of commands are imported only when a command needs them."""

from __future__ import annotations

import importlib
import logging

import click

from marlstep.cli import exit_codes
from marlstep.cli.errors import CommandError
from marlstep.cli.logs import configure_logging
from marlstep.cli.output import unwrapped_help

EXIT_CODES_HELP = """\b
Exit codes:
  0  done
  1  the node could not serve
  2  wrong call, wrong configuration, or nothing usable in what was read
  3  --strict, and something was wrong with the input
  4  an order was sent, and whether it had an effect is not known
"""
COMMAND_LOCATIONS = {  # command name: module and attribute
    "rules": ("marlstep.cli.rules.group", "group"),
    "trace": ("marlstep.cli.trace.group", "group"),
    "config": ("marlstep.cli.config", "group"),
    "drill": ("marlstep.cli.drill", "group"),
    "explore": ("marlstep.cli.explore", "explore"),
    "fleet": ("marlstep.cli.fleet.group", "group"),
}


class LazyGroup(click.Group):
    """Imports the module of a command only when that command is run or its help is shown."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, loaded or not."""
        return sorted([*super().list_commands(ctx), *COMMAND_LOCATIONS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command with that name, or None if there is none."""
        if cmd_name not in COMMAND_LOCATIONS:
            return super().get_command(ctx, cmd_name)
        module_name, attribute = COMMAND_LOCATIONS[cmd_name]
        command: click.Command = getattr(importlib.import_module(module_name), attribute)
        return command


@click.group(cls=LazyGroup, epilog=EXIT_CODES_HELP, context_settings={"help_option_names": ["-h", "--help"]})
@click.option("--log-format", type=click.Choice(["text", "json"]), default="text", show_default=True)
@click.option(
    "--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info", show_default=True
)
@click.version_option(package_name=None, version="0.3.0", prog_name="marlstep")
@unwrapped_help(
    "Examples:",
    "  marlstep node --operator deploy/uwsgi.toml",
    "  marlstep config check --operator deploy/service.toml",
    "  marlstep trace inspect --format google-2011 examples/traces/google-2011.csv",
    "\b",
    "Shell completion:",
    '  eval "$(_MARLSTEP_COMPLETE=bash_source marlstep)"',
)
def marlstep(log_format: str, log_level: str) -> None:
    """A node with overload control inside, and the tools around it."""
    configure_logging(log_format, getattr(logging, log_level.upper()))


@marlstep.command()
@click.option(
    "--operator", type=click.Path(), help="The operator's file, for what the platform does not set."
)
@click.pass_context
def node(ctx: click.Context, operator: str | None) -> None:
    """Serve as one node. PROXY_CONFIG names its configuration; SIGTERM is the notice to leave."""
    from marlstep.node import run

    ctx.exit(run(operator))


def call(arguments: list[str]) -> int:
    """Run one command line, and return its exit code.

    Args:
        arguments: the arguments, without the program's name.
    """
    try:
        code = marlstep.main(args=arguments, prog_name="marlstep", standalone_mode=False)
    except click.exceptions.Exit as exit_request:
        return exit_request.exit_code
    except click.ClickException as error:
        error.show()
        return error.exit_code if isinstance(error, CommandError) else exit_codes.UNUSABLE
    except click.Abort:
        click.echo("marlstep: ended by hand", err=True)
        return exit_codes.INTERRUPTED
    return code if isinstance(code, int) else exit_codes.DONE
