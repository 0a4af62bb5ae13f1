"""A fleet of three nodes, one of them of another version than the two others."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.mixed.cluster import DOCUMENTS, NAMES, TASKS, UNSAFE_TASK, Cluster, FleetNode
from benchmarks.mixed.fleet_client import (
    all_vote,
    ask,
    ask_all,
    documents_agree,
    find_leader,
    members_agree,
    order,
    parts_fit,
    put_document,
    read_document,
)
from benchmarks.mixed.http_client import CallFailed
from benchmarks.mixed.scenario import Result, run_scenario
from benchmarks.mixed.server_process import wait_until
from benchmarks.mixed.task_record import count_crossings, judge_acts, latest
from benchmarks.mixed.versions import CheckFailed, Version
from marlstep.drill.witness import clock_us

SCENARIO_TIMEOUT_S = 100.0
FORMS_WITHIN_S = 15.0
AGREES_WITHIN_S = 12.0
MOVES_WITHIN_S = 12.0
LEADS_WITHIN_S = 8.0
MOST_ELECTIONS = 8  # until the node that is wanted has come to lead
FILLS_WITHIN_S = 20.0
FILLERS = 8  # that ask for entries of the log at the same time, at each node
TOO_MANY_S = 0.01  # pause of one whose order was not taken
KEPT_BEHIND_SNAPSHOT = 500  # entries of the log: one that lags by more gets the snapshot
UNREADABLE = (
    "corrupt",
    "corrupt datagrams",
    "another fleet",
    "another group",
    "too large",
)  # counts of a node
WHOLE_ALLOWANCE = 1_000_000  # parts of an allowance are millionths
UNSAFE = frozenset({UNSAFE_TASK})
OLD_TO_NEW, NEW_TO_OLD = "old to new", "new to old"


@dataclass(slots=True)
class Run:
    """One fleet under test. `odd` is the node whose version the two others do not have."""

    cluster: Cluster
    result: Result
    odd: FleetNode
    odd_version: Version
    even_version: Version
    versions: dict[str, int] = field(default_factory=dict)  # of the documents in force
    version_of: dict[str, str] = field(default_factory=dict)  # of each process, by its name in the fleet

    @property
    def nodes(self) -> list[FleetNode]:
        return list(self.cluster.nodes.values())

    @property
    def evens(self) -> list[FleetNode]:
        return self.cluster.others(self.odd)

    async def look_at_processes(self) -> None:
        """Which process is of which version, and whether any of them could not read another's messages."""
        for name, told in (await ask_all(self.nodes, "/v1/fleet")).items():
            version = self.cluster.nodes[name].version.label
            self.version_of[f"{name}/{told['boot']}"] = version
            for what in UNREADABLE:
                count = told["lines"].get(what, 0)
                self.result.check(not count, f"{name} ({version}) counts {count} messages as {what!r}")

    async def wait_whole(self) -> None:
        """All vote, all belong, and all act on the same versions."""
        await wait_until("all nodes vote", lambda: all_vote(self.nodes), FORMS_WITHIN_S)
        await wait_until("all nodes agree on members", lambda: members_agree(self.nodes), AGREES_WITHIN_S)
        await self.wait_documents()
        await self.look_at_processes()

    async def wait_documents(self) -> None:
        async def agree() -> bool:
            fits = await parts_fit(self.nodes, WHOLE_ALLOWANCE)
            self.result.check(fits, "the nodes use more than the whole of an allowance")
            return await documents_agree(self.nodes, self.versions)

        await wait_until(f"all nodes act on {self.versions}", agree, AGREES_WITHIN_S)

    async def wait_holders(self, allowed: list[FleetNode]) -> None:
        """Every task is done by one of these, by an act that began after now."""
        since, names = clock_us(), {node.name for node in allowed}

        async def moved() -> bool:
            acts = latest(self.cluster.witness.acts)
            return set(acts) == set(TASKS) and all(
                act.began_us > since and act.node.partition("/")[0] in names for act in acts.values()
            )

        await wait_until(f"all tasks are done by {sorted(names)}", moved, MOVES_WITHIN_S)
        await self.look_at_processes()


async def form(run: Run) -> None:
    await run.odd.make_group(run.odd_version)
    await run.odd.start(run.odd_version)
    for node in run.evens:
        await node.start(run.even_version)
    run.versions = dict.fromkeys(DOCUMENTS, 1)  # what a node's own files say is proposed as the first
    await run.wait_whole()
    await run.wait_holders(run.nodes)


