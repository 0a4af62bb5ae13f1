"""Memory of a node and the latency of its other clients beside one kind of bad client at a time.

    python -m benchmarks.client_floods                          # all scenarios, one after another
    python -m benchmarks.client_floods --checkout PATH alive    # one, on the node of another checkout

Each scenario starts a node on loopback. The bad client is a process of its own, so that it does not delay the probe:
another client that sends a health check each 20 ms. Prints one JSON object for each scenario; exit code 1 if a node
ended, exceeded its memory limit, or the probe's 99th percentile exceeded its target.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import secrets
import socket
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.node_process import HOST, ROOT, Kernel, NodeProcess, free_port, started_node

START_LIMIT_S = 20.0
CALM_S = 1.0  # before a scenario begins
PROBE_INTERVAL_S = 0.02
MEMORY_INTERVAL_S = 0.02
GATEWAY_INTERVAL_S = 0.1  # between sound uwsgi packets
GATEWAY_PAUSE_S = 0.05  # between the halves of a sound uwsgi packet
TARGET_P99_MS = 100.0
RESP_CONNECTIONS, UWSGI_CONNECTIONS = 300, 250
ROUNDS = 3  # of scenarios with many connections that stall
STALL_S = 2.5  # longer than the read timeouts of both frontends
RECEIVE_BYTES = 1 << 16
MAX_OPEN_REQUESTS = 32  # on a RESP connection
MAX_VARIABLES_BYTES = 0xFFFF  # of a uwsgi packet
MAX_BODY_BYTES = 64 * 1024  # by deploy/uwsgi.toml
UWSGI_SECTION = """
[uwsgi]
listen = "{host}:{port}"
upstream = "{host}:{upstream_port}"
max_body = 65536
max_response = {max_response}
max_connections = {max_connections}
[uwsgi.vars]
class = "HTTP_X_CLASS"
id = "HTTP_X_REQUEST_ID"
tenant = "HTTP_X_TENANT"
"""


def frame(*words: bytes) -> bytes:
    """Return a RESP array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def packet(variables: list[tuple[bytes, bytes]], body: bytes = b"") -> bytes:
    """Return a uwsgi packet."""
    strings = itertools.chain.from_iterable(variables)
    block = b"".join(len(string).to_bytes(2, "little") + string for string in strings)
    return b"\0" + len(block).to_bytes(2, "little") + b"\0" + block + body


def exec_frame(tag: int, request_class: bytes = b"temp-history", caller: int = 4) -> bytes:
    """Return a request under a new id."""
    request_id, at_ms = secrets.token_hex(8).encode(), int(time.time() * 1000)
    fields = b"id=%b,at=%d,from=%d,kb=1.0,rank=0.5" % (request_id, at_ms, caller)
    return frame(b"EXEC", b"%d" % tag, request_class, fields, b"body")


def connected(port: int) -> socket.socket:
    """Return a connection that blocks for a second at most."""
    return socket.create_connection((HOST, port), timeout=1.0)


# The bad clients. Each runs in a process of its own until `until`, in seconds of the monotonic clock.


def pipeline(port: int, until: float, frames: Iterator[bytes], is_reading: bool = True) -> int:
    """Write frames on one connection at full speed, opening a new one where the node closes it."""
    written = 0
    while time.monotonic() < until:
        try:
            with connected(port) as connection:
                connection.setblocking(False)
                written += _write_until_closed(connection, until, frames, is_reading)
        except OSError:
            time.sleep(0.01)
    return written


def _write_until_closed(
    connection: socket.socket, until: float, frames: Iterator[bytes], is_reading: bool
) -> int:
    written, unsent = 0, b""
    while time.monotonic() < until:
        if not unsent:
            batch = list(itertools.islice(frames, 500))
            written, unsent = written + len(batch), b"".join(batch)
        try:
            unsent = unsent[connection.send(unsent) :]
        except BlockingIOError:
            time.sleep(0.0005)
        try:
            while is_reading and connection.recv(RECEIVE_BYTES):
                pass
        except BlockingIOError:
            continue
        if is_reading:
            return written
    return written


def in_batches(port: int, until: float, frames: Iterator[bytes]) -> int:
    """Write sound requests on one connection at full speed, as many at a time as may be open."""
    written = 0
    with connected(port) as connection, connection.makefile("rb") as answers:
        while time.monotonic() < until:
            connection.sendall(b"".join(itertools.islice(frames, MAX_OPEN_REQUESTS)))
            for _ in range(MAX_OPEN_REQUESTS):
                while not answers.readline().startswith(b"*4"):
                    pass
            written += MAX_OPEN_REQUESTS
    return written


