"""The processes of a replay on sockets: the nodes, and the emulators of the backends that they depend on."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import socket
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from marlstep.frontends.resp_wire import write_frame
from marlstep.traces.replay.settings import ReplayError, Settings

HOST = "127.0.0.1"
REQUEST_MEMORY_KB = 20.0
READY_TIMEOUT_S = 20.0  # for a process to start or exit, and for a node to pass its first health check
HEALTH_CHECK_INTERVAL_S = 0.05
MAX_HEALTH_RESPONSE_BYTES = 100
LOG_VARIABLE = "MARLSTEP_REPLAY_LOG"  # if set, the processes log to the standard error output
EMULATORS_NOT_STARTED = "expected the emulators to print their addresses, but their process exited"
EXITED_EARLY = "a node or the emulators exited before the first request"


@dataclass(slots=True)
class ReplayProcesses:
    """Starts and stops the processes of one replay.

    Attributes:
        settings: Settings of the nodes and the emulators.
        resp_ports: RESP ports of the nodes, by number of the node.
        uwsgi_ports: uwsgi ports of the nodes, by number of the node.
        account: Counts of the emulators, set by `stop`.
        node_cpu_s: CPU time of all nodes in seconds, set by `stop`.
    """

    settings: Settings
    resp_ports: list[int] = field(default_factory=list)
    uwsgi_ports: list[int] = field(default_factory=list)
    account: dict[str, int] = field(default_factory=dict)
    node_cpu_s: float = 0.0
    # The process of the emulators, then those of the nodes.
    _children: list[asyncio.subprocess.Process] = field(default_factory=list)

    async def start(self, folder: Path) -> None:
        """Start all processes, and wait until every node is healthy.

        Args:
            folder: Directory for the configuration files of the nodes.

        Raises:
            ReplayError: A process did not start, or exited before the first request.
            TimeoutError: The emulators or a node did not get ready within READY_TIMEOUT_S.
        """
        for number, addresses in enumerate(await self._start_emulators()):
            await self._start_node(folder, number, addresses)
        for port in self.resp_ports:
            await asyncio.wait_for(self._wait_until_healthy(port), READY_TIMEOUT_S)

    def report_response(self, node: int, attempt_id: str) -> None:
        """Notify the emulators that the response to an attempt arrived from a node."""
        emulators = self._children[0]
        if emulators.stdin is not None:
            emulators.stdin.write(b"%d %b\n" % (node, attempt_id.encode()))

    async def stop(self) -> None:
        """Stop the nodes by SIGTERM, as the platform does, then the emulators, and read their counts.

        Raises:
            TimeoutError: A process did not exit, or the emulators did not report, within READY_TIMEOUT_S.
        """
        emulators, *nodes = self._children
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        for node in nodes:
            node.terminate()
        for node in nodes:
            await asyncio.wait_for(node.wait(), READY_TIMEOUT_S)
        after = resource.getrusage(resource.RUSAGE_CHILDREN)  # only the nodes have exited in between
        self.node_cpu_s = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
        assert emulators.stdin is not None
        assert emulators.stdout is not None
        emulators.stdin.close()
        line = await asyncio.wait_for(emulators.stdout.readline(), READY_TIMEOUT_S)
        self.account = json.loads(line)
        await emulators.wait()

    async def kill(self) -> None:
        """Kill all processes that are still running."""
        for child in self._children:
            if child.returncode is None:
                child.kill()
                await child.wait()

    async def _spawn(self, *arguments: str, **environ: str) -> asyncio.subprocess.Process:
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *arguments,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=None if os.environ.get(LOG_VARIABLE) else asyncio.subprocess.DEVNULL,
            env={**os.environ, **environ},
        )
        self._children.append(child)
        return child

    async def _start_emulators(self) -> list[Mapping[str, str]]:
        """Start the emulators; return the addresses of the backends for each node."""
        settings = self.settings
        options = {
            "--nodes": settings.nodes,
            "--cores": settings.cores,
            "--speed": settings.speed,
            "--call-us": settings.call_us,
            "--once": settings.once,
        }
        arguments = [str(word) for option in options.items() for word in option]
        emulators = await self._spawn("marlstep.emulators", *arguments)
        assert emulators.stdout is not None
        line = await asyncio.wait_for(emulators.stdout.readline(), READY_TIMEOUT_S)
        if not line:
            raise ReplayError(EMULATORS_NOT_STARTED)
        addresses: list[Mapping[str, str]] = json.loads(line)
        return addresses

    async def _start_node(self, folder: Path, number: int, addresses: Mapping[str, str]) -> None:
        self.resp_ports.append(_free_port())
        self.uwsgi_ports.append(_free_port())
        path, operator = folder / f"{number}.json", folder / f"{number}.toml"
        path.write_text(json.dumps(self._node_config(addresses)))
        operator.write_text(self._operator_file(addresses))
        options = ["--operator", str(operator)] if self.settings.front == "uwsgi" else []
        await self._spawn("marlstep", "node", *options, PROXY_CONFIG=str(path))

    def _node_config(self, addresses: Mapping[str, str]) -> dict[str, object]:
        return {
            **self.settings.config,
            "listen": f"{HOST}:{self.resp_ports[-1]}",
            "naming": None,
            "mgmt": None,
            "kernel": addresses["kernel"],
            "db": addresses["db"],
        }

    def _operator_file(self, addresses: Mapping[str, str]) -> str:
        return (
            f'[uwsgi]\nlisten = "{HOST}:{self.uwsgi_ports[-1]}"\nupstream = "{addresses["uwsgi"]}"\n'
            f"max_response = 4096\nmax_connections = 4096\nmax_body = 4096\nheld_kb = {REQUEST_MEMORY_KB}\n"
            '[uwsgi.vars]\nclass = "HTTP_X_CLASS"\nid = "HTTP_X_ID"\nretry = "HTTP_X_RETRY"\n'
            'cost = "HTTP_X_COST_MS"\ntenant = "HTTP_X_TENANT"\n'
        )

    async def _wait_until_healthy(self, port: int) -> None:
        while not await self._is_healthy(port):  # noqa: ASYNC110  (another process can only be polled)
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)

    async def _is_healthy(self, port: int) -> bool:
        """Return whether a node passes its health check.

        Raises:
            ReplayError: A process has exited.
        """
        if any(child.returncode is not None for child in self._children):
            raise ReplayError(EXITED_EARLY)
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
        except OSError:
            return False
        writer.write(write_frame(b"ALIVE", b"1", b""))
        response = await reader.read(MAX_HEALTH_RESPONSE_BYTES)
        writer.close()
        return b"healthy" in response


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])
