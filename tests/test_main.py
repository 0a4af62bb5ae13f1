"""The entry point: signals that arrive while the node is imported."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from marlstep.__main__ import runs_node

PROGRAM = """
import builtins, os, signal, sys
real_import = builtins.__import__
def send_signal_first(name, *arguments, **options):
    if name == "marlstep.node":
        os.kill(os.getpid(), signal.SIGHUP)
    return real_import(name, *arguments, **options)
builtins.__import__ = send_signal_first
from marlstep.__main__ import main
sys.exit(main([]))
"""


def test_a_reload_signal_before_the_node_is_imported_does_not_end_the_process(tmp_path: Path) -> None:
    # Guards against a process that SIGHUP ends while it starts.
    environ = {**os.environ, "PROXY_CONFIG": str(tmp_path / "none.json")}
    ended = subprocess.run([sys.executable, "-c", PROGRAM], env=environ, capture_output=True, text=True)
    assert ended.returncode == 2 and "none.json" in ended.stderr, (signal.SIGHUP, ended)


EXIT_PROGRAM = """
import atexit, logging
from marlstep.__main__ import exit_at_once
atexit.register(lambda: print("finalized", flush=True))
logging.basicConfig()
logging.warning("last line")
print("output", end="")
exit_at_once(3)
"""


def test_a_node_ends_without_finalization_but_with_all_of_its_output() -> None:
    # Guards against an exit that takes most of the margin in which the platform lets a process end.
    ended = subprocess.run([sys.executable, "-c", EXIT_PROGRAM], capture_output=True, text=True)
    assert (ended.returncode, ended.stdout) == (3, "output") and "last line" in ended.stderr


@pytest.mark.parametrize(
    ("command_line", "expected"),
    [
        ([], True),
        (["node"], True),
        (["--operator", "n1.toml"], True),
        (["node", "--operator", "n1.toml"], True),
        (["fleet", "status", "--operator", "n1.toml"], False),
        (["--help"], False),
        (["node", "--operator"], False),
    ],
)
def test_only_the_platforms_command_lines_run_the_node(command_line: list[str], expected: bool) -> None:
    assert runs_node(command_line) is expected
