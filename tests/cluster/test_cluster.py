"""A fleet of real processes with faults between them, and the line between nodes against strangers."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import pytest
import uvloop

from marlstep.cli.drill import process_one
from marlstep.cli.main import call
from marlstep.cluster import wire
from marlstep.cluster.transport import ClusterTransport
from marlstep.config import ConfigError, check
from marlstep.consensus.messages import RequestVote
from marlstep.drill.links import Ports
from marlstep.drill.plan import Fault, Plan, Shape, draw
from marlstep.drill.rig import NodeProcess, Rig, Settings
from marlstep.fronts.uwsgi_wire import PacketReader, write_packet, write_response
from marlstep.net.eventloop import LoopWaker
from marlstep.net.framing import Framing, keyed
from marlstep.net.ring import Ring
from marlstep.timer_queue import TimerQueue
from tests.support.node import SETTINGS, raw_config

ROOT = Path(__file__).parent.parent.parent
CONFIG = ROOT / "deploy" / "node.json"
NODES = ("n1", "n2", "n3", "n4", "n5")


def written(seed: int, length_ms: int, *faults: tuple[int, int, str, str, str, str]) -> Plan:
    rows = tuple(Fault(*fault) for fault in faults)
    return Plan(seed, NODES, NODES[:3], length_ms, (1.01, 0.99, 1.0, 1.01, 0.99), rows)


# Each the cause of one of the hard cases; times in ms from the start, and how long.
PLANS = {
    # Stopped between its last look at the lease and the act, for longer than the lease; then it acts, late.
    "stopped before its act": written(1, 11_000, (1_500, 4_600, "stop at", "@holder", "", "left")),
    # Cut off from the group, and not from the server; then it hears nothing, and is heard by nobody.
    "holder cut off": written(2, 11_000, (1_500, 3_000, "isolate", "@holder", "", "")),
    "heard by nobody": written(3, 11_000, (1_500, 3_000, "mute", "@leader", "", "")),
    "hears nothing": written(4, 11_000, (1_500, 3_000, "deaf", "@holder", "", "")),
    "minority with leader and holder": written(5, 11_000, (1_500, 3_500, "split", "@leader", "@holder", "")),
    "killed between vote and sync": written(
        6, 11_000, (1_200, 4_000, "crash at", "n2", "", "voted"), (1_300, 1_500, "kill", "@leader", "", "")
    ),
    "killed after its intent": written(7, 10_000, (1_500, 4_000, "crash at", "@holder", "", "begun")),
    "killed after its act": written(8, 10_000, (1_500, 4_000, "crash at", "@holder", "", "ended")),
    "a voter loses its store": written(
        9, 13_000, (1_500, 700, "wipe", "n2", "", ""), (8_000, 500, "old store", "n3", "", "")
    ),
    "all restart, twice": written(
        10, 13_000, (1_500, 0, "restart all", "n1", "", ""), (5_000, 0, "restart all", "n1", "", "")
    ),
    "each voter upgraded in turn": written(
        11, 14_000,
        (1_000, 0, "upgrade", "n1", "", ""), (4_000, 0, "upgrade", "n2", "", ""),
        (7_000, 0, "upgrade", "n3", "", ""),
    ),
    "holder drained": written(12, 9_000, (2_000, 1_000, "drain", "@holder", "", "")),
    "leader's disk is full, another's slow": written(
        13, 11_000, (1_500, 2_000, "full disk", "@leader", "", ""), (4_000, 1_500, "slow disk", "n3", "", "")
    ),
    "two groups that flap": written(
        15, 14_000, *((1_500 + 1_300 * at, 900, "split", "n1", f"n{2 + at % 3}", "") for at in range(5))
    ),
    "a clock that jumps": written(14, 10_000, (2_000, 20_000, "jump", "@holder", "", "")),
    "drawn": draw(2, Shape(length_ms=12_000)),
    "one clock errs by a fifth": draw(11, Shape(length_ms=14_000, kinds=("repeat", "slow"), beyond=True)),
}  # fmt: skip


# With a rule taken out of all nodes on purpose: whoever is cut off loses its lease, and its token is given again.
MISSED = written(
    16, 13_000, (2_000, 4_000, "isolate", "@holder", "", ""), (7_000, 3_000, "kill", "@holder", "", "")
)


@pytest.fixture(scope="module")
def drilled() -> dict[str, dict[str, Any]]:
    """All plans, some at once: what is judged are properties, which hold however slow the machine is."""
    work = [(plan, str(CONFIG), "", "") for plan in PLANS.values()]
    work.append((MISSED, str(CONFIG), "", "token-reused"))
    with ProcessPoolExecutor(4) as pool:
        return dict(zip([*PLANS, "missed"], pool.map(process_one, work), strict=True))


@pytest.mark.parametrize("name", PLANS)
def test_two_holders_never_act_at_once(name: str, drilled: dict[str, dict[str, Any]]) -> None:
    told = drilled[name]
    why = {
        key: told.get(key)
        for key in ("fault", "overlaps", "late_accepted", "run_twice", "unexpected", "struck")
    }
    assert told["verdict"] == "held", why
    assert told["acts"] > 10


def test_the_witnesses_find_a_rule_that_real_nodes_miss_on_purpose(drilled: dict[str, Any]) -> None:
    told = drilled["missed"]
    assert told["verdict"] == "broken" and told["shared_tokens"] and told["acts"] > 10


def test_an_act_that_comes_after_its_lease_is_turned_down_by_its_token(drilled: dict[str, Any]) -> None:
    told = drilled["stopped before its act"]
    assert told["struck"]["stopped at hooks"] == 1
    assert told["refused_late"] >= 1 and told["fences"] >= 1


def test_a_lost_store_comes_back_as_somebody_new_and_votes_again(drilled: dict[str, Any]) -> None:
    nodes = drilled["a voter loses its store"]["nodes"]
    assert all(nodes[name]["role"] in ("leader", "follower") for name in NODES[:3])


def test_an_upgrade_hands_the_vote_on_without_two_voters(drilled: dict[str, Any]) -> None:
    told = drilled["each voter upgraded in turn"]
    assert told["struck"]["upgraded"] == 3 and len(told["elders_gone_s"]) == 3


def test_a_clock_beyond_the_drift_is_told_to_its_node(drilled: dict[str, Any]) -> None:
    nodes = drilled["one clock errs by a fifth"]["nodes"].values()
    assert any(one["counts"] and one["counts"].get("drifts") for one in nodes)


def test_a_task_that_never_ends_keeps_no_other_waiting(tmp_path: Path) -> None:
    tasks = {
        "stuck": {"every_ms": 400, "class": "schedule-save", "longest_ms": 250},
        "well": {"every_ms": 250, "class": "schedule-save", "longest_ms": 250},
    }
    settings = Settings(json.loads(CONFIG.read_text()), tasks=tasks, hang=("stuck",))

    async def drill() -> Counts:
        async with Rig(written(20, 5_000), settings, tmp_path) as rig:
            await rig.run()
            return Counts(rig)

    told = asyncio.run(drill())
    assert told.acts["well"] > 5 and told.acts["stuck"] > 2  # each is given up after its longest time
    assert told.outcomes["stuck"].get("may have run", 0) > 2


class Counts:
    def __init__(self, rig: Rig) -> None:
        acts = [act for act in rig.witness.acts if act.accepted]
        self.acts = {name: sum(act.task == name for act in acts) for name in rig.settings.tasks}
        self.outcomes: dict[str, dict[str, int]] = {name: {} for name in rig.settings.tasks}
        for node in rig.nodes.values():
            with contextlib.suppress(OSError, ValueError):
                for task in self._leases(node.admin, rig.token)["tasks"]:
                    for what, count in task["counts"].items():
                        own = self.outcomes[task["name"]]
                        own[what] = own.get(what, 0) + count

    @staticmethod
    def _leases(port: int, token: str) -> Any:
        with socket.create_connection(("127.0.0.1", port), timeout=3) as line:
            line.sendall(f"GET /v1/fleet/leases HTTP/1.1\r\nAuthorization: Bearer {token}\r\n\r\n".encode())
            data = b"".join(iter(lambda: line.recv(65536), b""))
        return json.loads(data.partition(b"\r\n\r\n")[2])


def test_operators_see_the_fleet_and_strangers_change_nothing(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """A calm fleet, asked as an operator asks; and its port against frames that are none of its own."""
    settings = Settings(json.loads(CONFIG.read_text()))

    async def drill() -> None:
        async with Rig(written(21, 2_000), settings, tmp_path) as rig:
            await rig.run()
            port = rig.nodes["n1"].fleet
            before = await rig.nodes["n1"].call("/v1/fleet")
            key = (rig.folder / "key").read_bytes()
            await asyncio.to_thread(strangers, port, key, before["group"])
            await asyncio.sleep(0.3)
            after = await rig.nodes["n1"].call("/v1/fleet")
            assert after["voter"]["term"] == before["voter"]["term"]
            assert after["lines"]["corrupt"] >= 4 and after["lines"]["another fleet"] >= 1
            assert after["lines"]["another group"] >= 1
            operator = str(rig.nodes["n1"].folder / "operator.toml")
            for command in ("status", "leases", "log"):
                for extra in ([], ["--json"]):
                    words = ["fleet", command, "--operator", operator, *extra]
                    assert await asyncio.to_thread(call, words) == 0
            metrics = await asyncio.to_thread(fetch, rig.nodes["n1"].admin, "/v1/metrics", rig.token)
            assert b"# TYPE marlstep_fleet_term gauge" in metrics
            assert b"marlstep_fleet_line_corrupt_total" in metrics

    asyncio.run(drill())
    out = capsys.readouterr().out
    assert "of fleet drill" in out and "task/sweep" in out and "leader is" in out


def fetch(port: int, path: str, token: str) -> bytes:
    with socket.create_connection(("127.0.0.1", port), timeout=3) as line:
        line.sendall(f"GET {path} HTTP/1.1\r\nAuthorization: Bearer {token}\r\n\r\n".encode())
        return b"".join(iter(lambda: line.recv(65536), b""))


def strangers(port: int, key: bytes, group: str) -> None:
    ask = RequestVote(999, False, True, 999, 999)
    theirs = wire.write_envelope(wire.Envelope("drill", group, "n2#x", "n1", ask))
    frames = [
        wire.stream_framing(b"k" * 32).write(theirs),  # another key
        Framing(b"MSF9", 1 << 16, keyed(key)).write(theirs),  # another version
        b"GET / HTTP/1.1\r\n\r\n",
        b"\0" * 4096,
        b"MSF1" + (3 << 30).to_bytes(4, "big") + b"\0" * 64,  # 3 GB are to come
        wire.stream_framing(key).write(wire.write_envelope(wire.Envelope("other", group, "n2#x", "n1", ask))),
        wire.stream_framing(key).write(
            wire.write_envelope(wire.Envelope("drill", "1.feedbeef", "n2#x", "n1", ask))
        ),
        wire.stream_framing(key).write(b'["drill", 1, 2]'),
        wire.stream_framing(key).write(theirs)[:-3],  # cut short
    ]
    for frame in frames:
        with socket.create_connection(("127.0.0.1", port), timeout=3) as line, contextlib.suppress(OSError):
            line.sendall(frame)
            line.shutdown(socket.SHUT_WR)
            line.recv(100)


class Server:
    """One server of a pool, that can be gone and come back; it counts requests by the node that they came through."""

    def __init__(self, port: int) -> None:
        self.port, self.seen = port, Counter[str]()
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._taken, "127.0.0.1", self.port)

    def close(self) -> None:
        assert self.server is not None
        self.server.close()

    async def _taken(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        packets, ring = PacketReader(1 << 16), Ring(1 << 16)
        with contextlib.suppress(OSError):
            while (packet := packets.next(ring)) is None:
                if not (data := await reader.read(4096)):
                    break
                ring.put(data)
            if packet is not None:
                self.seen[packet.variables["HTTP_X_NODE"]] += 1
                writer.write(write_response(200, {}, "done"))
                await writer.drain()
        writer.close()


async def send(rig: Rig, seconds: float) -> None:
    """Requests to every node, from clients that take whatever comes."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds

    async def one(node: NodeProcess) -> None:
        while loop.time() < end:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", node.uwsgi)
                told = {"HTTP_X_CLASS": "temp-history", "HTTP_X_NODE": node.name, "CONTENT_LENGTH": "0"}
                writer.write(write_packet(told))
                await reader.read(1000)
                writer.close()
            await asyncio.sleep(0.02)

    # Some at once: a choice by expected completion tries a server that failed once more only where others are busy.
    await asyncio.gather(*(one(node) for node in rig.nodes.values() for _ in range(6)))


