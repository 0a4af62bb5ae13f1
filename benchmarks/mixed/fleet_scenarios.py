"""The scenario of a cluster of three nodes, one of which is of another version than the two others."""

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
MAX_ELECTIONS = 8  # until the odd node leads
COMPACTION_TIMEOUT_S = 20.0
READ_TASKS_PER_NODE = 8  # concurrent tasks that append log entries
REJECTED_PAUSE_S = 0.01  # after a rejected command
ENTRIES_KEPT_BEHIND_SNAPSHOT = 500  # a replica that lags by more entries needs the snapshot
# A node's counters of messages that it could not read; the names are those of its status response.
UNREADABLE_COUNTERS = ("corrupt", "corrupt datagrams", "another fleet", "another group", "too large")
FULL_QUOTA = 1_000_000  # shares of a quota are in millionths
UNSAFE_TASKS = frozenset({UNSAFE_TASK})
OLD_TO_NEW, NEW_TO_OLD = "old to new", "new to old"


@dataclass(slots=True)
class Run:
    """One run of the scenario on its cluster.

    Attributes:
        cluster: The cluster.
        result: The result of the scenario.
        odd: The node whose version the two other nodes do not have.
        odd_version: The version of the odd node.
        majority_version: The version of the two other nodes.
        versions: The expected version number of each document.
        version_by_process: The version label of each process, by `node/boot id`.
    """

    cluster: Cluster
    result: Result
    odd: FleetNode
    odd_version: Version
    majority_version: Version
    versions: dict[str, int] = field(default_factory=dict)
    version_by_process: dict[str, str] = field(default_factory=dict)

    @property
    def nodes(self) -> list[FleetNode]:
        """All nodes."""
        return list(self.cluster.nodes.values())

    @property
    def majority(self) -> list[FleetNode]:
        """The two nodes that are of the same version."""
        return self.cluster.others(self.odd)

    async def record_processes(self) -> None:
        """Record the version of each running process, and check that none received unreadable messages."""
        for name, status in (await fetch_all(self.nodes, "/v1/fleet")).items():
            version = self.cluster.nodes[name].version.label
            self.version_by_process[f"{name}/{status['boot']}"] = version
            for counter in UNREADABLE_COUNTERS:
                count = status["lines"].get(counter, 0)
                self.result.check(
                    not count, f"{name} ({version}) counted {count} unreadable messages as {counter!r}"
                )

    async def wait_converged(self) -> None:
        """Wait until all nodes vote, are members, and act on the expected versions of all documents.

        Raises:
            WaitTimeoutError: One of this did not happen in time.
        """
        await wait_until("all nodes vote", lambda: all_vote(self.nodes), FORMATION_TIMEOUT_S)
        await wait_until("all nodes agree on members", lambda: members_agree(self.nodes), AGREEMENT_TIMEOUT_S)
        await self.wait_documents()
        await self.record_processes()

    async def wait_documents(self) -> None:
        """Wait until all nodes act on the expected versions of all documents.

        Raises:
            WaitTimeoutError: They did not in time.
        """

        async def agree() -> bool:
            fits = await quotas_fit(self.nodes, FULL_QUOTA)
            self.result.check(fits, "the nodes use more than the full quota of a tenant")
            return await documents_agree(self.nodes, self.versions)

        await wait_until(f"all nodes act on {self.versions}", agree, AGREEMENT_TIMEOUT_S)

    async def wait_holders(self, allowed: list[FleetNode]) -> None:
        """Wait until the latest effect of each task is from one of the allowed nodes and began after this call.

        Raises:
            WaitTimeoutError: This did not happen in time.
        """
        since, names = clock_us(), {node.name for node in allowed}

        async def all_tasks_ran() -> bool:
            latest_by_task = latest_effects(self.cluster.effect_recorder.effects)
            return set(latest_by_task) == set(TASKS) and all(
                effect.began_us > since and effect.node.partition("/")[0] in names
                for effect in latest_by_task.values()
            )

        await wait_until(
            f"the latest effects of all tasks are from {sorted(names)}", all_tasks_ran, LEASE_MOVE_TIMEOUT_S
        )
        await self.record_processes()


async def form(run: Run) -> None:
    """Create the group at the odd node and let the two other nodes join it."""
    await run.odd.init_group(run.odd_version)
    await run.odd.start(run.odd_version)
    for node in run.majority:
        await node.start(run.majority_version)
    # Version 1 of each document has the content of the nodes' files.
    run.versions = dict.fromkeys(DOCUMENTS, 1)
    await run.wait_converged()
    await run.wait_holders(run.nodes)


# Steps that put documents.


