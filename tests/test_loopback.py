"""A whole node on loopback sockets between fake servers: no request is lost, and none that may have run is repeated."""

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


class Site:
    def __init__(self, cut_at: tuple[int, ...] = (), **operator: Any) -> None:
        self.operator = operator
        self.kernel, self.database, self.uwsgi = FakeKernel(cut_at), FakeDatabase(), FakeUwsgiServer()

    async def __aenter__(self) -> Site:
        for server in (self.kernel, self.database, self.uwsgi):
            await server.start()
        raw = raw_config(kernel=self.kernel.address, db=self.database.address)
        second = {"listen": "127.0.0.1:0", "upstream": self.uwsgi.address, "vars": VARS, "max_response": 4096}
        self.waker = ShiftedWaker(asyncio.get_running_loop())
        self.timeline = TimerQueue(self.waker)
        self.node = Node(check(raw, {"uwsgi": second, **self.operator}), self.timeline)
        await self.node.open()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.node.resp.stop_accepting()
        assert isinstance(self.node.components["uwsgi"], UwsgiComponent)
        self.node.components["uwsgi"].frontend.stop_accepting()
        await self.node.close()
        for server in (self.kernel, self.database, self.uwsgi):
            server.stop()

    def push(self, by: timedelta) -> None:
        self.waker.shift += by
        self.timeline.run_due()

    async def over_uwsgi(self, kind: str, id: str, path: str = "/") -> bytes:
        assert isinstance(self.node.components["uwsgi"], UwsgiComponent)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.node.components["uwsgi"].frontend.port
        )
        writer.write(write_packet({"X_CLASS": kind, "X_ID": id, "PATH_INFO": path}))
        answer = await reader.read()
        writer.close()
        return answer

    async def over_resp(self, kind: str, number: int, body: bytes = b"body") -> bytes:
        return await over_resp(self.node, kind, number, body)


async def over_resp(node: Node, kind: str, number: int, body: bytes = b"body") -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", node.resp.port)
    at = instant_us(node.timeline.now()) // 1000
    writer.write(write_frame(b"EXEC", b"1", kind.encode(), b"id=%016x,at=%d,kb=1" % (number, at), body))
    answer = b""
    while not answer.startswith(b"*4\r\n") or answer.count(b"\r\n") < 9:
        data = await reader.read(4096)
        if not data:
            break
        answer += data
    writer.close()
    return answer


def on(test: Callable[[Site], Awaitable[Any]], cut_at: tuple[int, ...] = (), **operator: Any) -> None:
    async def run() -> None:
        async with asyncio.timeout(20), Site(cut_at, **operator) as site:
            await test(site)

    uvloop.run(run())


def test_both_fronts_lose_the_same_requests_none() -> None:
    kinds = ("temp-history", "schedule-save", "setpoint-cmd")

    async def run(site: Site) -> None:
        answers = await asyncio.gather(
            *(site.over_uwsgi(kinds[number % 3], f"u{number}") for number in range(30)),
            *(site.over_resp(kinds[number % 3], number) for number in range(1, 31)),
        )
        lost = [[answer for answer in part if b"done" not in answer] for part in (answers[:30], answers[30:])]
        assert lost == [[], []]
        assert set(site.uwsgi.runs.values()) | set(site.kernel.runs.values()) == {1}
        assert site.node.core.in_flight == 0

    on(run)


def test_a_kernel_link_that_breaks_loses_nothing_and_runs_nothing_twice() -> None:
    # Guards against commands lost with a link, notices applied twice, and a new link that resumes from notice 0.
    async def run(site: Site) -> None:
        for number in range(1, 7):
            answer = await site.over_resp("setpoint-cmd", number, b"call" if number % 2 else b"body")
            assert answer.endswith(b"$4\r\nrows\r\n" if number % 2 else b"$4\r\ndone\r\n")
        assert set(site.kernel.runs.values()) == {1} and set(site.database.runs.values()) == {1}
        assert len(site.kernel.opened) == 4 and site.kernel.opened[-1] > 0

    on(run, cut_at=(1, 2, 4))


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
def test_what_the_upstream_does_to_a_setpoint_is_told_and_never_sent_again(path: str, status: bytes) -> None:
    async def run(site: Site) -> None:
        answers = [await site.over_uwsgi("setpoint-cmd", "b7", path) for _ in range(2)]
        assert [answer.split(b" ", 2)[1] for answer in answers] == [status, b"502"]
        assert site.uwsgi.runs == {"b7": 1}

    on(run)


