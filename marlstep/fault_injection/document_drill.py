"""The drill of documents: nodes under load while operators change a list of servers and faults come between.

The witnesses are the servers: which list a node acts on shows in where its requests arrive. Each request carries the
moment when its client sent it, on the same clock; one that was sent after some node's request had arrived under a newer
version, and yet went to an older one's server, is a contradiction.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import tempfile
from collections import Counter, deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from marlstep.fault_injection.effect_recorder import clock_us
from marlstep.fault_injection.linearizability import Call, CallOutcome, linearizability_violation
from marlstep.fault_injection.network_links import Ports
from marlstep.fault_injection.plan import Plan
from marlstep.fault_injection.process_cluster import NodeProcess, ProcessCluster, Settings
from marlstep.frontends.uwsgi_wire import PacketReader, write_packet, write_response
from marlstep.net.ring import Ring
from marlstep.replicated_config.documents import content_digest

SERVERS = 64  # lists in turn; a change every second makes an old one come again only after many terms
WINDOW = 8  # versions that are judged together: none of them has the list of another
LOST = 40  # of the latest tries, whose answers may be lost: any of them may come into force yet
SEND_EVERY_S = 0.04
CLIENTS = 8
THINKS_S = (0.3, 1.5)  # each of them between two calls
OUT_OF_PATIENCE_S = 5.0  # with one call, whose answer is lost then
ANSWER_S = 12.0  # longer than any deadline
MOST_OPEN = 48  # at a node: it turns connections away, unread, beyond its own 64
DEATH_S = 0.5  # until the end of a process is known here
DOCUMENT = "servers"


@dataclass(slots=True, frozen=True)
class Arrival:
    node: str
    server: int  # which list it was sent by
    sent_us: int
    arrived_us: int


@dataclass(slots=True, frozen=True)
class Put:
    """A change that got a version, and the list that it made."""

    version: int
    server: int
    called_us: int
    told_us: int


class ListServers:
    """One server for each list; each notes what arrives."""

    def __init__(self) -> None:
        self.arrivals: list[Arrival] = []
        self.ports: list[int] = []
        self._servers: list[asyncio.Server] = []

    async def open(self, ports: Ports) -> None:
        for number in range(SERVERS):
            port = ports.take()
            self._servers.append(await asyncio.start_server(self._maker(number), "127.0.0.1", port))
            self.ports.append(port)

    def _maker(self, number: int) -> Any:
        async def taken(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            packets, ring = PacketReader(1 << 16), Ring(1 << 16)
            with contextlib.suppress(OSError):
                while (packet := packets.next(ring)) is None:
                    if not (data := await reader.read(4096)):
                        break
                    ring.put(data)
                if packet is not None:
                    told = packet.variables
                    self.arrivals.append(
                        Arrival(told["HTTP_X_NODE"], number, int(told["HTTP_X_SENT"]), clock_us())
                    )
                    writer.write(write_response(200, {}, "done"))
                    await writer.drain()
            writer.close()

        return taken

    def close(self) -> None:
        for server in self._servers:
            server.close()


class Load:
    """Clients of every node, each request with one answer or none."""

    def __init__(self, cluster: ProcessCluster, every_s: float = SEND_EVERY_S) -> None:
        self.cluster, self.every_s = cluster, every_s
        self.answers: Counter[str] = Counter()
        self.lost: list[dict[str, Any]] = []
        self.twice = 0
        self.stop = False

    async def run(self) -> None:
        await asyncio.gather(*(self._client(node) for node in self.cluster.nodes.values()))

    async def _client(self, node: NodeProcess) -> None:
        open_still: set[asyncio.Task[None]] = set()
        while not self.stop:
            if node.up and len(open_still) < MOST_OPEN:
                task = asyncio.get_running_loop().create_task(self._one(node))
                open_still.add(task)
                task.add_done_callback(open_still.discard)
            await asyncio.sleep(self.every_s)
        await asyncio.gather(*open_still)

    async def _one(self, node: NodeProcess) -> None:
        process, sent = node.process, clock_us()
        told = {
            "HTTP_X_CLASS": "temp-history",
            "HTTP_X_NODE": node.name,
            "HTTP_X_SENT": str(sent),
            "CONTENT_LENGTH": "0",
        }
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", node.uwsgi)
        except OSError:
            self.answers["no connection"] += 1
            return
        data = b""
        with contextlib.suppress(OSError, TimeoutError):
            writer.write(write_packet(told))
            data = await asyncio.wait_for(reader.read(-1), ANSWER_S)
        writer.close()
        if not data:
            await asyncio.sleep(
                DEATH_S
            )  # one that killed itself at a hook is known to be dead a little later
        if data.startswith(b"HTTP/1.1 "):
            self.answers[data[9:12].decode()] += 1
            self.twice += data.count(b"HTTP/1.1 ") > 1
        elif (
            node.process is process
            and process is not None
            and process.returncode is None
            and node.quiet_since < sent
        ):
            self.lost.append({"node": node.name, "sent_us": sent, "got": data[:32].decode("latin-1")})
        else:
            self.answers["its node died or was stopped"] += 1


class Operators:
    """Eight clients that read and change the list, each at some node, with the version that it saw last."""

    def __init__(self, cluster: ProcessCluster, servers: ListServers, seed: int) -> None:
        self.cluster, self.servers = cluster, servers
        self.puts: dict[int, Put] = {}  # by version
        self.calls: list[Call] = []
        self.refused: Counter[str] = Counter()
        self.stop = False
        self._chance = random.Random(seed + 3)
        self._placed = deque(
            [0], maxlen=WINDOW
        )  # lists of the latest versions; the nodes start with the first
        self._recent = deque[int](maxlen=LOST)  # lists that may come to be in force
        self._trying: Counter[int] = Counter()

    async def run(self) -> None:
        await asyncio.gather(*(self._client(f"c{number}") for number in range(CLIENTS)))

    async def _client(self, name: str) -> None:
        saw = 0
        while not self.stop:
            await asyncio.sleep(self._chance.uniform(*THINKS_S))
            node = self.cluster.nodes[self._chance.choice(self.cluster.plan.nodes)]
            call = Call(name, clock_us(), expect=saw)
            work = self._put(node, call) if saw and self._chance.random() < 0.25 else self._get(node, call)
            try:
                saw = await asyncio.wait_for(work, OUT_OF_PATIENCE_S) or saw
            except (OSError, ValueError, TimeoutError, KeyError, TypeError):
                self.refused["no answer"] += 1
            if call.came is not CallOutcome.UNKNOWN or call.version:
                self.calls.append(call)

    async def _get(self, node: NodeProcess, call: Call) -> int:
        told = await self._asked(node, "get", {"doc": DOCUMENT})
        call.ended_us, call.came, call.version = clock_us(), CallOutcome.TOLD, int(told["version"])
        return call.version

    async def _put(self, node: NodeProcess, call: Call) -> int:
        number = self._chance.choice(self.free())
        self._trying[number] += 1
        try:
            return await self._change(node, call, number)
        except BaseException:
            self._recent.append(number)  # it may come into force yet
            raise
        finally:
            self._trying[number] -= 1

    def free(self) -> list[int]:
        """Lists that no version in sight has, or may get. Tries without an answer must not push out those in force."""
        taken = {*self._placed, *self._recent}
        return [one for one in range(SERVERS) if one not in taken and not self._trying[one]]

    async def _change(self, node: NodeProcess, call: Call, number: int) -> int:
        content = json.dumps(
            {"main": [f"127.0.0.1:{self.cluster.effect_recorder.port}"], "more": self.list_of(number)}
        )
        upload = f"o{self._chance.randrange(1 << 40):x}"
        put = {"doc": DOCUMENT, "upload": upload, "digest": content_digest(content), "expect": call.expect}
        put |= {"author": call.client, "force": True}
        await self._asked(node, "part", {"upload": upload, "offset": 0, "data": content})
        call.version = -1  # from here on it may have an effect
        told = await self._asked(node, "put", put)
        call.version = 0
        if "prepares" not in told:
            self.refused[str(told.get("refused", told))[:24]] += 1
            if "version" in told and "waits_for" not in told:
                call.ended_us, call.came, call.version = clock_us(), CallOutcome.STALE, int(told["version"])
            return call.version
        version = call.version = int(told["prepares"])
        self._placed.append(number)
        self.puts[version] = Put(version, number, call.begun_us, clock_us())
        while True:
            await asyncio.sleep(0.05)
            now = await self._asked(
                self.cluster.nodes[self._chance.choice(self.cluster.plan.nodes)], "get", {"doc": DOCUMENT}
            )
            if any(row["version"] == version for row in now["turned_down"]):
                call.version = 0
                return 0
            if now["version"] >= version:
                call.ended_us, call.came = clock_us(), CallOutcome.DONE
                return version

    def list_of(self, number: int) -> list[str]:
        return [f"127.0.0.1:{self.servers.ports[number]}"]

    async def _asked(self, node: NodeProcess, what: str, told: dict[str, Any]) -> dict[str, Any]:
        number = (await node.call(f"/v1/fleet/rules/{what}", told))["asked"]
        while True:
            answers = await node.call("/v1/fleet/asked")
            if str(number) in answers:
                found: dict[str, Any] = answers[str(number)]
                return found
            await asyncio.sleep(0.03)


def judge(arrivals: Sequence[Arrival], order: Sequence[int]) -> tuple[int, list[tuple[Arrival, Arrival]]]:
    """The longest span of contradiction in microseconds, and its evidence: old requests beside the newer one.

    `order` are the lists in the order in which they were in force.
    """
    rank = {server: at for at, server in enumerate(order)}
    longest, found = 0, []
    first: dict[int, Arrival] = {}  # the first arrival under each list
    for one in sorted(arrivals, key=lambda one: one.arrived_us):
        if one.server in rank:
            first.setdefault(one.server, one)
    for one in arrivals:
        if one.server not in rank:
            continue
        newer = [first[server] for server, at in rank.items() if at > rank[one.server] and server in first]
        if newer:
            before = min(newer, key=lambda other: other.arrived_us)
            span = one.sent_us - before.arrived_us
            if span > 0:
                found.append((before, one))
                longest = max(longest, span)
    return longest, found


async def run(plan: Plan, settings: Settings, strict: bool) -> dict[str, Any]:
    """One plan on processes; the report, whose `verdict` is `held` or `broken`. Raises RigError, OSError."""
    free = Ports()
    servers = ListServers()
    await servers.open(free)
    rules: dict[str, dict[str, Any]] = {
        DOCUMENT: {"kind": "servers", "strict": strict, "cut_off": "stop"},
        "settings": {"kind": "settings"},
    }
    told = replace(settings, tasks={}, pool=(f"127.0.0.1:{servers.ports[0]}",), rules=rules)
    try:
        with tempfile.TemporaryDirectory(prefix="drill-") as folder:
            async with ProcessCluster(plan, told, Path(folder)) as cluster:
                load, operator = Load(cluster), Operators(cluster, servers, plan.seed)
                tasks = [asyncio.create_task(load.run()), asyncio.create_task(operator.run())]
                await cluster.run()
                operator.stop = load.stop = True
                await asyncio.gather(*tasks)
                document = await versions(cluster)
                unexpected = list(cluster.unexpected)
                struck = dict(cluster.counts)
    finally:
        servers.close()
        free.close()
    # By port: the lists in the order of the versions that came into force, the last SERVERS of them.
    by_port = {f"127.0.0.1:{port}": number for number, port in enumerate(servers.ports)}
    lists = [(one["version"], by_port[json.loads(one["content"])["more"][0]]) for one in document["versions"]]
    longest, found = judge_in_turn(servers.arrivals, lists, operator.puts)
    # The first version is a node's own file; a call that may have had any effect has version -1.
    calls = [replace(one, version=max(0, one.version)) for one in operator.calls]
    disorder = linearizability_violation([*calls, Call("a node", 0)])
    within = settings.rules_ms + 1_000
    happened = len(document["versions"]) >= 3 and load.answers["200"] > 50
    held = happened and not load.lost and not load.twice and longest <= within * 1000
    held = held and not (strict and found) and not unexpected and not disorder
    return {
        "seed": plan.seed,
        "plan": plan.write(),
        "faults": len(plan.faults),
        "strict": strict,
        "changes": len(document["versions"]),
        "refused": dict(operator.refused),
        "calls": len(calls),
        "disorder": disorder,
        "answers": dict(load.answers),
        "longest_contradiction_ms": round(longest / 1000, 1),
        "agree_within_ms": within,
        "strict_contradictions": len(found) if strict else 0,
        "evidence": [[repr(one), repr(other)] for one, other in found[:3]],
        "lost": load.lost,
        "answered_twice": load.twice,
        "struck": struck,
        "unexpected": unexpected,
        "verdict": "held" if held else "broken",
    }


def judge_in_turn(
    arrivals: Sequence[Arrival], lists: Sequence[tuple[int, int]], puts: Mapping[int, Put]
) -> tuple[int, list[tuple[Arrival, Arrival]]]:
    """`lists` are the versions that were in force, and which list each made.

    In windows of as many versions as have lists of their own, cut by when their changes were asked for.
    """
    longest, found = 0, list[tuple[Arrival, Arrival]]()
    asked = [puts[version].called_us if version in puts else None for version, _ in lists]
    for begin in range(0, len(lists), WINDOW // 2):
        part = [number for _, number in lists[begin : begin + WINDOW]]
        # Where it is not known when a change was asked for, the window is cut shorter.
        from_us = 0 if not begin else next((at for at in asked[begin:] if at is not None), 1 << 62)
        until_us = 1 << 62
        if begin + WINDOW < len(lists):
            until_us = next((at for at in reversed(asked[: begin + WINDOW + 1]) if at is not None), 1 << 62)
        rows = [one for one in arrivals if from_us <= one.sent_us < until_us]
        span, pairs = judge(rows, part)
        longest, found = max(longest, span), found + pairs
    return longest, found


async def versions(cluster: ProcessCluster) -> dict[str, Any]:
    """All versions, from whichever voter knows the most."""
    best: dict[str, Any] = {"versions": []}
    for name in cluster.plan.voters:
        with contextlib.suppress(OSError, ValueError):
            told = await cluster.nodes[name].call(f"/v1/fleet/rules/{DOCUMENT}")
            if "in_force" in told and len(told["versions"]) > len(best["versions"]):
                best = told
    return best
