"""The drill of members: real nodes that lose each other, and what each of them comes to think of the others.

Judged is what follows from it: all live nodes hear of all live ones under the processes that they are now; nobody who
is live and can be reached is taken out of the list in the log; and no node acts where its situation forbids that.
"""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
import time
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

from marlstep.fault_injection.effect_recorder import clock_us
from marlstep.fault_injection.plan import Plan
from marlstep.fault_injection.process_cluster import ProcessCluster, Settings
from marlstep.membership.partition_state import CAPABILITIES, PartitionState

AGREE_S = 30.0  # after the plan: how soon is measured, and whether is judged
EVERY_S = 0.25
TROUBLED = ("kill", "stop", "isolate", "deaf", "mute", "split", "drain", "restart all", "crash at", "upgrade")
AFTER_US = 8_000_000  # beyond a fault in which a node may still be taken for failed
ON_ITS_WAY_US = 700_000  # of an act, from the node's decision to its server
FORBIDDEN = {one.value for one in PartitionState if not CAPABILITIES[one].starts_tasks}


@dataclass(slots=True, frozen=True)
class LogRecord:
    """One line of a node's own record."""

    at_us: int  # of the rig's clock
    node: str
    what: str


class LogCollector:
    """The nodes' own records, gathered while they live."""

    def __init__(self, cluster: ProcessCluster) -> None:
        self.cluster = cluster
        self.lines: set[LogRecord] = set()
        self.stop = False
        self._offset = clock_us() - time.time_ns() // 1000

    async def run(self) -> None:
        while not self.stop:
            await self.gather()
            await asyncio.sleep(1.0)

    async def gather(self) -> None:
        for name, node in self.cluster.nodes.items():
            with contextlib.suppress(OSError, ValueError, TimeoutError, KeyError):
                told = await asyncio.wait_for(node.call("/v1/fleet/log"), 1.0)
                for row in told["changes"]:
                    at = int(datetime.fromisoformat(row["at"]).timestamp() * 1e6) + self._offset
                    self.lines.add(LogRecord(at, name, row["what"]))


async def views(
    cluster: ProcessCluster,
) -> tuple[dict[str, str], dict[str, dict[str, str]], dict[str, set[str]]]:
    """Who is live, as which process; whom each hears of as there; and who belongs, where it knows."""
    live: dict[str, str] = {}
    heard: dict[str, dict[str, str]] = {}
    agreed: dict[str, set[str]] = {}

    async def ask(name: str) -> None:
        node = cluster.nodes[name]
        if not node.up:
            return
        with contextlib.suppress(OSError, ValueError, TimeoutError, KeyError):
            told = await asyncio.wait_for(node.call("/v1/fleet/members"), 2.0)
            rows = {one["node"]: one for one in told["members"]}
            live[name] = rows[name]["process"]
            there = ("alive", "suspect")
            heard[name] = {one: row["process"] for one, row in rows.items() if row["heard"] in there}
            if rows[name]["agreed"] is not None:
                agreed[name] = {one for one, row in rows.items() if row["agreed"]}

    await asyncio.gather(*(ask(name) for name in cluster.nodes))
    return live, heard, agreed


