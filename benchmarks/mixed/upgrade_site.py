"""The environment of one node during an upgrade: the passed socket, the emulated platform and the node's processes."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from collections import Counter
from pathlib import Path

from benchmarks.mixed.front_end import CLASSES, Load
from benchmarks.mixed.http_client import HttpAddress, JsonObject
from benchmarks.mixed.server_process import Launch, LogFindings, ServerProcess, read_log
from benchmarks.mixed.versions import Version
from marlstep.emulators.site import EmulatedSite

PLATFORM_CONFIG = Path("deploy/node.json")
CORES = 6.0
CALL_US = 5_000
NODE = "n1"
REPEAT_WINDOW_US = 5_000_000
CONNECT_TIMEOUT_S = 10.0


def platform_config(checkout: Path) -> JsonObject:
    """Return the deployment's configuration, extended by the classes of the load that it does not have.

    In the added classes a repeat gets the result of the first attempt.
    """
    config: JsonObject = json.loads((checkout / PLATFORM_CONFIG).read_text())
    settings = config["settings"]
    present = {row["name"] for row in settings["classes"]}
    for request_class in CLASSES:
        if request_class.name not in present:
            row = {"name": request_class.name, "aimUs": 1_600_000, "hardLimitUs": 5_400_000, "worth": 2.0}
            row |= {"semantics": "deduplicated", "repeatWindowUs": REPEAT_WINDOW_US}
            settings["classes"].append(row)
            settings["familyInfo"]["callsByClass"].append(False)
            settings["familyInfo"]["degradedWorth"].append(0.0)
    return config


class ReportReceiver(asyncio.DatagramProtocol):
    """A stand-in for the name service, which records the node's reports."""

    def __init__(self) -> None:
        """Initialize the receiver without reports."""
        self.received: list[bytes] = []

    def datagram_received(self, data: bytes, addr: object) -> None:  # noqa: ARG002 - asyncio passes it
        """Record a report."""
        self.received.append(data)


class GatedKernelProxy:
    """A proxy in front of an emulated kernel: accepts connections, but forwards no bytes until `opened` is set."""

    def __init__(self, kernel_address: str) -> None:
        """Create the proxy for the kernel at an address, without listening yet."""
        self.connected = asyncio.Event()
        self.opened = asyncio.Event()
        self._kernel_address = kernel_address
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> str:
        """Listen on loopback and return the address."""
        self._server = await asyncio.start_server(self._handle_connection, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connected.set()
        host, _, port = self._kernel_address.rpartition(":")
        writers = [writer]
        try:
            await self.opened.wait()
            kernel_reader, kernel_writer = await asyncio.open_connection(host, int(port))
            writers.append(kernel_writer)
            await asyncio.gather(forward(reader, kernel_writer), forward(kernel_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for open_writer in writers:
                open_writer.transport.abort()
            self._tasks.discard(task)

    async def close(self) -> None:
        """Close the proxy and all connections through it."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def forward(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Forward all bytes from a stream to another until the first one ends.

    Raises:
        ConnectionResetError: The stream ended. The error makes the caller close the other direction as well.
    """
    while data := await reader.read(1 << 16):
        writer.write(data)
        await writer.drain()
    raise ConnectionResetError


class UpgradeSite:
    """One node and its environment.

    Used as a context manager, it kills all processes that it started when it exits.
    """

    def __init__(self, folder: Path, config: JsonObject, seed: int) -> None:
        """Open the passed socket.

        Args:
            folder: The folder for the files of all processes.
            config: The platform's configuration.
            seed: The seed of the load.
        """
        self.folder = folder
        self.temporary_folder = folder / "tmp"
        self.reports = ReportReceiver()
        self.processes: list[ServerProcess] = []
        self._config = config
        self._emulators: list[EmulatedSite] = []
        self._kernel_proxies: list[GatedKernelProxy] = []
        self.listening = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.load = Load(int(self.listening.getsockname()[1]), seed)
        self._name_service: asyncio.DatagramTransport | None = None

    async def __aenter__(self) -> UpgradeSite:
        """Start the stand-in for the name service."""
        self.temporary_folder.mkdir(parents=True)
        loop = asyncio.get_running_loop()
        self._name_service, _ = await loop.create_datagram_endpoint(
            lambda: self.reports, local_addr=("127.0.0.1", 0)
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop the load, kill all processes and close all sockets."""
        await self.load.abort()
        for process in self.processes:
            if process.running:
                await process.kill()
        for kernel_proxy in self._kernel_proxies:
            await kernel_proxy.close()
        for emulators in self._emulators:
            emulators.close()
        if self._name_service is not None:
            self._name_service.close()
        self.listening.close()

    async def launch(self, version: Version) -> ServerProcess:
        """Start a process and wait until it is ready.

        Raises:
            CheckFailedError: The process exited or was not ready in time.
        """
        emulators = await self._open_emulators()
        process = await self._start(version, emulators.addresses["kernel"], emulators.addresses["db"])
        await process.wait_ready()
        return process

    async def launch_without_kernel(self, version: Version) -> tuple[ServerProcess, GatedKernelProxy]:
        """Start a process that can't serve until `opened` of the returned kernel proxy is set.

        Returns when the process has connected to the proxy; by then it has connected to its predecessor.

        Raises:
            TimeoutError: The process did not connect in time.
        """
        emulators = await self._open_emulators()
        kernel_proxy = GatedKernelProxy(emulators.addresses["kernel"])
        self._kernel_proxies.append(kernel_proxy)
        process = await self._start(version, await kernel_proxy.open(), emulators.addresses["db"])
        await asyncio.wait_for(kernel_proxy.connected.wait(), CONNECT_TIMEOUT_S)
        return process, kernel_proxy

    async def _open_emulators(self) -> EmulatedSite:
        emulators = EmulatedSite(CORES, 1.0, CALL_US)
        await emulators.open()
        self._emulators.append(emulators)
        return emulators

    async def _start(self, version: Version, kernel: str, database: str) -> ServerProcess:
        process_number = len(self.processes) + 1
        health_endpoint = self._health_endpoint_address(process_number)
        assert self._name_service is not None
        config = {
            **self._config,
            "name": NODE,
            "listen": f"127.0.0.1:{self.load.port}",
            "mgmt": f"{health_endpoint.host}:{health_endpoint.port}",
            "kernel": kernel,
            "db": database,
            "naming": f"127.0.0.1:{self._name_service.get_extra_info('sockname')[1]}",
        }
        path = self.folder / f"config-{process_number}.json"
        path.write_text(json.dumps(config))
        log = self.folder / f"process-{process_number}-{version.label}.log"
        process = ServerProcess(
            version, Launch(path, self.listening, self.temporary_folder, health_endpoint, log)
        )
        self.processes.append(process)
        await process.start()
        return process

    @staticmethod
    def _health_endpoint_address(process_number: int) -> HttpAddress:
        """Choose a loopback address for one process, so that no other process can take its port before it listens."""
        host = f"127.{1 + os.getpid() % 250}.{os.getpid() // 250 % 250}.{process_number}"
        with socket.socket() as probe:
            probe.bind((host, 0))
            return HttpAddress(host, int(probe.getsockname()[1]))

    def count_runs(self) -> Counter[tuple[str, int]]:
        """Return how often each work item was started over all processes, by class and number."""
        started = Counter[tuple[str, int]]()
        for emulators in self._emulators:
            started.update(emulators.kernel.machine.start_counts)
        return started

    def read_logs(self) -> dict[str, LogFindings]:
        """Read the logs of all processes, by log name."""
        return {process.launch.log.stem: read_log(process.launch.log) for process in self.processes}