def changed_content(name: str, content: JsonObject, step: int) -> JsonObject:
    """Return a copy of a document's content with one number changed by `step`.

    The content of `servers` is not changed: a new version may have the same content.
    """
    content = copy.deepcopy(content)
    if name == "settings":
        content["classes"][0]["worth"] += step / 100
    elif name == "tenants":
        content["tenants"]["north"]["allowance_per_s"] += step
    return content


async def put_from_each(run: Run) -> None:
    """Put a new version of each document at each node in turn, and wait until all nodes act on it.

    Also check that a put with a stale expected version is rejected.
    """
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
            run.result.check("refused" in stale, f"{node.name}: a stale put of {name} was accepted: {stale}")


async def put_by_commands(run: Run) -> None:
    """Put a new version of a document with each version's command line, at a node of the other version."""
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


# Steps that move leases and leadership.


async def move_leases(run: Run) -> None:
    """Move the leases from the odd node to the others, back to the odd node alone, and to the others again.

    The moves are caused by a removal from the roster, by a removal together with a kill, and by a drain.
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
    """Kill leaders until the odd node leads, then put new versions of a document under its leadership."""
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
    """Wait for a leader and return its node.

    Raises:
        WaitTimeoutError: No node led in time.
    """
    found = await find_leader(run.nodes)

    async def leader_found() -> bool:
        nonlocal found
        found = await find_leader(run.nodes)
        return found is not None

    await wait_until("a voter leads", leader_found, LEADER_TIMEOUT_S)
    assert found is not None
    return run.cluster.nodes[found.node]


# The step that installs a snapshot.


async def install_snapshot(run: Run) -> None:
    """Kill the odd node, let the leader compact its log past the odd node's log, and start the odd node again.

    It must then install a snapshot, since the log entries that it lacks no longer exist.
    """
    last_index = int((await run.odd.admin.call("/v1/fleet"))["voter"]["last"])
    await run.odd.kill()
    await fill_log(run, last_index)
    await run.odd.start(run.odd_version)
    await run.wait_converged()
    status = await fetch(run.odd, "/v1/fleet")
    installed = 0 if status is None else status["voter"]["counts"]["snapshots"]
    run.result.counts["snapshots_installed"] = installed
    run.result.check(installed > 0, f"{run.odd.name} installed no snapshot after its restart")


async def fill_log(run: Run, last_index: int) -> None:
    """Append entries without effect to the log until the leader's log is compacted past `last_index`."""

    async def compacted() -> bool:
        leader = await find_leader(run.majority)
        status = None if leader is None else await fetch(run.cluster.nodes[leader.node], "/v1/fleet")
        return status is not None and status["voter"]["snapshot"] > last_index + ENTRIES_KEPT_BEHIND_SNAPSHOT

    read_tasks = [
        asyncio.create_task(send_reads(node)) for node in run.majority for _ in range(READ_TASKS_PER_NODE)
    ]
    try:
        await wait_until("the log is compacted", compacted, COMPACTION_TIMEOUT_S)
    finally:
        for read_task in read_tasks:
            read_task.cancel()
        await asyncio.gather(*read_tasks, return_exceptions=True)


async def send_reads(node: FleetNode) -> None:
    """Send reads that go through the log, one after another, until cancelled."""
    while True:
        with contextlib.suppress(CallFailedError):
            await node.admin.call("/v1/fleet/rules/get", {"doc": "settings"})
            continue
        await asyncio.sleep(REJECTED_PAUSE_S)  # the node has its maximum of pending commands


# The step that exchanges stores between versions.


async def exchange_stores(run: Run) -> None:
    """Run the odd node's store with the other version after a kill, then with its own version after a hot restart."""
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
    """Return the identity under which a node votes; empty if it does not vote."""
    status = await fetch(node, "/v1/fleet")
    return "" if status is None or not status["voter"] else str(status["voter"]["identity"])


async def check_store(run: Run, identity: str) -> None:
    """Check that the odd node votes under the same identity and has not set its store aside."""
    current_identity = await replica_identity(run.odd)
    run.result.check(
        current_identity == identity, f"{run.odd.name} votes as {current_identity}, expected {identity}"
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
    """Check the recorded effects, the processes and the logs, and add their counts to the result."""
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
    """Run all steps of the scenario on one cluster and return the result.

    Args:
        folder: The folder for the files of the cluster.
        odd: The version of the first node.
        majority: The version of the two other nodes.
        seed: The seed of the effect recorder.
    """

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
    """Run the scenario with an old node among new ones, then with a new node among old ones.

    Raises:
        CannotRunError: A version can't be run from its checkout.
        OSError: A file, socket or process could not be created.
    """
    results = []
    for odd, majority in ((old, new), (new, old)):
        scenario_folder = folder / f"fleet-{odd.label}-among-{majority.label}"
        scenario_folder.mkdir()
        results.append(await run_fleet(scenario_folder, odd, majority, seed))
    return results
