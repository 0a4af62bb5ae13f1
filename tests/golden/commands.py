"""A fixed scenario that commits every command of every state machine, with each kind of result."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from marlstep.leases.messages import DocumentState, LeaseToken, RequestCounts, TenantDemand
from marlstep.replicated_config.documents import canonical_json, content_digest
from marlstep.scheduled_tasks.actions import RunnerAction
from marlstep.scheduled_tasks.outcomes import Outcome
from marlstep.scheduled_tasks.runner import TaskPlan, TaskRunner
from marlstep.scheduled_tasks.schedule import Schedule
from marlstep.units import MILLISECOND, SECOND
from tests.golden.everything import POOLS, TENANTS, deterministic_tokens
from tests.golden.world import ClusterHarness, HeartbeatSender, Row, make_cluster
from tests.support.node import SETTINGS

NODES = ("n2", "n3", "n4", "n5")
ALLOWANCES = {"tenants": TENANTS, "over_share_worth": 0.2}


def record_commands(folder: Path) -> tuple[list[Row], str]:
    """Run the scenario; return all rows in the order of the log, and the snapshot after the last one."""

    async def run_scenario() -> tuple[list[Row], str]:
        with deterministic_tokens():
            cluster = make_cluster(folder)
            for node in NODES:
                process = HeartbeatSender(node, wanted_leases=(f"rules/{node}/b1",))
                cluster.processes[process.holder] = process
            cluster.pass_time(2_000)
            for step in (
                members,
                leases,
                tasks,
                documents,
                stages,
                shares,
                rejected_commands,
                malformed_commands,
            ):
                step(cluster)
            leave_changes_pending(cluster)
            return cluster.rows, cluster.voter.machines.snapshot()

    return asyncio.run(run_scenario())


def members(cluster: ClusterHarness) -> None:
    """The leader admits nodes that send heartbeats and removes failed ones; operators order all other changes."""
    cluster.pass_time(3_000)
    silent_process = cluster.processes["n5/b1"]
    silent_process.silent = True
    for process in cluster.processes.values():
        process.failed_nodes = ("n5",)
    cluster.pass_time(5_000)
    silent_process.silent = False
    for process in cluster.processes.values():
        process.failed_nodes = ()
    cluster.pass_time(3_000)
    holder = "n2/b1"
    for command in (
        {"do": "admit", "node": "n2"},
        {"do": "admit", "node": "n7"},
        {"do": "remove", "node": "nobody", "why": "x"},
        {"do": "remove", "node": "n7", "why": "gone"},
        {"do": "remove", "node": "n7", "why": "gone"},
        {"do": "readmit", "node": "nobody"},
        {"do": "admit", "node": ""},
        {"do": "admit", "node": "n" * 65},
        {"do": "admit"},
        {"do": "remove", "node": "n2"},
        {"do": "other", "node": "n2"},
    ):
        cluster.submit(holder, {"m": "members", **command})
    cluster.run_order("fleet/members/remove", {"node": "n7", "why": "its disk is replaced"})
    cluster.submit(holder, {"m": "members", "do": "admit", "node": "n7"})
    cluster.run_order("fleet/members/readmit", {"node": "n7"})
    cluster.submit(holder, {"m": "members", "do": "admit", "node": "n7"})
    cluster.run_order("fleet/members/remove", {"node": "n7"})
    cluster.run_order("fleet/members/believe", {"nodes": ["n5", "n4"]})


def leases(cluster: ClusterHarness) -> None:
    """Leases are granted to waiting processes, returned, and expired when their holder does not renew them."""
    first, second, third = (cluster.processes[f"{node}/b1"] for node in ("n2", "n3", "n4"))
    first.wanted_leases += ("task/sweep", "task/nightly")
    cluster.pass_time(1_000)
    second.wanted_leases += ("task/sweep", "probe/main")
    token = cluster.voter.leases.leases["task/sweep"].token
    first.wanted_leases = tuple(name for name in first.wanted_leases if name != "task/sweep")
    first.returned_leases = (LeaseToken("task/sweep", token),)
    cluster.pass_time(1_000)
    first.returned_leases = ()
    third.wanted_leases += ("task/short",)
    third.max_leases = 1
    cluster.pass_time(1_000)
    third.silent = True
    cluster.pass_time(4_000)
    third.silent = False
    third.wanted_leases = ("rules/n4/b1",)
    cluster.pass_time(1_000)
    token = cluster.voter.leases.leases["task/sweep"].token
    for command in (
        {"do": "grant", "name": "task/sweep", "holder": "n4/b1", "most": 0},
        {"do": "grant", "name": "task/other", "holder": "n3/b1", "most": 1},
        {"do": "expire", "name": "task/sweep", "token": token + 1000},
        {"do": "return", "name": "task/none", "token": 1},
        {"do": "grant", "name": "", "holder": "n4/b1", "most": 0},
        {"do": "grant", "name": "x" * 129, "holder": "n4/b1", "most": 0},
        {"do": "grant", "name": 5, "holder": "n4/b1", "most": 0},
        {"do": "grant", "name": "task/other", "holder": "n4/b1"},
        {"do": "grant", "name": "task/other", "holder": "n4/b1", "most": "many"},
        {"do": "other", "name": "task/sweep"},
        {"name": "task/sweep"},
    ):
        cluster.submit("n2/b1", {"m": "leases", **command})


class LeasedTaskRunner:
    """The runner of one scheduled task, which holds the task's lease and submits its commands to the log."""

    def __init__(self, cluster: ClusterHarness, task: str, safe: bool) -> None:
        self.cluster, self.task = cluster, task
        plan = TaskPlan(task, Schedule(1 * SECOND), "schedule-save", safe, 200 * MILLISECOND)
        self.runner = TaskRunner(plan)
        self.client = ""

    def acquire(self) -> None:
        """Start the runner in the process that holds the lease now."""
        lease = self.cluster.voter.leases.leases[f"task/{self.task}"]
        self.client = lease.holder
        self.runner.lease_gained(lease.token)

    def wait_for_action(self) -> RunnerAction:
        for _ in range(100):
            now = self.cluster.clock.now()
            if (action := self.runner.next_action(now, now, 2 * SECOND)) is not None:
                return action
            self.cluster.pass_time(50)
        raise AssertionError(f"task {self.task}: expected an action of the runner within 5 s, got none")

    def run_until_outcomes(self, *outcomes: Outcome | None) -> None:
        """Run the runner until its requests have had these outcomes; None: the lease is lost before the response."""
        remaining = list(outcomes)
        while remaining:
            action = self.wait_for_action()
            if action.is_request:
                outcome = remaining.pop(0)
                if outcome is None:
                    self.runner.lease_lost()
                    return
                self.runner.handle_result(self.cluster.clock.now(), action, outcome)
                continue
            result = self.cluster.submit(self.client, dict(action.command(self.task).to_json()))
            self.runner.handle_result(self.cluster.clock.now(), action, result)

    def run_next_command(self) -> None:
        """Submit the next command of the runner."""
        action = self.wait_for_action()
        self.runner.handle_result(
            self.cluster.clock.now(),
            action,
            self.cluster.submit(self.client, dict(action.command(self.task).to_json())),
        )

    def reassign_lease(self) -> None:
        """Return the lease, and wait until it is granted again."""
        table = self.cluster.voter.leases
        lease = table.leases[f"task/{self.task}"]
        command = {"m": "leases", "do": "return", "name": f"task/{self.task}", "token": lease.token}
        self.cluster.submit(lease.holder, command)
        self.cluster.pass_time(500)


