"""How connections share the event loop, on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import Counter

import pytest
import uvloop

from marlstep.admin.http import HttpConnection
from marlstep.cluster.incoming_connection import IncomingConnection
from marlstep.frontends.resp import RespConnection
from marlstep.frontends.uwsgi import UwsgiConnection
from marlstep.hot_restart.connection import PeerConnection
from marlstep.net.lines import LineStream
from marlstep.net.stream import MAX_READ_BYTES, RingStream

SENT_BYTES = 512 * 1024
KIB = 1024


class CountingStream(RingStream):
    """Consumes its input at once, and counts the bytes by iteration of the event loop."""

    def __init__(self, ring_size: int, iterations: IterationCounter) -> None:
        super().__init__(ring_size)
        self.bytes_in_iteration: Counter[int] = Counter()
        self._iterations = iterations

    def data_received(self) -> None:
        self.bytes_in_iteration[self._iterations.number] += self.inbox.used
        self.inbox.skip(self.inbox.used)

    def closed(self) -> None:
        pass


class IterationCounter:
    """Counts the iterations of the running event loop."""

    def __init__(self) -> None:
        self.number = 0
        self._count()

    def _count(self) -> None:
        self.number += 1
        asyncio.get_running_loop().call_soon(self._count)


@pytest.mark.parametrize("ring_size", [4 * KIB, 16 * KIB, 256 * KIB])
def test_a_peer_that_sends_without_a_pause_is_read_in_turn_with_others(ring_size: int) -> None:
    # Guards against other connections that wait while the loop reads the same one again and again.
    async def run() -> Counter[int]:
        stream = CountingStream(ring_size, IterationCounter())
        server = await asyncio.get_running_loop().create_server(lambda: stream, "127.0.0.1", 0)
        with socket.socket() as client:
            client.connect(server.sockets[0].getsockname())
            client.setblocking(False)
            unsent = SENT_BYTES
            while unsent or stream.bytes_in_iteration.total() < SENT_BYTES:
                with contextlib.suppress(BlockingIOError):
                    unsent -= client.send(bytes(unsent)) if unsent else 0
                await asyncio.sleep(0)
        server.close()
        return stream.bytes_in_iteration

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        read = runner.run(asyncio.wait_for(run(), 20))
    assert read.total() == SENT_BYTES
    assert max(read.values()) <= MAX_READ_BYTES


@pytest.mark.parametrize(
    "connection",
    [RespConnection, UwsgiConnection, HttpConnection, PeerConnection, IncomingConnection, LineStream],
)
def test_every_connection_reads_within_the_limit_of_its_base(connection: type[RingStream]) -> None:
    # Guards against a connection of its own kind, of clients, operators, processes or peers, that holds the loop.
    for method in ("get_buffer", "buffer_updated"):
        assert getattr(connection, method) is getattr(RingStream, method)
