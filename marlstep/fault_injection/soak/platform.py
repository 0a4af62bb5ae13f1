"""The platform around the node of a soak: its processes, the passed socket, the emulators and the name service."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import signal
import socket
import sys
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

from marlstep.emulators.site import EmulatedSite
from marlstep.fault_injection.effect_recorder import clock_us
from marlstep.fault_injection.network_links import Ports
from marlstep.fault_injection.soak.history import History, ProcessRecord, ResourceSample

HOST = "127.0.0.1"
NODE_NAME = "n1"
LISTEN_BACKLOG = 512
CORES, SPEED, CALL_US = 3.0, 1.0, 5_000
MEMORY_MB, DESCRIPTORS = 192, 384
MAX_START_S = 30.0  # for a process to become ready, beside load
READY_POLL_S = 0.02
MAX_DEADLINE_OF_UPGRADE_S, UPGRADE_MARGIN_S = (
    3.0,
    0.7,
)  # the platform's earliest SIGKILL after SIGTERM in an upgrade
LOG_FAULTS = ("Traceback", "unhandled_error", "callback failed", "Task exception", "exception was never")
KEY_WINDOW_US = 60_000_000  # in which keyed work is not run again; longer than a soak
MUTATED_MODULE = "marlstep.fault_injection.soak.mutated_node"
UWSGI_VARIABLES = {"class": "HTTP_X_CLASS"}


class NodeProcess:
    """One process of the node, with a kernel, a database and a uwsgi server of its own."""

    def __init__(self, platform: SoakPlatform, number: int) -> None:
        """Initialize the process without starting it."""
        self._platform = platform
        self.record = ProcessRecord(number, 0)
        self.site = EmulatedSite(CORES, SPEED, CALL_US)
        self.health_port = 0
        self.config_path = platform.folder / f"config{number}.json"
        self.log_path = platform.folder / f"log{number}"
        self._subprocess: asyncio.subprocess.Process | None = None

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._subprocess is not None and self._subprocess.returncode is None

    async def start(self) -> None:
        """Start the process as the deploy file's `run` does."""
        await self.site.open()
        self.health_port = self._platform.ports.take()
        self.write_config()
        module = MUTATED_MODULE if self._platform.mutation else "marlstep"
        arguments = ["-B", "-m", module, *([self._platform.mutation] if self._platform.mutation else [])]
        operator = self._platform.write_operator_file(self)
        if operator is not None:
            arguments += ["--operator", str(operator)]
        descriptor = self._platform.passed_socket.fileno()
        variables = {
            "PROXY_CONFIG": str(self.config_path),
            "PROXY_PASSED_SOCKET": str(descriptor),
            "TMPDIR": str(self._platform.folder / "tmp"),
        }
        with self.log_path.open("wb") as log_file:
            self._subprocess = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                env={**os.environ, **variables},
                pass_fds=[descriptor],
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log_file,
                stderr=log_file,
            )
        self.record.pid = self._subprocess.pid

    def write_config(self) -> None:
        """Write the node's configuration with the platform's present settings."""
        addresses = self.site.addresses
        config = {
            **self._platform.config,
            "name": NODE_NAME,
            "listen": f"{HOST}:{self._platform.port}",
            "mgmt": f"{HOST}:{self.health_port}",
            "kernel": addresses["kernel"],
            "db": addresses["db"],
            "naming": f"{HOST}:{self._platform.naming_port}",
        }
        draft = self.config_path.with_suffix(".draft")
        draft.write_text(json.dumps(config), "utf-8")
        draft.replace(self.config_path)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self._subprocess is not None and self.running:
            with contextlib.suppress(ProcessLookupError):
                self._subprocess.send_signal(number)

    async def handles_reload(self) -> None:
        """Wait until the process has run its first statements: before that, no program can handle a signal."""
        for _ in range(int(MAX_START_S / READY_POLL_S)):
            if not self.running or _has_disposition(self.record.pid, signal.SIGHUP):
                return
            await asyncio.sleep(READY_POLL_S)

    async def call(self, method: str, path: str) -> int:
        """Return the status of a call to the health endpoint; 0 if there is no answer."""
        with contextlib.suppress(OSError, TimeoutError, ValueError, IndexError):
            async with asyncio.timeout(2):
                reader, writer = await asyncio.open_connection(HOST, self.health_port)
                writer.write(f"{method} {path} HTTP/1.1\r\n\r\n".encode())
                head = await reader.read()
                writer.close()
                return int(head.split()[1])
        return 0

    async def ready(self) -> bool:
        """Wait until the process can serve; return False if it exits or takes longer than `MAX_START_S`."""
        for _ in range(int(MAX_START_S / READY_POLL_S)):
            if not self.running:
                return False
            if await self.call("GET", "/admin/health") == 200:
                return True
            await asyncio.sleep(READY_POLL_S)
        return False

    async def wait_for_exit(self, limit_s: float) -> bool:
        """Wait for the exit of the process; return whether it has exited within the limit."""
        if self._subprocess is None:
            return True
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._subprocess.wait(), limit_s)
        return not self.running

    async def kill(self) -> None:
        """Kill the process, and wait for its end."""
        self.signal(signal.SIGKILL)
        if self._subprocess is not None:
            await self._subprocess.wait()

    def finish(self, logs: Path | None) -> None:
        """Record the exit code and the errors in the log, and copy the log to a folder if one is given."""
        if self._subprocess is not None:
            self.record.exit_code = self._subprocess.returncode
        text = self.log_path.read_text("utf-8", "replace") if self.log_path.exists() else ""
        if logs is not None:
            (logs / self.log_path.name).write_text(text, "utf-8")
        self.record.log_faults = [
            line for line in text.splitlines() if any(fault in line for fault in LOG_FAULTS)
        ]

    def client_ports(self, port: int) -> set[int]:
        """Return the client's port of each connection of this process on a port, and of those it has not accepted."""
        owned = _socket_inodes(self.record.pid)
        return {
            remote
            for local, remote, inode in _established(self.record.pid)
            if local == port and inode in {*owned, 0}
        }


