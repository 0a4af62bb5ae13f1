"""Runs the document drill's plan of upgrades and a drain many times, beside busy processes, and prints what broke.

    python -m benchmarks.upgrade_under_load --runs 60 --jobs 3 --load 3

Prints one JSON object. Exit codes: 0 every run held, 1 a run broke.
"""

from __future__ import annotations

import argparse
import json
import sys
from concurrent.futures import ProcessPoolExecutor, as_completed
from typing import Any

from marlstep.cli.drill import run_document_plan
from marlstep.fault_injection.busy_processes import BusyProcesses
from tests.replicated_config.test_process_drills import CONFIG, PLANS

PLAN = "upgrades and a drain"
SHOWN = (
    "verdict",
    "lost",
    "answered_twice",
    "disorder",
    "strict_contradictions",
    "unexpected",
    "answers",
    "calls",
)


def run_plans(runs: int, jobs: int, load: int) -> list[dict[str, Any]]:
    """Return the reports of all runs, `jobs` at a time beside `load` busy processes."""
    work = ((PLANS[PLAN], str(CONFIG), "", ""), True)
    reports = []
    with BusyProcesses(load), ProcessPoolExecutor(jobs) as pool:
        for future in as_completed([pool.submit(run_document_plan, work) for _ in range(runs)]):
            reports.append(future.result())
            print(f"{len(reports)}: {reports[-1]['verdict']}", file=sys.stderr, flush=True)
    return reports


def main() -> int:
    """Run the plans and print the summary."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--runs", type=int, default=60)
    parser.add_argument("--jobs", type=int, default=3, help="plans that run at once")
    parser.add_argument("--load", type=int, default=3, help="busy processes beside them")
    arguments = parser.parse_args()
    reports = run_plans(arguments.runs, arguments.jobs, arguments.load)
    not_held = [report for report in reports if report["verdict"] != "held"]
    summary = {
        "runs": len(reports),
        "held": len(reports) - len(not_held),
        "requests": sum(sum(report.get("answers", {}).values()) for report in reports),
        "not_held": [{name: report.get(name) for name in SHOWN} for report in not_held],
    }
    print(json.dumps(summary))
    return 1 if not_held else 0


if __name__ == "__main__":
    raise SystemExit(main())