async def run(plan: Plan, settings: Settings) -> dict[str, Any]:
    """One plan on processes; the report, whose `verdict` is `held` or `broken`. Raises RigError, OSError."""
    with tempfile.TemporaryDirectory(prefix="drill-") as folder:
        async with ProcessCluster(plan, settings, Path(folder)) as cluster:
            records = LogCollector(cluster)
            gathering = asyncio.create_task(records.run())
            began = clock_us()
            last = began + 1000 * max((one.at_ms + one.for_ms for one in plan.faults), default=0)
            agreeing = asyncio.create_task(agree(cluster, last))
            await cluster.run()
            agree_at, unlike = await agreeing
            if not unlike:  # and still
                _, unlike = await agree(cluster, clock_us())
            settled = await all_belong(cluster)
            records.stop = True
            await gathering
            await records.gather()
            effects = list(cluster.effect_recorder.effects)
            troubled = troubles(cluster)
            unexpected = list(cluster.unexpected)
            struck = dict(cluster.counts)
    removed = wrongly_removed(records.lines, troubled)
    forbidden = forbidden_acts(records.lines, effects)
    held = not unlike and not removed and not forbidden and not unexpected and settled and bool(effects)
    return {
        "seed": plan.seed,
        "plan": plan.write(),
        "faults": len(plan.faults),
        "views_agree_ms": None if agree_at is None else max(0, agree_at - last) // 1000,
        "unlike": unlike,
        "all_belong_again": settled,
        "removals": sum(one.what.startswith("remove ") for one in records.lines),
        "wrongly_removed": removed,
        "situations": sum(one.what.startswith("situation is") for one in records.lines),
        "acts": len(effects),
        "forbidden_acts": forbidden,
        "struck": struck,
        "unexpected": unexpected,
        "verdict": "held" if held else "broken",
    }


async def agree(cluster: ProcessCluster, since_us: int) -> tuple[int | None, str]:
    """When after that all live nodes heard of each other alone; and who does not, where they never come to it."""
    await asyncio.sleep(max(0, since_us - clock_us()) / 1e6)
    end = clock_us() + int(AGREE_S * 1e6)
    why = "nobody was asked"
    while clock_us() < end:
        at = clock_us()
        live, heard, _ = await views(cluster)
        why = next(
            (f"{name} hears {view}, live are {live}" for name, view in heard.items() if view != live), ""
        )
        if not why and len(live) == len(cluster.nodes):
            return at, ""
        await asyncio.sleep(EVERY_S)
    return None, why or "a node is missing"


async def all_belong(cluster: ProcessCluster) -> bool:
    """Whoever was taken out comes in again, in the end: a probation may have doubled a few times."""
    end = clock_us() + int(2 * AGREE_S * 1e6)
    while clock_us() < end:
        _, _, agreed = await views(cluster)
        if agreed and all(one == set(cluster.nodes) for one in agreed.values()):
            return True
        await asyncio.sleep(EVERY_S)
    return False


def troubles(cluster: ProcessCluster) -> dict[str, list[tuple[int, int]]]:
    """When a fault of the plan struck each node, and until when it may show."""
    found: dict[str, list[tuple[int, int]]] = {name: [] for name in cluster.nodes}
    for at, fault in cluster.injected_faults:
        if fault.kind not in TROUBLED:
            continue
        names = (
            cluster.nodes
            if fault.kind == "restart all" or fault.node.startswith("@")
            else (fault.node, fault.other)
        )
        for name in names:
            if name in found:
                found[name].append((at, at + fault.for_ms * 1000 + AFTER_US))
    return found


def wrongly_removed(lines: set[LogRecord], troubled: dict[str, list[tuple[int, int]]]) -> list[str]:
    """Nodes that were taken out of the list though no fault had struck them."""
    found = []
    for one in sorted(lines, key=lambda one: one.at_us):
        if one.what.startswith("remove "):
            name = one.what.removeprefix("remove ")
            if not any(since <= one.at_us <= until for since, until in troubled.get(name, ())):
                found.append(f"{name} at {one.at_us} by {one.node}")
    return found


def forbidden_acts(lines: set[LogRecord], effects: list[Any]) -> list[str]:
    """Acts that a node began while it was in a situation that forbids them."""
    found = []
    turns: dict[str, list[LogRecord]] = {}
    for line in sorted(lines, key=lambda line: line.at_us):
        if line.what.startswith("situation is "):
            turns.setdefault(line.node, []).append(line)
    for effect in effects:
        before = [one for one in turns.get(effect.node.partition("/")[0], ()) if one.at_us <= effect.began_us]
        if not before or effect.fence:
            continue
        now = before[-1]
        if (
            now.what.removeprefix("situation is ") in FORBIDDEN
            and effect.began_us > now.at_us + ON_ITS_WAY_US
        ):
            found.append(f"{effect.node} in {now.what.removeprefix('situation is ')}: {effect}")
    return found
