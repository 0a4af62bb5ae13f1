"""A cluster of three nodes whose processes may be of different versions, with their files and stores."""

from __future__ import annotations

import json
import re
import secrets
import socket
from pathlib import Path
from typing import Any

from benchmarks.mixed.errors import ExitCodeError
from benchmarks.mixed.http_client import HttpAddress
from benchmarks.mixed.server_process import Launch, LogFindings, ServerProcess, read_log
from benchmarks.mixed.upgrade_site import PLATFORM_CONFIG
from benchmarks.mixed.versions import Version
from marlstep.emulators.site import EmulatedSite
from marlstep.fault_injection.effect_recorder import EffectRecorder
from marlstep.fault_injection.network_links import Ports

NODE_NAMES = ("n1", "n2", "n3")
LEASE_TERM_MS = 1_500
DOCUMENTS_LEASE_MS = 1_500
UNSAFE_TASK = "report"  # its request class is not safe to repeat
TASKS: dict[str, dict[str, Any]] = {
    "sweep": {"every_ms": 250, "class": "schedule-save", "longest_ms": 250},
    "rotate": {"every_ms": 400, "class": "temp-history", "longest_ms": 250},
    UNSAFE_TASK: {"every_ms": 300, "class": "setpoint-cmd", "longest_ms": 250},
}
DOCUMENTS = ("settings", "tenants", "servers")  # each document is named after its kind
TENANTS = {"north": 40.0, "south": 20.0}  # requests per second over all nodes
CORES, CALL_US = 2.0, 5_000
DRAIN_GRACE_US = 300_000
# A predecessor closes its listening address just before its store, so a successor may find the store still in use,
# and retries. All versions have this error text, although their log lines around it differ.
STORE_IN_USE = re.compile(r"voter\.sqlite is in use by another process")


