"""The emulators command: its two JSON lines, with the current and the former name of the module."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest


@pytest.mark.parametrize("module", ["marlstep.emulators", "marlstep.standins"])
def test_command_prints_addresses_at_start_and_run_counts_when_standard_input_ends(module: str) -> None:
    finished = subprocess.run(
        [sys.executable, "-m", module, "--nodes", "2"],
        input="0 unknown\n",
        capture_output=True,
        text=True,
        timeout=30,
    )
    addresses, counts = map(json.loads, finished.stdout.splitlines())
    assert [list(node) for node in addresses] == [["kernel", "db", "uwsgi"]] * 2
    assert counts == {"runs": 0, "ran_twice": 0, "calls": 0}
    assert finished.returncode == 0