async def put_out(rig: Rig) -> bool:
    """Each node has failed to reach a server often enough to put it out."""
    failed: list[int] = [
        (await node.call("/v1/parts"))["uwsgi"]["pools"]["more"]["not reached"] for node in rig.nodes.values()
    ]
    return min(failed) >= 5


def test_one_node_finds_out_for_all_that_a_server_is_back(tmp_path: Path) -> None:
    free = Ports()
    steady, other, lost = (Server(free.take()) for _ in range(3))
    pool = tuple(f"127.0.0.1:{one.port}" for one in (steady, other, lost))
    settings = Settings(json.loads(CONFIG.read_text()), tasks={}, pool=pool)

    async def drill() -> list[int]:
        await steady.open()
        await other.open()
        async with Rig(written(22, 0), settings, tmp_path) as rig:
            for _ in range(10):  # the third server is not there: each node puts it out
                await send(rig, 2.0)
                if await put_out(rig):
                    break
            await send(rig, 2.0)
            statuses = (await rig.statuses()).values()
            knocks = [told["counts"].get("knocks", 0) for told in statuses]
            await lost.open()
            for _ in range(15):  # the choice of two gives a server that seems slower little at first
                await send(rig, 2.0)
                if set(lost.seen) == set(NODES):
                    break
        return sorted(knocks)

    knocks = asyncio.run(drill())
    assert knocks[-1] >= 2 and not any(knocks[:-1])  # one alone knocks
    assert set(lost.seen) == set(NODES)  # and all give it work again
    free.close()


