"""Measure the cost of a cluster: commits by 1, 3 and 5 voters, lease renewals, failover, and an idle node.

    .venv/bin/python -m benchmarks.fleet            # one JSON object, about two minutes
    .venv/bin/python -m benchmarks.fleet --kills 20 --drains 20 --calm 600

Each run measures its own baseline: a group with a single voter, and a node without a [fleet] section.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
import tempfile
import time
from dataclasses import replace
from datetime import timedelta
from pathlib import Path
from typing import Any

from benchmarks.errors import NoNewHolderError
from marlstep.cluster.store import ReplicaStore
from marlstep.consensus.log import Configuration, EntryType, LogEntry, PersistentState, Snapshot
from marlstep.consensus.raft import RaftTiming, Ready
from marlstep.consensus.replica import Replica, ReplicaSettings
from marlstep.consensus.replica_messages import CommandRequest, CommandResponse
from marlstep.fault_injection.effect_recorder import clock_us
from marlstep.fault_injection.plan import Plan
from marlstep.fault_injection.process_cluster import NodeProcess, ProcessCluster, Settings
from marlstep.leases.manager import LeaseManager
from marlstep.leases.messages import Heartbeat
from marlstep.leases.settings import LeaseSettings
from marlstep.leases.table import LeaseTable
from marlstep.scheduled_tasks.run_log import RunLog
from marlstep.units import EPOCH

CONFIG_PATH = Path("deploy/node.json")
TICKS_PER_SECOND = 100
HAND_OVER_TIMEOUT_S = 30.0


def load_config() -> dict[str, Any]:
    """Read the platform's configuration from the deployment folder."""
    config: dict[str, Any] = json.loads(CONFIG_PATH.read_text())
    return config


