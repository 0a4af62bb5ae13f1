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

AGREEMENT_TIMEOUT_S = 30.0  # from the last fault until all views must agree; the actual time is reported
POLL_INTERVAL_S = 0.25  # between two polls of all nodes
DISRUPTIVE_FAULTS = (
    "kill",
    "stop",
    "isolate",
    "deaf",
    "mute",
    "split",
    "drain",
    "restart all",
    "crash at",
    "upgrade",
)
FAULT_AFTERMATH_US = 8_000_000  # after a fault, in which its nodes may still be declared failed
MAX_TRANSIT_US = 700_000  # the longest time from a node's decision to act to the arrival at the task server
FORBIDDING_STATES = {state.value for state in PartitionState if not CAPABILITIES[state].starts_tasks}


@dataclass(slots=True, frozen=True)
class LogRecord:
    """One membership change from the log of a node.

    Attributes:
        at_us: When it happened, in microseconds of the drill's clock.
        node: The node that logged it.
        change: The change, in words.
    """

    at_us: int
    node: str
    change: str


class LogCollector:
    """Collects the logs of membership changes while the nodes run, since a process loses its log when it ends."""

    def __init__(self, cluster: ProcessCluster) -> None:
        """Initialize the collector with no records."""
        self.cluster = cluster
        self.records: set[LogRecord] = set()
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
                response = await asyncio.wait_for(node.call("/v1/fleet/log"), 1.0)
                for row in response["changes"]:
                    at_us = int(datetime.fromisoformat(row["at"]).timestamp() * 1e6) + self._offset
                    self.records.add(LogRecord(at_us, name, row["what"]))


async def query_views(
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
            response = await asyncio.wait_for(node.call("/v1/fleet/members"), 2.0)
            rows = {member["node"]: member for member in response["members"]}
            live[name] = rows[name]["process"]
            present = ("alive", "suspect")
            heard[name] = {member: row["process"] for member, row in rows.items() if row["heard"] in present}
            if rows[name]["agreed"] is not None:
                agreed[name] = {member for member, row in rows.items() if row["agreed"]}

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
            collector = LogCollector(cluster)
            collection = asyncio.create_task(collector.run())
            began_us = clock_us()
            last_fault_us = began_us + 1000 * max(
                (entry.at_ms + entry.for_ms for entry in plan.faults), default=0
            )
            agreement = asyncio.create_task(wait_for_agreement(cluster, last_fault_us))
            await cluster.run()
            agreed_at_us, difference = await agreement
            if not difference:  # the views must still agree after the whole plan
                _, difference = await wait_for_agreement(cluster, clock_us())
            is_complete = await wait_for_full_membership(cluster)
            collector.stop = True
            await collection
            await collector.gather()
            effects = list(cluster.effect_recorder.effects)
            disturbed = disturbed_periods(cluster)
            unexpected = list(cluster.unexpected)
            fault_counts = dict(cluster.counts)
    removed = wrongly_removed(collector.records, disturbed)
    forbidden = forbidden_acts(collector.records, effects)
    held = (
        not difference and not removed and not forbidden and not unexpected and is_complete and bool(effects)
    )
    return {
        "seed": plan.seed,
        "plan": plan.write(),
        "faults": len(plan.faults),
        "views_agree_ms": None if agreed_at_us is None else max(0, agreed_at_us - last_fault_us) // 1000,
        "unlike": difference,
        "all_belong_again": is_complete,
        "removals": sum(entry.change.startswith("remove ") for entry in collector.records),
        "wrongly_removed": removed,
        "situations": sum(entry.change.startswith("situation is") for entry in collector.records),
        "acts": len(effects),
        "forbidden_acts": forbidden,
        "struck": fault_counts,
        "unexpected": unexpected,
        "verdict": "held" if held else "broken",
    }


async def wait_for_agreement(cluster: ProcessCluster, since_us: int) -> tuple[int | None, str]:
    """Wait until all nodes are live and each sees exactly all of them, for at most `AGREEMENT_TIMEOUT_S`.

    Args:
        cluster: The cluster to query.
        since_us: When to begin, in microseconds of the drill's clock.

    Returns:
        When the views agreed, on the same clock, and an empty text; or None and how they differ.
    """
    await asyncio.sleep(max(0, since_us - clock_us()) / 1e6)
    end_us = clock_us() + int(AGREEMENT_TIMEOUT_S * 1e6)
    difference = "nobody was asked"
    while clock_us() < end_us:
        now_us = clock_us()
        live, heard, _ = await query_views(cluster)
        difference = next(
            (f"{name} hears {view}, live are {live}" for name, view in heard.items() if view != live), ""
        )
        if not difference and len(live) == len(cluster.nodes):
            return now_us, ""
        await asyncio.sleep(POLL_INTERVAL_S)
    return None, difference or "a node is missing"


async def wait_for_full_membership(cluster: ProcessCluster) -> bool:
    """Return whether every node is on the member list again within twice `AGREEMENT_TIMEOUT_S`.

    A removed node is admitted again after its probation, which may have doubled several times.
    """
    end_us = clock_us() + int(2 * AGREEMENT_TIMEOUT_S * 1e6)
    while clock_us() < end_us:
        _, _, agreed = await query_views(cluster)
        if agreed and all(members == set(cluster.nodes) for members in agreed.values()):
            return True
        await asyncio.sleep(POLL_INTERVAL_S)
    return False


def disturbed_periods(cluster: ProcessCluster) -> dict[str, list[tuple[int, int]]]:
    """Return for each node the periods, in microseconds, in which a fault of the plan may cause its removal."""
    periods: dict[str, list[tuple[int, int]]] = {name: [] for name in cluster.nodes}
    for at_us, fault in cluster.injected_faults:
        if fault.kind not in DISRUPTIVE_FAULTS:
            continue
        names = (
            cluster.nodes
            if fault.kind == "restart all" or fault.node.startswith("@")
            else (fault.node, fault.other)
        )
        for name in names:
            if name in periods:
                periods[name].append((at_us, at_us + fault.for_ms * 1000 + FAULT_AFTERMATH_US))
    return periods


def wrongly_removed(records: set[LogRecord], disturbed: dict[str, list[tuple[int, int]]]) -> list[str]:
    """Return the removals of nodes from the member list that no fault of the plan explains."""
    removals = []
    for record in sorted(records, key=lambda record: record.at_us):
        if record.change.startswith("remove "):
            name = record.change.removeprefix("remove ")
            if not any(since <= record.at_us <= until for since, until in disturbed.get(name, ())):
                removals.append(f"{name} at {record.at_us} by {record.node}")
    return removals


def forbidden_acts(records: set[LogRecord], effects: list[Any]) -> list[str]:
    """Return the acts that nodes began while their partition state forbade them."""
    violations = []
    state_changes: dict[str, list[LogRecord]] = {}
    for record in sorted(records, key=lambda record: record.at_us):
        if record.change.startswith("situation is "):
            state_changes.setdefault(record.node, []).append(record)
    for effect in effects:
        earlier = [
            state_change
            for state_change in state_changes.get(effect.node.partition("/")[0], ())
            if state_change.at_us <= effect.began_us
        ]
        if not earlier or effect.fence:
            continue
        current = earlier[-1]
        if (
            current.change.removeprefix("situation is ") in FORBIDDING_STATES
            and effect.began_us > current.at_us + MAX_TRANSIT_US
        ):
            violations.append(f"{effect.node} in {current.change.removeprefix('situation is ')}: {effect}")
    return violations
