"""Memory of a node that keeps keys and results of keyed work, at several rates and result sizes.

    python -m benchmarks.kept_results                     # results of 0 and 4 KiB at 200 and 1,140 requests a second
    python -m benchmarks.kept_results --checkout PATH     # the node of another checkout, for comparison

Starts a node on loopback with a kernel that answers at once, sends keyed requests at a steady rate and repeats some of
them, and prints one JSON object for each combination: anonymous memory at the start and after each quarter, answers,
answers to repeats, and how many pieces of work ran twice. Exit code 1 if any did.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import re
import secrets
import time
from collections import Counter
from pathlib import Path
from typing import Any

from benchmarks.node_process import HOST, ROOT, Kernel, free_port, started_node

REQUEST_CLASS = "deposit"
WINDOW_US = 23_547_000  # the longest of the known deployments
KERNEL_MEMORY_KB = 10_000_000.0  # enough that the controller rejects nothing for lack of it
RATES_PER_S = (200, 1_140)
RESULT_SIZES = (0, 4_096)  # bytes; the platform's longest result
CONNECTIONS = 40
QUARTERS = 4
TICK_S = 0.01
REPEAT_EVERY = 10  # requests
REPEAT_DELAYS_S = (1.0, 5.0, 15.0)  # after the first attempt
START_LIMIT_S = 20.0
LAST_ANSWERS_S = 2.0


class FrontEnd(asyncio.Protocol):
    """A connection of a front end, which counts the words of the answers."""

    ANSWER = re.compile(rb"\*4\r\n\$\d+\r\n(\d+)\r\n\$\d+\r\n(\w+)\r\n\$\d+\r\n[^\r]*\r\n\$(\d+)\r\n")

    def __init__(self, answers: Counter[str], repeat_answers: Counter[str]) -> None:
        """Initialize the connection with the counters of all connections."""
        self._answers, self._repeat_answers = answers, repeat_answers
        self._repeats: set[int] = set()
        self._tag = 0
        self._input = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for requests."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def send(self, key: str, body: bytes, is_repeat: bool) -> None:
        """Send one attempt of the work with this key."""
        self._tag += 1
        if is_repeat:
            self._repeats.add(self._tag)
        now_ms = time.time_ns() // 1_000_000
        fields = f"id={secrets.token_hex(8)},at={now_ms},from=1,kb=1.0,rank=0.5,cost=1.0,once={key}"
        words = (b"EXEC", b"%d" % self._tag, REQUEST_CLASS.encode(), fields.encode(), body)
        frame = b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)
        if self._transport is not None:
            self._transport.write(b"*5\r\n" + frame)

    def data_received(self, data: bytes) -> None:
        """Count all complete answers."""
        self._input += data
        while (match := self.ANSWER.match(self._input)) is not None:
            end = match.end() + int(match[3]) + 2
            if len(self._input) < end:
                return
            counter = self._repeat_answers if int(match[1]) in self._repeats else self._answers
            counter[match[2].decode()] += 1
            self._input = self._input[end:]


def node_config(port: int, kernel_port: int, memory_mb: int) -> dict[str, Any]:
    """Return the configuration of a node with one keyed class."""
    config: dict[str, Any] = json.loads((ROOT / "deploy" / "node.json").read_text("utf-8"))
    config.pop("mgmt")
    config |= {"listen": f"{HOST}:{port}", "kernel": f"{HOST}:{kernel_port}"}
    config["limits"]["memory_mb"] = memory_mb
    settings = config["settings"]
    settings["classes"][2] |= {
        "name": REQUEST_CLASS,
        "semantics": "deduplicated",
        "repeatWindowUs": WINDOW_US,
        "hardLimitUs": 7_800_000,
    }
    settings["familyInfo"]["ramKb"] = KERNEL_MEMORY_KB
    return config


async def connect(port: int, answers: Counter[str], repeat_answers: Counter[str]) -> list[FrontEnd]:
    """Open the connections of the front ends, once the node accepts them."""
    loop, deadline = asyncio.get_running_loop(), time.monotonic() + START_LIMIT_S
    connections: list[FrontEnd] = []
    while len(connections) < CONNECTIONS:
        try:
            _, connection = await loop.create_connection(
                lambda: FrontEnd(answers, repeat_answers), HOST, port
            )
            connections.append(connection)
        except OSError:
            if time.monotonic() > deadline:
                raise
            await asyncio.sleep(0.05)
    return connections


async def play(
    checkout: Path, memory_mb: int, rate_per_s: int, result_size: int, seconds: float
) -> dict[str, Any]:
    """Play one combination and return its report."""
    starts: Counter[bytes] = Counter()
    answers: Counter[str] = Counter()
    repeat_answers: Counter[str] = Counter()
    loop = asyncio.get_running_loop()
    kernel = await loop.create_server(lambda: Kernel(result_size, starts), HOST, 0)
    port = free_port()
    config = node_config(port, kernel.sockets[0].getsockname()[1], memory_mb)
    try:
        async with started_node(checkout, config) as node:
            connections = await connect(port, answers, repeat_answers)
            await asyncio.sleep(1.0)
            memory = [node.anonymous_mb]
            for quarter in range(QUARTERS):
                await send_requests(connections, rate_per_s, seconds / QUARTERS, quarter)
                memory.append(node.anonymous_mb)
            await asyncio.sleep(LAST_ANSWERS_S)
    finally:
        kernel.close()
    return {
        "memory_mb": memory_mb,
        "rate_per_s": rate_per_s,
        "result_bytes": result_size,
        "anonymous_mb": memory,
        "answers": dict(answers),
        "answers_to_repeats": dict(repeat_answers),
        "ran_twice": sum(count > 1 for count in starts.values()),
    }


async def send_requests(connections: list[FrontEnd], rate_per_s: int, seconds: float, quarter: int) -> None:
    """Send requests at a steady rate, and repeat some after each of `REPEAT_DELAYS_S`."""
    loop = asyncio.get_running_loop()
    start, sent = loop.time(), 0
    while loop.time() - start < seconds:
        due = int((loop.time() - start) * rate_per_s)
        for number in range(sent, due):
            key, connection = secrets.token_hex(16), connections[number % len(connections)]
            body = f"{quarter}/{number}".encode()
            connection.send(key, body, is_repeat=False)
            if number % REPEAT_EVERY == 0:
                delay_s = REPEAT_DELAYS_S[number // REPEAT_EVERY % len(REPEAT_DELAYS_S)]
                loop.call_later(delay_s, connection.send, key, body, True)
        sent = due
        await asyncio.sleep(TICK_S)


def main() -> int:
    """Play all combinations, one after another."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--checkout", type=Path, default=ROOT, help="the checkout whose node is started")
    parser.add_argument("--memory-mb", type=int, default=32)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--rates", type=int, nargs="+", default=RATES_PER_S)
    parser.add_argument("--sizes", type=int, nargs="+", default=RESULT_SIZES)
    options = parser.parse_args()
    ran_twice = 0
    for rate_per_s in options.rates:
        for size in options.sizes:
            report = asyncio.run(play(options.checkout, options.memory_mb, rate_per_s, size, options.seconds))
            ran_twice += report["ran_twice"]
            print(json.dumps(report), flush=True)
    return 1 if ran_twice else 0


if __name__ == "__main__":
    raise SystemExit(main())
