"""A node as a process of its own with a kernel that answers at once, for benchmarks."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[1]
HOST = "127.0.0.1"


class Kernel(asyncio.Protocol):
    """A kernel that completes each run at once with a result of a fixed size."""

    def __init__(self, result_size: int, starts: Counter[bytes]) -> None:
        """Initialize the kernel; `starts` counts the runs by body."""
        self._result_size, self._starts = result_size, starts
        self._input = b""
        self._notices = 0
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for the answers."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Handle all complete commands."""
        self._input += data
        while b"\r\n" in self._input:
            line, rest = self._input.split(b"\r\n", 1)
            words = line.split()
            length = int(words[-1]) + 2 if words[0] == b"SCHED" else 0
            if len(rest) < length:
                return
            self._input = rest[length:]
            self._handle(words, rest[: max(0, length - 2)])

    def _handle(self, words: list[bytes], body: bytes) -> None:
        match words:
            case [b"OPEN", _]:
                self._send(b"BOOTED hot 1000\r\n")
            case [b"SYSINFO", tag]:
                self._send(b"INFO %s 0.1 1 0.1 10\r\n" % tag)
            case [b"SCHED", run_id, _, _]:
                self._starts[body] += 1
                self._notices += 1
                result = os.urandom(self._result_size // 2).hex().encode()
                head = b"REAP %d %s complete 1 %d\r\n" % (self._notices, run_id, len(result))
                self._send(head + result + b"\r\n")

    def _send(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)


def free_port() -> int:
    """Return a port that nobody listens on."""
    with socket.create_server((HOST, 0)) as server:
        return int(server.getsockname()[1])


@dataclass(slots=True, frozen=True)
class NodeProcess:
    """A node that was started; it may have ended."""

    process: asyncio.subprocess.Process
    log: Path

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.process.returncode is not None

    @property
    def anonymous_mb(self) -> float:
        """The anonymous memory of the process in MB; 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text("ascii")
        except OSError:
            return 0.0
        fields = status.partition("RssAnon:")[2].split()
        return round(int(fields[0]) / 1024, 1) if fields else 0.0


@asynccontextmanager
async def started_node(
    checkout: Path, config: dict[str, Any], operator: str = "", arguments: Sequence[str] = ()
) -> AsyncIterator[NodeProcess]:
    """Start a node of a checkout, and kill it at the end.

    Args:
        checkout: the directory whose `marlstep` is run.
        config: the configuration of the node.
        operator: the text of the operator's file; none if empty.
        arguments: further arguments of the command.
    """
    with tempfile.TemporaryDirectory() as folder:
        path, log = Path(folder) / "config.json", Path(folder) / "log"
        path.write_text(json.dumps(config), "utf-8")
        if operator:
            operator_path = Path(folder) / "operator.toml"
            operator_path.write_text(operator, "utf-8")
            arguments = ("--operator", str(operator_path), *arguments)
        with log.open("wb") as log_file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-B", "-m", "marlstep", *arguments),
                cwd=checkout,
                env={**os.environ, "PROXY_CONFIG": str(path)},
                stdout=log_file,
                stderr=log_file,
            )
        try:
            yield NodeProcess(process, log)
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()
