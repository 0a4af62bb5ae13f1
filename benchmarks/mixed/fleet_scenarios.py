"""A cluster of three nodes, one of them of another version than the two others."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.mixed.cluster import DOCUMENTS, NODE_NAMES, TASKS, UNSAFE_TASK, Cluster, FleetNode
from benchmarks.mixed.errors import (
    CallFailedError,
    CheckFailedError,
    CommandRejectedError,
    NotElectedError,
)
from benchmarks.mixed.fleet_client import (
    all_vote,
    documents_agree,
    fetch,
    fetch_all,
    find_leader,
    members_agree,
    put_document,
    quotas_fit,
    read_document,
    submit_command,
)
from benchmarks.mixed.http_client import JsonObject
from benchmarks.mixed.scenario import Result, run_scenario
from benchmarks.mixed.server_process import wait_until
from benchmarks.mixed.task_record import check_effects, count_crossings, latest_effects
from benchmarks.mixed.versions import Version
from marlstep.fault_injection.effect_recorder import clock_us

SCENARIO_TIMEOUT_S = 100.0
FORMATION_TIMEOUT_S = 15.0
AGREEMENT_TIMEOUT_S = 12.0
LEASE_MOVE_TIMEOUT_S = 12.0
LEADER_TIMEOUT_S = 8.0
MAX_ELECTIONS = 8  # until the wanted node leads
COMPACTION_TIMEOUT_S = 20.0
FILLERS_PER_NODE = 8  # tasks at each node that write entries of the log at the same time
REJECTED_PAUSE_S = 0.01  # pause of a filler whose command was rejected
ENTRIES_KEPT_BEHIND_SNAPSHOT = 500  # entries of the log: one that lags by more gets the snapshot
# A node's counters of messages that it could not read.
UNREADABLE_COUNTERS = ("corrupt", "corrupt datagrams", "another fleet", "another group", "too large")
FULL_QUOTA = 1_000_000  # shares of a quota are millionths
UNSAFE_TASKS = frozenset({UNSAFE_TASK})
OLD_TO_NEW, NEW_TO_OLD = "old to new", "new to old"


@dataclass(slots=True)
class Run:
    """One cluster under test. `odd` is the node whose version the two others do not have."""

    cluster: Cluster
    result: Result
    odd: FleetNode
    odd_version: Version
    majority_version: Version
    versions: dict[str, int] = field(default_factory=dict)  # of the documents in force
    version_by_process: dict[str, str] = field(
        default_factory=dict
    )  # of each process, by its name in the fleet

    @property
    def nodes(self) -> list[FleetNode]:
        """All nodes."""
        return list(self.cluster.nodes.values())

    @property
    def majority(self) -> list[FleetNode]:
        """The two nodes of the same version."""
        return self.cluster.others(self.odd)

    async def record_processes(self) -> None:
        """Note which process is of which version; check that none got messages that it could not read."""
        for name, status in (await fetch_all(self.nodes, "/v1/fleet")).items():
            version = self.cluster.nodes[name].version.label
            self.version_by_process[f"{name}/{status['boot']}"] = version
            for counter in UNREADABLE_COUNTERS:
                count = status["lines"].get(counter, 0)
                self.result.check(not count, f"{name} ({version}) counts {count} messages as {counter!r}")

    async def wait_converged(self) -> None:
        """Wait until all vote, all are members, and all act on the same versions. Raises CheckFailedError."""
        await wait_until("all nodes vote", lambda: all_vote(self.nodes), FORMATION_TIMEOUT_S)
        await wait_until("all nodes agree on members", lambda: members_agree(self.nodes), AGREEMENT_TIMEOUT_S)
        await self.wait_documents()
        await self.record_processes()

    async def wait_documents(self) -> None:
        """Wait until all act on the expected versions. Raises CheckFailedError."""

        async def agree() -> bool:
            fits = await quotas_fit(self.nodes, FULL_QUOTA)
            self.result.check(fits, "the nodes use more than the whole of a quota")
            return await documents_agree(self.nodes, self.versions)

        await wait_until(f"all nodes act on {self.versions}", agree, AGREEMENT_TIMEOUT_S)

    async def wait_holders(self, allowed: list[FleetNode]) -> None:
        """Wait until each task was done by one of these, in an act that began after now.

        Raises CheckFailedError.
        """
        since, names = clock_us(), {node.name for node in allowed}

        async def all_tasks_ran() -> bool:
            latest_by_task = latest_effects(self.cluster.effect_recorder.effects)
            return set(latest_by_task) == set(TASKS) and all(
                effect.began_us > since and effect.node.partition("/")[0] in names
                for effect in latest_by_task.values()
            )

        await wait_until(f"all tasks are done by {sorted(names)}", all_tasks_ran, LEASE_MOVE_TIMEOUT_S)
        await self.record_processes()


async def form(run: Run) -> None:
    """Create the group at the odd node and let the two others join it."""
    await run.odd.init_group(run.odd_version)
    await run.odd.start(run.odd_version)
    for node in run.majority:
        await node.start(run.majority_version)
    run.versions = dict.fromkeys(DOCUMENTS, 1)  # what a node's own files say is proposed as the first
    await run.wait_converged()
    await run.wait_holders(run.nodes)


# Documents.


def changed_content(name: str, content: JsonObject, step: int) -> JsonObject:
    """Return the document with another figure.

    A list of servers stays as it is: a new version may say the same.
    """
    content = copy.deepcopy(content)
    if name == "settings":
        content["classes"][0]["worth"] += step / 100
    elif name == "tenants":
        content["tenants"]["north"]["allowance_per_s"] += step
    return content


async def put_from_each(run: Run) -> None:
    """Change each document at each node in turn; all must act on it. A stale expected version is rejected."""
    for step, node in enumerate(run.nodes, 1):
        for name in DOCUMENTS:
            before = await read_document(node, name)
            result = await put_document(
                node, name, changed_content(name, before.content, step), before.version
            )
            if result.get("prepares") != before.version + 1:
                raise CommandRejectedError(node.name, f"a new version of {name}", result)
            run.versions[name] += 1
            await run.wait_documents()
            stale = await put_document(node, name, before.content, before.version)
            run.result.check("refused" in stale, f"{node.name}: a stale put of {name} was taken: {stale}")


async def put_by_commands(run: Run) -> None:
    """Change a document with each version's command line, at a node of the other version."""
    for version, node in ((run.odd_version, run.majority[0]), (run.majority_version, run.odd)):
        before = await read_document(node, "tenants")
        path = run.cluster.folder / f"tenants-{version.label}.json"
        path.write_text(json.dumps(changed_content("tenants", before.content, 1)))
        operator_option = ("--operator", str(node.operator_file))
        expect_options = ("--expect", str(before.version), "--wait", "8")
        await version.run("rules", "put", "tenants", str(path), *expect_options, *operator_option)
        run.versions["tenants"] += 1
        status = json.loads(await version.run("fleet", "status", "--json", *operator_option))
        run.result.check(status["node"] == node.name, f"{version.label}: status of {node.name} is {status}")
    await run.wait_documents()


