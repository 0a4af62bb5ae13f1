"""What a fleet costs: commits of groups of one, three and five voters, renewals, hand-over, and a node at rest.

    .venv/bin/python -m benchmarks.fleet            # one JSON object, about two minutes
    .venv/bin/python -m benchmarks.fleet --kills 20 --drains 20 --calm 600

The baseline of the same run is a group of a single voter, and a node without [fleet].
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import tempfile
import time
from dataclasses import replace
from datetime import timedelta
from pathlib import Path
from typing import Any

from marlstep.cluster.store import ReplicaStore
from marlstep.consensus.log import Configuration, EntryType, LogEntry, PersistentState, Snapshot
from marlstep.consensus.raft import RaftTiming, Ready
from marlstep.consensus.replica import Replica, ReplicaSettings
from marlstep.consensus.replica_messages import CommandRequest, CommandResponse
from marlstep.drill.plan import Plan
from marlstep.drill.rig import NodeProcess, Rig, Settings
from marlstep.drill.witness import clock_us
from marlstep.leases.manager import LeaseManager
from marlstep.leases.messages import Heartbeat
from marlstep.leases.settings import LeaseSettings
from marlstep.leases.table import LeaseTable
from marlstep.scheduled_tasks.run_log import RunLog
from marlstep.units import EPOCH

CONFIG = Path("deploy/node.json")
TICKS_A_SECOND = 100


def quantiles(values: list[float]) -> dict[str, float]:
    rows = sorted(values)
    return {
        "p50": round(rows[len(rows) // 2], 3),
        "p95": round(rows[int(len(rows) * 0.95)], 3),
        "p99": round(rows[int(len(rows) * 0.99)], 3),
        "most": round(rows[-1], 3),
        "count": len(rows),
    }


def store_commits(count: int, entries: int) -> dict[str, float]:
    """Milliseconds of one commit of the store, synced, with so many entries each."""
    with tempfile.TemporaryDirectory(dir=".") as folder:
        store = ReplicaStore(Path(folder))
        store.open("n1", "n1#a")
        took, index = [], 0
        for _ in range(count):
            rows = [LogEntry(index + one, 1, EntryType.COMMAND, "x" * 120) for one in range(1, entries + 1)]
            index += entries
            began = time.perf_counter()
            store.save(Ready(1, 1, "", entries=rows))
            took.append((time.perf_counter() - began) * 1000)
        store.close()
    return quantiles(took)


def renewals(leases: int, rounds: int) -> dict[str, float]:
    """A leader's work for nodes that hold so many leases together, without sockets: microseconds a beat."""
    table = LeaseTable()
    keeper = LeaseManager(table, LeaseSettings())
    now = EPOCH
    keeper.become_leader(now)
    nodes = min(leases, 5)
    names = {one: tuple(f"t{number}" for number in range(one, leases, nodes)) for one in range(nodes)}
    for one, wanted in names.items():
        for name in wanted:
            table.apply({"do": "grant", "name": name, "holder": f"n{one}/b", "most": 0})
    keeper.become_leader(now)
    took = []
    for number in range(rounds):
        now += timedelta(seconds=1)
        for one, wanted in names.items():
            began = time.perf_counter()
            keeper.handle_heartbeat(now, Heartbeat(f"n{one}", "b", number, wanted), 0)
            keeper.tick(now)
            keeper.take_responses(now, 1, "n0", 1)
            took.append((time.perf_counter() - began) * 1e6)
    return {
        **quantiles(took),
        "renewals_a_second_of_one_core": round(1e6 * len(took) * leases / nodes / sum(took)),
    }


