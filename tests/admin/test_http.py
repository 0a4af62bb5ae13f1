"""Requests to the HTTP services that cross the end of the process: what was accepted is answered."""

from __future__ import annotations

import asyncio
import socket

import uvloop

from marlstep.admin.http import HttpRequest, HttpResponse, HttpService
from marlstep.net.eventloop import LoopWaker
from marlstep.timer_queue import TimerQueue
from marlstep.units import MILLISECOND, SECOND
from tests.support.node import CoreDriver

REQUEST = b"GET /any HTTP/1.1\r\n\r\n"
CLIENTS = 5
TEST_TIMEOUT_S = 10


class EchoService(HttpService):
    def serve(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, {"path": request.path})


async def open_service() -> EchoService:
    timeline = TimerQueue(LoopWaker(asyncio.get_running_loop()))
    service = EchoService(CoreDriver(cores=1).core, timeline, 16, 10 * SECOND)
    await service.listen(("127.0.0.1", 0))
    return service


def connect(service: EchoService) -> socket.socket:
    """Connect without running the service's event loop."""
    return socket.create_connection(("127.0.0.1", service.port), timeout=TEST_TIMEOUT_S)


async def read_to_end(client: socket.socket) -> bytes:
    client.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=client)
    data = await asyncio.wait_for(reader.read(), TEST_TIMEOUT_S)
    writer.close()
    return data


def test_requests_that_were_not_read_when_the_service_finishes_are_answered() -> None:
    # Guards against connections that are closed unread, in the backlog or accepted, when the process exits.
    async def run() -> list[bytes]:
        service = await open_service()
        accepted = connect(service)
        while not len(service.connections):
            await asyncio.sleep(0)
        clients = [accepted, *(connect(service) for _ in range(CLIENTS))]
        for client in clients:
            client.sendall(REQUEST)
        await service.finish(5 * SECOND)
        assert not service.accepting and not len(service.connections)
        return [await read_to_end(client) for client in clients]

    for response in uvloop.run(run()):
        assert response.startswith(b"HTTP/1.1 200 OK\r\n") and response.endswith(b'{"path": "/any"}\n')


def test_a_request_that_arrives_while_the_service_finishes_is_answered() -> None:
    async def run() -> bytes:
        service = await open_service()
        client = connect(service)
        client.sendall(REQUEST[:7])
        finishing = asyncio.create_task(service.finish(5 * SECOND))
        while not service.draining or not len(service.connections):
            await asyncio.sleep(0)
        client.sendall(REQUEST[7:])
        await finishing
        return await read_to_end(client)

    assert uvloop.run(run()).startswith(b"HTTP/1.1 200 OK\r\n")


def test_a_client_that_sends_nothing_does_not_hold_the_service_beyond_its_timeout() -> None:
    async def run() -> bytes:
        service = await open_service()
        client = connect(service)
        await asyncio.wait_for(service.finish(30 * MILLISECOND), TEST_TIMEOUT_S)
        return await read_to_end(client)

    assert uvloop.run(run()) == b""
