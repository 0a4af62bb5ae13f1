"""Health checks of ejected servers by one node for all nodes, with real processes."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections import Counter
from pathlib import Path

from marlstep.fault_injection.network_links import Ports
from marlstep.fault_injection.process_cluster import NodeProcess, ProcessCluster, Settings
from marlstep.frontends.uwsgi_wire import PacketReader, write_packet, write_response
from marlstep.net.ring import Ring
from tests.cluster.support import CONFIG, NODES, make_plan


class PoolServer:
    """A server of a pool that can be stopped and reopened. Counts requests by the node that forwarded them."""

    def __init__(self, port: int) -> None:
        self.port, self.requests_by_node = port, Counter[str]()
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._handle, "127.0.0.1", self.port)

    def close(self) -> None:
        assert self.server is not None
        self.server.close()

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        packets, ring = PacketReader(1 << 16), Ring(1 << 16)
        with contextlib.suppress(OSError):
            while (packet := packets.next(ring)) is None:
                if not (data := await reader.read(4096)):
                    break
                ring.put(data)
            if packet is not None:
                self.requests_by_node[packet.variables["HTTP_X_NODE"]] += 1
                writer.write(write_response(200, {}, "done"))
                await writer.drain()
        writer.close()


async def send_requests(rig: ProcessCluster, seconds: float) -> None:
    """Send requests to every node from clients that ignore the responses.

    Several clients per node are needed: the choice by expected completion tries a server that failed once again only
    while the other servers are busy.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds

    async def client(node: NodeProcess) -> None:
        while loop.time() < end:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", node.uwsgi)
                variables = {"HTTP_X_CLASS": "temp-history", "HTTP_X_NODE": node.name, "CONTENT_LENGTH": "0"}
                writer.write(write_packet(variables))
                await reader.read(1000)
                writer.close()
            await asyncio.sleep(0.02)

    await asyncio.gather(*(client(node) for node in rig.nodes.values() for _ in range(6)))


async def is_ejected_everywhere(rig: ProcessCluster) -> bool:
    """Return whether each node has failed to reach a server often enough to eject it."""
    failed: list[int] = [
        (await node.call("/v1/parts"))["uwsgi"]["pools"]["more"]["not reached"] for node in rig.nodes.values()
    ]
    return min(failed) >= 5


def test_only_one_node_checks_an_ejected_server_and_it_notifies_all_nodes_of_the_recovery(
    tmp_path: Path,
) -> None:
    ports = Ports()
    steady, other, ejected = (PoolServer(ports.take()) for _ in range(3))
    pool = tuple(f"127.0.0.1:{server.port}" for server in (steady, other, ejected))
    settings = Settings(json.loads(CONFIG.read_text("utf-8")), tasks={}, pool=pool)

    async def drill() -> list[int]:
        await steady.open()
        await other.open()
        async with ProcessCluster(make_plan(22, 0), settings, tmp_path) as rig:
            for _ in range(10):  # the third server is not open, so each node ejects it
                await send_requests(rig, 2.0)
                if await is_ejected_everywhere(rig):
                    break
            await send_requests(rig, 2.0)
            statuses = (await rig.statuses()).values()
            checks = [status["counts"].get("knocks", 0) for status in statuses]
            await ejected.open()
            for _ in range(15):  # the choice of two sends few requests to a server that seems slower
                await send_requests(rig, 2.0)
                if set(ejected.requests_by_node) == set(NODES):
                    break
        return sorted(checks)

    checks = asyncio.run(drill())
    assert checks[-1] >= 2 and not any(checks[:-1])  # only one node checks
    assert set(ejected.requests_by_node) == set(NODES)  # all nodes send requests to it again
    ports.close()
