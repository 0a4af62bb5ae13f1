"""The document drill: nodes under load while operators change a server list and faults are injected.

Each version of the list has a server of its own, so the server that receives a request shows which version the node
used. Each request carries the time when its client sent it, on the clock of the servers. A request is a contradiction
if it was sent after a request of any node had arrived under a newer version, but went to the server of an older one.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
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
WINDOW_VERSIONS = 8  # versions that are judged together; each of them has a different list
# The lists of the latest changes without a response, this many at most, stay reserved: each may still come into force.
MAX_UNANSWERED_CHANGES = 40
SEND_INTERVAL_S = 0.04  # the interval of requests to each node
CLIENTS = 8  # operators' clients
CALL_PAUSE_S = (0.3, 1.5)  # the shortest and the longest pause of a client between two calls
CALL_TIMEOUT_S = 5.0  # the timeout of a client's call; a later response is lost
RESPONSE_TIMEOUT_S = 12.0  # the timeout of a request of the load, longer than any response deadline
MAX_OPEN_REQUESTS = 48  # requests open at a node; beyond 64 connections it closes further ones unread
EXIT_DETECTION_S = 0.5  # the longest time until the drill notices the end of a process
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
class AcceptedChange:
    """A change that was accepted and got a version.

    Attributes:
        version: The version.
        server: The number of the list that it contains.
        called_us: When the client called, in microseconds.
        accepted_us: When the client received the version, in microseconds.
    """

    version: int
    server: int
    called_us: int
    accepted_us: int


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
            self._servers.append(
                await asyncio.start_server(self._connection_handler(number), "127.0.0.1", port)
            )
            self.ports.append(port)

    def _connection_handler(self, number: int) -> Any:
        async def handle_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            packets, ring = PacketReader(1 << 16), Ring(1 << 16)
            with contextlib.suppress(OSError):
                while (packet := packets.next(ring)) is None:
                    if not (data := await reader.read(4096)):
                        break
                    ring.put(data)
                if packet is not None:
                    uwsgi_variables = packet.variables
                    self.arrivals.append(
                        Arrival(
                            uwsgi_variables["HTTP_X_NODE"],
                            number,
                            int(uwsgi_variables["HTTP_X_SENT"]),
                            clock_us(),
                        )
                    )
                    writer.write(write_response(200, {}, "done"))
                    await writer.drain()
            writer.close()

        return handle_connection

    def close(self) -> None:
        """Stop listening on all ports."""
        for server in self._servers:
            server.close()


class ConnectionEnd(enum.Enum):
    """How the connection of a request ended for its client."""

    END_OF_STREAM = "end of stream"
    RESET = "reset"
    TIMED_OUT = "timed out"


class Load:
    """Sends requests to every node at a constant rate and counts the responses.

    Attributes:
        cluster: The cluster.
        every_s: The interval of requests to each node, in seconds.
        answers: The number of requests by status code or by the reason why there was no response.
        lost: The requests without a response from a node that stayed up, each with the way in which its connection
            ended and the client's port.
        twice: The number of requests with more than one response.
        stop: Set to True to stop sending.
    """

    def __init__(self, cluster: ProcessCluster, every_s: float = SEND_INTERVAL_S) -> None:
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
        open_requests: set[asyncio.Task[None]] = set()
        while not self.stop:
            if node.up and len(open_requests) < MAX_OPEN_REQUESTS:
                task = asyncio.get_running_loop().create_task(self._send_request(node))
                open_requests.add(task)
                task.add_done_callback(open_requests.discard)
            await asyncio.sleep(self.every_s)
        await asyncio.gather(*open_requests)

    async def _send_request(self, node: NodeProcess) -> None:
        process, sent = node.process, clock_us()
        variables = {
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
        client_port = writer.get_extra_info("sockname")[1]
        data, end = await self._exchange(reader, writer, write_packet(variables))
        ended = clock_us()
        if not data:
            # The end of a process that killed itself at a step is noticed a little later.
            await asyncio.sleep(EXIT_DETECTION_S)
        if data.startswith(b"HTTP/1.1 "):
            self.answers[data[9:12].decode()] += 1
            self.twice += data.count(b"HTTP/1.1 ") > 1
        elif (
            node.process is process
            and process is not None
            and process.returncode is None
            and node.quiet_since < sent
        ):
            self.lost.append(
                {
                    "node": node.name,
                    "sent_us": sent,
                    "got": data[:32].decode("latin-1"),
                    "end": end.value,
                    "ended_after_us": ended - sent,
                    "client_port": client_port,
                }
            )
        else:
            self.answers["its node died or was stopped"] += 1

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, packet: bytes
    ) -> tuple[bytes, ConnectionEnd]:
        """Send a packet, and return what was received until the connection ended, and how it ended."""
        received = bytearray()
        end = ConnectionEnd.END_OF_STREAM
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                writer.write(packet)
                while data := await reader.read(1 << 16):
                    received += data
        except TimeoutError:
            end = ConnectionEnd.TIMED_OUT
        except OSError:
            end = ConnectionEnd.RESET
        writer.close()
        return bytes(received), end


class Operators:
    """Clients that read and change the list through random nodes, each expecting the version that it read last.

    Attributes:
        cluster: The cluster.
        servers: The servers of the lists.
        accepted_changes: The accepted changes by version.
        calls: The history of calls for the linearizability checker.
        refused: The number of rejected changes and of calls without a response, by reason.
        stop: Set to True to stop calling.
    """

    def __init__(self, cluster: ProcessCluster, servers: ListServers, seed: int) -> None:
        """Initialize the clients; `seed` determines their random choices."""
        self.cluster, self.servers = cluster, servers
        self.accepted_changes: dict[int, AcceptedChange] = {}
        self.calls: list[Call] = []
        self.refused: Counter[str] = Counter()
        self.stop = False
        self._random = random.Random(seed + 3)
        # The lists of the latest accepted versions; the nodes start with list 0.
        self._accepted_lists = deque([0], maxlen=WINDOW_VERSIONS)
        # The lists of the latest changes without a response, which may still come into force.
        self._unanswered_lists = deque[int](maxlen=MAX_UNANSWERED_CHANGES)
        self._pending_lists: Counter[int] = Counter()

    async def run(self) -> None:
        """Run all clients until `stop` is set."""
        await asyncio.gather(*(self._client(f"c{number}") for number in range(CLIENTS)))

    async def _client(self, name: str) -> None:
        known_version = 0
        while not self.stop:
            await asyncio.sleep(self._random.uniform(*CALL_PAUSE_S))
            node = self.cluster.nodes[self._random.choice(self.cluster.plan.nodes)]
            call = Call(name, clock_us(), expect=known_version)
            pending_call = (
                self._put(node, call)
                if known_version and self._random.random() < 0.25
                else self._get(node, call)
            )
            try:
                known_version = await asyncio.wait_for(pending_call, CALL_TIMEOUT_S) or known_version
            except (OSError, ValueError, TimeoutError, KeyError, TypeError):
                self.refused["no answer"] += 1
            if call.came is not CallOutcome.UNKNOWN or call.version:
                self.calls.append(call)

    async def _get(self, node: NodeProcess, call: Call) -> int:
        answer = await self._request(node, "get", {"doc": DOCUMENT})
        call.ended_us, call.came, call.version = clock_us(), CallOutcome.TOLD, int(answer["version"])
        return call.version

    async def _put(self, node: NodeProcess, call: Call) -> int:
        list_number = self._random.choice(self.free_lists())
        self._pending_lists[list_number] += 1
        try:
            return await self._change(node, call, list_number)
        except BaseException:
            self._unanswered_lists.append(list_number)  # the change may still come into force
            raise
        finally:
            self._pending_lists[list_number] -= 1

    def free_lists(self) -> list[int]:
        """Return the lists that no recent version has and no pending or lost change may still bring into force.

        The lists of accepted versions and of changes without a response are remembered separately, so that many lost
        responses can't displace the lists in force.
        """
        taken = {*self._accepted_lists, *self._unanswered_lists}
        return [
            number for number in range(SERVERS) if number not in taken and not self._pending_lists[number]
        ]

    async def _change(self, node: NodeProcess, call: Call, list_number: int) -> int:
        content = json.dumps(
            {"main": [f"127.0.0.1:{self.cluster.effect_recorder.port}"], "more": self.list_of(list_number)}
        )
        upload = f"o{self._random.randrange(1 << 40):x}"
        put_body = {
            "doc": DOCUMENT,
            "upload": upload,
            "digest": content_digest(content),
            "expect": call.expect,
        }
        put_body |= {"author": call.client, "force": True}
        await self._request(node, "part", {"upload": upload, "offset": 0, "data": content})
        call.version = -1  # from here on, the call may take effect
        answer = await self._request(node, "put", put_body)
        call.version = 0
        if "prepares" not in answer:
            self.refused[str(answer.get("refused", answer))[:24]] += 1
            if "version" in answer and "waits_for" not in answer:
                call.ended_us, call.came, call.version = clock_us(), CallOutcome.STALE, int(answer["version"])
            return call.version
        version = call.version = int(answer["prepares"])
        self._accepted_lists.append(list_number)
        self.accepted_changes[version] = AcceptedChange(version, list_number, call.begun_us, clock_us())
        while True:
            await asyncio.sleep(0.05)
            current = await self._request(
                self.cluster.nodes[self._random.choice(self.cluster.plan.nodes)], "get", {"doc": DOCUMENT}
            )
            if any(row["version"] == version for row in current["turned_down"]):
                call.version = 0
                return 0
            if current["version"] >= version:
                call.ended_us, call.came = clock_us(), CallOutcome.DONE
                return version

    def list_of(self, number: int) -> list[str]:
        """Return the addresses of the servers of a list."""
        return [f"127.0.0.1:{self.servers.ports[number]}"]

    async def _request(self, node: NodeProcess, operation: str, body: dict[str, Any]) -> dict[str, Any]:
        order = (await node.call(f"/v1/fleet/rules/{operation}", body))["asked"]
        while True:
            answers = await node.call("/v1/fleet/asked")
            if str(order) in answers:
                answer: dict[str, Any] = answers[str(order)]
                return answer
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
    rank = {server: position for position, server in enumerate(order)}
    longest_us, contradictions = 0, []
    first: dict[int, Arrival] = {}  # the first arrival at the server of each list
    for arrival in sorted(arrivals, key=lambda arrival: arrival.arrived_us):
        if arrival.server in rank:
            first.setdefault(arrival.server, arrival)
    for arrival in arrivals:
        if arrival.server not in rank:
            continue
        newer = [
            first[server]
            for server, position in rank.items()
            if position > rank[arrival.server] and server in first
        ]
        if newer:
            first_newer = min(newer, key=lambda other: other.arrived_us)
            span_us = arrival.sent_us - first_newer.arrived_us
            if span_us > 0:
                contradictions.append((first_newer, arrival))
                longest_us = max(longest_us, span_us)
    return longest_us, contradictions


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
    port_block = Ports()
    servers = ListServers()
    await servers.open(port_block)
    rules: dict[str, dict[str, Any]] = {
        DOCUMENT: {"kind": "servers", "strict": strict, "cut_off": "stop"},
        "settings": {"kind": "settings"},
    }
    cluster_settings = replace(settings, tasks={}, pool=(f"127.0.0.1:{servers.ports[0]}",), rules=rules)
    try:
        with tempfile.TemporaryDirectory(prefix="drill-") as folder:
            async with ProcessCluster(plan, cluster_settings, Path(folder)) as cluster:
                load, operators = Load(cluster), Operators(cluster, servers, plan.seed)
                tasks = [asyncio.create_task(load.run()), asyncio.create_task(operators.run())]
                await cluster.run()
                operators.stop = load.stop = True
                await asyncio.gather(*tasks)
                document = await read_versions(cluster)
                unexpected = list(cluster.unexpected)
                fault_counts = dict(cluster.counts)
    finally:
        servers.close()
        port_block.close()
    # The versions that came into force, in order, each with the number of its list, which is found by its port.
    by_port = {f"127.0.0.1:{port}": number for number, port in enumerate(servers.ports)}
    versioned_lists = [
        (entry["version"], by_port[json.loads(entry["content"])["more"][0]]) for entry in document["versions"]
    ]
    longest_us, contradictions = judge_in_windows(
        servers.arrivals, versioned_lists, operators.accepted_changes
    )
    # The first version comes from a node's own file. Version -1 marks a call that may have had any effect.
    calls = [replace(entry, version=max(0, entry.version)) for entry in operators.calls]
    violation = linearizability_violation([*calls, Call("a node", 0)])
    limit_ms = settings.rules_ms + 1_000
    had_traffic = len(document["versions"]) >= 3 and load.answers["200"] > 50
    held = had_traffic and not load.lost and not load.twice and longest_us <= limit_ms * 1000
    held = held and not (strict and contradictions) and not unexpected and not violation
    return {
        "seed": plan.seed,
        "plan": plan.write(),
        "faults": len(plan.faults),
        "strict": strict,
        "changes": len(document["versions"]),
        "refused": dict(operators.refused),
        "calls": len(calls),
        "disorder": violation,
        "answers": dict(load.answers),
        "longest_contradiction_ms": round(longest_us / 1000, 1),
        "agree_within_ms": limit_ms,
        "strict_contradictions": len(contradictions) if strict else 0,
        "evidence": [[repr(entry), repr(other)] for entry, other in contradictions[:3]],
        "lost": load.lost,
        "answered_twice": load.twice,
        "struck": fault_counts,
        "unexpected": unexpected,
        "verdict": "held" if held else "broken",
    }


def judge_in_windows(
    arrivals: Sequence[Arrival],
    lists: Sequence[tuple[int, int]],
    accepted_changes: Mapping[int, AcceptedChange],
) -> tuple[int, list[tuple[Arrival, Arrival]]]:
    """Judge the requests as `judge` does, in overlapping windows of versions that all have different lists.

    A window covers the requests sent from the call for its first change until the call for the first change after it.
    The first window has no start and the last one no end.

    Args:
        arrivals: The requests to judge.
        lists: The versions that were in force, in order, each with the number of its list.
        accepted_changes: The accepted changes by version.

    Returns:
        The longest contradiction in microseconds and the contradicting pairs, over all windows.
    """
    longest_us, contradictions = 0, list[tuple[Arrival, Arrival]]()
    called_at_us = [
        accepted_changes[version].called_us if version in accepted_changes else None for version, _ in lists
    ]
    for start in range(0, len(lists), WINDOW_VERSIONS // 2):
        window_lists = [number for _, number in lists[start : start + WINDOW_VERSIONS]]
        # The window is shortened by changes at its ends whose time of call is not known.
        from_us = (
            0
            if not start
            else next((time_us for time_us in called_at_us[start:] if time_us is not None), 1 << 62)
        )
        until_us = 1 << 62
        if start + WINDOW_VERSIONS < len(lists):
            until_us = next(
                (
                    time_us
                    for time_us in reversed(called_at_us[: start + WINDOW_VERSIONS + 1])
                    if time_us is not None
                ),
                1 << 62,
            )
        window_arrivals = [arrival for arrival in arrivals if from_us <= arrival.sent_us < until_us]
        span_us, window_contradictions = judge(window_arrivals, window_lists)
        longest_us, contradictions = max(longest_us, span_us), contradictions + window_contradictions
    return longest_us, contradictions


async def read_versions(cluster: ProcessCluster) -> dict[str, Any]:
    """Return the document's versions from the voter that reports the most of them."""
    best: dict[str, Any] = {"versions": []}
    for name in cluster.plan.voters:
        with contextlib.suppress(OSError, ValueError):
            document = await cluster.nodes[name].call(f"/v1/fleet/rules/{DOCUMENT}")
            if "in_force" in document and len(document["versions"]) > len(best["versions"]):
                best = document
    return best