# Leases.


async def move_leases(run: Run) -> None:
    """Move the leases away from the odd node, back to it alone, and away again.

    Nodes are removed from the roster, killed and terminated in turn.
    """
    killed, removed = run.majority
    await submit_command(killed, "members/remove", {"node": run.odd.name})
    await run.wait_holders(run.majority)
    await submit_command(killed, "members/readmit", {"node": run.odd.name})
    await run.wait_converged()
    await submit_command(run.odd, "members/remove", {"node": removed.name})
    await killed.kill()
    await run.wait_holders([run.odd])
    await killed.start(run.majority_version)
    await submit_command(killed, "members/readmit", {"node": removed.name})
    await run.wait_converged()
    await run.odd.drain()
    await run.wait_holders(run.majority)
    await run.odd.start(run.odd_version)
    await run.wait_converged()


async def let_odd_lead(run: Run) -> None:
    """Kill leaders until the odd node leads, then change a document under its lead."""
    for _ in range(MAX_ELECTIONS):
        leader = await wait_leader(run)
        if leader is run.odd:
            break
        await leader.restart()
        await wait_until("all nodes vote", lambda: all_vote(run.nodes), FORMATION_TIMEOUT_S)
    else:
        raise NotElectedError(run.odd.name, MAX_ELECTIONS)
    await run.wait_converged()
    await put_by_commands(run)
    await run.wait_holders(run.nodes)


async def wait_leader(run: Run) -> FleetNode:
    """Wait for a leader and return it. Raises CheckFailedError."""
    found = await find_leader(run.nodes)

    async def leader_found() -> bool:
        nonlocal found
        found = await find_leader(run.nodes)
        return found is not None

    await wait_until("a voter leads", leader_found, LEADER_TIMEOUT_S)
    assert found is not None
    return run.cluster.nodes[found.node]


# Snapshots.


async def install_snapshot(run: Run) -> None:
    """Keep the odd node down until the others' log is compacted beyond its own.

    When it is back it must install their snapshot.
    """
    last_index = int((await run.odd.admin.call("/v1/fleet"))["voter"]["last"])
    await run.odd.kill()
    await fill_log(run, last_index)
    await run.odd.start(run.odd_version)
    await run.wait_converged()
    status = await fetch(run.odd, "/v1/fleet")
    installed = 0 if status is None else status["voter"]["counts"]["snapshots"]
    run.result.counts["snapshots_installed"] = installed
    run.result.check(installed > 0, f"{run.odd.name} came back without a snapshot")


