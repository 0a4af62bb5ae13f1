"""Connections between nodes whose peer sends nothing or does not read."""

from __future__ import annotations

import asyncio
import socket

import uvloop

from marlstep.cluster import wire
from marlstep.cluster.transport import ClusterTransport
from marlstep.fault_injection.network_links import Ports
from marlstep.net.eventloop import LoopWaker
from marlstep.timer_queue import TimerQueue


def test_connections_that_send_nothing_or_do_not_read_are_closed() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        timeline = TimerQueue(LoopWaker(loop))
        framing = wire.stream_framing(b"k" * 32)
        ports = Ports()
        port, deaf_port = ports.take(), ports.take()
        transport = ClusterTransport({"deaf": ("127.0.0.1", deaf_port)}, framing, timeline, lambda body: None)
        await transport.listen(("127.0.0.1", port))
        with (
            socket.create_server(("127.0.0.1", deaf_port)),
            socket.create_connection(("127.0.0.1", port)) as silent,
        ):
            silent.setblocking(False)
            for _ in range(600):
                transport.send("deaf", b"x" * 50_000)
                await asyncio.sleep(0.005)
            assert transport.counts["dropped"] and transport.counts["cut"]
            assert transport.counts["silent"] == 1
        await transport.close()
        ports.close()

    uvloop.run(scenario())
