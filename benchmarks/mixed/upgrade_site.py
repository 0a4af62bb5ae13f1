"""One node during an upgrade: the passed socket, what the platform has beside the node, and its processes."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from collections import Counter
from pathlib import Path
from typing import Any

from benchmarks.mixed.front_end import CLASSES, Load
from benchmarks.mixed.http_client import HttpAddress
from benchmarks.mixed.server_process import Launch, LogFindings, ServerProcess, read_log
from benchmarks.mixed.versions import Version
from marlstep.standins.servers import StandIns

PLATFORM_CONFIG = Path("deploy/node.json")
CORES = 6.0
CALL_US = 5_000
NODE = "n1"
REPEAT_WINDOW_US = 5_000_000
MEETS_WITHIN_S = 10.0


def platform_config(checkout: Path) -> dict[str, Any]:
    """The configuration of the deployment, with one more class: work whose repeats share its result."""
    config: dict[str, Any] = json.loads((checkout / PLATFORM_CONFIG).read_text())
    settings = config["settings"]
    present = {row["name"] for row in settings["classes"]}
    for kind in CLASSES:
        if kind.name not in present:
            row = {"name": kind.name, "aimUs": 1_600_000, "hardLimitUs": 5_400_000, "worth": 2.0}
            row |= {"semantics": "deduplicated", "repeatWindowUs": REPEAT_WINDOW_US}
            settings["classes"].append(row)
            settings["familyInfo"]["callsByClass"].append(False)
            settings["familyInfo"]["degradedWorth"].append(0.0)
    return config


class Reports(asyncio.DatagramProtocol):
    """The name service: keeps what the node reports."""

    def __init__(self) -> None:
        self.received: list[bytes] = []

    def datagram_received(self, data: bytes, addr: object) -> None:
        self.received.append(data)


class GatedKernel:
    """In front of a kernel: its process is connected, and hears nothing before `opened` is set."""

    def __init__(self, kernel: str) -> None:
        self.connected = asyncio.Event()
        self.opened = asyncio.Event()
        self._kernel = kernel
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> str:
        """The address at which it stands."""
        self._server = await asyncio.start_server(self._taken, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _taken(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connected.set()
        host, _, port = self._kernel.rpartition(":")
        ends = [writer]
        try:
            await self.opened.wait()
            kernel_reader, kernel_writer = await asyncio.open_connection(host, int(port))
            ends.append(kernel_writer)
            await asyncio.gather(copy(reader, kernel_writer), copy(kernel_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for end in ends:
                end.transport.abort()
            self._tasks.discard(task)

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """All that comes, until the end. Raises ConnectionResetError then, so that the other way ends as well."""
    while data := await reader.read(1 << 16):
        writer.write(data)
        await writer.drain()
    raise ConnectionResetError


class UpgradeSite:
    """Use as a context: nothing that it started outlives it."""

    def __init__(self, folder: Path, config: dict[str, Any], seed: int) -> None:
        self.folder = folder
        self.meeting_folder = folder / "tmp"
        self.reports = Reports()
        self.processes: list[ServerProcess] = []
        self._config = config
        self._stand_ins: list[StandIns] = []
        self._gates: list[GatedKernel] = []
        self.listening = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.load = Load(int(self.listening.getsockname()[1]), seed)
        self._naming: asyncio.DatagramTransport | None = None

    async def __aenter__(self) -> UpgradeSite:
        self.meeting_folder.mkdir(parents=True)
        loop = asyncio.get_running_loop()
        self._naming, _ = await loop.create_datagram_endpoint(
            lambda: self.reports, local_addr=("127.0.0.1", 0)
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.load.abort()
        for process in self.processes:
            if process.running:
                await process.kill()
        for gate in self._gates:
            await gate.close()
        for stand_ins in self._stand_ins:
            stand_ins.close()
        if self._naming is not None:
            self._naming.close()
        self.listening.close()

    async def launch(self, version: Version) -> ServerProcess:
        """A process that serves."""
        stand_ins = await self._open_stand_ins()
        process = await self._start(version, stand_ins.addresses["kernel"], stand_ins.addresses["db"])
        await process.wait_ready()
        return process

    async def launch_without_kernel(self, version: Version) -> tuple[ServerProcess, GatedKernel]:
        """A process that has met the one before it, and can't serve before its kernel is opened."""
        stand_ins = await self._open_stand_ins()
        gate = GatedKernel(stand_ins.addresses["kernel"])
        self._gates.append(gate)
        process = await self._start(version, await gate.open(), stand_ins.addresses["db"])
        await asyncio.wait_for(gate.connected.wait(), MEETS_WITHIN_S)
        return process, gate

    async def _open_stand_ins(self) -> StandIns:
        stand_ins = StandIns(CORES, 1.0, CALL_US)
        await stand_ins.open()
        self._stand_ins.append(stand_ins)
        return stand_ins

    async def _start(self, version: Version, kernel: str, database: str) -> ServerProcess:
        number = len(self.processes) + 1
        door = self._door_address(number)
        assert self._naming is not None
        config = {
            **self._config,
            "name": NODE,
            "listen": f"127.0.0.1:{self.load.port}",
            "mgmt": f"{door.host}:{door.port}",
            "kernel": kernel,
            "db": database,
            "naming": f"127.0.0.1:{self._naming.get_extra_info('sockname')[1]}",
        }
        path = self.folder / f"config-{number}.json"
        path.write_text(json.dumps(config))
        log = self.folder / f"process-{number}-{version.label}.log"
        process = ServerProcess(version, Launch(path, self.listening, self.meeting_folder, door, log))
        self.processes.append(process)
        await process.start()
        return process

    @staticmethod
    def _door_address(number: int) -> HttpAddress:
        """On a loopback address of its own: nobody else takes the port there before the process does."""
        host = f"127.{1 + os.getpid() % 250}.{os.getpid() // 250 % 250}.{number}"
        with socket.socket() as free:
            free.bind((host, 0))
            return HttpAddress(host, int(free.getsockname()[1]))

    def runs(self) -> Counter[tuple[str, int]]:
        """How often each piece of work was started, by class and number, over all processes."""
        started = Counter[tuple[str, int]]()
        for stand_ins in self._stand_ins:
            started.update(stand_ins.kernel.machine.started)
        return started

    def logs(self) -> dict[str, LogFindings]:
        return {process.launch.log.stem: read_log(process.launch.log) for process in self.processes}
