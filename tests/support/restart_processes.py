"""Real processes of one node on one passed socket, with the platform around them: clients, database, name service."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import datetime
from pathlib import Path
from typing import Any

import uvloop

from marlstep.frontends.resp_wire import write_frame
from marlstep.units import SystemClock, instant_us
from tests.support.fake_servers import FakeDatabase, FakeKernel, FakeServer
from tests.support.node import raw_config

SENDER_COUNT = 8
TEST_TIMEOUT_S = 30
now = SystemClock().now


class NodeProcess:
    """One operating-system process of the node, with its own kernel and health endpoint."""

    def __init__(self, platform: Platform, kernel: FakeServer) -> None:
        self.platform = platform
        self.kernel = kernel
        self.host, self.health_port = "", 0

    async def start(self) -> None:
        await self.kernel.start()
        number = len(self.platform.processes)
        # A separate loopback address per process, so that no other process can take the port before this one binds it.
        self.host = f"127.{1 + os.getpid() % 250}.{os.getpid() // 250 % 250}.{1 + number}"
        with socket.socket() as probe:
            probe.bind((self.host, 0))
            self.health_port = int(probe.getsockname()[1])
        self.platform.processes.append(self)
        path = self.platform.folder / f"config{number}.json"
        listen = f"127.0.0.1:{self.platform.port}"
        addresses = {"kernel": self.kernel.address, "db": self.platform.database.address, "listen": listen}
        addresses |= {"mgmt": f"{self.host}:{self.health_port}", "naming": self.platform.name_service}
        path.write_text(json.dumps({**self.platform.raw_config, **addresses}))
        variables = {
            "PROXY_CONFIG": str(path),
            "PROXY_PASSED_SOCKET": str(self.platform.passed_socket.fileno()),
        }
        self.subprocess = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "marlstep"),
            env={**os.environ, **variables, "TMPDIR": str(self.platform.folder / "tmp")},
            pass_fds=[self.platform.passed_socket.fileno()],
            stderr=asyncio.subprocess.DEVNULL if not os.environ.get("MARLSTEP_TEST_LOG") else None,
        )

    async def call(self, method: str, path: str) -> int:
        return (await self._call(method, path))[0]

    async def _call(self, method: str, path: str) -> tuple[int, bytes]:
        reader, writer = await asyncio.open_connection(self.host, self.health_port)
        writer.write(f"{method} {path} HTTP/1.1\r\n\r\n".encode())
        head, _, body = (await reader.read()).partition(b"\r\n\r\n")
        writer.close()
        return int(head.split()[1]), body

    async def state(self) -> str:
        """Return the serving state that the health endpoint reports."""
        return str(json.loads((await self._call("GET", "/admin/health"))[1])["state"])

    async def wait_for_state(self, state: str) -> None:
        while await self.state() != state:
            await asyncio.sleep(0)
        await (
            self.state()
        )  # a second request, so that one event-loop pass has completed the effects of the state

    async def wait_until_ready(self) -> None:
        while True:
            try:
                if await self.call("GET", "/admin/health") == 200:
                    return
            except (OSError, IndexError):
                assert self.subprocess.returncode is None
            await asyncio.sleep(0.01)

    async def signal_and_wait(self, number: signal.Signals) -> int:
        self.subprocess.send_signal(number)
        return await self.subprocess.wait()


class Platform(asyncio.DatagramProtocol):
    """Passes the socket to processes, sends requests as clients, and records reports as the name service."""

    def __init__(self, folder: Path, raw: dict[str, Any] | None = None) -> None:
        self.folder, self.raw_config = folder, raw or raw_config()
        (folder / "tmp").mkdir()
        self.passed_socket = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port = int(self.passed_socket.getsockname()[1])
        self.database = FakeDatabase()
        self.processes: list[NodeProcess] = []
        self.responses: list[tuple[int, str | None, str]] = []  # number, idempotency key, status
        self.closing: dict[asyncio.StreamWriter, bool] = {}  # connections that the node asked to close
        self.reports: list[tuple[datetime, bytes]] = []
        self.name_service = ""
        self.last_number = 0
        self._stop = False

    async def start_process(self, kernel: FakeServer | None = None) -> NodeProcess:
        """Start a process and wait until it is ready."""
        process = await self.launch_process(kernel or FakeKernel())
        await process.wait_until_ready()
        return process

    async def launch_process(self, kernel: FakeServer) -> NodeProcess:
        """Start a process without waiting until it is ready."""
        process = NodeProcess(self, kernel)
        await process.start()
        return process

    async def send(self, sender: int) -> None:
        """Send requests until the load stops: up to 5 on each of successive connections.

        Every second request has an idempotency key, which other senders use too.
        """
        while not self._stop:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                self.responses.append((0, None, "no connection"))
                continue
            for tag in range(1, 6):
                self.last_number += 1
                number = self.last_number
                key = f"w{number // 3}" if number % 2 else None
                fields = f"id={number:016x},at={instant_us(now()) // 1000},kb=1,from={sender}"
                fields += f",once={key}" if key else ""
                request_class = (b"setpoint-cmd", b"temp-history")[number % 5 == 0]
                body = (b"call", b"body")[number % 3 == 0]
                status = await self.send_and_receive(
                    reader, writer, write_frame(b"EXEC", b"%d" % tag, request_class, fields.encode(), body)
                )
                self.responses.append((number, key if request_class == b"setpoint-cmd" else None, status))
                if status not in ("done", "later", "error"):
                    break
                if self.closing.pop(writer, False):
                    break
            writer.close()

    async def request_on_new_connection(self) -> None:
        """Send one request on a new connection, and check that a process accepts and responds to it."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.last_number += 1
        fields = f"id={self.last_number:016x},at={instant_us(now()) // 1000},kb=1"
        frame = write_frame(b"EXEC", b"1", b"temp-history", fields.encode(), b"body")
        assert await self.send_and_receive(reader, writer, frame) in ("done", "later")
        writer.close()

    async def send_and_receive(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, frame: bytes
    ) -> str:
        """Return the status of the response, or "closed" or "reset" if the connection ends without one."""
        try:
            writer.write(frame)
            while True:
                parts = []
                head = await reader.readline()
                if not head:
                    return "closed"
                for _ in range(int(head[1:])):
                    size = int((await reader.readline())[1:])
                    parts.append((await reader.readexactly(size + 2))[:-2])
                if parts[1] != b"closing":
                    return parts[1].decode()
                self.closing[writer] = True
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            return "reset"

    async def under_load(self, scenario: Callable[[], Awaitable[Any]]) -> Any:
        """Run a scenario while all senders send, with at least 50 responses before it and 50 after it."""
        senders = [asyncio.create_task(self.send(number)) for number in range(SENDER_COUNT)]
        await self.wait_for_responses(50)
        try:
            result = await scenario()
            await self.wait_for_responses(50)
        finally:
            self._stop = True
            await asyncio.gather(*senders)
        return result

    async def wait_for_responses(self, count: int) -> None:
        expected = len(self.responses) + count
        while len(self.responses) < expected:
            await asyncio.sleep(0.005)

    def check_single_runs(self) -> Counter[str]:
        """Check that no request and no idempotency key ran twice in all processes; return the count of each status."""
        runs = Counter[str]()
        for process in self.processes:
            runs.update(process.kernel.runs)
        assert max(runs.values()) == 1
        key_runs = Counter(key for number, key, _ in self.responses if key and runs[f"{number:016x}"])
        assert key_runs and max(key_runs.values()) == 1
        return Counter(status for _, _, status in self.responses)

    def datagram_received(self, data: bytes, address: Any) -> None:
        self.reports.append((now(), data))

    async def close(self) -> None:
        for process in self.processes:
            if process.subprocess.returncode is None:
                await process.signal_and_wait(signal.SIGKILL)
            process.kernel.stop()
        self.database.stop()
        self.passed_socket.close()


def run_on_platform(
    tmp_path: Path, test: Callable[[Platform], Awaitable[None]], raw: dict[str, Any] | None = None
) -> None:
    async def run() -> None:
        platform = Platform(tmp_path, raw)
        await platform.database.start()
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: platform, local_addr=("127.0.0.1", 0))
        platform.name_service = f"127.0.0.1:{transport.get_extra_info('sockname')[1]}"
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await test(platform)
        finally:
            await platform.close()

    uvloop.run(run())
