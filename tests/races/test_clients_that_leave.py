"""What becomes of the requests of a client that closes or resets its connection, and of their repeats.

The tests use a whole node on loopback sockets. docs/crossings.md lists the expected results.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from pathlib import Path
from typing import Any

import pytest

from tests.support.alternate_settings import alternate_settings
from tests.support.node_on_sockets import NodeHarness, RespClient, run_with_node, until

REQUESTS = 30
TURNS = 60  # iterations of the event loop; more than the node needs to read all requests
# The classes of the alternate settings by their effect.
KEYED, AT_MOST_ONCE, IDEMPOTENT = "book", "open", "list"


async def written_unread(harness: NodeHarness, request_class: str, cut_bytes: int = 0) -> socket.socket:
    """Return a connection on which requests were written that the node has not read."""
    connection = harness.connect_unread()
    client = await harness.connect()
    keys: list[dict[str, Any]] = [
        {"once": f"k{tag}"} if request_class == KEYED else {} for tag in range(REQUESTS)
    ]
    frames = [client.frame(tag, request_class, id=tag, **key) for tag, key in enumerate(keys, 1)]
    client.writer.close()
    data = b"".join(frames)
    connection.sendall(data[: len(data) - cut_bytes])
    return connection


def reset(connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


async def let_the_node_read(harness: NodeHarness) -> None:
    for _ in range(TURNS):
        await asyncio.sleep(0)
    await harness.advance(100)


def started_ids(harness: NodeHarness) -> list[str]:
    return [id for command, id in harness.kernel.commands if command == "SCHED"]


@pytest.mark.parametrize("cut_bytes", [0, 20], ids=["whole frames", "in mid-frame"])
@pytest.mark.parametrize("request_class", [IDEMPOTENT, AT_MOST_ONCE, KEYED])
def test_requests_that_are_unread_when_their_client_resets_are_not_started(
    request_class: str, cut_bytes: int, tmp_path: Path
) -> None:
    # Guards against work that is started for a client that has left, and may have its work done elsewhere.
    async def run(harness: NodeHarness) -> None:
        reset(await written_unread(harness, request_class, cut_bytes))
        await let_the_node_read(harness)
        assert started_ids(harness) == [] and harness.core.in_flight == 0
        assert len(harness.node.resp.connections) == 0

    run_with_node(tmp_path, run)


@pytest.mark.parametrize("request_class", [IDEMPOTENT, AT_MOST_ONCE, KEYED])
def test_requests_on_a_half_closed_stream_are_answered(request_class: str, tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        connection = await written_unread(harness, request_class)
        connection.shutdown(socket.SHUT_WR)
        client = await harness.adopt(connection)
        await harness.requests_read(REQUESTS)
        ended = set[str]()
        while harness.core.unanswered:
            for id in started_ids(harness):
                if id not in ended:
                    ended.add(id)
                    harness.kernel.end_run(int(id, 16))
            await harness.advance(20)
        words = [await client.status_word(tag) for tag in range(1, REQUESTS + 1)]
        assert words.count("done") == len(ended) > 3 and set(words) <= {"done", "later", "error"}

    run_with_node(tmp_path, run)


class Play:
    """One piece of work whose client resets its connection, and that comes again under its id and its key."""

    def __init__(self, harness: NodeHarness, request_class: str, has_key: bool) -> None:
        self.harness, self.request_class = harness, request_class
        self.fields: dict[str, Any] = {"once": "k"} if has_key else {}

    async def send(self) -> RespClient:
        """Send the work on a new connection."""
        client = await self.harness.connect()
        client.send_request(1, self.request_class, id=WORK_ID, **self.fields)
        return client

    async def leave(self, client: RespClient) -> None:
        client.reset()
        await until(lambda: len(self.harness.node.resp.connections) == 0)

    async def reach(self, stage: str, client: RespClient) -> None:
        """Bring the run to a stage, and let its client leave then."""
        kernel = self.harness.kernel
        await kernel.command_read("SCHED", WORK_ID)
        if stage == "at a call":
            kernel.request_call(WORK_ID)
            await self.harness.database.call_read(WORK_ID)
        await self.leave(client)
        if stage == "ended":
            kernel.end_run(WORK_ID)
            await until(lambda: self.harness.core.in_flight == 0)

    async def happens(self, event: str) -> None:
        match event:
            case "a reload":
                await self.harness.reload(
                    settings=alternate_settings(ramKb=6_500.0),
                )
            case "the deadline":
                await self.harness.advance(1_940)  # within the window, which is 2 s for keyed work
            case "a drain":
                await self.harness.send_sigterm()


WORK_ID = 0x77


@pytest.mark.parametrize("event", ["nothing", "a reload", "the deadline", "a drain"])
@pytest.mark.parametrize("stage", ["running", "at a call", "ended"])
@pytest.mark.parametrize(
    ("request_class", "has_key"), [(KEYED, True), (AT_MOST_ONCE, True), (AT_MOST_ONCE, False)]
)
def test_work_that_comes_again_after_its_client_has_left_runs_once(
    request_class: str, has_key: bool, stage: str, event: str, tmp_path: Path
) -> None:
    # Guards against an effect that happens twice when a request is sent again under its id.
    async def run(harness: NodeHarness) -> None:
        play = Play(harness, request_class, has_key)
        await play.reach(stage, await play.send())
        await play.happens(event)
        if harness.node.resp.listening:
            again = await play.send()
            await let_the_node_read(harness)
            if stage == "running":
                harness.kernel.end_run(WORK_ID)
            await harness.advance(4_000)
            assert await again.status_word(1) in ("done", "error")
        assert started_ids(harness) == [f"{WORK_ID:016x}"]

    run_with_node(tmp_path, run)
