"""Entry point of `python -m marlstep`: run the node, or one of the commands.

The platform starts the node without arguments. That path does not import the packages that only commands need.
"""

from __future__ import annotations

import logging
import os
import signal
import sys
from typing import NoReturn

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"
COMPLETION_VARIABLE = "_MARLSTEP_COMPLETE"  # set by the shell for tab completion
EXIT_MISSING_PACKAGE = 2


def main(arguments: list[str] | None = None) -> int:
    """Run the node, or a command, and return the exit code.

    Args:
        arguments: the command-line arguments; `sys.argv[1:]` if None.
    """
    command_line = sys.argv[1:] if arguments is None else arguments
    if not runs_node(command_line):
        return _run_command(command_line)
    match command_line:
        case [*_, "--operator", operator]:
            return _run_node(operator)
        case _:
            return _run_node(None)


def runs_node(command_line: list[str]) -> bool:
    """Return whether a command line runs the node, and not another command."""
    if COMPLETION_VARIABLE in os.environ:
        return False
    match command_line:
        case [] | ["node"] | ["--operator", _] | ["node", "--operator", _]:
            return True
        case _:
            return False


def _run_node(operator: str | None) -> int:
    # Until the node can reload its configuration. Before the imports, which take most of the time until then.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from marlstep.node import run

    logging.basicConfig(level=logging.INFO, format=LOG_FORMAT)
    return run(operator)


def exit_at_once(code: int) -> NoReturn:
    """End the process without the interpreter's finalization, which takes most of the time from the last response on.

    A node has closed all that it holds by then, and the platform kills a process that ends too late.
    """
    logging.shutdown()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


def _run_command(command_line: list[str]) -> int:
    try:
        from marlstep.cli.main import call
    except ModuleNotFoundError as error:
        if str(error.name).startswith("marlstep"):
            raise
        print(
            f"marlstep: commands need the package {error.name}: install requirements-ops.txt", file=sys.stderr
        )
        return EXIT_MISSING_PACKAGE
    return call(command_line)


if __name__ == "__main__":
    exit_code = main()
    if runs_node(sys.argv[1:]):
        exit_at_once(exit_code)
    sys.exit(exit_code)
