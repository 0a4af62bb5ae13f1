"""Drills of a cluster of real processes with injected faults."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from marlstep.cli.drill import run_lease_plan
from marlstep.fault_injection.plan import PlanSettings, draw
from marlstep.fault_injection.process_cluster import ProcessCluster, Settings
from tests.cluster.support import CONFIG, NODES, make_plan

# Each plan causes one failure scenario. Faults begin with their start and duration in ms.
PLANS = {
    # The holder is stopped between the last check of its lease and its request, for longer than the lease, and then
    # sends the request late. The stop must be clearly shorter than the time after which the process abandons the
    # request instead of sending it.
    "stopped before its act": make_plan(1, 11_000, (1_500, 3_300, "stop at", "@holder", "", "left")),
    # A node is cut off from the group but not from the server; nodes that can't send, and nodes that can't receive.
    "holder cut off": make_plan(2, 11_000, (1_500, 3_000, "isolate", "@holder", "", "")),
    "heard by nobody": make_plan(3, 11_000, (1_500, 3_000, "mute", "@leader", "", "")),
    "hears nothing": make_plan(4, 11_000, (1_500, 3_000, "deaf", "@holder", "", "")),
    "minority with leader and holder": make_plan(5, 11_000, (1_500, 3_500, "split", "@leader", "@holder", "")),
    "killed between vote and sync": make_plan(
        6, 11_000, (1_200, 4_000, "crash at", "n2", "", "voted"), (1_300, 1_500, "kill", "@leader", "", "")
    ),
    "killed after its intent": make_plan(7, 10_000, (1_500, 4_000, "crash at", "@holder", "", "begun")),
    "killed after its act": make_plan(8, 10_000, (1_500, 4_000, "crash at", "@holder", "", "ended")),
    "a voter loses its store": make_plan(
        9, 13_000, (1_500, 700, "wipe", "n2", "", ""), (8_000, 500, "old store", "n3", "", "")
    ),
    "all restart, twice": make_plan(
        10, 13_000, (1_500, 0, "restart all", "n1", "", ""), (5_000, 0, "restart all", "n1", "", "")
    ),
    "each voter upgraded in turn": make_plan(
        11, 14_000,
        (1_000, 0, "upgrade", "n1", "", ""), (4_000, 0, "upgrade", "n2", "", ""),
        (7_000, 0, "upgrade", "n3", "", ""),
    ),
    "holder drained": make_plan(12, 9_000, (2_000, 1_000, "drain", "@holder", "", "")),
    "leader's disk is full, another's slow": make_plan(
        13, 11_000, (1_500, 2_000, "full disk", "@leader", "", ""), (4_000, 1_500, "slow disk", "n3", "", "")
    ),
    "two groups that flap": make_plan(
        15, 14_000, *((1_500 + 1_300 * at, 900, "split", "n1", f"n{2 + at % 3}", "") for at in range(5))
    ),
    "a clock that jumps": make_plan(14, 10_000, (2_000, 20_000, "jump", "@holder", "", "")),
    "drawn": draw(2, PlanSettings(length_ms=12_000)),
    "one clock errs by a fifth": draw(
        11, PlanSettings(length_ms=14_000, fault_types=("repeat", "slow"), exceeds_drift=True)
    ),
}  # fmt: skip


# Run with a mutation of all nodes that reuses fencing tokens: a holder that is cut off loses its lease, and its token
# is granted again.
MUTATED_PLAN = make_plan(
    16, 13_000, (2_000, 4_000, "isolate", "@holder", "", ""), (7_000, 3_000, "kill", "@holder", "", "")
)


@pytest.fixture(scope="module")
def drill_reports() -> dict[str, dict[str, Any]]:
    """Return the reports of all plans, run in parallel. They must hold at any speed of the machine."""
    work = [(plan, str(CONFIG), "", "") for plan in PLANS.values()]
    work.append((MUTATED_PLAN, str(CONFIG), "", "token-reused"))
    with ProcessPoolExecutor(4) as pool:
        return dict(zip([*PLANS, "missed"], pool.map(run_lease_plan, work), strict=True))


@pytest.mark.parametrize("name", PLANS)
def test_two_lease_holders_never_act_concurrently(
    name: str, drill_reports: dict[str, dict[str, Any]]
) -> None:
    report = drill_reports[name]
    evidence = {
        key: report.get(key)
        for key in ("fault", "overlaps", "late_accepted", "run_twice", "unexpected", "struck")
    }
    assert report["verdict"] == "held", evidence
    assert report["acts"] > 10


def test_the_checkers_detect_a_mutation_of_all_nodes_that_reuses_tokens(
    drill_reports: dict[str, Any],
) -> None:
    report = drill_reports["missed"]
    assert report["verdict"] == "broken" and report["shared_tokens"] and report["acts"] > 10


def test_a_request_that_arrives_after_its_lease_expired_is_rejected_by_its_token(
    drill_reports: dict[str, Any],
) -> None:
    report = drill_reports["stopped before its act"]
    assert report["struck"]["stopped at hooks"] == 1
    assert report["refused_late"] >= 1 and report["fences"] >= 1


def test_a_replica_that_lost_its_store_rejoins_under_a_new_identity_and_votes(
    drill_reports: dict[str, Any],
) -> None:
    nodes = drill_reports["a voter loses its store"]["nodes"]
    assert all(nodes[name]["role"] in ("leader", "follower") for name in NODES[:3])


def test_each_upgraded_voter_is_replaced_by_its_successor(drill_reports: dict[str, Any]) -> None:
    report = drill_reports["each voter upgraded in turn"]
    assert report["struck"]["upgraded"] == 3 and len(report["elders_gone_s"]) == 3


def test_a_node_counts_clock_drift_beyond_the_bound(drill_reports: dict[str, Any]) -> None:
    nodes = drill_reports["one clock errs by a fifth"]["nodes"].values()
    assert any(node["counts"] and node["counts"].get("drifts") for node in nodes)


def test_a_task_whose_runs_never_end_does_not_delay_other_tasks(tmp_path: Path) -> None:
    tasks = {
        "stuck": {"every_ms": 400, "class": "schedule-save", "longest_ms": 250},
        "well": {"every_ms": 250, "class": "schedule-save", "longest_ms": 250},
    }
    settings = Settings(json.loads(CONFIG.read_text("utf-8")), tasks=tasks, hang=("stuck",))

    async def drill() -> TaskCounts:
        async with ProcessCluster(make_plan(20, 5_000), settings, tmp_path) as rig:
            await rig.run()
            return TaskCounts(rig)

    report = asyncio.run(drill())
    assert (
        report.effects["well"] > 5 and report.effects["stuck"] > 2
    )  # each run is abandoned after longest_ms
    assert report.outcomes["stuck"].get("may have run", 0) > 2


class TaskCounts:
    def __init__(self, rig: ProcessCluster) -> None:
        acts = [act for act in rig.effect_recorder.effects if act.accepted]
        self.effects = {name: sum(act.task == name for act in acts) for name in rig.settings.tasks}
        self.outcomes: dict[str, dict[str, int]] = {name: {} for name in rig.settings.tasks}
        for node in rig.nodes.values():
            with contextlib.suppress(OSError, ValueError):
                for task in self._leases(node.admin, rig.token)["tasks"]:
                    for outcome, count in task["counts"].items():
                        outcome_counts = self.outcomes[task["name"]]
                        outcome_counts[outcome] = outcome_counts.get(outcome, 0) + count

    @staticmethod
    def _leases(port: int, token: str) -> Any:
        with socket.create_connection(("127.0.0.1", port), timeout=3) as connection:
            connection.sendall(
                f"GET /v1/fleet/leases HTTP/1.1\r\nAuthorization: Bearer {token}\r\n\r\n".encode()
            )
            data = b"".join(iter(lambda: connection.recv(65536), b""))
        return json.loads(data.partition(b"\r\n\r\n")[2])
