"""Tests of replays on sockets."""

from __future__ import annotations

import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

import pytest

from marlstep.cli.main import call

ROOT = Path(__file__).parent.parent.parent.parent


FRONTENDS = ("resp", "uwsgi")


REPLAY_TIMEOUT_S = 60  # time limit of one replay, including the start and the exit of its processes


@pytest.fixture(scope="module")
def replays(tmp_path_factory: pytest.TempPathFactory) -> dict[str, subprocess.CompletedProcess[str]]:
    """Run a replay with each frontend, in parallel because most of the time is spent starting and stopping nodes."""
    out = str(tmp_path_factory.mktemp("replays") / "a.sched")
    source = str(ROOT / "examples" / "traces" / "google-2011.csv")
    assert call(["trace", "compile", "--format", "google-2011", "--out", out, source]) == 0
    with ThreadPoolExecutor(len(FRONTENDS)) as pool:
        return dict(zip(FRONTENDS, pool.map(partial(run_replay, out), FRONTENDS), strict=True))


def run_replay(schedule: str, frontend: str) -> subprocess.CompletedProcess[str]:
    """Run the replay command in a separate process; return its exit code and output."""
    options = f"--retries polite --front {frontend} --load 0.8 --for 2s --nodes 2 --speed 5 --late 1s --json".split()
    config = str(ROOT / "deploy" / "node.json")
    return subprocess.run(
        [sys.executable, "-m", "marlstep", "trace", "replay", "--config", config, *options, schedule],
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=REPLAY_TIMEOUT_S,
        check=False,  # the test checks the exit code
    )


@pytest.mark.parametrize("front", FRONTENDS)
def test_a_replay_on_sockets_loses_nothing_and_runs_no_setpoint_twice(
    front: str, replays: dict[str, subprocess.CompletedProcess[str]]
) -> None:
    assert replays[front].returncode == 0, replays[front].stderr
    report = json.loads(replays[front].stdout)
    assert report["mode"] == f"loopback-{front}"
    assert (report["lost"], report["answered_twice"], report["ran_twice"]) == (0, 0, 0)
    assert report["answered"] == report["sent"] > 50 and report["runs"] <= report["sent"]
    assert report["service"] > 0.5
