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
from tests.support.node import ManualClock, raw_config
from tests.test_loopback import over_resp


class ReportRecorder(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.seen: list[bytes] = []
        self.received = asyncio.Event()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.seen.append(data)
        self.received.set()


async def listen_for_reports() -> tuple[ReportRecorder, str]:
    transport, reports = await asyncio.get_running_loop().create_datagram_endpoint(
        ReportRecorder, local_addr=("127.0.0.1", 0)
    )
    return reports, f"127.0.0.1:{transport.get_extra_info('sockname')[1]}"


def test_reports_are_frequent_enough_that_losing_a_quarter_lets_no_entry_lapse() -> None:
    # Guards against a node that drops off the endpoint list: an entry lapses after 3 s without a report.
    lost_in_a_row = (3000 * MILLISECOND) // REPORT_INTERVAL
    assert 0.25**lost_in_a_row < 1e-5


class FakeSocket:
    def __init__(self) -> None:
        self.sent: list[bytes] = []
        self.closed = False

    def sendto(self, data: bytes) -> None:
        self.sent.append(data)

    def close(self) -> None:
        self.closed = True

    def is_closing(self) -> bool:
        return self.closed


def test_a_socket_opened_after_a_change_of_address_is_closed_and_only_one_reports() -> None:
    # Guards against reports to an old address, and against two sockets that report at the same time.
    clock, current_address, former_address = ManualClock(), ("127.0.0.1", 1), ("127.0.0.1", 2)
    naming = NameServiceClient("n1", current_address, clock.timeline)
    late_socket, first_socket, second_socket = FakeSocket(), FakeSocket(), FakeSocket()
    for address, socket in (
        (former_address, late_socket),
        (current_address, first_socket),
        (current_address, second_socket),
    ):
        naming.opened(address, cast(asyncio.DatagramTransport, socket))
    clock.advance(1_000)
    assert late_socket.closed and first_socket.closed and not late_socket.sent and len(first_socket.sent) == 1
    assert second_socket.sent == [b"renew n1 yes"] * 4
    naming.report_last()
    clock.advance(1_000)
    assert second_socket.closed and second_socket.sent[4:] == [b"renew n1 no"]


def test_after_sighup_new_work_uses_the_new_addresses_and_an_invalid_file_changes_nothing(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against a process that exits on SIGHUP, and against one that keeps using the old addresses.
    path = tmp_path / "config.json"

    async def run() -> None:
        kernels = FakeKernel(), FakeKernel()
        databases = FakeDatabase(), FakeDatabase()
        for server in (*kernels, *databases):
            await server.start()
        name_services = [await listen_for_reports() for _ in range(2)]

        def write(index: int, **other: Any) -> None:
            raw = raw_config(
                kernel=kernels[index].address, db=databases[index].address, naming=name_services[index][1]
            )
            path.write_text(json.dumps({**raw, **other}))

        write(0)
        read_config = partial(load, {"PROXY_CONFIG": str(path)})
        node = Node(read_config(), TimerQueue(LoopWaker(asyncio.get_running_loop())), read_config)
        await node.open()
        assert (await over_resp(node, "setpoint-cmd", 1, b"call")).endswith(b"rows\r\n")
        for invalid_text in ("{", json.dumps(raw_config(kernel="nowhere")), "[]"):
            path.write_text(invalid_text)
            node.config_reloader.reload()
        await name_services[0][0].received.wait()
        assert (await over_resp(node, "setpoint-cmd", 2, b"call")).endswith(b"rows\r\n")
        kernels[1].notices = list(
            kernels[0].notices
        )  # the same kernel at another address: runs and notice numbers continue
        for index in (1, 0):
            write(index)
            node.config_reloader.reload()
        write(1)
        os.kill(os.getpid(), signal.SIGHUP)
        await name_services[1][0].received.wait()
        while not kernels[1].opened:
            await asyncio.sleep(0)
        for number in range(3, 9):
            response = await over_resp(node, "setpoint-cmd", number, b"call")
            assert response.endswith(b"rows\r\n")
        assert (len(kernels[0].runs), len(databases[0].runs)) == (2, 2)
        assert (len(kernels[1].runs), len(databases[1].runs)) == (6, 6)
        assert kernels[1].opened[0] == 4
        node.resp.stop_accepting()
        await node.close()
        for server in (*kernels, *databases):
            server.stop()

    uvloop.run(asyncio.wait_for(run(), 20))
    assert "kernel must be a numeric address" in caplog.text