async def fill_log(run: Run, last_index: int) -> None:
    """Write commands that change nothing, until the leader's log begins after that entry."""

    async def compacted() -> bool:
        leader = await find_leader(run.majority)
        status = None if leader is None else await fetch(run.cluster.nodes[leader.node], "/v1/fleet")
        return status is not None and status["voter"]["snapshot"] > last_index + ENTRIES_KEPT_BEHIND_SNAPSHOT

    fillers = [
        asyncio.create_task(send_reads(node)) for node in run.majority for _ in range(FILLERS_PER_NODE)
    ]
    try:
        await wait_until("the log is compacted", compacted, COMPACTION_TIMEOUT_S)
    finally:
        for filler in fillers:
            filler.cancel()
        await asyncio.gather(*fillers, return_exceptions=True)


async def send_reads(node: FleetNode) -> None:
    """Read through the log, one read after another, until cancelled."""
    while True:
        with contextlib.suppress(CallFailedError):
            await node.admin.call("/v1/fleet/rules/get", {"doc": "settings"})
            continue
        await asyncio.sleep(REJECTED_PAUSE_S)  # as many are on their way as a node may have


# Stores.


async def exchange_stores(run: Run) -> None:
    """Let the other version open the odd node's store after a kill, and its own after a hot restart."""
    identity = await replica_identity(run.odd)
    await run.odd.kill()
    await run.odd.start(run.majority_version)
    await run.wait_converged()
    await check_store(run, identity)
    await run.odd.upgrade(run.odd_version)
    await run.wait_converged()
    await check_store(run, identity)
    await run.wait_holders(run.nodes)


async def replica_identity(node: FleetNode) -> str:
    """Return the identity under which a node votes; empty where it does not."""
    status = await fetch(node, "/v1/fleet")
    return "" if status is None or not status["voter"] else str(status["voter"]["identity"])


async def check_store(run: Run, identity: str) -> None:
    """Check that the same replica goes on with the same file."""
    current_identity = await replica_identity(run.odd)
    run.result.check(
        current_identity == identity, f"{run.odd.name} votes as {current_identity}, and was {identity}"
    )
    set_aside = [path.name for path in run.odd.store.iterdir() if "aside" in path.name]
    run.result.check(not set_aside, f"{run.odd.name} set its store aside: {set_aside}")


STEPS: tuple[Callable[[Run], Awaitable[None]], ...] = (
    form,
    put_from_each,
    move_leases,
    let_odd_lead,
    install_snapshot,
    exchange_stores,
)


def check_run(run: Run) -> None:
    """Judge the whole record at the end."""
    recorded_effects = list(run.cluster.effect_recorder.effects)
    run.result.failures += check_effects(recorded_effects, UNSAFE_TASKS)
    crossings = count_crossings(recorded_effects, run.version_by_process)
    for task in TASKS:
        for direction in (OLD_TO_NEW, NEW_TO_OLD):
            run.result.check(
                crossings[task, direction] > 0, f"the lease of {task} did not move from {direction}"
            )
    run.result.counts |= {
        "acts": len(recorded_effects),
        "changes_of_holder": {
            f"{task}, {direction}": count for (task, direction), count in sorted(crossings.items())
        },
        "document_versions": dict(run.versions),
        "processes": len(run.cluster.processes),
    }
    run.result.check_processes(run.cluster.processes, run.cluster.read_logs())


async def run_fleet(folder: Path, odd: Version, majority: Version, seed: int) -> Result:
    """Run all steps on one cluster: its first node has the one version, the others have the other."""

    async def run_steps(result: Result) -> None:
        async with asyncio.timeout(SCENARIO_TIMEOUT_S), Cluster(folder, majority.checkout, seed) as cluster:
            run = Run(cluster, result, cluster.nodes[NODE_NAMES[0]], odd, majority)
            loop = asyncio.get_running_loop()
            durations_s: dict[str, float] = {}
            try:
                for step in STEPS:
                    started_at = loop.time()
                    await step(run)
                    durations_s[step.__name__] = round(loop.time() - started_at, 1)
            except (CheckFailedError, CallFailedError) as error:
                result.failures.append(f"{step.__name__}: {error}")
                await run.record_processes()
            result.counts["step_s"] = durations_s
            check_run(run)

    return await run_scenario(f"fleet of one {odd.label} and two {majority.label}", run_steps)


async def run_fleets(folder: Path, old: Version, new: Version, seed: int) -> list[Result]:
    """Run both clusters, one after the other. Raises CannotRunError, OSError."""
    results = []
    for odd, majority in ((old, new), (new, old)):
        scenario_folder = folder / f"fleet-{odd.label}-among-{majority.label}"
        scenario_folder.mkdir()
        results.append(await run_fleet(scenario_folder, odd, majority, seed))
    return results