def voter_commands(count: int) -> float:
    """Commands a second that one voter alone takes in and applies, without a store: the cost of the code."""
    group = Configuration(("v#1",))
    told = ReplicaSettings(RaftTiming(), LeaseSettings(), ("v",))

    def machines(table: LeaseTable) -> dict[str, RunLog]:
        return {"tasks": RunLog(table)}

    now = EPOCH
    voter = Replica(
        "v#1", PersistentState(snapshot=Snapshot(configuration=group)), told, machines, random.Random(1), now
    )

    def settle() -> int:
        done = sum(isinstance(message, CommandResponse) for _, message in voter.take_immediate_messages(now))
        while (ready := voter.take_ready()) is not None:
            voter.acknowledge_durable(now, ready)
            for to, message in ready.messages:
                if to == voter.identity:
                    voter.step(now, to, message)
            done += sum(
                isinstance(message, CommandResponse) for _, message in voter.take_immediate_messages(now)
            )
        return done

    now = voter.next_due()
    voter.tick(now)
    settle()
    began, done, number = time.perf_counter(), 0, 0
    while done < count:
        for _ in range(16):
            number += 1
            voter.step(
                now, "a", CommandRequest("a/1", number, '{"m":"leases","do":"expire","name":"x","token":1}')
            )
        done += settle()
    return round(count / (time.perf_counter() - began))


# On processes.


def plan(voters: int, nodes: int) -> Plan:
    names = tuple(f"n{number}" for number in range(1, nodes + 1))
    return Plan(1, names, names[:voters], 0, (1.0,) * nodes, ())


def usage(node: NodeProcess) -> tuple[float, int]:
    """Seconds of processor time so far, and private memory in kB."""
    assert node.process is not None
    stat = Path(f"/proc/{node.process.pid}/stat").read_text().rpartition(")")[2].split()
    rollup = Path(f"/proc/{node.process.pid}/smaps_rollup").read_text().splitlines()
    private = sum(
        int(line.split()[1]) for line in rollup if line.startswith(("Private_Clean", "Private_Dirty"))
    )
    return (int(stat[11]) + int(stat[12])) / TICKS_A_SECOND, private


async def at_rest(settings: Settings, fleet: bool, seconds: float) -> dict[str, float]:
    """One core's share and the memory of the busiest node, where nothing but beats goes on."""
    with tempfile.TemporaryDirectory() as folder:
        quiet = replace(settings, tasks={})
        async with Rig(plan(3, 3), quiet, Path(folder)) as rig:
            if not fleet:
                for node in rig.nodes.values():
                    await node.kill()
                    path = node.folder / "operator.toml"
                    path.write_text(path.read_text().partition("[fleet]")[0])
                    await node.start()
                await asyncio.sleep(2.0)
            before = {name: usage(node)[0] for name, node in rig.nodes.items()}
            await asyncio.sleep(seconds)
            after = {name: usage(node) for name, node in rig.nodes.items()}
    shares = [(after[name][0] - before[name]) / seconds for name in after]
    return {
        "core_percent": round(100 * max(shares), 2),
        "private_mb": round(max(a[1] for a in after.values()) / 1024, 1),
    }


async def commits(voters: int, count: int) -> dict[str, float]:
    """Milliseconds from a command that a node asks for to its result, through the log of so many voters."""
    settings = Settings(
        json.loads(CONFIG.read_text()),
        tasks={"one": {"every_ms": 100, "class": "schedule-save", "longest_ms": 250}},
    )
    with tempfile.TemporaryDirectory() as folder:
        async with Rig(plan(voters, max(3, voters)), settings, Path(folder)) as rig:
            await asyncio.sleep(1.5 + count * 0.1)
            found: list[float] = []
            for name in rig.nodes:
                told = await rig.nodes[name].call("/v1/fleet")
                found += told["asked_ms"]
    return quantiles(found)