def test_a_refused_connection_is_503_and_the_work_may_come_again() -> None:
    async def run(site: Site) -> None:
        site.uwsgi.stop()
        for _ in range(2):
            answer = await site.over_uwsgi("setpoint-cmd", "b7")
            assert answer.startswith(b"HTTP/1.1 503 ") and b"Retry-After: 1\r\n" in answer

    on(run)


def test_an_error_of_the_connect_proves_nothing_once_the_packet_has_begun_to_leave() -> None:
    # Guards against a late connect error that is taken as proof that nothing was sent, so that a setpoint is retried.
    async def run(site: Site) -> None:
        waiting = asyncio.ensure_future(site.over_uwsgi("setpoint-cmd", "b7", "/hang"))
        await site.uwsgi.reached.wait()
        assert isinstance(site.node.components["uwsgi"], UwsgiComponent)
        [run] = site.node.components["uwsgi"].upstream._requests.values()
        assert run.attempt is not None
        run.attempt.connect_failed(ConnectError(ConnectionResetError()))
        assert (await waiting).startswith(b"HTTP/1.1 502 ")
        assert (await site.over_uwsgi("setpoint-cmd", "b7")).startswith(b"HTTP/1.1 502 ")
        assert site.uwsgi.runs == {"b7": 1}

    on(run)


def test_a_deadline_in_a_run_is_504_and_the_upstream_is_let_go() -> None:
    async def run(site: Site) -> None:
        waiting = asyncio.ensure_future(site.over_uwsgi("setpoint-cmd", "b7", "/hang"))
        await site.uwsgi.reached.wait()
        site.push(1.8 * SECOND)
        assert (await waiting).startswith(b"HTTP/1.1 504 ")
        while site.node.core.in_flight:
            await asyncio.sleep(0)

    on(run)


def test_a_line_in_the_log_tells_what_passed_since_the_last(caplog: pytest.LogCaptureFixture) -> None:
    # Guards against a node whose own counts can't be compared with those of its peers.
    async def run(site: Site) -> None:
        for number in (1, 2):
            await site.over_resp("schedule-save", number)
            site.push(10 * SECOND)

    with caplog.at_level("INFO"):
        on(run)
    assert caplog.text.count("status: done=1 read=1 runs=1 in_flight=0 advertised=") == 2


def test_the_notice_to_leave_ends_the_node_with_all_answered() -> None:
    async def run(site: Site) -> None:
        waiting = asyncio.ensure_future(site.over_uwsgi("temp-history", "h1", "/hang"))
        await site.uwsgi.reached.wait()
        site.node.drain()
        assert b"\r\ndone\r\n" in await site.over_resp("schedule-save", 1)
        site.push(2.51 * SECOND)
        site.push(0.6 * SECOND)
        assert (await waiting).startswith(b"HTTP/1.1 504 ")
        await site.node.ended.wait()
        with pytest.raises(OSError):
            await site.over_resp("schedule-save", 2)

    on(run)


def test_the_administration_counts_what_both_fronts_carry(tmp_path: Path) -> None:
    path = tmp_path / "token"
    path.write_text("0123456789abcdef")

    async def run(site: Site) -> None:
        await site.over_uwsgi("setpoint-cmd", "b7")
        await site.over_resp("setpoint-cmd", 1)
        assert isinstance(site.node.components["admin"], AdminComponent)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", site.node.components["admin"].service.port
        )
        writer.write(b"GET /v1/counters HTTP/1.1\r\nAuthorization: Bearer 0123456789abcdef\r\n\r\n")
        answer = await reader.read()
        writer.close()
        assert json.loads(answer.partition(b"\r\n\r\n")[2]) == {"done": 2, "read": 2, "runs": 2}

    on(run, admin={"listen": "127.0.0.1:0", "token_file": str(path)})