def quantiles(values: list[float]) -> dict[str, float]:
    """Return the p50, p95 and p99 quantiles, the maximum as `most`, and the number of values."""
    ordered = sorted(values)
    return {
        "p50": round(ordered[len(ordered) // 2], 3),
        "p95": round(ordered[int(len(ordered) * 0.95)], 3),
        "p99": round(ordered[int(len(ordered) * 0.99)], 3),
        "most": round(ordered[-1], 3),
        "count": len(ordered),
    }


def measure_store_commits(count: int, entries: int) -> dict[str, float]:
    """Measure single synced commits of the store, without a network.

    Args:
        count: How many commits to measure.
        entries: How many log entries each commit writes.

    Returns:
        The quantiles of the commit time, in milliseconds.
    """
    with tempfile.TemporaryDirectory(dir=".") as folder:
        store = ReplicaStore(Path(folder))
        store.open("n1", "n1#a")
        durations_ms: list[float] = []
        index = 0
        for _ in range(count):
            new_entries = [
                LogEntry(index + offset, 1, EntryType.COMMAND, "x" * 120) for offset in range(1, entries + 1)
            ]
            index += entries
            started_at = time.perf_counter()
            store.save(Ready(1, 1, "", entries=new_entries))
            durations_ms.append((time.perf_counter() - started_at) * 1000)
        store.close()
    return quantiles(durations_ms)


def measure_renewals(leases: int, rounds: int) -> dict[str, float]:
    """Measure a leader's work for the heartbeats of its nodes, without sockets.

    Args:
        leases: How many leases the nodes hold together.
        rounds: How many heartbeats each node sends.

    Returns:
        The quantiles of the time per heartbeat, in microseconds, and the lease renewals per second of one core.
    """
    table = LeaseTable()
    manager = LeaseManager(table, LeaseSettings())
    now = EPOCH
    manager.become_leader(now)
    nodes = min(leases, 5)
    names = {node: tuple(f"t{number}" for number in range(node, leases, nodes)) for node in range(nodes)}
    for node, wanted in names.items():
        for name in wanted:
            table.apply({"do": "grant", "name": name, "holder": f"n{node}/b", "most": 0})
    manager.become_leader(now)
    durations_us: list[float] = []
    for number in range(rounds):
        now += timedelta(seconds=1)
        for node, wanted in names.items():
            started_at = time.perf_counter()
            manager.handle_heartbeat(now, Heartbeat(f"n{node}", "b", number, wanted), 0)
            manager.tick(now)
            manager.take_responses(now, 1, "n0", 1)
            durations_us.append((time.perf_counter() - started_at) * 1e6)
    return {
        **quantiles(durations_us),
        "renewals_a_second_of_one_core": round(1e6 * len(durations_us) * leases / nodes / sum(durations_us)),
    }


def measure_replica_commands(count: int) -> float:
    """Return how many commands per second a single replica applies without a store.

    Without disk writes the rate shows the processor time of the replica's code alone.
    """
    group = Configuration(("v#1",))
    settings = ReplicaSettings(RaftTiming(), LeaseSettings(), ("v",))

    def machines(table: LeaseTable) -> dict[str, RunLog]:
        return {"tasks": RunLog(table)}

    now = EPOCH
    replica = Replica(
        "v#1",
        PersistentState(snapshot=Snapshot(configuration=group)),
        settings,
        machines,
        random.Random(1),
        now,
    )

    def exchange_messages() -> int:
        """Deliver messages until the replica has none left; return the number of command responses."""
        response_count = sum(
            isinstance(message, CommandResponse) for _, message in replica.take_immediate_messages(now)
        )
        while (ready := replica.take_ready()) is not None:
            replica.acknowledge_durable(now, ready)
            for to, message in ready.messages:
                if to == replica.identity:
                    replica.step(now, to, message)
            response_count += sum(
                isinstance(message, CommandResponse) for _, message in replica.take_immediate_messages(now)
            )
        return response_count

    now = replica.next_due()
    replica.tick(now)
    exchange_messages()
    started_at, response_count, number = time.perf_counter(), 0, 0
    while response_count < count:
        for _ in range(16):
            number += 1
            replica.step(
                now, "a", CommandRequest("a/1", number, '{"m":"leases","do":"expire","name":"x","token":1}')
            )
        response_count += exchange_messages()
    return round(count / (time.perf_counter() - started_at))


# Measurements with real processes on loopback.


def plan(voters: int, nodes: int) -> Plan:
    """Return a plan without faults for `nodes` nodes, of which the first `voters` are voters."""
    names = tuple(f"n{number}" for number in range(1, nodes + 1))
    return Plan(1, names, names[:voters], 0, (1.0,) * nodes, ())


def read_usage(node: NodeProcess) -> tuple[float, int]:
    """Return the processor time of a node's process so far, in seconds, and its private memory, in kB."""
    assert node.process is not None
    stat = Path(f"/proc/{node.process.pid}/stat").read_text().rpartition(")")[2].split()
    rollup = Path(f"/proc/{node.process.pid}/smaps_rollup").read_text().splitlines()
    private = sum(
        int(line.split()[1]) for line in rollup if line.startswith(("Private_Clean", "Private_Dirty"))
    )
    return (int(stat[11]) + int(stat[12])) / TICKS_PER_SECOND, private


def remove_fleet_section(operator_file: Path) -> None:
    """Remove the [fleet] section and everything after it from the operator's file."""
    operator_file.write_text(operator_file.read_text().partition("[fleet]")[0])


async def measure_at_rest(settings: Settings, *, fleet: bool, seconds: float) -> dict[str, float]:
    """Measure idle nodes, on which only heartbeats are sent.

    Args:
        settings: The settings of the cluster; its tasks are left out.
        fleet: Whether the nodes have a [fleet] section.
        seconds: How long to measure.

    Returns:
        The highest processor use, in percent of one core, and the highest private memory of a node, in MB.
    """
    with tempfile.TemporaryDirectory() as folder:
        without_tasks = replace(settings, tasks={})
        async with ProcessCluster(plan(3, 3), without_tasks, Path(folder)) as cluster:
            if not fleet:
                for node in cluster.nodes.values():
                    await node.kill()
                    remove_fleet_section(node.folder / "operator.toml")
                    await node.start()
                await asyncio.sleep(2.0)
            before = {name: read_usage(node)[0] for name, node in cluster.nodes.items()}
            await asyncio.sleep(seconds)
            after = {name: read_usage(node) for name, node in cluster.nodes.items()}
    shares = [(after[name][0] - before[name]) / seconds for name in after]
    return {
        "core_percent": round(100 * max(shares), 2),
        "private_mb": round(max(private_kb for _, private_kb in after.values()) / 1024, 1),
    }


async def commits(voters: int, count: int) -> dict[str, float]:
    """Measure the time from the submission of a command at a node to its result, in milliseconds.

    Args:
        voters: How many of the nodes are voters.
        count: How many runs of the task to leave time for; each run submits commands.
    """
    settings = Settings(
        load_config(),
        tasks={"one": {"every_ms": 100, "class": "schedule-save", "longest_ms": 250}},
    )
    with tempfile.TemporaryDirectory() as folder:
        async with ProcessCluster(plan(voters, max(3, voters)), settings, Path(folder)) as cluster:
            await asyncio.sleep(1.5 + count * 0.1)
            durations_ms: list[float] = []
            for node in cluster.nodes.values():
                status = await node.call("/v1/fleet")
                durations_ms += status["asked_ms"]
    return quantiles(durations_ms)


async def measure_hand_overs(kills: int, drains: int, term_ms: int) -> dict[str, Any]:
    """Measure the time from SIGKILL or SIGTERM of a holder to the task's next effect from another node.

    Args:
        kills: How many holders to kill with SIGKILL.
        drains: How many holders to drain with SIGTERM.
        term_ms: The lease duration, in milliseconds.

    Returns:
        The quantiles, in seconds, by event (`kill` or `drain`).
    """
    tasks = {"one": {"every_ms": 100, "class": "schedule-save", "longest_ms": 250, "missed": "once"}}
    settings = Settings(load_config(), term_ms=term_ms, patience_ms=500, beat_ms=100, tasks=tasks)
    durations_s: dict[str, list[float]] = {"kill": [], "drain": []}
    with tempfile.TemporaryDirectory() as folder:
        async with ProcessCluster(plan(3, 5), settings, Path(folder)) as cluster:
            await asyncio.sleep(3.0)
            for event, count in (("kill", kills), ("drain", drains)):
                for _ in range(count):
                    durations_s[event].append(await measure_hand_over(cluster, event))
    return {event: quantiles(durations) for event, durations in durations_s.items() if durations}


async def measure_hand_over(cluster: ProcessCluster, event: str) -> float:
    """Stop the holder, measure the failover in seconds, and start the node again.

    Raises:
        NoNewHolderError: The task had no effect from another node in time.
    """
    holder = cluster._holder()
    node = cluster.nodes[holder]
    started_at_us = clock_us()
    node.signal(signal.SIGKILL if event == "kill" else signal.SIGTERM)
    while True:
        await asyncio.sleep(0.01)
        accepted_effects = [
            effect
            for effect in cluster.effect_recorder.effects
            if effect.accepted and not effect.fence and effect.began_us > started_at_us
        ]
        next_effect = next(
            (effect for effect in accepted_effects if effect.node.partition("/")[0] != holder), None
        )
        if next_effect is not None:
            break
        if clock_us() - started_at_us > HAND_OVER_TIMEOUT_S * 1e6:
            raise NoNewHolderError(holder, HAND_OVER_TIMEOUT_S)
    await node.wait()
    await node.start()
    await asyncio.sleep(3.0)
    return (next_effect.began_us - started_at_us) / 1e6


async def calm(seconds: float) -> dict[str, Any]:
    """Run a cluster without faults for that many seconds and count the changes of holder."""
    settings = Settings(load_config(), term_ms=3_000, patience_ms=500, beat_ms=100)
    with tempfile.TemporaryDirectory() as folder:
        async with ProcessCluster(plan(3, 5), settings, Path(folder)) as cluster:
            await asyncio.sleep(seconds)
            tokens_by_task: dict[str, set[int]] = {}
            for effect in cluster.effect_recorder.effects:
                tokens_by_task.setdefault(effect.task, set()).add(effect.token)
            statuses = await cluster.statuses(cluster.plan.voters)
    return {
        "seconds": seconds,
        "acts": sum(effect.accepted for effect in cluster.effect_recorder.effects),
        "changes_of_holder": sum(len(tokens) - 1 for tokens in tokens_by_task.values()),
        "term_of_the_log": max(status["voter"]["term"] for status in statuses.values()),
    }


def main() -> None:
    """Run the selected measurements and print the report as JSON."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n", 1)[0])
    parser.add_argument("--kills", type=int, default=6)
    parser.add_argument("--drains", type=int, default=6)
    parser.add_argument("--term-ms", type=int, default=3_000)
    parser.add_argument("--calm", type=float, default=20.0, help="seconds without faults")
    parser.add_argument("--rest", type=float, default=10.0, help="seconds at rest")
    parser.add_argument("--commits", type=int, default=150)
    parser.add_argument("--only", choices=["cores", "commits", "rest", "hand-over", "calm"], action="append")
    options = parser.parse_args()
    selected = options.only or ["cores", "commits", "rest", "hand-over", "calm"]
    settings = Settings(load_config(), term_ms=3_000, patience_ms=500, beat_ms=100)
    report: dict[str, Any] = {}
    if "cores" in selected:
        report["store_ms"] = {str(entries): measure_store_commits(400, entries) for entries in (1, 16)}
        report["renewals_us_a_beat"] = {str(leases): measure_renewals(leases, 300) for leases in (1, 1000)}
        report["commands_a_second_of_one_core"] = measure_replica_commands(5_000)
    if "commits" in selected:
        report["commit_ms"] = {
            str(voters): asyncio.run(commits(voters, options.commits)) for voters in (1, 3, 5)
        }
    if "rest" in selected:
        report["at_rest"] = {
            "without": asyncio.run(measure_at_rest(settings, fleet=False, seconds=options.rest)),
            "with": asyncio.run(measure_at_rest(settings, fleet=True, seconds=options.rest)),
        }
    if "hand-over" in selected:
        report["hand_over_s"] = asyncio.run(
            measure_hand_overs(options.kills, options.drains, options.term_ms)
        )
    if "calm" in selected:
        report["calm"] = asyncio.run(calm(options.calm))
    print(json.dumps(report))


if __name__ == "__main__":
    main()
