"""Requests of clients that leave, over uwsgi and at the administration port, and work that comes again after it."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest
import uvloop

from marlstep.admin.http import HttpRequest, HttpResponse, HttpService
from marlstep.frontends.base import Listener
from marlstep.frontends.uwsgi import UwsgiFrontend
from marlstep.frontends.uwsgi_wire import write_packet
from marlstep.net.eventloop import LoopWaker
from marlstep.timer_queue import TimerQueue
from marlstep.units import SECOND
from tests.core.test_repeats import KEYED
from tests.frontends.support import MAPPING, READ_VARIABLES, UwsgiHarness
from tests.support.node import SETTINGS, CoreDriver, FakeTransport

TURNS = 60  # iterations of the event loop; more than a listener needs to read what is there


class CountingService(HttpService):
    """Counts the orders that it is given."""

    orders = 0

    def serve(self, request: HttpRequest) -> HttpResponse:
        self.orders += 1
        return HttpResponse(200, {"path": request.path})


async def write_and_leave(
    listener: Listener, data: bytes, leave: Callable[[socket.socket], None]
) -> socket.socket:
    """Write data that the listener has not read when the client leaves, and let it read then."""
    await listener.listen(("127.0.0.1", 0))
    client = socket.create_connection(("127.0.0.1", listener.port))
    client.sendall(data)
    leave(client)
    for _ in range(TURNS):
        await asyncio.sleep(0)
    return client


def reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def end_stream(client: socket.socket) -> None:
    client.shutdown(socket.SHUT_WR)


def run(test: Callable[[TimerQueue, CoreDriver], Awaitable[None]]) -> None:
    async def run_test() -> None:
        await test(TimerQueue(LoopWaker(asyncio.get_running_loop())), CoreDriver())

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(run_test(), 20))


@pytest.mark.parametrize(("leave", "requests"), [(reset, 0), (end_stream, 1)])
def test_a_uwsgi_packet_that_is_unread_when_its_client_resets_is_not_submitted(
    leave: Callable[[socket.socket], None], requests: int
) -> None:
    # Guards against work that is started for a client that has left; one that has ended its stream may still read.
    async def test(timeline: TimerQueue, driver: CoreDriver) -> None:
        frontend = UwsgiFrontend(driver.core, timeline, driver.backend, 8, 2 * SECOND, MAPPING, 100)
        client = await write_and_leave(frontend, write_packet(READ_VARIABLES), leave)
        assert driver.core.counts["read"] == requests and len(frontend.connections) == requests
        client.close()
        frontend.stop_accepting()

    run(test)


@pytest.mark.parametrize(("leave", "orders"), [(reset, 0), (end_stream, 1)])
def test_an_operators_order_that_is_unread_when_its_client_resets_is_not_carried_out(
    leave: Callable[[socket.socket], None], orders: int
) -> None:
    async def test(timeline: TimerQueue, driver: CoreDriver) -> None:
        service = CountingService(driver.core, timeline, 8, SECOND)
        client = await write_and_leave(service, b"POST /v1/drain HTTP/1.1\r\nHost: a\r\n\r\n", leave)
        assert service.orders == orders
        client.close()
        service.stop_accepting()

    run(test)


def send_work(harness: UwsgiHarness, request_class: str, tenant: str) -> FakeTransport:
    return harness.send({"X_CLASS": request_class, "X_ID": "b7", "X_TENANT": tenant})


def start_count(harness: UwsgiHarness) -> int:
    return [command for command, _ in harness.node.backend.commands].count("start")


@pytest.mark.parametrize("has_ended", [False, True], ids=["running", "ended"])
@pytest.mark.parametrize("request_class", ["keyed", "setpoint"])
def test_work_over_uwsgi_that_comes_again_after_its_client_left_runs_once_for_each_tenant(
    request_class: str, has_ended: bool
) -> None:
    # Guards against an effect that happens twice, and against work of another tenant that is taken for a repeat.
    harness = UwsgiHarness(classes=[SETTINGS["classes"][0], KEYED["classes"][2], SETTINGS["classes"][2]])
    send_work(harness, request_class, "galerie").close()
    if has_ended:
        harness.end_run()
    send_work(harness, request_class, "galerie")
    assert start_count(harness) == 1
    send_work(harness, request_class, "musee")
    assert start_count(harness) == 2