# Documents.


def changed(name: str, content: Any, step: int) -> Any:
    """The same document with another figure. A list of servers stays: a new version may say the same."""
    content = copy.deepcopy(content)
    if name == "settings":
        content["classes"][0]["worth"] += step / 100
    elif name == "tenants":
        content["tenants"]["north"]["allowance_per_s"] += step
    return content


async def put_from_each(run: Run) -> None:
    """Each node changes each document in turn, and all act on it. An old expectation is refused."""
    for step, node in enumerate(run.nodes, 1):
        for name in DOCUMENTS:
            before = await read_document(node, name)
            told = await put_document(node, name, changed(name, before.content, step), before.version)
            if told.get("prepares") != before.version + 1:
                raise CheckFailed(f"{node.name}: {name} was not put: {told}")
            run.versions[name] += 1
            await run.wait_documents()
            stale = await put_document(node, name, before.content, before.version)
            run.result.check("refused" in stale, f"{node.name}: a stale put of {name} was taken: {stale}")


async def put_by_commands(run: Run) -> None:
    """Each version's command line, at a node of the other version."""
    even = run.evens[0]
    for version, node in ((run.odd_version, even), (run.even_version, run.odd)):
        before = await read_document(node, "tenants")
        path = run.cluster.folder / f"tenants-{version.label}.json"
        path.write_text(json.dumps(changed("tenants", before.content, 1)))
        where = ("--operator", str(node.operator))
        expect = ("--expect", str(before.version), "--wait", "8")
        await version.run("rules", "put", "tenants", str(path), *expect, *where)
        run.versions["tenants"] += 1
        told = json.loads(await version.run("fleet", "status", "--json", *where))
        run.result.check(told["node"] == node.name, f"{version.label}: status of {node.name} is {told}")
    await run.wait_documents()


# Leases.


async def move_leases(run: Run) -> None:
    """Away from the odd node, back to it alone, and away again: taken out, killed and told to leave by turns."""
    killed, removed = run.evens
    await order(killed, "members/remove", {"node": run.odd.name})
    await run.wait_holders(run.evens)
    await order(killed, "members/readmit", {"node": run.odd.name})
    await run.wait_whole()
    await order(run.odd, "members/remove", {"node": removed.name})
    await killed.kill()
    await run.wait_holders([run.odd])
    await killed.start(run.even_version)
    await order(killed, "members/readmit", {"node": removed.name})
    await run.wait_whole()
    await run.odd.drain()
    await run.wait_holders(run.evens)
    await run.odd.start(run.odd_version)
    await run.wait_whole()


async def let_odd_lead(run: Run) -> None:
    """Leaders are killed until the odd node leads; then a document is changed under its lead."""
    for _ in range(MOST_ELECTIONS):
        leader = await wait_leader(run)
        if leader is run.odd:
            break
        await leader.restart()
        await wait_until("all nodes vote", lambda: all_vote(run.nodes), FORMS_WITHIN_S)
    else:
        raise CheckFailed(f"{run.odd.name} did not come to lead in {MOST_ELECTIONS} elections")
    await run.wait_whole()
    await put_by_commands(run)
    await run.wait_holders(run.nodes)


async def wait_leader(run: Run) -> FleetNode:
    found = await find_leader(run.nodes)

    async def known() -> bool:
        nonlocal found
        found = await find_leader(run.nodes)
        return found is not None

    await wait_until("a voter leads", known, LEADS_WITHIN_S)
    assert found is not None
    return run.cluster.nodes[found.node]


# Snapshots.


async def install_snapshot(run: Run) -> None:
    """The odd node is away until the others' log has grown beyond it; then it is given their snapshot."""
    told = await ask(run.odd, "/v1/fleet")
    if told is None:
        raise CheckFailed(f"{run.odd.name} does not answer")
    behind = int(told["voter"]["last"])
    await run.odd.kill()
    await fill_log(run, behind)
    await run.odd.start(run.odd_version)
    await run.wait_whole()
    told = await ask(run.odd, "/v1/fleet")
    installed = 0 if told is None else told["voter"]["counts"]["snapshots"]
    run.result.counts["snapshots_installed"] = installed
    run.result.check(installed > 0, f"{run.odd.name} came back without a snapshot")