def tasks(cluster: ClusterHarness) -> None:
    runner = LeasedTaskRunner(cluster, "sweep", safe=True)
    runner.acquire()
    runner.run_until_outcomes(
        Outcome.DONE, Outcome.FAILED, Outcome.UNKNOWN, Outcome.NOT_RUN, Outcome.FENCED_OFF, None
    )
    runner.reassign_lease()
    runner.acquire()
    runner.run_until_outcomes(Outcome.DONE, None)  # the server is fenced, and the open run is started again
    runner.reassign_lease()
    runner.acquire()
    runner.run_until_outcomes(Outcome.DONE, Outcome.DONE)
    runner.run_next_command()
    unsafe_runner = LeasedTaskRunner(cluster, "nightly", safe=False)
    unsafe_runner.acquire()
    unsafe_runner.run_until_outcomes(None)
    unsafe_runner.reassign_lease()
    unsafe_runner.acquire()
    unsafe_runner.run_until_outcomes(Outcome.DONE, Outcome.DONE)
    token = cluster.voter.leases.leases["task/sweep"].token
    base = {"m": "tasks", "task": "sweep", "token": token}
    for command in (
        {**base, "do": "look"},
        {**base, "do": "look", "token": token + 1000},
        {**base, "do": "look", "task": "none"},
        {**base, "do": "begin", "run": 1, "again": False},
        {**base, "do": "end", "run": 1, "outcome": "done"},
        {**base, "do": "end", "run": 1, "outcome": "no outcome"},
        {**base, "do": "begin"},
        {**base, "do": "other"},
        {**base, "do": "look", "task": 7},
        {"m": "tasks", "do": "look", "task": "sweep"},
        {**base, "do": "begin", "run": 1 << 40, "again": False},
        {**base, "do": "begin", "run": 1 << 41, "again": False},
        {**base, "do": "end", "run": 1 << 40, "outcome": "open"},
        {**base, "do": "end", "run": 1 << 40, "outcome": "done"},
        {**base, "do": "begin", "run": 1 << 40, "again": False},
        {**base, "do": "begin", "run": 1 << 40, "again": True},
    ):
        cluster.submit("n3/b1", command)


