"""The platform's listening socket, which every process of a node inherits."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import sys
from pathlib import Path

import pytest
import uvloop

from marlstep.config import ConfigError, load
from marlstep.net.eventloop import LoopWaker
from marlstep.node import Node
from marlstep.timer_queue import TimerQueue
from tests.support.fake_servers import FakeKernel
from tests.support.node import raw_config
from tests.test_loopback import over_resp


def environ(tmp_path: Path, passed_socket: int | str, **settings: str) -> dict[str, str]:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw_config(**settings)))
    return {"PROXY_CONFIG": str(path), "PROXY_PASSED_SOCKET": str(passed_socket)}


def test_only_the_descriptor_of_a_listening_tcp_socket_is_accepted(tmp_path: Path) -> None:
    with socket.socket() as unconnected, socket.create_server(("127.0.0.1", 0)) as listening:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram_socket, open(os.devnull) as file:
            for invalid_value in ("x", "-1", "1.5", "99999", "9" * 30, file.fileno()):
                with pytest.raises(
                    ConfigError, match="PROXY_PASSED_SOCKET must be the number of an open socket"
                ):
                    load(environ(tmp_path, invalid_value))
            for not_listening in (unconnected, datagram_socket):
                with pytest.raises(ConfigError, match="no TCP socket that listens"):
                    load(environ(tmp_path, not_listening.fileno()))
        assert load(environ(tmp_path, listening.fileno())).passed_socket == listening.fileno()
        assert load(environ(tmp_path, "")).passed_socket is None


def test_a_wrong_descriptor_is_one_clear_line_and_exit_code_2(tmp_path: Path) -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "marlstep"],
        env={**os.environ, **environ(tmp_path, 77)},
        capture_output=True,
        text=True,
    )
    assert completed.returncode == 2 and completed.stderr.count("\n") == 1
    assert "PROXY_PASSED_SOCKET" in completed.stderr


def test_two_nodes_accept_connections_at_one_socket_and_either_may_stop_and_start_again(
    tmp_path: Path,
) -> None:
    # Guards against a second process that can't start on the socket, and against a close by one process that stops the
    # other from listening.
    async def run() -> None:
        kernel = FakeKernel()
        await kernel.start()
        config = load(environ(tmp_path, listening.fileno(), kernel=kernel.address))
        nodes = [Node(config, TimerQueue(LoopWaker(asyncio.get_running_loop()))) for _ in range(2)]
        for node in nodes:
            await node.open()
        assert nodes[0].resp.port == nodes[1].resp.port == listening.getsockname()[1]
        number = 0
        for stopping, serving in ((0, 1), (1, 0)):
            nodes[stopping].resp.stop_accepting()
            read_before = nodes[serving].core.counts["read"]
            for _ in range(3):
                number += 1
                assert b"done" in await over_resp(nodes[serving], "setpoint-cmd", number)
            assert nodes[serving].core.counts["read"] == read_before + 3
            nodes[stopping].resp.draining = False
            await nodes[stopping].resp.listen(config.listen, config.passed_socket)
        for node in nodes:
            node.resp.stop_accepting()
            await node.close()
        kernel.stop()

    with socket.create_server(("127.0.0.1", 0)) as listening:
        uvloop.run(asyncio.wait_for(run(), 20))
