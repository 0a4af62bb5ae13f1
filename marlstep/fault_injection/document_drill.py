"""The document drill: nodes under load while operators change a server list and faults are injected.

Each version of the list has a server of its own, so the server that receives a request shows which version the node
used. Each request carries the time when its client sent it, on the clock of the servers. A request is a contradiction
if it was sent after a request of any node had arrived under a newer version, but went to the server of an older one.
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

# The number of lists: at a change per second, a list is used again only after many lease durations.
SERVERS = 64
WINDOW = 8  # versions that are judged together; each of them has a different list
LOST = 40  # the latest changes without a response whose lists are not reused: each may still come into force
SEND_EVERY_S = 0.04  # the interval of requests to each node
CLIENTS = 8  # operators' clients
THINKS_S = (0.3, 1.5)  # the shortest and the longest pause of a client between two calls
OUT_OF_PATIENCE_S = 5.0  # the timeout of a client's call; a later response is lost
ANSWER_S = 12.0  # the timeout of a request of the load, longer than any response deadline
MOST_OPEN = 48  # requests open at a node; beyond 64 connections it closes further ones unread
DEATH_S = 0.5  # the longest time until the end of a process is noticed here
DOCUMENT = "servers"


@dataclass(slots=True, frozen=True)
class Arrival:
    """A request that reached one of the list servers.

    Attributes:
        node: The node that forwarded it.
        server: The number of the server, which is that of the list that the node used.
        sent_us: When the client sent it, in microseconds.
        arrived_us: When it reached the server, in microseconds.
    """

    node: str
    server: int
    sent_us: int
    arrived_us: int


@dataclass(slots=True, frozen=True)
class Put:
    """A change that was accepted and got a version.

    Attributes:
        version: The version.
        server: The number of the list that it contains.
        called_us: When the client called, in microseconds.
        told_us: When the client received the version, in microseconds.
    """

    version: int
    server: int
    called_us: int
    told_us: int


class ListServers:
    """One server for each list, all of which record their requests.

    Attributes:
        arrivals: The recorded requests, in the order of their arrival.
        ports: The port of each server, by the number of its list.
    """

    def __init__(self) -> None:
        """Initialize the servers; `open` starts them."""
        self.arrivals: list[Arrival] = []
        self.ports: list[int] = []
        self._servers: list[asyncio.Server] = []

    async def open(self, ports: Ports) -> None:
        """Start all servers on ports taken from `ports`.

        Raises:
            OSError: A port is not available.
        """
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
        """Stop listening on all ports."""
        for server in self._servers:
            server.close()


class Load:
    """Sends requests to every node at a constant rate and counts the responses.

    Attributes:
        cluster: The cluster.
        every_s: The interval of requests to each node, in seconds.
        answers: The number of requests by status code or by the reason why there was no response.
        lost: The requests without a response from a node that stayed up.
        twice: The number of requests with more than one response.
        stop: Set to True to stop sending.
    """

    def __init__(self, cluster: ProcessCluster, every_s: float = SEND_EVERY_S) -> None:
        """Initialize the load; `every_s` is the interval of requests to each node, in seconds."""
        self.cluster, self.every_s = cluster, every_s
        self.answers: Counter[str] = Counter()
        self.lost: list[dict[str, Any]] = []
        self.twice = 0
        self.stop = False

    async def run(self) -> None:
        """Send requests until `stop` is set and all open requests have ended."""
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
            # The end of a process that killed itself at a step is noticed a little later.
            await asyncio.sleep(DEATH_S)
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
    """Clients that read and change the list through random nodes, each expecting the version that it read last.

    Attributes:
        cluster: The cluster.
        servers: The servers of the lists.
        puts: The accepted changes by version.
        calls: The history of calls for the linearizability checker.
        refused: The number of rejected changes and of calls without a response, by reason.
        stop: Set to True to stop calling.
    """

    def __init__(self, cluster: ProcessCluster, servers: ListServers, seed: int) -> None:
        """Initialize the clients; `seed` determines their random choices."""
        self.cluster, self.servers = cluster, servers
        self.puts: dict[int, Put] = {}
        self.calls: list[Call] = []
        self.refused: Counter[str] = Counter()
        self.stop = False
        self._chance = random.Random(seed + 3)
        # The lists of the latest accepted versions; the nodes start with list 0.
        self._placed = deque([0], maxlen=WINDOW)
        # The lists of changes without a response, which may still come into force.
        self._recent = deque[int](maxlen=LOST)
        self._trying: Counter[int] = Counter()

    async def run(self) -> None:
        """Run all clients until `stop` is set."""
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
            self._recent.append(number)  # the change may still come into force
            raise
        finally:
            self._trying[number] -= 1

    def free(self) -> list[int]:
        """Return the lists that no recent version has and no pending or lost change may still bring into force.

        The lists of accepted versions and of changes without a response are remembered separately, so that many lost
        responses can't displace the lists in force.
        """
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
        call.version = -1  # from here on, the call may take effect
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
        """Return the addresses of the servers of a list."""
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
    """Find requests that used an old list after a newer one was known to be in use.

    Args:
        arrivals: The requests to judge.
        order: The numbers of the lists, in the order in which they were in force.

    Returns:
        The longest time between the first arrival under a newer list and the sending of a request under an older one,
        in microseconds, and all such pairs of the first arrival and the contradicting request.
    """
    rank = {server: at for at, server in enumerate(order)}
    longest, found = 0, []
    first: dict[int, Arrival] = {}  # the first arrival at the server of each list
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
    """Run one plan on processes and return the report, whose `verdict` is `held` or `broken`.

    Args:
        plan: The plan.
        settings: The settings of the cluster; its tasks, pool and documents are replaced.
        strict: Whether the server list is a strict document.

    Raises:
        ProcessClusterError: The cluster could not be started.
        OSError: A port, a file or a process could not be opened.
    """
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
    # The versions that came into force, in order, each with the number of its list, which is found by its port.
    by_port = {f"127.0.0.1:{port}": number for number, port in enumerate(servers.ports)}
    lists = [(one["version"], by_port[json.loads(one["content"])["more"][0]]) for one in document["versions"]]
    longest, found = judge_in_turn(servers.arrivals, lists, operator.puts)
    # The first version comes from a node's own file. Version -1 marks a call that may have had any effect.
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
    """Judge the requests as `judge` does, in overlapping windows of versions that all have different lists.

    A window covers the requests sent between the times at which its changes were called for.

    Args:
        arrivals: The requests to judge.
        lists: The versions that were in force, in order, each with the number of its list.
        puts: The accepted changes by version.

    Returns:
        The longest contradiction in microseconds and the contradicting pairs, over all windows.
    """
    longest, found = 0, list[tuple[Arrival, Arrival]]()
    asked = [puts[version].called_us if version in puts else None for version, _ in lists]
    for begin in range(0, len(lists), WINDOW // 2):
        part = [number for _, number in lists[begin : begin + WINDOW]]
        # The window is shortened by changes at its ends whose time of call is not known.
        from_us = 0 if not begin else next((at for at in asked[begin:] if at is not None), 1 << 62)
        until_us = 1 << 62
        if begin + WINDOW < len(lists):
            until_us = next((at for at in reversed(asked[: begin + WINDOW + 1]) if at is not None), 1 << 62)
        rows = [one for one in arrivals if from_us <= one.sent_us < until_us]
        span, pairs = judge(rows, part)
        longest, found = max(longest, span), found + pairs
    return longest, found


async def versions(cluster: ProcessCluster) -> dict[str, Any]:
    """Return the document's versions from the voter that reports the most of them."""
    best: dict[str, Any] = {"versions": []}
    for name in cluster.plan.voters:
        with contextlib.suppress(OSError, ValueError):
            told = await cluster.nodes[name].call(f"/v1/fleet/rules/{DOCUMENT}")
            if "in_force" in told and len(told["versions"]) > len(best["versions"]):
                best = told
    return best
