"""A cluster of real processes with faults between them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from marlstep.cli.drill import process_one
from marlstep.drill.plan import Shape, draw
from marlstep.drill.rig import Rig, Settings
from tests.cluster.support import CONFIG, NODES, written

# Each the cause of one of the hard cases; times in ms from the start, and how long.
PLANS = {
    # Stopped between its last look at the lease and the act, for longer than the lease; then it acts, late.
    "stopped before its act": written(1, 11_000, (1_500, 4_600, "stop at", "@holder", "", "left")),
    # Cut off from the group, and not from the server; then it hears nothing, and is heard by nobody.
    "holder cut off": written(2, 11_000, (1_500, 3_000, "isolate", "@holder", "", "")),
    "heard by nobody": written(3, 11_000, (1_500, 3_000, "mute", "@leader", "", "")),
    "hears nothing": written(4, 11_000, (1_500, 3_000, "deaf", "@holder", "", "")),
    "minority with leader and holder": written(5, 11_000, (1_500, 3_500, "split", "@leader", "@holder", "")),
    "killed between vote and sync": written(
        6, 11_000, (1_200, 4_000, "crash at", "n2", "", "voted"), (1_300, 1_500, "kill", "@leader", "", "")
    ),
    "killed after its intent": written(7, 10_000, (1_500, 4_000, "crash at", "@holder", "", "begun")),
    "killed after its act": written(8, 10_000, (1_500, 4_000, "crash at", "@holder", "", "ended")),
    "a voter loses its store": written(
        9, 13_000, (1_500, 700, "wipe", "n2", "", ""), (8_000, 500, "old store", "n3", "", "")
    ),
    "all restart, twice": written(
        10, 13_000, (1_500, 0, "restart all", "n1", "", ""), (5_000, 0, "restart all", "n1", "", "")
    ),
    "each voter upgraded in turn": written(
        11, 14_000,
        (1_000, 0, "upgrade", "n1", "", ""), (4_000, 0, "upgrade", "n2", "", ""),
        (7_000, 0, "upgrade", "n3", "", ""),
    ),
    "holder drained": written(12, 9_000, (2_000, 1_000, "drain", "@holder", "", "")),
    "leader's disk is full, another's slow": written(
        13, 11_000, (1_500, 2_000, "full disk", "@leader", "", ""), (4_000, 1_500, "slow disk", "n3", "", "")
    ),
    "two groups that flap": written(
        15, 14_000, *((1_500 + 1_300 * at, 900, "split", "n1", f"n{2 + at % 3}", "") for at in range(5))
    ),
    "a clock that jumps": written(14, 10_000, (2_000, 20_000, "jump", "@holder", "", "")),
    "drawn": draw(2, Shape(length_ms=12_000)),
    "one clock errs by a fifth": draw(11, Shape(length_ms=14_000, kinds=("repeat", "slow"), beyond=True)),
}  # fmt: skip


# With a rule taken out of all nodes on purpose: whoever is cut off loses its lease, and its token is given again.
MISSED = written(
    16, 13_000, (2_000, 4_000, "isolate", "@holder", "", ""), (7_000, 3_000, "kill", "@holder", "", "")
)


@pytest.fixture(scope="module")
def drilled() -> dict[str, dict[str, Any]]:
    """All plans, some at once: what is judged are properties, which hold however slow the machine is."""
    work = [(plan, str(CONFIG), "", "") for plan in PLANS.values()]
    work.append((MISSED, str(CONFIG), "", "token-reused"))
    with ProcessPoolExecutor(4) as pool:
        return dict(zip([*PLANS, "missed"], pool.map(process_one, work), strict=True))


@pytest.mark.parametrize("name", PLANS)
def test_two_holders_never_act_at_once(name: str, drilled: dict[str, dict[str, Any]]) -> None:
    told = drilled[name]
    why = {
        key: told.get(key)
        for key in ("fault", "overlaps", "late_accepted", "run_twice", "unexpected", "struck")
    }
    assert told["verdict"] == "held", why
    assert told["acts"] > 10


def test_the_witnesses_find_a_rule_that_real_nodes_miss_on_purpose(drilled: dict[str, Any]) -> None:
    told = drilled["missed"]
    assert told["verdict"] == "broken" and told["shared_tokens"] and told["acts"] > 10


def test_an_act_that_comes_after_its_lease_is_turned_down_by_its_token(drilled: dict[str, Any]) -> None:
    told = drilled["stopped before its act"]
    assert told["struck"]["stopped at hooks"] == 1
    assert told["refused_late"] >= 1 and told["fences"] >= 1


def test_a_lost_store_comes_back_as_somebody_new_and_votes_again(drilled: dict[str, Any]) -> None:
    nodes = drilled["a voter loses its store"]["nodes"]
    assert all(nodes[name]["role"] in ("leader", "follower") for name in NODES[:3])


def test_an_upgrade_hands_the_vote_on_without_two_voters(drilled: dict[str, Any]) -> None:
    told = drilled["each voter upgraded in turn"]
    assert told["struck"]["upgraded"] == 3 and len(told["elders_gone_s"]) == 3


def test_a_clock_beyond_the_drift_is_told_to_its_node(drilled: dict[str, Any]) -> None:
    nodes = drilled["one clock errs by a fifth"]["nodes"].values()
    assert any(one["counts"] and one["counts"].get("drifts") for one in nodes)


def test_a_task_that_never_ends_keeps_no_other_waiting(tmp_path: Path) -> None:
    tasks = {
        "stuck": {"every_ms": 400, "class": "schedule-save", "longest_ms": 250},
        "well": {"every_ms": 250, "class": "schedule-save", "longest_ms": 250},
    }
    settings = Settings(json.loads(CONFIG.read_text()), tasks=tasks, hang=("stuck",))

    async def drill() -> Counts:
        async with Rig(written(20, 5_000), settings, tmp_path) as rig:
            await rig.run()
            return Counts(rig)

    told = asyncio.run(drill())
    assert told.acts["well"] > 5 and told.acts["stuck"] > 2  # each is given up after its longest time
    assert told.outcomes["stuck"].get("may have run", 0) > 2


class Counts:
    def __init__(self, rig: Rig) -> None:
        acts = [act for act in rig.witness.acts if act.accepted]
        self.acts = {name: sum(act.task == name for act in acts) for name in rig.settings.tasks}
        self.outcomes: dict[str, dict[str, int]] = {name: {} for name in rig.settings.tasks}
        for node in rig.nodes.values():
            with contextlib.suppress(OSError, ValueError):
                for task in self._leases(node.admin, rig.token)["tasks"]:
                    for what, count in task["counts"].items():
                        own = self.outcomes[task["name"]]
                        own[what] = own.get(what, 0) + count

    @staticmethod
    def _leases(port: int, token: str) -> Any:
        with socket.create_connection(("127.0.0.1", port), timeout=3) as line:
            line.sendall(f"GET /v1/fleet/leases HTTP/1.1\r\nAuthorization: Bearer {token}\r\n\r\n".encode())
            data = b"".join(iter(lambda: line.recv(65536), b""))
        return json.loads(data.partition(b"\r\n\r\n")[2])
