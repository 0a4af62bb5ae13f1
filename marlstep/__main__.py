"""`python -m marlstep`: the node as the platform starts it, or any command.

The platform's line has no arguments, and goes to the node without loading what commands need.
"""

from __future__ import annotations

import logging
import os
import sys

PLAIN = "%(asctime)s %(levelname)s %(name)s: %(message)s"


def main(arguments: list[str] | None = None) -> int:
    words = sys.argv[1:] if arguments is None else arguments
    match words:
        case _ if "_MARLSTEP_COMPLETE" in os.environ:  # the shell asks what could follow
            return _command(words)
        case [] | ["node"]:
            operator = None
        case ["--operator", operator] | ["node", "--operator", operator]:
            pass
        case _:
            return _command(words)
    from marlstep.node import run

    logging.basicConfig(level=logging.INFO, format=PLAIN)
    return run(operator)


def _command(words: list[str]) -> int:
    try:
        from marlstep.cli.main import call
    except ModuleNotFoundError as fault:
        if str(fault.name).startswith("marlstep"):
            raise
        print(f"marlstep: commands need {fault.name}: install requirements-ops.txt", file=sys.stderr)
        return 2
    return call(words)


if __name__ == "__main__":
    sys.exit(main())
