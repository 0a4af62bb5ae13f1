"""Real processes of the program on one passed socket, and what the platform has beside them."""

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
from tests.support.node import raw_config
from tests.support.stand_ins import DatabaseStandIn, KernelStandIn, StandIn

SENDERS = 8
now = SystemClock().now


class Program:
    """One process of the node, with a kernel address and a door of its own."""

    def __init__(self, site: Site, kernel: StandIn) -> None:
        self.site = site
        self.kernel = kernel
        self.host, self.door = "", 0

    async def start(self) -> None:
        await self.kernel.start()
        number = len(self.site.programs)
        # An address of its own: between this look and the program's bind no other process gets the port there.
        self.host = f"127.{1 + os.getpid() % 250}.{os.getpid() // 250 % 250}.{1 + number}"
        with socket.socket() as one:
            one.bind((self.host, 0))
            self.door = int(one.getsockname()[1])
        self.site.programs.append(self)
        path = self.site.folder / f"config{number}.json"
        listen = f"127.0.0.1:{self.site.port}"
        places = {"kernel": self.kernel.address, "db": self.site.database.address, "listen": listen}
        places |= {"mgmt": f"{self.host}:{self.door}", "naming": self.site.naming}
        path.write_text(json.dumps({**self.site.raw, **places}))
        names = {"PROXY_CONFIG": str(path), "PROXY_PASSED_SOCKET": str(self.site.listening.fileno())}
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "marlstep"),
            env={**os.environ, **names, "TMPDIR": str(self.site.folder / "tmp")},
            pass_fds=[self.site.listening.fileno()],
            stderr=asyncio.subprocess.DEVNULL if not os.environ.get("MARLSTEP_TEST_LOG") else None,
        )

    async def call(self, method: str, path: str) -> int:
        return (await self._call(method, path))[0]

    async def _call(self, method: str, path: str) -> tuple[int, bytes]:
        reader, writer = await asyncio.open_connection(self.host, self.door)
        writer.write(f"{method} {path} HTTP/1.1\r\n\r\n".encode())
        head, _, body = (await reader.read()).partition(b"\r\n\r\n")
        writer.close()
        return int(head.split()[1]), body

    async def state(self) -> str:
        """What it is on, by its own account."""
        return str(json.loads((await self._call("GET", "/admin/health"))[1])["state"])

    async def comes_to(self, state: str) -> None:
        while await self.state() != state:
            await asyncio.sleep(0)
        await self.state()  # its loop has come round since, and what follows from that state is done

    async def ready(self) -> None:
        while True:
            try:
                if await self.call("GET", "/admin/health") == 200:
                    return
            except (OSError, IndexError):
                assert self.process.returncode is None
            await asyncio.sleep(0.01)

    async def end(self, number: signal.Signals) -> int:
        self.process.send_signal(number)
        return await self.process.wait()


class Site(asyncio.DatagramProtocol):
    """Also the name service, which keeps the reports that it gets."""

    def __init__(self, folder: Path, raw: dict[str, Any] | None = None) -> None:
        self.folder, self.raw = folder, raw or raw_config()
        (folder / "tmp").mkdir()
        self.listening = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port = int(self.listening.getsockname()[1])
        self.database = DatabaseStandIn()
        self.programs: list[Program] = []
        self.answers: list[tuple[int, str | None, str]] = []  # number, name of the work, what came
        self.closing: dict[asyncio.StreamWriter, bool] = {}  # connections on which nothing new may be sent
        self.reports: list[tuple[datetime, bytes]] = []
        self.naming = ""
        self.number = 0
        self._stop = False

    async def new(self, kernel: StandIn | None = None) -> Program:
        program = await self.begin(kernel or KernelStandIn())
        await program.ready()
        return program

    async def begin(self, kernel: StandIn) -> Program:
        """One that is started, and may not serve yet."""
        program = Program(self, kernel)
        await program.start()
        return program

    async def send(self, sender: int) -> None:
        """One connection after another, a few requests on each; every second names work that others send too."""
        while not self._stop:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                self.answers.append((0, None, "no connection"))
                continue
            for tag in range(1, 6):
                self.number += 1
                number = self.number
                once = f"w{number // 3}" if number % 2 else None
                fields = f"id={number:016x},at={instant_us(now()) // 1000},kb=1,from={sender}"
                fields += f",once={once}" if once else ""
                kind = (b"setpoint-cmd", b"temp-history")[number % 5 == 0]
                body = (b"call", b"body")[number % 3 == 0]
                came = await self.ask(
                    reader, writer, write_frame(b"EXEC", b"%d" % tag, kind, fields.encode(), body)
                )
                self.answers.append((number, once if kind == b"setpoint-cmd" else None, came))
                if came not in ("done", "later", "error"):
                    break
                if self.closing.pop(writer, False):
                    break
            writer.close()

    async def served(self) -> None:
        """A new connection: whoever is not stopped takes it, and answers."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.number += 1
        fields = f"id={self.number:016x},at={instant_us(now()) // 1000},kb=1"
        frame = write_frame(b"EXEC", b"1", b"temp-history", fields.encode(), b"body")
        assert await self.ask(reader, writer, frame) in ("done", "later")
        writer.close()

    async def ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, frame: bytes) -> str:
        """The word of the answer, or what came in its place."""
        try:
            writer.write(frame)
            while True:
                words = []
                head = await reader.readline()
                if not head:
                    return "closed"
                for _ in range(int(head[1:])):
                    size = int((await reader.readline())[1:])
                    words.append((await reader.readexactly(size + 2))[:-2])
                if words[1] != b"closing":
                    return words[1].decode()
                self.closing[writer] = True
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            return "reset"

    async def under_load(self, act: Callable[[], Awaitable[Any]]) -> Any:
        senders = [asyncio.create_task(self.send(number)) for number in range(SENDERS)]
        await self.more(50)
        try:
            result = await act()
            await self.more(50)
        finally:
            self._stop = True
            await asyncio.gather(*senders)
        return result

    async def more(self, count: int) -> None:
        wanted = len(self.answers) + count
        while len(self.answers) < wanted:
            await asyncio.sleep(0.005)

    def check(self) -> Counter[str]:
        """No work ran twice in any of the processes; how each request fared."""
        runs = Counter[str]()
        for program in self.programs:
            runs.update(program.kernel.runs)
        assert max(runs.values()) == 1
        work = Counter(once for number, once, _ in self.answers if once and runs[f"{number:016x}"])
        assert work and max(work.values()) == 1
        return Counter(came for _, _, came in self.answers)

    def datagram_received(self, data: bytes, address: Any) -> None:
        self.reports.append((now(), data))

    async def close(self) -> None:
        for program in self.programs:
            if program.process.returncode is None:
                await program.end(signal.SIGKILL)
            program.kernel.stop()
        self.database.stop()
        self.listening.close()


def on(tmp_path: Path, test: Callable[[Site], Awaitable[None]], raw: dict[str, Any] | None = None) -> None:
    async def run() -> None:
        site = Site(tmp_path, raw)
        await site.database.start()
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: site, local_addr=("127.0.0.1", 0))
        site.naming = f"127.0.0.1:{transport.get_extra_info('sockname')[1]}"
        try:
            async with asyncio.timeout(30):
                await test(site)
        finally:
            await site.close()

    uvloop.run(run())