def _has_disposition(pid: int, number: signal.Signals) -> bool:
    """Return whether a process ignores or handles a signal."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text("ascii").splitlines():
            name, _, mask = line.partition(":")
            if name in ("SigIgn", "SigCgt") and int(mask, 16) >> (number - 1) & 1:
                return True
    return False


def _socket_inodes(pid: int) -> set[int]:
    inodes = set()
    with contextlib.suppress(OSError):
        for path in Path(f"/proc/{pid}/fd").iterdir():
            with contextlib.suppress(OSError):
                target = os.readlink(path)
                if target.startswith("socket:["):
                    inodes.add(int(target[8:-1]))
    return inodes


def _established(pid: int) -> list[tuple[int, int, int]]:
    """Return local port, remote port and inode of each TCP connection that is seen from a process."""
    rows = []
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/net/tcp").read_text("ascii").splitlines()[1:]:
            columns = line.split()
            local, remote = (int(columns[index].rpartition(":")[2], 16) for index in (1, 2))
            rows.append((local, remote, int(columns[9])))
    return rows


class NameServiceRecorder(asyncio.DatagramProtocol):
    """A name service that records reports, unless it is away."""

    def __init__(self, history: History) -> None:
        """Initialize the recorder; `wants_requests` is what the node has to report."""
        self._history = history
        self.away = False
        self.wants_requests = True

    def datagram_received(self, data: bytes, _address: object) -> None:
        """Record a report."""
        if not self.away:
            self._history.reports.append((clock_us(), data.decode().split()[-1], self.wants_requests))


class SoakPlatform:
    """The node's processes, and what the platform provides for them."""

    def __init__(
        self, folder: Path, config: dict[str, Any], history: History, has_operator_file: bool, mutation: str
    ) -> None:
        """Initialize the platform.

        Args:
            folder: For configurations, logs and the runtime directory.
            config: The node's configuration, whose addresses are replaced.
            history: Receives what happens.
            has_operator_file: Whether uwsgi and administration are turned on.
            mutation: Name of a planted fault; empty for none.
        """
        self.folder, self.history, self.mutation = folder, history, mutation
        self.config = soak_config(config)
        self.has_operator_file = has_operator_file
        self.ports = Ports()
        self.processes: list[NodeProcess] = []
        self.passed_socket = socket.create_server((HOST, 0), backlog=LISTEN_BACKLOG)
        self.port = int(self.passed_socket.getsockname()[1])
        self.uwsgi_port = self.ports.take() if has_operator_file else 0
        self.admin_port = self.ports.take() if has_operator_file else 0
        self.naming = NameServiceRecorder(history)
        self.naming_port = 0
        self._naming_transport: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        """Start the name service."""
        (self.folder / "tmp").mkdir()
        loop = asyncio.get_running_loop()
        self._naming_transport, _ = await loop.create_datagram_endpoint(
            lambda: self.naming, local_addr=(HOST, 0)
        )
        self.naming_port = int(self._naming_transport.get_extra_info("sockname")[1])

    def write_operator_file(self, process: NodeProcess) -> Path | None:
        """Write the operator's file of a process; None if the soak has none."""
        if not self.has_operator_file:
            return None
        token = self.folder / "token"
        token.write_text("soak-token-0123456789", "ascii")
        path = self.folder / f"operator{process.record.number}.toml"
        path.write_text(
            f'[uwsgi]\nlisten = "{HOST}:{self.uwsgi_port}"\nupstream = "{process.site.addresses["uwsgi"]}"\n'
            f'max_connections = 64\n[uwsgi.vars]\nclass = "{UWSGI_VARIABLES["class"]}"\n'
            f'[admin]\nlisten = "{HOST}:{self.admin_port}"\ntoken_file = "{token}"\n',
            "utf-8",
        )
        return path

    async def start_process(self) -> NodeProcess:
        """Start a process without waiting for it to be ready."""
        process = NodeProcess(self, len(self.processes))
        process.record.incarnation = self._current_incarnation()
        self.processes.append(process)
        self.history.processes.append(process.record)
        await process.start()
        return process

    def _current_incarnation(self) -> int:
        """Return the incarnation of the node that a process begins or joins now."""
        if not self.processes:
            return 0
        newest = self.processes[-1].record.incarnation
        return newest if self.running else newest + 1

    @property
    def running(self) -> list[NodeProcess]:
        """The processes that run, oldest first."""
        return [process for process in self.processes if process.running]

    def upgrade_kill_s(self) -> float:
        """Return the earliest time of SIGKILL after SIGTERM to a process with a successor, in seconds."""
        longest_s = max(row["hardLimitUs"] for row in self.config["settings"]["classes"]) / 1e6
        return float(min(longest_s, MAX_DEADLINE_OF_UPGRADE_S) + UPGRADE_MARGIN_S)

    def sample(self) -> None:
        """Record the memory and the descriptors of all running processes."""
        memory_kb = descriptors = 0
        running = self.running
        for process in running:
            with contextlib.suppress(OSError):
                status = Path(f"/proc/{process.record.pid}/status").read_text("ascii")
                memory_kb += int(status.partition("VmRSS:")[2].split()[0])
                descriptors += sum(1 for _ in Path(f"/proc/{process.record.pid}/fd").iterdir())
        if running and memory_kb:
            self.history.samples.append(ResourceSample(clock_us(), len(running), memory_kb, descriptors))

    def starts_by_incarnation(self) -> list[Counter[tuple[str, int]]]:
        """Return how often each piece of work was started in each incarnation of the node, by class and number."""
        counts: defaultdict[int, Counter[tuple[str, int]]] = defaultdict(Counter)
        for process in self.processes:
            counts[process.record.incarnation].update(process.site.kernel.machine.start_counts)
        return list(counts.values())

    async def close(self) -> None:
        """End all processes and emulators."""
        for process in self.processes:
            if process.running:
                process.record.killed_early = True  # the soak could not be played to its end
                await process.kill()
            process.site.close()
        if self._naming_transport is not None:
            self._naming_transport.close()
        self.passed_socket.close()
        self.ports.close()


def soak_config(config: dict[str, Any]) -> dict[str, Any]:
    """Return the node's configuration with a keyed class and key windows that are longer than a soak."""
    changed = copy.deepcopy(config)
    changed["limits"] = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}
    classes = changed["settings"]["classes"]
    for row in classes:
        if row["semantics"] != "idempotent":
            row["repeatWindowUs"] = KEY_WINDOW_US
    classes[1].update(semantics="deduplicated", repeatWindowUs=KEY_WINDOW_US)
    return changed
