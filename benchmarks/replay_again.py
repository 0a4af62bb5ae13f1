"""Measure how repeatable the service score of a replay on sockets is, at 0.9 and at 1.3 of the capacity.

    python benchmarks/replay_again.py [--speed S] [--nodes N] [--times N] [--for SECONDS]

Each run measures its own baseline: the simulated replay, whose results are identical each time. Prints one JSON
object with the scores of all replays and their spread: (largest - smallest) / mean. The score is the weighted work
that was answered in time, divided by the weighted work that was offered.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
TRACE = ROOT / "examples" / "traces" / "google-2011.csv"
LOADS = (0.9, 1.3)


def run_command(*arguments: str) -> dict[str, Any]:
    """Run a command of the program and return its JSON output; exit with its error output if it fails."""
    completed = subprocess.run(
        [sys.executable, "-m", "marlstep", *arguments], capture_output=True, text=True, cwd=ROOT
    )
    if completed.returncode:
        raise SystemExit(completed.stderr)
    output: dict[str, Any] = json.loads(completed.stdout)
    return output


def main() -> None:
    """Run all replays and print the report as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--speed", default="2")
    parser.add_argument("--nodes", default="4")
    parser.add_argument("--times", type=int, default=5)
    parser.add_argument("--for", dest="length", default="20")
    options = parser.parse_args()
    report: dict[str, Any] = {"benchmark": "replay_again", "machine": {"cores": os.cpu_count()}, "runs": {}}
    with tempfile.TemporaryDirectory() as folder:
        schedule = str(Path(folder) / "a.sched")
        run_command("trace", "compile", "--format", "google-2011", "--out", schedule, "--json", str(TRACE))
        for load in LOADS:
            arguments = ["trace", "replay", "--load", str(load), "--for", f"{options.length}s"]
            arguments += ["--speed", options.speed, "--nodes", options.nodes, "--json", schedule]
            runs = [run_command(*arguments) for _ in range(options.times)]
            virtual = [run_command(*arguments[:2], "--virtual", *arguments[2:]) for _ in range(2)]
            service_values = [run["service"] for run in runs]
            report["runs"][str(load)] = {
                "service": service_values,
                "spread": (max(service_values) - min(service_values))
                / (sum(service_values) / len(service_values)),
                "virtual": virtual[0]["service"],
                "virtual_identical": virtual[0] == virtual[1],
                "lost": sum(run["lost"] for run in runs),
                "ran_twice": sum(run["ran_twice"] for run in runs),
                "sent": [run["sent"] for run in runs],
                "node_cpu_s": [run["node_cpu_s"] for run in runs],
                "late_sends_p99_ms": [run["late_sends_ms"]["p99"] for run in runs],
            }
    print(json.dumps(report))


if __name__ == "__main__":
    main()
