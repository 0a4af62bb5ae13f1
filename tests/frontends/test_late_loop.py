"""Packets that have arrived whole when their read timeout is due, because the event loop is late; on real sockets."""

from __future__ import annotations

import asyncio
import socket

import uvloop

from marlstep.frontends.uwsgi import UwsgiConnection, UwsgiFrontend
from marlstep.frontends.uwsgi_wire import write_packet
from marlstep.net.stream import MAX_READ_BYTES
from marlstep.timer_queue import TimerQueue
from marlstep.units import SECOND
from tests.frontends.support import MAPPING, READ_VARIABLES
from tests.support.node import CoreDriver
from tests.support.node_on_sockets import until
from tests.test_loopback import ShiftedWaker

BODY = b"x" * 4 * MAX_READ_BYTES


def test_a_long_packet_that_has_arrived_is_read_before_its_read_timeout_acts() -> None:
    # Guards against a connection closed with more unread than it reads in one iteration of the loop.
    async def run() -> None:
        waker = ShiftedWaker(asyncio.get_running_loop())
        timeline, driver = TimerQueue(waker), CoreDriver()
        frontend = UwsgiFrontend(
            driver.core, timeline, driver.backend, 8, 2 * SECOND, MAPPING, body_limit=len(BODY)
        )
        await frontend.listen(("127.0.0.1", 0))
        packet = write_packet(READ_VARIABLES | {"CONTENT_LENGTH": str(len(BODY))}, BODY)
        with socket.create_connection(("127.0.0.1", frontend.port)) as client:
            client.sendall(packet[:10])
            await until(lambda: len(frontend.connections))
            [connection] = frontend.connections
            assert isinstance(connection, UwsgiConnection)
            reader = connection._packets
            await until(lambda: reader.inside_packet)
            client.sendall(packet[10:])
            waker.shift += 3 * SECOND
            timeline.run_due()
            await until(lambda: driver.core.counts["read"] or not len(frontend.connections))
        assert driver.core.counts["read"] == 1
        frontend.stop_accepting()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(run(), 20))