class FleetNode:
    """One node over all its processes: processes are replaced, the addresses and the store are kept."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        """Create the node's folders and reserve its addresses.

        Args:
            cluster: The cluster that the node belongs to.
            name: The node's name.
        """
        self.cluster, self.name = cluster, name
        self.folder = cluster.folder / name
        self.store = self.folder / "store"
        self.temporary_folder = self.folder / "tmp"
        self.temporary_folder.mkdir(parents=True)
        self.fleet_port, self.uwsgi_port, admin_port = (cluster.ports.take() for _ in range(3))
        self.admin = HttpAddress("127.0.0.1", admin_port, cluster.token)
        self.listening = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.processes: list[ServerProcess] = []
        self.operator_file = self.folder / "operator.toml"

    @property
    def process(self) -> ServerProcess:
        """The most recently started process."""
        return self.processes[-1]

    @property
    def version(self) -> Version:
        """The version of the most recently started process."""
        return self.process.version

    def write_operator_file(self) -> None:
        """Write the operator's file, which all versions of this node's processes share."""
        self.operator_file.write_text("\n".join(self._operator_file_lines()) + "\n")

    def _operator_file_lines(self) -> list[str]:
        cluster = self.cluster
        lines = [
            "[admin]",
            f'listen = "127.0.0.1:{self.admin.port}"',
            f'token_file = "{cluster.folder / "token"}"',
            "[uwsgi]",
            f'listen = "127.0.0.1:{self.uwsgi_port}"',
            f'pool.main.servers = ["127.0.0.1:{cluster.effect_recorder.port}"]',
            "[uwsgi.vars]",
            'class = "HTTP_X_CLASS"',
            'id = "HTTP_X_ID"',
            "[fleet]",
            'name = "mixed"',
            f"voters = {json.dumps(NODE_NAMES)}",
            f'key_file = "{cluster.folder / "key"}"',
            f'store = "{self.store}"',
            f"term_ms = {LEASE_TERM_MS}",
            "patience_ms = 400",
            "beat_ms = 80",
            "[fleet.nodes]",
            *(f'{name} = "127.0.0.1:{node.fleet_port}"' for name, node in cluster.nodes.items()),
            "[fleet.members]",
            "probation_ms = 500",
            f'zone = "zone-{self.name}"',
            "[fleet.rules]",
            f"lease_ms = {DOCUMENTS_LEASE_MS}",
            "shares = true",
        ]
        for kind in DOCUMENTS:
            lines += [f"[fleet.rules.documents.{kind}]", f'kind = "{kind}"']
        for task, settings in TASKS.items():
            lines.append(f"[fleet.tasks.{task}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in settings.items()]
        for tenant, quota in TENANTS.items():
            lines += [f"[tenants.{tenant}]", "share = 0.5", f"allowance_per_s = {quota}"]
        return lines

    def write_config(self, addresses: dict[str, str], health_endpoint: HttpAddress, path: Path) -> None:
        """Write the platform's configuration for one process.

        Args:
            addresses: The addresses of the emulated `kernel` and `db`.
            health_endpoint: Where the process listens for health checks.
            path: The file to write.
        """
        config = {
            **self.cluster.config,
            "name": self.name,
            "listen": f"127.0.0.1:{self.listening.getsockname()[1]}",
            "mgmt": f"{health_endpoint.host}:{health_endpoint.port}",
            "kernel": addresses["kernel"],
            "db": addresses["db"],
        }
        path.write_text(json.dumps(config))

    async def start(self, version: Version) -> ServerProcess:
        """Start a process of a version, and return it when it is ready.

        A process of this node that still runs becomes its predecessor.

        Raises:
            CheckFailedError: The process exited or was not ready in time.
        """
        process_number = len(self.processes) + 1
        emulators = EmulatedSite(CORES, 1.0, CALL_US)
        await emulators.open()
        self.cluster.emulators.append(emulators)
        health_endpoint = HttpAddress("127.0.0.1", self.cluster.ports.take())
        config = self.folder / f"config-{process_number}.json"
        self.write_config(emulators.addresses, health_endpoint, config)
        log = self.folder / f"{self.name}-{process_number}-{version.label}.log"
        launch = Launch(
            config, self.listening, self.temporary_folder, health_endpoint, log, self.operator_file
        )
        process = ServerProcess(version, launch)
        self.processes.append(process)
        await process.start()
        await process.wait_ready()
        return process

    async def init_group(self, version: Version) -> None:
        """Create a new group with this node as its first voter, with that version's `fleet init` command.

        Raises:
            CheckFailedError: The command failed or did not exit in time.
        """
        config = self.folder / "config-0.json"
        self.write_config({"kernel": "127.0.0.1:1", "db": "127.0.0.1:1"}, HttpAddress("127.0.0.1", 1), config)
        await version.run("fleet", "init", "--config", str(config), "--operator", str(self.operator_file))

    async def kill(self) -> None:
        """Kill the most recently started process with SIGKILL."""
        await self.process.kill()

    async def drain(self) -> None:
        """Send SIGTERM without having started a successor, and wait until the process exits.

        Raises:
            CheckFailedError: The process did not exit in time, or with a code other than 0.
        """
        code = await self.process.terminate()
        if code:
            raise ExitCodeError(self.name, code, "after SIGTERM")

    async def restart(self) -> None:
        """Kill the process and start another one of the same version.

        Raises:
            CheckFailedError: The new process exited or was not ready in time.
        """
        version = self.version
        await self.kill()
        await self.start(version)

    async def upgrade(self, version: Version) -> None:
        """Replace the running process by a successor of the given version in a hot restart.

        Raises:
            CheckFailedError: The successor was not ready in time, or the predecessor did not exit as expected.
        """
        predecessor = self.process
        self.cluster.successors.append(await self.start(version))
        code = await predecessor.terminate()
        if code:
            raise ExitCodeError(predecessor.launch.log.stem, code, "after SIGTERM beside its successor")


class Cluster:
    """All nodes and the server that their tasks call.

    Used as a context manager, it kills all processes that it started when it exits.
    """

    def __init__(self, folder: Path, checkout: Path, seed: int) -> None:
        """Prepare the cluster.

        Args:
            folder: The folder for the files of all nodes.
            checkout: The checkout whose platform configuration is used.
            seed: The seed of the effect recorder.
        """
        self.folder = folder
        self.token = secrets.token_hex(16)
        self.config: dict[str, Any] = json.loads((checkout / PLATFORM_CONFIG).read_text())
        self.config["settings"]["rules"]["drainGraceUs"] = DRAIN_GRACE_US
        self.config["naming"] = None
        self.ports = Ports()
        self.effect_recorder = EffectRecorder(seed)
        self.emulators: list[EmulatedSite] = []
        self.nodes: dict[str, FleetNode] = {}
        self.successors: list[ServerProcess] = []  # started beside a predecessor that was serving

    async def __aenter__(self) -> Cluster:
        """Write the files of all nodes and start the server that their tasks call; no node is started."""
        (self.folder / "token").write_text(self.token)
        (self.folder / "key").write_text(secrets.token_hex(32))
        await self.effect_recorder.open(self.ports.take())
        for name in NODE_NAMES:
            self.nodes[name] = FleetNode(self, name)
        for node in self.nodes.values():
            node.write_operator_file()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Kill all processes and close all sockets."""
        for process in self.processes:
            if process.running:
                await process.kill()
        await self.effect_recorder.close()
        for emulators in self.emulators:
            emulators.close()
        for node in self.nodes.values():
            node.listening.close()
        self.ports.close()

    @property
    def processes(self) -> list[ServerProcess]:
        """All processes that were started, grouped by node."""
        return [process for node in self.nodes.values() for process in node.processes]

    def others(self, node: FleetNode) -> list[FleetNode]:
        """Return all nodes except the given one."""
        return [other for other in self.nodes.values() if other is not node]

    def read_logs(self) -> dict[str, LogFindings]:
        """Read the logs of all processes, by log name.

        Only a successor in a hot restart is expected to find the store in use by another process.
        """
        return {
            process.launch.log.stem: read_log(
                process.launch.log, STORE_IN_USE if process in self.successors else None
            )
            for process in self.processes
        }