# Lines.


def test_a_line_that_says_nothing_and_one_that_does_not_read_are_cut() -> None:
    async def both() -> None:
        loop = asyncio.get_running_loop()
        timeline = TimerQueue(LoopWaker(loop))
        framing = wire.stream_framing(b"k" * 32)
        free = Ports()
        port, deaf = free.take(), free.take()
        lines = ClusterTransport({"deaf": ("127.0.0.1", deaf)}, framing, timeline, lambda body: None)
        await lines.listen(("127.0.0.1", port))
        with (
            socket.create_server(("127.0.0.1", deaf)),
            socket.create_connection(("127.0.0.1", port)) as silent,
        ):
            silent.setblocking(False)
            for _ in range(600):
                lines.send("deaf", b"x" * 50_000)
                await asyncio.sleep(0.005)
            assert lines.counts["dropped"] and lines.counts["cut"]
            assert lines.counts["silent"] == 1
        await lines.close()
        free.close()

    uvloop.run(both())


# Configuration.

GOOD: dict[str, Any] = {
    "name": "f",
    "voters": ["n1"],
    "nodes": {"n1": "127.0.0.1:7001", "n2": "127.0.0.1:7002"},
}


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"voters": ["n1", "n2"]}, "fleet.voters must name 1, 3, 5 or 7 nodes"),
        ({"voters": ["n9"]}, "fleet.voters: n9 is not in fleet.nodes"),
        ({"nodes": {"n2": "127.0.0.1:1"}}, "fleet.nodes must name this node, n1"),
        ({"nodes": {"n1": "localhost:1"}}, "fleet.nodes.n1 must be a numeric address"),
        ({"nodes": {"n1": "127.0.0.1:1", "a/b": "127.0.0.1:2"}}, "fleet.nodes.a/b: a node's name"),
        ({"key_file": "nowhere"}, "fleet.key_file: nowhere can't be read"),
        ({"drift": 0.5}, "fleet.drift must be a number"),
        ({"patience_ms": 100}, "fleet.patience_ms must be at least three times"),
        ({"term_ms": 900}, "fleet.term_ms must be at least twice"),
        ({"more": 1}, "fleet.more is not known"),
        ({"probes": True}, "fleet.probes needs [uwsgi]"),
        ({"tasks": {"t": {"every_ms": 1000, "class": "schedule-save"}}}, "fleet.tasks needs [uwsgi]"),
    ],
)
def test_a_wrong_fleet_is_named_by_its_key(changes: dict[str, Any], message: str, tmp_path: Path) -> None:
    (tmp_path / "key").write_text("k" * 32)
    told = {**GOOD, "key_file": str(tmp_path / "key"), "store": str(tmp_path)}
    assert check(raw_config(settings=SETTINGS), {"fleet": told}).fleet is not None
    with pytest.raises(ConfigError, match=message.replace("[", r"\[")):
        check(raw_config(settings=SETTINGS), {"fleet": {**told, **changes}})