async def fill_log(run: Run, behind: int) -> None:
    """Commands that change nothing, until the leader's log begins after that entry."""

    async def compacted() -> bool:
        leader = await find_leader(run.evens)
        told = None if leader is None else await ask(run.cluster.nodes[leader.node], "/v1/fleet")
        return told is not None and told["voter"]["snapshot"] > behind + KEPT_BEHIND_SNAPSHOT

    fillers = [asyncio.create_task(fill(node)) for node in run.evens for _ in range(FILLERS)]
    try:
        await wait_until("the log is compacted", compacted, FILLS_WITHIN_S)
    finally:
        for filler in fillers:
            filler.cancel()
        await asyncio.gather(*fillers, return_exceptions=True)


async def fill(node: FleetNode) -> None:
    """One read after another, through the log, until it is cancelled."""
    while True:
        with contextlib.suppress(CallFailed):
            await node.admin.call("/v1/fleet/rules/get", {"doc": "settings"})
            continue
        await asyncio.sleep(TOO_MANY_S)  # as many are on their way as a node may have


# Stores.


async def exchange_stores(run: Run) -> None:
    """The odd node's store is opened by the other version after a kill, and by its own after a handover."""
    identity = await voter_identity(run.odd)
    await run.odd.kill()
    await run.odd.start(run.even_version)
    await run.wait_whole()
    await check_store(run, identity)
    await run.odd.upgrade(run.odd_version)
    await run.wait_whole()
    await check_store(run, identity)
    await run.wait_holders(run.nodes)


async def voter_identity(node: FleetNode) -> str:
    told = await ask(node, "/v1/fleet")
    return "" if told is None or not told["voter"] else str(told["voter"]["identity"])


async def check_store(run: Run, identity: str) -> None:
    """The same voter goes on with the same file."""
    now = await voter_identity(run.odd)
    run.result.check(now == identity, f"{run.odd.name} votes as {now}, and was {identity}")
    aside = [path.name for path in run.odd.store.iterdir() if "aside" in path.name]
    run.result.check(not aside, f"{run.odd.name} set its store aside: {aside}")


STEPS: tuple[Callable[[Run], Awaitable[None]], ...] = (
    form,
    put_from_each,
    move_leases,
    let_odd_lead,
    install_snapshot,
    exchange_stores,
)


def judge_run(run: Run) -> None:
    """The whole record at the end."""
    acts = list(run.cluster.witness.acts)
    run.result.failures += judge_acts(acts, UNSAFE)
    crossings = count_crossings(acts, run.version_of)
    for task in TASKS:
        for way in (OLD_TO_NEW, NEW_TO_OLD):
            run.result.check(crossings[task, way] > 0, f"the lease of {task} did not move from {way}")
    run.result.counts |= {
        "acts": len(acts),
        "changes_of_holder": {f"{task}, {way}": count for (task, way), count in sorted(crossings.items())},
        "document_versions": dict(run.versions),
        "processes": len(run.cluster.processes),
    }
    run.result.check_processes(run.cluster.processes, run.cluster.logs())


async def run_fleet(folder: Path, odd: Version, even: Version, seed: int) -> Result:
    """One fleet whose first node is of the one version, and whose others are of the other."""

    async def body(result: Result) -> None:
        async with asyncio.timeout(SCENARIO_TIMEOUT_S), Cluster(folder, even.checkout, seed) as cluster:
            run = Run(cluster, result, cluster.nodes[NAMES[0]], odd, even)
            loop = asyncio.get_running_loop()
            took: dict[str, float] = {}
            try:
                for step in STEPS:
                    began = loop.time()
                    await step(run)
                    took[step.__name__] = round(loop.time() - began, 1)
            except (CheckFailed, CallFailed) as fault:
                result.failures.append(f"{step.__name__}: {fault}")
                await run.look_at_processes()
            result.counts["step_s"] = took
            judge_run(run)

    return await run_scenario(f"fleet of one {odd.label} and two {even.label}", body)


async def run_fleets(folder: Path, old: Version, new: Version, seed: int) -> list[Result]:
    results = []
    for odd, even in ((old, new), (new, old)):
        place = folder / f"fleet-{odd.label}-among-{even.label}"
        place.mkdir()
        results.append(await run_fleet(place, odd, even, seed))
    return results
