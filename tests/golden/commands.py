"""A fixed course of events that puts every command of every state machine into the log, with each of its results."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from marlstep.leases.messages import DocumentState, LeaseToken, RequestCounts, TenantDemand
from marlstep.replicated_config.documents import canonical_json, content_digest
from marlstep.scheduled_tasks.run_log import Outcome
from marlstep.scheduled_tasks.runner import RunnerAction, TaskPlan, TaskRunner
from marlstep.scheduled_tasks.schedule import Schedule
from marlstep.units import MILLISECOND, SECOND
from tests.golden.everything import POOLS, TENANTS, counted_names
from tests.golden.world import Process, Row, World, make_world
from tests.support.node import SETTINGS

NODES = ("n2", "n3", "n4", "n5")
ALLOWANCES = {"tenants": TENANTS, "over_share_worth": 0.2}


def record_commands(folder: Path) -> tuple[list[Row], str]:
    """All rows, in the order of the log, and the snapshot after the last."""

    async def course() -> tuple[list[Row], str]:
        with counted_names():
            world = make_world(folder)
            for node in NODES:
                process = Process(node, wants=(f"rules/{node}/b1",))
                world.processes[process.holder] = process
            world.pass_time(2_000)
            for part in (members, leases, tasks, documents, stages, shares, refused, without_sense):
                part(world)
            leave_open(world)
            return world.rows, world.voter.machines.snapshot()

    return asyncio.run(course())


# Members.


def members(world: World) -> None:
    """The leader admits who is heard and removes who has failed; operators order the rest."""
    world.pass_time(3_000)
    gone = world.processes["n5/b1"]
    gone.silent = True
    for one in world.processes.values():
        one.failed = ("n5",)
    world.pass_time(5_000)
    gone.silent = False
    for one in world.processes.values():
        one.failed = ()
    world.pass_time(3_000)
    by = "n2/b1"
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
        world.ask(by, {"m": "members", **command})
    world.order("fleet/members/remove", {"node": "n7", "why": "its disk is replaced"})
    world.ask(by, {"m": "members", "do": "admit", "node": "n7"})
    world.order("fleet/members/readmit", {"node": "n7"})
    world.ask(by, {"m": "members", "do": "admit", "node": "n7"})
    world.order("fleet/members/remove", {"node": "n7"})
    world.order("fleet/members/believe", {"nodes": ["n5", "n4"]})


# Leases.


def leases(world: World) -> None:
    """Granted to who waits, given back, and ended where nobody renews."""
    first, second, third = (world.processes[f"{node}/b1"] for node in ("n2", "n3", "n4"))
    first.wants += ("task/sweep", "task/nightly")
    world.pass_time(1_000)
    second.wants += ("task/sweep", "probe/main")
    token = world.voter.leases.leases["task/sweep"].token
    first.wants = tuple(name for name in first.wants if name != "task/sweep")
    first.returns = (LeaseToken("task/sweep", token),)
    world.pass_time(1_000)
    first.returns = ()
    third.wants += ("task/short",)
    third.most = 1
    world.pass_time(1_000)
    third.silent = True
    world.pass_time(4_000)
    third.silent = False
    third.wants = ("rules/n4/b1",)
    world.pass_time(1_000)
    token = world.voter.leases.leases["task/sweep"].token
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
        world.ask("n2/b1", {"m": "leases", **command})


# Tasks.


class Running:
    """A runner under the lease of one task, whose commands go into the log."""

    def __init__(self, world: World, task: str, safe: bool) -> None:
        self.world, self.task = world, task
        plan = TaskPlan(task, Schedule(1 * SECOND), "schedule-save", safe, 200 * MILLISECOND)
        self.runner = TaskRunner(plan)
        self.by = ""

    def gained(self) -> None:
        lease = self.world.voter.leases.leases[f"task/{self.task}"]
        self.by = lease.holder
        self.runner.lease_gained(lease.token)

    def wanted(self) -> RunnerAction:
        for _ in range(100):
            now = self.world.clock.now()
            if (do := self.runner.next_action(now, now, 2 * SECOND)) is not None:
                return do
            self.world.pass_time(50)
        raise AssertionError("the runner wants nothing")

    def go(self, *outcomes: Outcome | None) -> None:
        """Until each of these has come of an act or a fence; None: this holder is gone before its answer."""
        left = list(outcomes)
        while left:
            do = self.wanted()
            if do.what in ("act", "fence"):
                outcome = left.pop(0)
                if outcome is None:
                    self.runner.lease_lost()
                    return
                self.runner.handle_result(self.world.clock.now(), do, outcome)
                continue
            result = self.world.ask(self.by, do.command(self.task))
            self.runner.handle_result(self.world.clock.now(), do, result)

    def one(self) -> None:
        """One command more."""
        do = self.wanted()
        self.runner.handle_result(self.world.clock.now(), do, self.world.ask(self.by, do.command(self.task)))

    def pass_on(self) -> None:
        """The lease goes to another grant."""
        table = self.world.voter.leases
        lease = table.leases[f"task/{self.task}"]
        command = {"m": "leases", "do": "return", "name": f"task/{self.task}", "token": lease.token}
        self.world.ask(lease.holder, command)
        self.world.pass_time(500)


def tasks(world: World) -> None:
    running = Running(world, "sweep", safe=True)
    running.gained()
    running.go(Outcome.DONE, Outcome.FAILED, Outcome.UNKNOWN, Outcome.NOT_RUN, Outcome.FENCED_OFF, None)
    running.pass_on()
    running.gained()
    running.go(Outcome.DONE, None)  # fenced, and the open run begun again
    running.pass_on()
    running.gained()
    running.go(Outcome.DONE, Outcome.DONE)
    running.one()
    unsafe = Running(world, "nightly", safe=False)
    unsafe.gained()
    unsafe.go(None)
    unsafe.pass_on()
    unsafe.gained()
    unsafe.go(Outcome.DONE, Outcome.DONE)
    token = world.voter.leases.leases["task/sweep"].token
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
        world.ask("n3/b1", command)


# Documents.


def sent(world: World, content: str, pieces: int = 2) -> dict[str, Any]:
    """The content in pieces, as an operator's command sends it; what names it in the change itself."""
    upload = f"upload{len(world.rows)}"
    size = -(-len(content) // pieces)
    for offset in range(0, len(content), size):
        piece = {"upload": upload, "offset": offset, "data": content[offset : offset + size]}
        assert "taken" in world.order("fleet/rules/part", piece)
    return {"upload": upload, "digest": content_digest(content)}


def put(world: World, doc: str, value: object, expect: int, **how: Any) -> dict[str, Any]:
    told = {
        "doc": doc,
        **sent(world, canonical_json(value)),
        "expect": expect,
        "author": "ana",
        "note": "why",
    }
    return world.order("fleet/rules/put", {**told, **how})


def ack(world: World, doc: str, holder: str, why: str = "", **other: Any) -> dict[str, Any]:
    book = world.voter.config_store
    assert book is not None
    pending = book.documents[doc].prepared
    version, digest = (pending.version.number, pending.version.digest) if pending is not None else (0, "")
    told = {"m": "rules", "do": "ack", "doc": doc, "version": version, "digest": digest, "holder": holder}
    return world.ask(holder, {**told, "why": why, **other})


def acked_by_all(world: World, doc: str) -> None:
    for node in NODES:
        ack(world, doc, f"{node}/b1")
    world.pass_time(500)


def documents(world: World) -> None:
    rules = world.fleet.config_driver
    assert rules is not None
    servers = {name: row["servers"] for name, row in POOLS.items()}
    contents: dict[str, object] = {"settings": SETTINGS, "tenants": ALLOWANCES, "servers": servers}
    for name, content in contents.items():  # as a node proposes its own file's where the group has none
        rules.put(name, canonical_json(content), 0, "n6", "from the files of this node")
        world.pass_time(500)
        acked_by_all(world, name)
    world.order("fleet/rules/get", {"doc": "settings"})
    fewer = {"main": ["127.0.0.1:1", "127.0.0.1:2"], "more": ["127.0.0.1:4"]}
    put(world, "servers", fewer, 1)
    put(world, "servers", fewer, 1)  # one is on its way
    ack(world, "servers", "n2/b1", digest="0" * 32)
    ack(world, "servers", "n2/b1", version=9)
    ack(world, "servers", "n9/b1")
    ack(world, "servers", "n2/b1")
    world.ask("n2/b1", {"m": "rules", "do": "commit", "doc": "servers", "version": 2})  # it waits
    world.ask("n2/b1", {"m": "rules", "do": "commit", "doc": "servers", "version": 9})
    ack(world, "servers", "n3/b1", why="too little memory")
    put(world, "servers", fewer, 1, hold_out=True)
    ack(world, "servers", "n3/b1", why="too little memory")
    acked_by_all(world, "servers")
    put(world, "servers", {"main": [], "more": []}, 3)
    put(world, "servers", {"main": ["127.0.0.1:9"], "more": ["127.0.0.1:4"]}, 3)
    put(world, "servers", {"main": ["127.0.0.1:9"], "more": ["127.0.0.1:4"]}, 3, force=True)
    world.order("fleet/rules/withdraw", {"doc": "servers", "version": 4, "why": "too early"})
    world.order("fleet/rules/withdraw", {"doc": "servers", "version": 4})
    world.order("fleet/rules/go", {"doc": "servers", "version": 4})
    put(world, "settings", SETTINGS, 7)
    told = {"doc": "settings", **sent(world, "{}"), "expect": 1}
    world.order("fleet/rules/put", {**told, "digest": "0" * 32})
    world.order("fleet/rules/part", {"upload": "new", "offset": 5, "data": "x"})


# Stages.


def at_stage(world: World, doc: str, value: object, expect: int, **stage: Any) -> dict[str, Any]:
    return put(world, doc, value, expect, stage={"for_ms": 1_000, "worse": 0.1, "least": 5, **stage})


def stages(world: World) -> None:
    """One that goes on to all, one that goes back, and those that can't be begun."""
    others = {"main": ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:5"], "more": ["127.0.0.1:4"]}
    at_stage(world, "tenants", ALLOWANCES, 1, nodes=["n2"])
    at_stage(world, "servers", others, 3, nodes=["n8"])
    at_stage(world, "servers", others, 3, nodes=[*NODES, "n6"])
    at_stage(world, "servers", others, 3, share=2.0)
    at_stage(world, "servers", others, 3, nodes=["n2"], for_ms=0)
    at_stage(world, "servers", others, 3, share=0.3)
    drawn = pending_nodes(world, "servers")
    acked_by_all(world, "servers")
    version = world_version(world, "servers")
    world.ask("n2/b1", {"m": "rules", "do": "commit", "doc": "servers", "version": version})
    seen_on(world, drawn, version, failed=0)
    world.pass_time(2_000)
    for name in NODES:
        world.processes[f"{name}/b1"].acts = ()
    at_stage(world, "servers", {**others, "more": ["127.0.0.1:6", "127.0.0.1:4"]}, version, nodes=["n3"])
    acked_by_all(world, "servers")
    again = world_version(world, "servers")
    seen_on(world, ["n3"], again, failed=60)
    world.pass_time(1_000)
    at_stage(world, "servers", {**others, "more": ["127.0.0.1:7", "127.0.0.1:4"]}, version, nodes=["n4"])
    acked_by_all(world, "servers")
    world.order("fleet/rules/go", {"doc": "servers", "version": world_version(world, "servers")})
    world.order("fleet/rules/get", {"doc": "servers"})


def pending_nodes(world: World, doc: str) -> list[str]:
    book = world.voter.config_store
    pending = None if book is None else book.documents[doc].prepared
    assert pending is not None and pending.rollout is not None
    return pending.rollout.nodes


def world_version(world: World, doc: str) -> int:
    book = world.voter.config_store
    pending = None if book is None else book.documents[doc].prepared
    assert pending is not None
    return pending.version.number


def seen_on(world: World, nodes: list[str], version: int, failed: int) -> None:
    """These act on it, and others on the one before; all have requests, of which some fail on these."""
    for name in nodes:
        process = world.processes.get(f"{name}/b1")
        if process is not None:
            process.acts = (DocumentState("servers", version, "acting", 10, ""),)
    world.pass_time(200)
    for process in world.processes.values():
        read, refused, wrong = process.figures
        process.figures = RequestCounts(read + 100, refused, wrong + (failed if process.node in nodes else 0))


# Shares.


def shares(world: World) -> None:
    """Parts of allowances move to where the demand is, and come down where others have more."""
    world.pass_time(1_500)
    busy, other = world.processes["n2/b1"], world.processes["n3/b1"]
    busy.demand = (TenantDemand("riad", 60_000), TenantDemand("sade", 30_000))
    world.pass_time(2_000)
    given_back(world)
    other.demand = (TenantDemand("riad", 60_000),)
    busy.demand = (TenantDemand("sade", 30_000),)
    world.pass_time(2_000)
    given_back(world)
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
        world.ask("n2/b1", command)


def given_back(world: World) -> None:
    """Each process says that it uses no more than it was asked to come down to."""
    machine = world.voter.quotas
    assert machine is not None
    for tenant, parts in list(machine.tenants.items()):
        for holder, part in list(parts.items()):
            if part.target < part.granted and holder in world.processes:
                told = {"m": "shares", "do": "gave", "tenant": tenant, "holder": holder, "to": part.target}
                world.ask(holder, told)
    world.pass_time(1_000)


# What is turned down.


def refused(world: World) -> None:
    """Documents that are unknown or of another kind, and commands without what they need."""
    base = {"m": "rules", "doc": "settings"}
    text = '{"a":1}'
    told = {
        "upload": "u9",
        "digest": content_digest(text),
        "expect": 1,
        "author": "a",
        "note": "",
        "at": "now",
    }
    world.ask("n2/b1", {"m": "rules", "do": "part", "upload": "u9", "offset": 0, "data": text})
    for command in (
        {**base, "do": "get", "doc": "none"},
        {**base, "do": "put", "kind": "tenants", "strict": False, **told},
        {**base, "do": "put", "kind": "none", "strict": False, **told},
        {**base, "do": "put", "kind": "settings", "strict": False, **told, "doc": ""},
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
            **told,
            "doc": "new",
            "expect": 0,
            "stage": {},
        },
    ):
        world.ask("n2/b1", command)


def without_sense(world: World) -> None:
    """What is for no machine, is no object, or was asked for before."""
    before = world.asked
    world.ask("n4/b1", {"m": "members", "do": "believe", "nodes": ["n5"]}, number=900)
    world.ask("n4/b1", {"m": "none", "do": "look"})
    world.ask("n4/b1", {"do": "look"})
    world.ask("n4/b1", {"m": ["tasks"]})
    for body in (
        "not json",
        "[1]",
        '"text"',
        '{"m":"members","do":"believe","nodes":["n1"],"by":"n4/b1","no":900}',
        '{"m":"members","do":"believe","nodes":["n5"],"by":5,"no":"x"}',
        '{"m":"members","do":"believe","nodes":7}',
    ):
        world.plain(body)
    assert world.asked == before + 4


def leave_open(world: World) -> None:
    """So that a snapshot has all that it can have: a change, a stage, an upload, an open run, a part to come down."""
    world.ask("n2/b1", {"m": "members", "do": "believe", "nodes": ["n5", "n9"]})
    world.ask("n2/b1", {"m": "rules", "do": "part", "upload": "half", "offset": 0, "data": '{"half":'})
    changed = {**ALLOWANCES, "over_share_worth": 0.4}
    put(world, "tenants", changed, 1, hold_out=True)
    ack(world, "tenants", "n2/b1")
    ack(world, "tenants", "n3/b1", why="not now")
    book = world.voter.config_store
    assert book is not None
    more = {"main": ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:8"], "more": ["127.0.0.1:4"]}
    at_stage(world, "servers", more, book.documents["servers"].active_number, nodes=["n2", "n3"])
    acked_by_all(world, "servers")
    world.order("fleet/members/remove", {"node": "n7", "why": "still out"})
    told = {"m": "shares", "do": "shrink", "tenant": "sade", "holder": "n2/b1", "to": 10_000}
    world.ask("n1/b1", told)


# Limits: the commands of one pattern many times, in which @ stands for a number, until the last is turned down.

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
