"""Entry point of `python -m marlstep`: run the node, or one of the commands.

The platform starts the node without arguments. That path does not import the packages that only commands need.
"""

from __future__ import annotations

import logging
import os
import signal
import sys

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"
COMPLETION_VARIABLE = "_MARLSTEP_COMPLETE"  # set by the shell for tab completion
EXIT_MISSING_PACKAGE = 2


def main(arguments: list[str] | None = None) -> int:
    """Run the node, or a command, and return the exit code.

    Args:
        arguments: the command-line arguments; `sys.argv[1:]` if None.
    """
    command_line = sys.argv[1:] if arguments is None else arguments
    match command_line:
        case _ if COMPLETION_VARIABLE in os.environ:
            return _run_command(command_line)
        case [] | ["node"]:
            return _run_node(None)
        case ["--operator", operator] | ["node", "--operator", operator]:
            return _run_node(operator)
        case _:
            return _run_command(command_line)


def _run_node(operator: str | None) -> int:
    # Until the node can reload its configuration. Before the imports, which take most of the time until then.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from marlstep.node import run

    logging.basicConfig(level=logging.INFO, format=LOG_FORMAT)
    return run(operator)


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
    sys.exit(main())