def stall(port: int, count: int, message: bytes, until: float) -> int:
    """Open connections that each write the same incomplete message and then nothing, in rounds."""
    rounds = 0
    while time.monotonic() < until:
        with ExitStack() as stack:
            connections = [stack.enter_context(connected(port)) for _ in range(count)]
            for connection in connections:
                try:
                    connection.sendall(message)
                except OSError:
                    continue
            time.sleep(STALL_S)
        rounds += 1
    return rounds


def trickle(port: int, count: int, message: bytes, until: float) -> int:
    """Open connections that write an incomplete message in small pieces over two seconds, in rounds."""
    rounds, pieces = 0, 40
    size = -(-len(message) // pieces)
    while time.monotonic() < until:
        with ExitStack() as stack:
            connections = [stack.enter_context(connected(port)) for _ in range(count)]
            for start in range(0, len(message), size):
                for connection in connections:
                    try:
                        connection.send(message[start : start + size])
                    except OSError:
                        continue
                time.sleep(2.0 / pieces)
        rounds += 1
    return rounds


def unsound_packets(port: int, until: float) -> int:
    """Send packets of an unknown class for ever new tenants, each on its own connection."""
    sent = 0
    while time.monotonic() < until:
        tenant = secrets.token_hex(8).encode()
        try:
            with connected(port) as connection:
                connection.sendall(packet([(b"HTTP_X_CLASS", b"none"), (b"HTTP_X_TENANT", tenant)]))
                connection.recv(RECEIVE_BYTES)
        except OSError:
            continue
        sent += 1
    return sent


def short_variables() -> bytes:
    """Return a packet with as many short variables as fit, and half of its body."""
    variables = [(b"CONTENT_LENGTH", b"%d" % MAX_BODY_BYTES)]
    variables += [(number.to_bytes(2, "big"), b"") for number in range((MAX_VARIABLES_BYTES - 32) // 6)]
    return packet(variables, b"x" * (MAX_BODY_BYTES // 2))


def half_body() -> bytes:
    """Return a packet with few variables and half of its body."""
    return packet([(b"CONTENT_LENGTH", b"%d" % MAX_BODY_BYTES)], b"x" * (MAX_BODY_BYTES // 2))


def half_frame() -> bytes:
    """Return the beginning of the longest RESP frame, without the end of its body."""
    words = (b"EXEC", b"9" * 20, b"c" * 128, b"f" * 1024, b"b" * 2048)
    return frame(*words)[:-1024]


def tags_with_gaps() -> bytes:
    """Return health checks under every other number."""
    return b"".join(frame(b"ALIVE", b"%d" % tag) for tag in range(10**19, 10**19 + 1_000, 2))


@dataclass(slots=True, frozen=True)
class Scenario:
    """One kind of bad client."""

    attack: Callable[[int, float], int]  # takes the port and the end; returns how much it did
    over_uwsgi: bool = False
    seconds: float = 5.0
    memory_mb: int = 32
    max_connections: int = 24
    max_response: int = 4096


TAGS = itertools.count(1)
STALLED_UWSGI: dict[str, Any] = {
    "over_uwsgi": True,
    "seconds": ROUNDS * STALL_S,
    "memory_mb": 192,
    "max_connections": 256,
    "max_response": 262144,
}
SCENARIOS: dict[str, Scenario] = {
    "alive": Scenario(lambda port, until: pipeline(port, until, (frame(b"ALIVE", b"%d" % t) for t in TAGS))),
    "alive-gaps": Scenario(
        lambda port, until: pipeline(port, until, (frame(b"ALIVE", b"%d" % (2 * t)) for t in TAGS))
    ),
    "alive-unread": Scenario(
        lambda port, until: pipeline(port, until, (frame(b"ALIVE", b"%d" % t) for t in TAGS), False)
    ),
    "forget": Scenario(
        lambda port, until: pipeline(
            port, until, itertools.chain([frame(b"ALIVE", b"1")], itertools.repeat(frame(b"FORGET", b"1")))
        )
    ),
    "exec": Scenario(lambda port, until: pipeline(port, until, (exec_frame(t) for t in TAGS))),
    "unknown-class": Scenario(
        lambda port, until: pipeline(port, until, (exec_frame(t, b"c%d" % t) for t in TAGS))
    ),
    "new-callers": Scenario(
        lambda port, until: in_batches(port, until, (exec_frame(t, caller=t) for t in TAGS)), seconds=15.0
    ),
    "unsound-uwsgi": Scenario(unsound_packets, over_uwsgi=True, memory_mb=64),
    "resp-half-frame": Scenario(
        lambda port, until: stall(port, RESP_CONNECTIONS, half_frame(), until), seconds=ROUNDS * STALL_S
    ),
    "resp-gaps-half-frame": Scenario(
        lambda port, until: stall(port, RESP_CONNECTIONS, tags_with_gaps() + half_frame(), until),
        seconds=ROUNDS * STALL_S,
    ),
    "resp-trickle": Scenario(
        lambda port, until: trickle(port, RESP_CONNECTIONS, half_frame(), until), seconds=ROUNDS * STALL_S
    ),
    "uwsgi-short-variables": Scenario(
        lambda port, until: stall(port, UWSGI_CONNECTIONS, short_variables(), until), **STALLED_UWSGI
    ),
    "uwsgi-half-body": Scenario(
        lambda port, until: stall(port, UWSGI_CONNECTIONS, half_body(), until), **STALLED_UWSGI
    ),
    "uwsgi-trickle": Scenario(
        lambda port, until: trickle(port, UWSGI_CONNECTIONS, half_body(), until), **STALLED_UWSGI
    ),
    "uwsgi-short-variables-32": Scenario(
        lambda port, until: stall(port, UWSGI_CONNECTIONS, short_variables(), until),
        over_uwsgi=True,
        seconds=ROUNDS * STALL_S,
        max_connections=200,
    ),
}


class UwsgiServer(asyncio.Protocol):
    """Answers each connection's packet, which is small enough to arrive at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for the answer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, _data: bytes) -> None:
        """Answer and close."""
        self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        self._transport.close()


@dataclass(slots=True)
class Observation:
    """What was measured beside a bad client."""

    latencies_ms: list[float] = field(default_factory=list)
    unanswered: int = 0
    peak_mb: float = 0.0
    gateway_answers: Counter[str] = field(default_factory=Counter)  # by status, or `none`


async def probe(port: int, observed: Observation) -> None:
    """Send health checks on one connection, and open another once the node announces to close it."""
    reader, writer = await asyncio.open_connection(HOST, port)
    for tag in itertools.count(1):
        sent_at = time.monotonic()
        writer.write(frame(b"ALIVE", b"%d" % tag))
        try:
            async with asyncio.timeout(10.0):
                answer = await reader.readuntil(b"healthy\r\n")
                await reader.readuntil(b"\r\n$0\r\n\r\n")
            observed.latencies_ms.append((time.monotonic() - sent_at) * 1000)
            is_closing = b"closing" in answer
        except (TimeoutError, OSError, EOFError):
            observed.unanswered += 1
            is_closing = True
        if is_closing:
            writer.close()
            reader, writer = await asyncio.open_connection(HOST, port)
        await asyncio.sleep(PROBE_INTERVAL_S)


async def probe_gateway(port: int, observed: Observation) -> None:
    """Send sound uwsgi packets, each on its own connection and in two halves."""
    message = packet([(b"HTTP_X_CLASS", b"temp-history"), (b"CONTENT_LENGTH", b"100")], b"x" * 100)
    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(_send_in_halves(port, message, observed))
            await asyncio.sleep(GATEWAY_INTERVAL_S)


async def _send_in_halves(port: int, message: bytes, observed: Observation) -> None:
    try:
        async with asyncio.timeout(10.0):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(message[: len(message) // 2])
            await asyncio.sleep(GATEWAY_PAUSE_S)
            writer.write(message[len(message) // 2 :])
            answer = await reader.readline()
            writer.close()
    except (TimeoutError, OSError):
        answer = b""
    words = answer.split()
    observed.gateway_answers[words[1].decode() if len(words) > 1 else "none"] += 1


async def watch_memory(node: NodeProcess, observed: Observation) -> None:
    """Record the largest anonymous memory of a node."""
    while True:
        observed.peak_mb = max(observed.peak_mb, node.anonymous_mb)
        await asyncio.sleep(MEMORY_INTERVAL_S)


async def until_healthy(port: int) -> None:
    """Wait until the node answers health checks with `healthy`."""
    deadline = time.monotonic() + START_LIMIT_S
    while time.monotonic() < deadline:
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(frame(b"ALIVE", b"1"))
            answer = await asyncio.wait_for(reader.read(RECEIVE_BYTES), 1.0)
            writer.close()
            if b"healthy" in answer:
                return
        except (OSError, TimeoutError):
            pass
        await asyncio.sleep(0.05)
    raise TimeoutError


def percentile(values: list[float], share: float) -> float:
    """Return a percentile in the order of the values; 0 without values."""
    return round(sorted(values)[min(len(values) - 1, int(share * len(values)))], 1) if values else 0.0


async def play(checkout: Path, name: str) -> dict[str, Any]:
    """Play one scenario and return its report."""
    scenario, observed = SCENARIOS[name], Observation()
    loop = asyncio.get_running_loop()
    kernel = await loop.create_server(lambda: Kernel(0, Counter()), HOST, 0)
    upstream = await loop.create_server(UwsgiServer, HOST, 0)
    port, uwsgi_port = free_port(), free_port()
    config: dict[str, Any] = json.loads((ROOT / "deploy" / "node.json").read_text("utf-8"))
    config.pop("mgmt")
    config |= {"listen": f"{HOST}:{port}", "kernel": f"{HOST}:{kernel.sockets[0].getsockname()[1]}"}
    config["limits"]["memory_mb"] = scenario.memory_mb
    operator = UWSGI_SECTION.format(
        host=HOST,
        port=uwsgi_port,
        upstream_port=upstream.sockets[0].getsockname()[1],
        max_connections=scenario.max_connections,
        max_response=scenario.max_response,
    )
    async with started_node(checkout, config, operator if scenario.over_uwsgi else "") as node:
        await until_healthy(port)
        await asyncio.sleep(CALM_S)
        before_mb = node.anonymous_mb
        watches = [
            asyncio.create_task(probe(port, observed)),
            asyncio.create_task(watch_memory(node, observed)),
        ]
        if scenario.over_uwsgi:
            watches.append(asyncio.create_task(probe_gateway(uwsgi_port, observed)))
        attacked = uwsgi_port if scenario.over_uwsgi else port
        attack = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "benchmarks.client_floods", "--attack", str(attacked), name),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        done, _ = await attack.communicate()
        for watch in watches:
            watch.cancel()
        log_bytes, has_ended = node.log.stat().st_size, node.has_ended
    kernel.close()
    upstream.close()
    return {
        "scenario": name,
        "memory_limit_mb": scenario.memory_mb,
        "anonymous_mb_before": before_mb,
        "anonymous_mb_peak": observed.peak_mb,
        "probes": len(observed.latencies_ms),
        "probes_unanswered": observed.unanswered,
        "probe_p50_ms": percentile(observed.latencies_ms, 0.5),
        "probe_p99_ms": percentile(observed.latencies_ms, 0.99),
        "probe_max_ms": percentile(observed.latencies_ms, 1.0),
        "gateway_answers": dict(observed.gateway_answers),
        "attack": int(done or 0),
        "log_bytes": log_bytes,
        "node_ended": has_ended,
    }


def holds(report: dict[str, Any]) -> bool:
    """Whether the node served other clients in time, within its memory limit."""
    is_in_time = report["probe_p99_ms"] <= TARGET_P99_MS and not report["probes_unanswered"]
    is_within_memory = report["anonymous_mb_peak"] <= report["memory_limit_mb"]
    return is_in_time and is_within_memory and not report["node_ended"]


def main() -> int:
    """Play the named scenarios, or all."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--checkout", type=Path, default=ROOT, help="the checkout whose node is started")
    parser.add_argument("--attack", type=int, help="be the bad client of the scenario at this port")
    parser.add_argument("scenarios", nargs="*", choices=[[], *SCENARIOS], help="default: all")
    options = parser.parse_args()
    if options.attack:
        scenario = SCENARIOS[options.scenarios[0]]
        print(scenario.attack(options.attack, time.monotonic() + scenario.seconds))
        return 0
    all_hold = True
    for name in options.scenarios or SCENARIOS:
        report = asyncio.run(play(options.checkout, name))
        report["holds"] = holds(report)
        all_hold = all_hold and report["holds"]
        print(json.dumps(report), flush=True)
    return 0 if all_hold else 1


if __name__ == "__main__":
    raise SystemExit(main())