def upload_content(cluster: ClusterHarness, content: str, pieces: int = 2) -> dict[str, Any]:
    """Upload content in parts as the operator's command does; return the fields that refer to it in a change."""
    upload = f"upload{len(cluster.rows)}"
    size = -(-len(content) // pieces)
    for offset in range(0, len(content), size):
        piece = {"upload": upload, "offset": offset, "data": content[offset : offset + size]}
        assert "taken" in cluster.run_order("fleet/rules/part", piece)
    return {"upload": upload, "digest": content_digest(content)}


def put(cluster: ClusterHarness, doc: str, value: object, expect: int, **fields: Any) -> dict[str, Any]:
    arguments = {
        "doc": doc,
        **upload_content(cluster, canonical_json(value)),
        "expect": expect,
        "author": "ana",
        "note": "why",
    }
    return cluster.run_order("fleet/rules/put", {**arguments, **fields})


def acknowledge(
    cluster: ClusterHarness, doc: str, holder: str, why: str = "", **other: Any
) -> dict[str, Any]:
    store = cluster.voter.config_store
    assert store is not None
    pending = store.documents[doc].prepared
    version, digest = (pending.version.number, pending.version.digest) if pending is not None else (0, "")
    arguments = {
        "m": "rules",
        "do": "ack",
        "doc": doc,
        "version": version,
        "digest": digest,
        "holder": holder,
    }
    return cluster.submit(holder, {**arguments, "why": why, **other})


def acknowledge_on_all_nodes(cluster: ClusterHarness, doc: str) -> None:
    for node in NODES:
        acknowledge(cluster, doc, f"{node}/b1")
    cluster.pass_time(500)


def documents(cluster: ClusterHarness) -> None:
    rules = cluster.fleet.config_driver
    assert rules is not None
    servers = {name: row["servers"] for name, row in POOLS.items()}
    contents: dict[str, object] = {"settings": SETTINGS, "tenants": ALLOWANCES, "servers": servers}
    for (
        name,
        content,
    ) in contents.items():  # as a node proposes the content of its own files if the fleet has no version
        rules.put(name, canonical_json(content), 0, "n6", "from the files of this node")
        cluster.pass_time(500)
        acknowledge_on_all_nodes(cluster, name)
    cluster.run_order("fleet/rules/get", {"doc": "settings"})
    fewer = {"main": ["127.0.0.1:1", "127.0.0.1:2"], "more": ["127.0.0.1:4"]}
    put(cluster, "servers", fewer, 1)
    put(cluster, "servers", fewer, 1)  # rejected: another change is pending
    acknowledge(cluster, "servers", "n2/b1", digest="0" * 32)
    acknowledge(cluster, "servers", "n2/b1", version=9)
    acknowledge(cluster, "servers", "n9/b1")
    acknowledge(cluster, "servers", "n2/b1")
    cluster.submit(
        "n2/b1", {"m": "rules", "do": "commit", "doc": "servers", "version": 2}
    )  # not committed: waits for acknowledgements
    cluster.submit("n2/b1", {"m": "rules", "do": "commit", "doc": "servers", "version": 9})
    acknowledge(cluster, "servers", "n3/b1", why="too little memory")
    put(cluster, "servers", fewer, 1, hold_out=True)
    acknowledge(cluster, "servers", "n3/b1", why="too little memory")
    acknowledge_on_all_nodes(cluster, "servers")
    put(cluster, "servers", {"main": [], "more": []}, 3)
    put(cluster, "servers", {"main": ["127.0.0.1:9"], "more": ["127.0.0.1:4"]}, 3)
    put(cluster, "servers", {"main": ["127.0.0.1:9"], "more": ["127.0.0.1:4"]}, 3, force=True)
    cluster.run_order("fleet/rules/withdraw", {"doc": "servers", "version": 4, "why": "too early"})
    cluster.run_order("fleet/rules/withdraw", {"doc": "servers", "version": 4})
    cluster.run_order("fleet/rules/go", {"doc": "servers", "version": 4})
    put(cluster, "settings", SETTINGS, 7)
    arguments = {"doc": "settings", **upload_content(cluster, "{}"), "expect": 1}
    cluster.run_order("fleet/rules/put", {**arguments, "digest": "0" * 32})
    cluster.run_order("fleet/rules/part", {"upload": "new", "offset": 5, "data": "x"})


def put_with_rollout(
    cluster: ClusterHarness, doc: str, value: object, expect: int, **stage: Any
) -> dict[str, Any]:
    return put(cluster, doc, value, expect, stage={"for_ms": 1_000, "worse": 0.1, "least": 5, **stage})


def stages(cluster: ClusterHarness) -> None:
    """Rollouts that are completed, withdrawn, ordered to complete, and rejected at their start."""
    others = {"main": ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:5"], "more": ["127.0.0.1:4"]}
    put_with_rollout(cluster, "tenants", ALLOWANCES, 1, nodes=["n2"])
    put_with_rollout(cluster, "servers", others, 3, nodes=["n8"])
    put_with_rollout(cluster, "servers", others, 3, nodes=[*NODES, "n6"])
    put_with_rollout(cluster, "servers", others, 3, share=2.0)
    put_with_rollout(cluster, "servers", others, 3, nodes=["n2"], for_ms=0)
    put_with_rollout(cluster, "servers", others, 3, share=0.3)
    rollout_nodes = pending_nodes(cluster, "servers")
    acknowledge_on_all_nodes(cluster, "servers")
    version = pending_version(cluster, "servers")
    cluster.submit("n2/b1", {"m": "rules", "do": "commit", "doc": "servers", "version": version})
    report_on_rollout(cluster, rollout_nodes, version, failed=0)
    cluster.pass_time(2_000)
    for name in NODES:
        cluster.processes[f"{name}/b1"].document_states = ()
    put_with_rollout(
        cluster, "servers", {**others, "more": ["127.0.0.1:6", "127.0.0.1:4"]}, version, nodes=["n3"]
    )
    acknowledge_on_all_nodes(cluster, "servers")
    failing_version = pending_version(cluster, "servers")
    report_on_rollout(cluster, ["n3"], failing_version, failed=60)
    cluster.pass_time(1_000)
    put_with_rollout(
        cluster, "servers", {**others, "more": ["127.0.0.1:7", "127.0.0.1:4"]}, version, nodes=["n4"]
    )
    acknowledge_on_all_nodes(cluster, "servers")
    cluster.run_order("fleet/rules/go", {"doc": "servers", "version": pending_version(cluster, "servers")})
    cluster.run_order("fleet/rules/get", {"doc": "servers"})


def pending_nodes(cluster: ClusterHarness, doc: str) -> list[str]:
    store = cluster.voter.config_store
    pending = None if store is None else store.documents[doc].prepared
    assert pending is not None and pending.rollout is not None
    return pending.rollout.nodes


def pending_version(cluster: ClusterHarness, doc: str) -> int:
    store = cluster.voter.config_store
    pending = None if store is None else store.documents[doc].prepared
    assert pending is not None
    return pending.version.number


def report_on_rollout(cluster: ClusterHarness, nodes: list[str], version: int, failed: int) -> None:
    """Let these nodes report that the version is in force, and all nodes report requests.

    Of 100 further requests per node, `failed` fail on these nodes and none on the others.
    """
    for name in nodes:
        process = cluster.processes.get(f"{name}/b1")
        if process is not None:
            process.document_states = (DocumentState("servers", version, "acting", 10, ""),)
    cluster.pass_time(200)
    for process in cluster.processes.values():
        read, rejected, failures = process.request_counts
        process.request_counts = RequestCounts(
            read + 100, rejected, failures + (failed if process.node in nodes else 0)
        )


def shares(cluster: ClusterHarness) -> None:
    """Shares of tenant quotas grow on nodes with demand and shrink on nodes with less of it."""
    cluster.pass_time(1_500)
    busy, other = cluster.processes["n2/b1"], cluster.processes["n3/b1"]
    busy.tenant_demand = (TenantDemand("riad", 60_000), TenantDemand("sade", 30_000))
    cluster.pass_time(2_000)
    return_granted_shares(cluster)
    other.tenant_demand = (TenantDemand("riad", 60_000),)
    busy.tenant_demand = (TenantDemand("sade", 30_000),)
    cluster.pass_time(2_000)
    return_granted_shares(cluster)
    base = {"m": "shares", "tenant": "riad", "holder": "n2/b1"}
    for command in (
        {**base, "do": "grow", "to": 1_000_000},
        {**base, "do": "grow", "to": 1_000_001},
        {**base, "do": "grow", "to": -1},
        {**base, "do": "gave", "to": 3},
        {**base, "do": "shrink", "to": 100, "holder": "n9/b1"},
        {**base, "do": "shrink", "to": 100, "tenant": "nobody"},
        {**base, "do": "other", "to": 100},
        {**base, "do": "grow"},
        {"m": "shares", "do": "tenants"},
    ):
        cluster.submit("n2/b1", command)


def return_granted_shares(cluster: ClusterHarness) -> None:
    """Let each process confirm that it uses no more than its lowered target share."""
    machine = cluster.voter.quotas
    assert machine is not None
    for tenant, parts in list(machine.tenants.items()):
        for holder, part in list(parts.items()):
            if part.target < part.granted and holder in cluster.processes:
                arguments = {
                    "m": "shares",
                    "do": "gave",
                    "tenant": tenant,
                    "holder": holder,
                    "to": part.target,
                }
                cluster.submit(holder, arguments)
    cluster.pass_time(1_000)


def rejected_commands(cluster: ClusterHarness) -> None:
    """Commands on documents that are unknown or of another kind, and commands without required fields."""
    base = {"m": "rules", "doc": "settings"}
    text = '{"a":1}'
    arguments = {
        "upload": "u9",
        "digest": content_digest(text),
        "expect": 1,
        "author": "a",
        "note": "",
        "at": "now",
    }
    cluster.submit("n2/b1", {"m": "rules", "do": "part", "upload": "u9", "offset": 0, "data": text})
    for command in (
        {**base, "do": "get", "doc": "none"},
        {**base, "do": "put", "kind": "tenants", "strict": False, **arguments},
        {**base, "do": "put", "kind": "none", "strict": False, **arguments},
        {**base, "do": "put", "kind": "settings", "strict": False, **arguments, "doc": ""},
        {**base, "do": "put", "kind": "settings"},
        {**base, "do": "part", "upload": "", "offset": 0, "data": "x"},
        {**base, "do": "part", "upload": "u10", "offset": 0, "data": 5},
        {**base, "do": "part", "upload": "u10"},
        {**base, "do": "ack"},
        {**base, "do": "commit"},
        {**base, "do": "withdraw", "version": 1, "why": "x"},
        {**base, "do": "other"},
        {
            **base,
            "do": "put",
            "kind": "settings",
            "strict": False,
            **arguments,
            "doc": "new",
            "expect": 0,
            "stage": {},
        },
    ):
        cluster.submit("n2/b1", command)


def malformed_commands(cluster: ClusterHarness) -> None:
    """Log entries that name no state machine, are not JSON objects, or repeat an earlier command."""
    before = cluster.command_count
    cluster.submit("n4/b1", {"m": "members", "do": "believe", "nodes": ["n5"]}, number=900)
    cluster.submit("n4/b1", {"m": "none", "do": "look"})
    cluster.submit("n4/b1", {"do": "look"})
    cluster.submit("n4/b1", {"m": ["tasks"]})
    for body in (
        "not json",
        "[1]",
        '"text"',
        '{"m":"members","do":"believe","nodes":["n1"],"by":"n4/b1","no":900}',
        '{"m":"members","do":"believe","nodes":["n5"],"by":5,"no":"x"}',
        '{"m":"members","do":"believe","nodes":7}',
    ):
        cluster.append_raw(body)
    assert cluster.command_count == before + 4


def leave_changes_pending(cluster: ClusterHarness) -> None:
    """Leave unfinished state of each kind for a snapshot: a change, a rollout, an upload, a run, a share to shrink."""
    cluster.submit("n2/b1", {"m": "members", "do": "believe", "nodes": ["n5", "n9"]})
    cluster.submit("n2/b1", {"m": "rules", "do": "part", "upload": "half", "offset": 0, "data": '{"half":'})
    changed = {**ALLOWANCES, "over_share_worth": 0.4}
    put(cluster, "tenants", changed, 1, hold_out=True)
    acknowledge(cluster, "tenants", "n2/b1")
    acknowledge(cluster, "tenants", "n3/b1", why="not now")
    store = cluster.voter.config_store
    assert store is not None
    more = {"main": ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:8"], "more": ["127.0.0.1:4"]}
    put_with_rollout(cluster, "servers", more, store.documents["servers"].active_number, nodes=["n2", "n3"])
    acknowledge_on_all_nodes(cluster, "servers")
    cluster.run_order("fleet/members/remove", {"node": "n7", "why": "still out"})
    arguments = {"m": "shares", "do": "shrink", "tenant": "sade", "holder": "n2/b1", "to": 10_000}
    cluster.submit("n1/b1", arguments)


# Commands up to and beyond each limit: the commands to run first, a pattern in which @ stands for the number of the
# repetition (from 1), and the number of repetitions, the last of which exceeds the limit.

LIMITS: dict[str, tuple[tuple[str, ...], str, int]] = {
    "leases": ((), '{"m":"leases","do":"grant","name":"task/@","holder":"n2/b1","most":0}', 10_001),
    "members": ((), '{"m":"members","do":"admit","node":"n@"}', 2_001),
    "tasks": (
        tuple(
            f'{{"m":"leases","do":"grant","name":"task/{number}","holder":"n2/b1","most":0}}'
            for number in range(1, 1_002)
        ),
        '{"m":"tasks","do":"look","task":"@","token":@}',
        1_001,
    ),
    "documents": (
        (),
        '{"m":"rules","do":"part","upload":"u","offset":0,"data":"[]"}\n'
        '{"m":"rules","do":"put","doc":"d@","kind":"settings","strict":false,"upload":"u","expect":0,'
        f'"digest":"{content_digest("[]")}","author":"","note":"","at":""}}',
        33,
    ),
    "forgotten uploads": ((), '{"m":"rules","do":"part","upload":"u@","offset":0,"data":"[]"}', 20),
    "uploads": (
        ('{"m":"rules","do":"part","upload":"u","offset":0,"data":"' + "x" * 100_000 + '"}',),
        '{"m":"rules","do":"part","upload":"u","offset":@00000,"data":"' + "x" * 100_000 + '"}',
        10,
    ),
}
