"""SIGHUP reloads the configuration under load; an invalid one is logged and changes nothing."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from functools import partial
from pathlib import Path
from typing import Any, cast

import pytest
import uvloop

from marlstep.config import load
from marlstep.net.eventloop import LoopWaker
from marlstep.node import Node
from marlstep.platform.name_service import REPORT_INTERVAL, NameServiceClient
from marlstep.timer_queue import TimerQueue
from marlstep.units import MILLISECOND
from tests.support.fake_servers import FakeDatabase, FakeKernel
from tests.support.node import HandClock, raw_config
from tests.test_loopback import over_resp


class Reports(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.seen: list[bytes] = []
        self.came = asyncio.Event()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.seen.append(data)
        self.came.set()


async def listen_for_reports() -> tuple[Reports, str]:
    transport, reports = await asyncio.get_running_loop().create_datagram_endpoint(
        Reports, local_addr=("127.0.0.1", 0)
    )
    return reports, f"127.0.0.1:{transport.get_extra_info('sockname')[1]}"


def test_reports_come_so_often_that_a_lost_quarter_of_them_lets_no_entry_lapse() -> None:
    # Guards against a node that drops off the endpoint list: an entry lapses after 3 s without a report.
    in_a_row = (3000 * MILLISECOND) // REPORT_INTERVAL
    assert 0.25**in_a_row < 1e-5


class Socket:
    def __init__(self) -> None:
        self.sent: list[bytes] = []
        self.closed = False

    def sendto(self, data: bytes) -> None:
        self.sent.append(data)

    def close(self) -> None:
        self.closed = True

    def is_closing(self) -> bool:
        return self.closed


def test_a_socket_that_comes_after_the_address_has_changed_is_closed_and_one_reports() -> None:
    # Guards against reports to an old address, and against two sockets that report at the same time.
    clock, here, there = HandClock(), ("127.0.0.1", 1), ("127.0.0.1", 2)
    naming = NameServiceClient("n1", here, clock.timeline)
    late, first, second = Socket(), Socket(), Socket()
    for address, socket in ((there, late), (here, first), (here, second)):
        naming.opened(address, cast(asyncio.DatagramTransport, socket))
    clock.advance(1_000)
    assert late.closed and first.closed and not late.sent and len(first.sent) == 1
    assert second.sent == [b"renew n1 yes"] * 4
    naming.report_last()
    clock.advance(1_000)
    assert second.closed and second.sent[4:] == [b"renew n1 no"]


def test_on_sighup_all_that_is_new_goes_to_the_new_addresses_and_a_faulty_file_changes_nothing(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against a process that exits on SIGHUP, and against one that keeps using the old addresses.
    path = tmp_path / "config.json"

    async def run() -> None:
        kernels = FakeKernel(), FakeKernel()
        databases = FakeDatabase(), FakeDatabase()
        for server in (*kernels, *databases):
            await server.start()
        names = [await listen_for_reports() for _ in range(2)]

        def write(one: int, **other: Any) -> None:
            raw = raw_config(kernel=kernels[one].address, db=databases[one].address, naming=names[one][1])
            path.write_text(json.dumps({**raw, **other}))

        write(0)
        read = partial(load, {"PROXY_CONFIG": str(path)})
        node = Node(read(), TimerQueue(LoopWaker(asyncio.get_running_loop())), read)
        await node.open()
        assert (await over_resp(node, "setpoint-cmd", 1, b"call")).endswith(b"rows\r\n")
        for text in ("{", json.dumps(raw_config(kernel="nowhere")), "[]"):
            path.write_text(text)
            node.config_reloader.reload()
        await names[0][0].came.wait()
        assert (await over_resp(node, "setpoint-cmd", 2, b"call")).endswith(b"rows\r\n")
        kernels[1].notices = list(
            kernels[0].notices
        )  # the same kernel at another address: runs and notice numbers continue
        for one in (1, 0):
            write(one)
            node.config_reloader.reload()
        write(1)
        os.kill(os.getpid(), signal.SIGHUP)
        await names[1][0].came.wait()
        while not kernels[1].opened:
            await asyncio.sleep(0)
        for number in range(3, 9):
            answer = await over_resp(node, "setpoint-cmd", number, b"call")
            assert answer.endswith(b"rows\r\n")
        assert (len(kernels[0].runs), len(databases[0].runs)) == (2, 2)
        assert (len(kernels[1].runs), len(databases[1].runs)) == (6, 6)
        assert kernels[1].opened[0] == 4
        node.resp.stop_accepting()
        await node.close()
        for server in (*kernels, *databases):
            server.stop()

    uvloop.run(asyncio.wait_for(run(), 20))
    assert "kernel must be a numeric address" in caplog.text