async def hand_over(kills: int, drains: int, term_ms: int) -> dict[str, Any]:
    """Seconds from a kill, or from the notice to leave, to the next act of the task by another node."""
    told = json.loads(CONFIG.read_text())
    tasks = {"one": {"every_ms": 100, "class": "schedule-save", "longest_ms": 250, "missed": "once"}}
    settings = Settings(told, term_ms=term_ms, patience_ms=500, beat_ms=100, tasks=tasks)
    found: dict[str, list[float]] = {"kill": [], "drain": []}
    with tempfile.TemporaryDirectory() as folder:
        async with Rig(plan(3, 5), settings, Path(folder)) as rig:
            await asyncio.sleep(3.0)
            for what, count in (("kill", kills), ("drain", drains)):
                for _ in range(count):
                    found[what].append(await one_hand_over(rig, what))
    return {what: quantiles(rows) for what, rows in found.items() if rows}


async def one_hand_over(rig: Rig, what: str) -> float:
    import signal

    holder = rig._holder()
    node = rig.nodes[holder]
    began = clock_us()
    node.signal(signal.SIGKILL if what == "kill" else signal.SIGTERM)
    while True:
        await asyncio.sleep(0.01)
        later = [act for act in rig.witness.acts if act.accepted and not act.fence and act.began_us > began]
        found = next((act for act in later if act.node.partition("/")[0] != holder), None)
        if found is not None:
            break
        if clock_us() - began > 30e6:
            raise RuntimeError("nobody took the task over in 30 s")
    await node.wait()
    await node.start()
    await asyncio.sleep(3.0)
    return (found.began_us - began) / 1e6


async def calm(seconds: float) -> dict[str, Any]:
    """Changes of holder without any fault."""
    settings = Settings(json.loads(CONFIG.read_text()), term_ms=3_000, patience_ms=500, beat_ms=100)
    with tempfile.TemporaryDirectory() as folder:
        async with Rig(plan(3, 5), settings, Path(folder)) as rig:
            await asyncio.sleep(seconds)
            tokens: dict[str, set[int]] = {}
            for act in rig.witness.acts:
                tokens.setdefault(act.task, set()).add(act.token)
            status = await rig.statuses(rig.plan.voters)
    return {
        "seconds": seconds,
        "acts": sum(act.accepted for act in rig.witness.acts),
        "changes_of_holder": sum(len(found) - 1 for found in tokens.values()),
        "term_of_the_log": max(told["voter"]["term"] for told in status.values()),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n", 1)[0])
    parser.add_argument("--kills", type=int, default=6)
    parser.add_argument("--drains", type=int, default=6)
    parser.add_argument("--term-ms", type=int, default=3_000)
    parser.add_argument("--calm", type=float, default=20.0, help="seconds without faults")
    parser.add_argument("--rest", type=float, default=10.0, help="seconds at rest")
    parser.add_argument("--commits", type=int, default=150)
    parser.add_argument("--only", choices=["cores", "commits", "rest", "hand-over", "calm"], action="append")
    options = parser.parse_args()
    wanted = options.only or ["cores", "commits", "rest", "hand-over", "calm"]
    settings = Settings(json.loads(CONFIG.read_text()), term_ms=3_000, patience_ms=500, beat_ms=100)
    found: dict[str, Any] = {}
    if "cores" in wanted:
        found["store_ms"] = {str(entries): store_commits(400, entries) for entries in (1, 16)}
        found["renewals_us_a_beat"] = {str(leases): renewals(leases, 300) for leases in (1, 1000)}
        found["commands_a_second_of_one_core"] = voter_commands(5_000)
    if "commits" in wanted:
        found["commit_ms"] = {
            str(voters): asyncio.run(commits(voters, options.commits)) for voters in (1, 3, 5)
        }
    if "rest" in wanted:
        found["at_rest"] = {
            "without": asyncio.run(at_rest(settings, False, options.rest)),
            "with": asyncio.run(at_rest(settings, True, options.rest)),
        }
    if "hand-over" in wanted:
        found["hand_over_s"] = asyncio.run(hand_over(options.kills, options.drains, options.term_ms))
    if "calm" in wanted:
        found["calm"] = asyncio.run(calm(options.calm))
    print(json.dumps(found))


if __name__ == "__main__":
    main()
