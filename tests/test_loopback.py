"""A complete node on loopback sockets with fake servers: it loses no request and repeats none that may have run."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest
import uvloop

from marlstep.components.admin import AdminComponent
from marlstep.components.uwsgi import UwsgiComponent
from marlstep.config import check
from marlstep.frontends.resp_wire import write_frame
from marlstep.frontends.uwsgi_wire import write_packet
from marlstep.net.eventloop import LoopWaker
from marlstep.node import Node
from marlstep.timer_queue import TimerQueue
from marlstep.units import SECOND, ZERO, instant_us
from marlstep.upstreams.errors import ConnectError
from tests.support.fake_servers import FakeDatabase, FakeKernel, FakeUwsgiServer
from tests.support.node import raw_config

VARS = {"class": "X_CLASS", "id": "X_ID"}


class ShiftedWaker(LoopWaker):
    """The event loop's clock, which a test can advance by a shift."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.shift, system = ZERO, self.now
        self.now = lambda: system() + self.shift


class LoopbackNode:
    def __init__(self, cut_at: tuple[int, ...] = (), **operator: Any) -> None:
        self.operator = operator
        self.kernel, self.database, self.uwsgi = FakeKernel(cut_at), FakeDatabase(), FakeUwsgiServer()

    async def __aenter__(self) -> LoopbackNode:
        for server in (self.kernel, self.database, self.uwsgi):
            await server.start()
        raw = raw_config(kernel=self.kernel.address, db=self.database.address)
        uwsgi_config = {
            "listen": "127.0.0.1:0",
            "upstream": self.uwsgi.address,
            "vars": VARS,
            "max_response": 4096,
        }
        self.waker = ShiftedWaker(asyncio.get_running_loop())
        self.timeline = TimerQueue(self.waker)
        self.node = Node(check(raw, {"uwsgi": uwsgi_config, **self.operator}), self.timeline)
        await self.node.open()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.node.resp.stop_accepting()
        assert isinstance(self.node.components["uwsgi"], UwsgiComponent)
        self.node.components["uwsgi"].frontend.stop_accepting()
        await self.node.close()
        for server in (self.kernel, self.database, self.uwsgi):
            server.stop()

    def advance(self, duration: timedelta) -> None:
        self.waker.shift += duration
        self.timeline.run_due()

    async def over_uwsgi(self, request_class: str, id: str, path: str = "/") -> bytes:
        assert isinstance(self.node.components["uwsgi"], UwsgiComponent)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.node.components["uwsgi"].frontend.port
        )
        writer.write(write_packet({"X_CLASS": request_class, "X_ID": id, "PATH_INFO": path}))
        response = await reader.read()
        writer.close()
        return response

    async def over_resp(self, request_class: str, number: int, body: bytes = b"body") -> bytes:
        return await over_resp(self.node, request_class, number, body)


async def over_resp(node: Node, request_class: str, number: int, body: bytes = b"body") -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", node.resp.port)
    at = instant_us(node.timeline.now()) // 1000
    writer.write(
        write_frame(b"EXEC", b"1", request_class.encode(), b"id=%016x,at=%d,kb=1" % (number, at), body)
    )
    response = b""
    while not response.startswith(b"*4\r\n") or response.count(b"\r\n") < 9:
        data = await reader.read(4096)
        if not data:
            break
        response += data
    writer.close()
    return response


def run_test(
    test: Callable[[LoopbackNode], Awaitable[Any]], cut_at: tuple[int, ...] = (), **operator: Any
) -> None:
    async def run() -> None:
        async with asyncio.timeout(20), LoopbackNode(cut_at, **operator) as harness:
            await test(harness)

    uvloop.run(run())


def test_no_request_is_lost_on_either_frontend() -> None:
    request_classes = ("temp-history", "schedule-save", "setpoint-cmd")

    async def run(harness: LoopbackNode) -> None:
        responses = await asyncio.gather(
            *(harness.over_uwsgi(request_classes[number % 3], f"u{number}") for number in range(30)),
            *(harness.over_resp(request_classes[number % 3], number) for number in range(1, 31)),
        )
        without_result = [
            [response for response in frontend_responses if b"done" not in response]
            for frontend_responses in (responses[:30], responses[30:])
        ]
        assert without_result == [[], []]
        assert set(harness.uwsgi.runs.values()) | set(harness.kernel.runs.values()) == {1}
        assert harness.node.core.in_flight == 0

    run_test(run)


def test_a_broken_kernel_link_loses_no_request_and_runs_none_twice() -> None:
    # Guards against commands lost with a link, notices applied twice, and a new link that resumes from notice 0.
    async def run(harness: LoopbackNode) -> None:
        for number in range(1, 7):
            response = await harness.over_resp("setpoint-cmd", number, b"call" if number % 2 else b"body")
            assert response.endswith(b"$4\r\nrows\r\n" if number % 2 else b"$4\r\ndone\r\n")
        assert set(harness.kernel.runs.values()) == {1} and set(harness.database.runs.values()) == {1}
        assert len(harness.kernel.opened) == 4 and harness.kernel.opened[-1] > 0

    run_test(run, cut_at=(1, 2, 4))


