"""Connections between nodes whose other end sends nothing or does not read."""

from __future__ import annotations

import asyncio
import socket

import uvloop

from marlstep.cluster import wire
from marlstep.cluster.transport import ClusterTransport
from marlstep.drill.links import Ports
from marlstep.net.eventloop import LoopWaker
from marlstep.timer_queue import TimerQueue


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
