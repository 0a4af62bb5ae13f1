"""The membership drill: faults among real node processes, and checks of the membership views that result.

A run holds if after the faults every live node sees exactly the live nodes, each under its current process; if no node
is removed from the replicated member list while it is live and reachable; and if no node performs an act that its
partition state forbids.
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

AGREE_S = 30.0  # within which all views must agree after the last fault; the actual time is reported
EVERY_S = 0.25  # between two polls of all nodes
TROUBLED = ("kill", "stop", "isolate", "deaf", "mute", "split", "drain", "restart all", "crash at", "upgrade")
AFTER_US = 8_000_000  # after a fault, in which its nodes may still be declared failed
ON_ITS_WAY_US = 700_000  # the longest time from a node's decision to act to the arrival at the task server
FORBIDDEN = {one.value for one in PartitionState if not CAPABILITIES[one].starts_tasks}


@dataclass(slots=True, frozen=True)
class LogRecord:
    """One membership change from the log of a node.

    Attributes:
        at_us: When it happened, in microseconds of the drill's clock.
        node: The node that logged it.
        what: The change, in words.
    """

    at_us: int
    node: str
    what: str


class LogCollector:
    """Collects the logs of membership changes while the nodes run, since a process loses its log when it ends."""

    def __init__(self, cluster: ProcessCluster) -> None:
        self.cluster = cluster
        self.lines: set[LogRecord] = set()
        self.stop = False
        self._offset = clock_us() - time.time_ns() // 1000

    async def run(self) -> None:
        """Collect the logs once per second until `stop` is set."""
        while not self.stop:
            await self.gather()
            await asyncio.sleep(1.0)

    async def gather(self) -> None:
        """Collect the logs of all nodes that respond."""
        for name, node in self.cluster.nodes.items():
            with contextlib.suppress(OSError, ValueError, TimeoutError, KeyError):
                told = await asyncio.wait_for(node.call("/v1/fleet/log"), 1.0)
                for row in told["changes"]:
                    at = int(datetime.fromisoformat(row["at"]).timestamp() * 1e6) + self._offset
                    self.lines.add(LogRecord(at, name, row["what"]))


async def views(
    cluster: ProcessCluster,
) -> tuple[dict[str, str], dict[str, dict[str, str]], dict[str, set[str]]]:
    """Query all live nodes for their membership views.

    Returns:
        The process of each live node; for each live node the processes that it regards as alive or suspect, by node;
        and for each live node that knows the replicated member list, the nodes on that list.
    """
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
    """Run a plan on real processes and return the report, whose `verdict` is `held` or `broken`.

    Raises:
        ProcessClusterError: The cluster could not be started.
        OSError: No port is free, or a file or process could not be created.
    """
    with tempfile.TemporaryDirectory(prefix="drill-") as folder:
        async with ProcessCluster(plan, settings, Path(folder)) as cluster:
            records = LogCollector(cluster)
            gathering = asyncio.create_task(records.run())
            began = clock_us()
            last = began + 1000 * max((one.at_ms + one.for_ms for one in plan.faults), default=0)
            agreeing = asyncio.create_task(agree(cluster, last))
            await cluster.run()
            agree_at, unlike = await agreeing
            if not unlike:  # the views must still agree after the whole plan
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
    """Wait until every live node sees exactly the live nodes, for at most `AGREE_S`.

    Args:
        cluster: The cluster to query.
        since_us: When to begin, in microseconds of the drill's clock.

    Returns:
        When the views agreed, on the same clock, and an empty text; or None and how they differ.
    """
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
    """Return whether every node is on the member list again within twice `AGREE_S`.

    A removed node is admitted again after its probation, which may have doubled several times.
    """
    end = clock_us() + int(2 * AGREE_S * 1e6)
    while clock_us() < end:
        _, _, agreed = await views(cluster)
        if agreed and all(one == set(cluster.nodes) for one in agreed.values()):
            return True
        await asyncio.sleep(EVERY_S)
    return False


def troubles(cluster: ProcessCluster) -> dict[str, list[tuple[int, int]]]:
    """Return for each node the periods, in microseconds, in which a fault of the plan may cause its removal."""
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
    """Return the removals of nodes from the member list that no fault of the plan explains."""
    found = []
    for one in sorted(lines, key=lambda one: one.at_us):
        if one.what.startswith("remove "):
            name = one.what.removeprefix("remove ")
            if not any(since <= one.at_us <= until for since, until in troubled.get(name, ())):
                found.append(f"{name} at {one.at_us} by {one.node}")
    return found


def forbidden_acts(lines: set[LogRecord], effects: list[Any]) -> list[str]:
    """Return the acts that nodes began while their partition state forbade them."""
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