@pytest.mark.parametrize(
    ("path", "status"),
    [
        ("/", b"200"),
        ("/unsized", b"200"),
        ("/die", b"502"),
        ("/half", b"502"),
        ("/endless", b"502"),
        ("/garbage", b"502"),
    ],
)
def test_a_setpoint_that_reached_the_upstream_is_never_sent_again(path: str, status: bytes) -> None:
    async def run(harness: LoopbackNode) -> None:
        responses = [await harness.over_uwsgi("setpoint-cmd", "b7", path) for _ in range(2)]
        assert [response.split(b" ", 2)[1] for response in responses] == [status, b"502"]
        assert harness.uwsgi.runs == {"b7": 1}

    run_test(run)


def test_a_refused_upstream_connection_gives_503_and_allows_a_retry() -> None:
    async def run(harness: LoopbackNode) -> None:
        harness.uwsgi.stop()
        for _ in range(2):
            response = await harness.over_uwsgi("setpoint-cmd", "b7")
            assert response.startswith(b"HTTP/1.1 503 ") and b"Retry-After: 1\r\n" in response

    run_test(run)


def test_a_connect_error_after_sending_has_begun_allows_no_retry() -> None:
    # Guards against a late connect error that is taken as proof that nothing was sent, so that a setpoint is retried.
    async def run(harness: LoopbackNode) -> None:
        response_task = asyncio.ensure_future(harness.over_uwsgi("setpoint-cmd", "b7", "/hang"))
        await harness.uwsgi.reached.wait()
        assert isinstance(harness.node.components["uwsgi"], UwsgiComponent)
        [upstream_request] = harness.node.components["uwsgi"].upstream._requests.values()
        assert upstream_request.attempt is not None
        upstream_request.attempt.connect_failed(ConnectError(ConnectionResetError()))
        assert (await response_task).startswith(b"HTTP/1.1 502 ")
        assert (await harness.over_uwsgi("setpoint-cmd", "b7")).startswith(b"HTTP/1.1 502 ")
        assert harness.uwsgi.runs == {"b7": 1}

    run_test(run)


def test_a_deadline_during_a_run_gives_504_and_ends_the_upstream_request() -> None:
    async def run(harness: LoopbackNode) -> None:
        response_task = asyncio.ensure_future(harness.over_uwsgi("setpoint-cmd", "b7", "/hang"))
        await harness.uwsgi.reached.wait()
        harness.advance(1.8 * SECOND)
        assert (await response_task).startswith(b"HTTP/1.1 504 ")
        while harness.node.core.in_flight:
            await asyncio.sleep(0)

    run_test(run)


def test_a_status_line_counts_since_the_last_one(caplog: pytest.LogCaptureFixture) -> None:
    # Guards against a node whose own counts can't be compared with those of its peers.
    async def run(harness: LoopbackNode) -> None:
        for number in (1, 2):
            await harness.over_resp("schedule-save", number)
            harness.advance(10 * SECOND)

    with caplog.at_level("INFO"):
        run_test(run)
    assert caplog.text.count("status: done=1 read=1 runs=1 in_flight=0 advertised=") == 2


def test_a_drain_ends_the_node_after_all_requests_have_responses() -> None:
    async def run(harness: LoopbackNode) -> None:
        response_task = asyncio.ensure_future(harness.over_uwsgi("temp-history", "h1", "/hang"))
        await harness.uwsgi.reached.wait()
        harness.node.drain()
        assert b"\r\ndone\r\n" in await harness.over_resp("schedule-save", 1)
        harness.advance(2.51 * SECOND)
        harness.advance(0.6 * SECOND)
        assert (await response_task).startswith(b"HTTP/1.1 504 ")
        await harness.node.ended.wait()
        with pytest.raises(OSError):
            await harness.over_resp("schedule-save", 2)

    run_test(run)


def test_the_admin_counters_include_requests_of_both_frontends(tmp_path: Path) -> None:
    path = tmp_path / "token"
    path.write_text("0123456789abcdef")

    async def run(harness: LoopbackNode) -> None:
        await harness.over_uwsgi("setpoint-cmd", "b7")
        await harness.over_resp("setpoint-cmd", 1)
        assert isinstance(harness.node.components["admin"], AdminComponent)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.node.components["admin"].service.port
        )
        writer.write(b"GET /v1/counters HTTP/1.1\r\nAuthorization: Bearer 0123456789abcdef\r\n\r\n")
        response = await reader.read()
        writer.close()
        assert json.loads(response.partition(b"\r\n\r\n")[2]) == {"done": 2, "read": 2, "runs": 2}

    run_test(run, admin={"listen": "127.0.0.1:0", "token_file": str(path)})