@pytest.mark.parametrize(
    ("task", "message"),
    [
        ({"class": "schedule-save"}, "must have either every_ms or at"),
        ({"every_ms": 1000, "at": "03:30", "class": "schedule-save"}, "must have either every_ms or at"),
        ({"at": "25:00", "class": "schedule-save"}, "must be a time of day"),
        ({"every_ms": 1000, "class": "none"}, "class must be one of"),
        ({"every_ms": 1000, "class": "schedule-save", "longest_ms": 2000}, "at most half of fleet.term_ms"),
        ({"every_ms": 1000, "class": "schedule-save", "missed": "all"}, "missed must be skip or once"),
        ({"every_ms": 1000, "class": "schedule-save", "vars": {"A": 1}}, "vars.A must be text"),
    ],
)
def test_a_wrong_task_is_named_by_its_key(task: dict[str, Any], message: str, tmp_path: Path) -> None:
    (tmp_path / "key").write_text("k" * 32)
    fleet = {**GOOD, "key_file": str(tmp_path / "key"), "store": str(tmp_path), "tasks": {"t": task}}
    uwsgi = {"listen": "127.0.0.1:0", "upstream": "127.0.0.1:1", "vars": {"class": "X"}}
    with pytest.raises(ConfigError, match=message):
        check(raw_config(settings=SETTINGS), {"fleet": fleet, "uwsgi": uwsgi})


def test_a_group_is_made_and_gone_on_with_from_the_command_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "key").write_text("k" * 32)
    operator = tmp_path / "n1.toml"
    operator.write_text(
        f'[fleet]\nname = "f"\nvoters = ["n1"]\nkey_file = "{tmp_path}/key"\nstore = "{tmp_path}/store"\n'
        '[fleet.nodes]\nn1 = "127.0.0.1:7001"\n'
    )
    words = ["--config", str(CONFIG), "--operator", str(operator)]
    assert call(["fleet", "init", *words]) == 0
    assert "n1 votes alone" in capsys.readouterr().out
    assert call(["fleet", "init", *words]) == 2 and "is there already" in capsys.readouterr().err
    assert call(["fleet", "recover", *words, "--epoch", "2"]) == 2 and "--yes" in capsys.readouterr().err
    assert call(["fleet", "recover", *words, "--epoch", "2", "--yes"]) == 0
    assert json.loads(capsys.readouterr().out)["group"].startswith("2.")
    assert call(["fleet", "status", "--operator", str(operator)]) == 2
    assert call(["fleet", "status", "--admin", "127.0.0.1:9", "--token-file", str(tmp_path / "key")]) == 2
