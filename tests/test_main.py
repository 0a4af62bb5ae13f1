"""The entry point: signals that arrive while the node is imported."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

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
