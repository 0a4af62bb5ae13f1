"""A cluster of real node processes on loopback, with emulated backends, faulty links and the faults of a plan."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import secrets
import shutil
import signal
import socket
import sys
from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from marlstep.cluster.recovery import create_group
from marlstep.cluster.store import FILE_NAME
from marlstep.emulators.site import EmulatedSite
from marlstep.fault_injection.effect_recorder import EffectRecorder, clock_us
from marlstep.fault_injection.errors import ProcessClusterError
from marlstep.fault_injection.faults import FAULT_TYPES, Fault, FaultTarget
from marlstep.fault_injection.network_links import Link, Ports
from marlstep.fault_injection.plan import Plan

READY_S = 20.0  # the longest time for the group to form
LEAVE_S = 8.0  # the longest time from SIGTERM to the exit of a process
NEVER = 1 << 62  # later than any time, in microseconds
SECOND_US = 1_000_000
RESTART_DELAY_S = (0.01, 0.8)  # bounds of the time that a node stays down when all are restarted
# The delay of each write to a slow disk: the minimum, and the range above it from which a fault's duration selects.
MIN_DISK_DELAY_MS, DISK_DELAY_RANGE_MS = 150, 400


@dataclass(slots=True)
class Settings:
    """The configuration of all nodes of a cluster.

    Attributes:
        config: The platform's JSON configuration, in which each node replaces the addresses.
        term_ms: The lease duration, in milliseconds.
        patience_ms: The shortest election timeout, in milliseconds; each is up to twice as long.
        beat_ms: The interval of heartbeats, in milliseconds.
        tasks: The scheduled tasks by name, as in `[fleet.tasks]`.
        most_leases: The most task leases that a process of a node may hold; 0 for no limit.
        pool: Servers of an additional pool for the class temp-history, probed by one node; empty for no such pool.
        rules: The replicated documents by name, as in `[fleet.rules.documents]`.
        rules_ms: The lease duration of the leases on documents, in milliseconds.
        members: The nodes run failure detectors and maintain the list of members.
        tenants: The `allowance_per_s` of each tenant for the whole service, which nodes divide by quota shares.
        broken: The name of the mutation that all nodes run with; empty for none.
        hang: The tasks whose requests are never answered.
        logs: The folder for the logs of the nodes; None discards them.
    """

    config: Mapping[str, Any]
    term_ms: int = 1_500
    patience_ms: int = 400
    beat_ms: int = 80
    tasks: Mapping[str, Mapping[str, Any]] = field(
        default_factory=lambda: {
            "sweep": {"every_ms": 250, "class": "schedule-save", "longest_ms": 250},
            "rotate": {"every_ms": 400, "class": "temp-history", "longest_ms": 250},
            "report": {"every_ms": 300, "class": "setpoint-cmd", "longest_ms": 250},
        }
    )
    most_leases: int = 0
    pool: tuple[str, ...] = ()
    rules: Mapping[str, Mapping[str, Any]] = field(default_factory=dict)
    rules_ms: int = 1_500
    members: bool = False
    tenants: Mapping[str, float] = field(default_factory=dict)
    broken: str = ""
    hang: tuple[str, ...] = ()
    logs: Path | None = None


class NodeProcess:
    """One node of the cluster across restarts and upgrades of its process.

    Attributes:
        rate: How many seconds the node's clock advances in a second.
        store: The folder of the voter's store.
        process: The process that was started last; None before the first start.
        processes: All processes that were started.
        uwsgi: The port of the uwsgi frontend.
        fleet: The port for messages of other nodes.
        admin: The port of the administration interface.
        health_port: The port of the health endpoint of the process that was started last.
        listening: The listening socket, which the platform keeps open across upgrades.
        starts: How many processes were started.
        restarting: The task that restarts the node after a kill, if there was one.
        quiet_since: When the node was last started or continued, in microseconds of the drill's clock; `NEVER` while it
            is stopped, and after it was killed or told to shut down.
    """

    def __init__(self, cluster: ProcessCluster, name: str, rate: float) -> None:
        """Reserve the ports of a node whose clock advances by `rate` seconds in a second."""
        self.cluster, self.name, self.rate = cluster, name, rate
        self.folder = cluster.folder / name
        self.store = self.folder / "store"
        self.process: asyncio.subprocess.Process | None = None
        self.processes: list[asyncio.subprocess.Process] = []
        self.uwsgi, self.fleet, self.admin = (cluster.ports.take() for _ in range(3))
        self.health_port = 0
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.starts = 0
        self.restarting: asyncio.Task[None] | None = None
        self.quiet_since = 0

    @property
    def up(self) -> bool:
        """Whether the process that was started last still exists, running or stopped."""
        return self.process is not None and self.process.returncode is None

    def write_configuration(self, addresses: Mapping[str, str]) -> None:
        """Write the configuration files for the next process.

        Args:
            addresses: The addresses of the emulated kernel and database.
        """
        cluster = self.cluster
        (self.folder / "tmp").mkdir(parents=True, exist_ok=True)
        self.health_port = self.cluster.ports.take()
        port = self.listening.getsockname()[1]
        config = {**cluster.settings.config, "name": self.name, "listen": f"127.0.0.1:{port}"}
        config |= {
            "naming": None,
            "mgmt": f"127.0.0.1:{self.health_port}",
            "kernel": addresses["kernel"],
            "db": addresses["db"],
        }
        (self.folder / "config.json").write_text(json.dumps(config))
        (self.folder / "operator.toml").write_text(self.operator_toml())

    def operator_toml(self) -> str:
        """Return the operator's configuration file as TOML."""
        cluster, options = self.cluster, self.cluster.settings
        lines = [
            "[admin]",
            f'listen = "127.0.0.1:{self.admin}"',
            f'token_file = "{cluster.folder}/token"',
            "[uwsgi]",
            f'listen = "127.0.0.1:{self.uwsgi}"',
            *self._upstream_lines(),
            "max_response = 4096",
            "max_body = 4096",
            "max_connections = 64",
            "[uwsgi.vars]",
            'class = "HTTP_X_CLASS"',
            'id = "HTTP_X_ID"',
            'tenant = "HTTP_X_TENANT"',
            "[fleet]",
            'name = "drill"',
            f"voters = {json.dumps(list(cluster.plan.voters))}",
            f'key_file = "{cluster.folder}/key"',
            f'store = "{self.store}"',
            f'listen = "127.0.0.1:{self.fleet}"',
            f"term_ms = {options.term_ms}",
            f"patience_ms = {options.patience_ms}",
            f"beat_ms = {options.beat_ms}",
            f"most_leases = {options.most_leases}",
            f"probes = {json.dumps(bool(options.pool) and not options.rules)}",
            "[fleet.nodes]",
        ]
        for name, node in cluster.nodes.items():
            port = node.fleet if name == self.name else cluster.links[self.name, name].port
            lines.append(f'{name} = "127.0.0.1:{port}"')
        if options.rules:
            lines += [
                "[fleet.rules]",
                f"lease_ms = {options.rules_ms}",
                f"agree_within_ms = {options.rules_ms + 1_000}",
            ]
        if options.tenants:
            lines.append("shares = true")
        for name, document in options.rules.items():
            lines.append(f"[fleet.rules.documents.{name}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in document.items()]
        if options.members:
            number = list(cluster.nodes).index(self.name)
            lines += ["[fleet.members]", "period_ms = 500", f'zone = "z{number % 3}"']
        for name, task in options.tasks.items():
            lines.append(f"[fleet.tasks.{name}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in task.items()]
        for name, per_s in options.tenants.items():
            lines += [f"[tenants.{name}]", "share = 0.5", f"allowance_per_s = {per_s}"]
        return "\n".join(lines) + "\n"

    def _upstream_lines(self) -> list[str]:
        effect_recorder, pool = f"127.0.0.1:{self.cluster.effect_recorder.port}", self.cluster.settings.pool
        if not pool:
            return [f'upstream = "{effect_recorder}"']
        return [
            f'pool.main.servers = ["{effect_recorder}"]',
            f"pool.more.servers = {json.dumps(list(pool))}",
            'pool.more.classes = ["temp-history"]',
        ]

    async def start(self) -> None:
        """Start a process with the files that were written last."""
        self.starts += 1
        self.quiet_since = clock_us()
        logs: Any = asyncio.subprocess.DEVNULL
        if self.cluster.settings.logs is not None:
            logs = (self.cluster.settings.logs / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "marlstep.fault_injection.faulty_process"),
            *("--operator", str(self.folder / "operator.toml"), "--rate", str(self.rate)),
            *(("--broken", self.cluster.settings.broken) if self.cluster.settings.broken else ()),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=logs,
            env={
                **os.environ,
                "PROXY_CONFIG": str(self.folder / "config.json"),
                "PROXY_PASSED_SOCKET": str(self.listening.fileno()),
                "TMPDIR": str(self.folder / "tmp"),
            },
            pass_fds=[self.listening.fileno()],
        )
        self.processes.append(self.process)

    async def healthy(self) -> bool:
        """Return whether the process that was started last reports that it serves."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.health_port)
            writer.write(b"GET /admin/health HTTP/1.1\r\n\r\n")
            head = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in head

    def order(self, **fields: Any) -> None:
        """Send an order to the fault injection in the process, as `FaultOrders` reads it."""
        if self.up and self.process is not None and self.process.stdin is not None:
            with contextlib.suppress(OSError):
                self.process.stdin.write(json.dumps(fields).encode() + b"\n")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is up."""
        if number != signal.SIGHUP:
            self.quiet_since = clock_us() if number == signal.SIGCONT else NEVER
        if self.up and self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process ends, and return its exit status."""
        assert self.process is not None
        return await self.process.wait()

    async def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def kill_all(self) -> None:
        """Kill every process of the node that still runs, that of an unfinished upgrade included, and wait."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()

    async def call(self, path: str, data: Any = None) -> Any:
        """Call the administration interface: POST with a JSON body if one is given, otherwise GET.

        Raises:
            OSError: The node can't be reached, or its response has a status other than 200 or 202.
            ValueError: The response is not JSON.
        """
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin)
        body = b"" if data is None else json.dumps(data).encode()
        line = f"{'GET' if data is None else 'POST'} {path} HTTP/1.1\r\nAuthorization: Bearer {self.cluster.token}\r\n"
        try:
            writer.write(f"{line}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            response = await reader.read(-1)
        finally:
            writer.close()
        head, _, body = response.partition(b"\r\n\r\n")
        if not head.startswith((b"HTTP/1.1 200", b"HTTP/1.1 202")):
            raise OSError(f"{path}: {head[:80]!r}")
        return json.loads(body)


class ProcessCluster(FaultTarget):
    """All nodes of one drill, with the links between them, the emulated backends and the effect recorder.

    An async context manager: on exit it ends everything that it started.

    Attributes:
        token: The token of the administration interfaces.
        links: The link of each directed pair of nodes.
        counts: How often each type of fault was injected, and what the cluster counts besides.
        injected_faults: The faults so far, each with its time in microseconds of the drill's clock.
        unexpected: Descriptions of processes that did not start or end in time.
        upgrade_durations_s: The seconds from SIGTERM to the exit of the old process, for each upgrade.
    """

    def __init__(self, plan: Plan, settings: Settings, folder: Path) -> None:
        """Initialize a cluster that starts on entry; `folder` is for the files of all nodes."""
        self.plan, self.settings, self.folder = plan, settings, folder
        self.chance = random.Random(plan.seed)
        self.token = secrets.token_hex(16)
        self.ports = Ports()
        self.effect_recorder = EffectRecorder(plan.seed)
        self.links: dict[tuple[str, str], Link] = {}
        self.nodes: dict[str, NodeProcess] = {}
        self.counts: Counter[str] = Counter()
        self.injected_faults: list[tuple[int, Fault]] = []
        self.unexpected: list[str] = []
        self._sites: list[EmulatedSite] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._next_store_loss_at = 0.0
        self.upgrade_durations_s: list[float] = []
        self._closing = False

    async def __aenter__(self) -> ProcessCluster:
        """Start the cluster; if that fails, end everything that was started."""
        try:
            await self._open()
        except BaseException:
            await self._close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """End everything that the cluster started."""
        await self._close()

    async def _open(self) -> None:
        plan = self.plan
        (self.folder / "token").write_text(self.token)
        (self.folder / "key").write_text(secrets.token_hex(32))
        if self.settings.logs is not None:
            self.settings.logs.mkdir(parents=True, exist_ok=True)
        for name, rate in zip(plan.nodes, plan.rates, strict=True):
            self.nodes[name] = NodeProcess(self, name, rate)
        await self.effect_recorder.open(self.ports.take())
        self.effect_recorder.hang_tasks |= set(self.settings.hang)
        for origin in plan.nodes:
            for other in plan.nodes:
                if origin != other:
                    link = Link(("127.0.0.1", self.nodes[other].fleet), self.chance)
                    await link.open(0)
                    self.links[origin, other] = link
        for node in self.nodes.values():
            site = EmulatedSite(cores=2, speed=1.0, call_us=10_000)
            await site.open()
            self._sites.append(site)
            node.write_configuration(site.addresses)
        first = plan.voters[0]
        create_group(
            self.nodes[first].store, first, f"{first}#{secrets.token_hex(4)}", f"1.{secrets.token_hex(4)}"
        )
        for node in self.nodes.values():
            await node.start()
        await self._wait_for_group()
        self._spawn(self._copy_stores())

    async def _wait_for_group(self) -> None:
        """Wait until all voters of the plan are voters of the group.

        Raises:
            ProcessClusterError: A node ended, or the group did not form in `READY_S`.
        """
        deadline = asyncio.get_running_loop().time() + READY_S
        while asyncio.get_running_loop().time() < deadline:
            for name, node in self.nodes.items():
                if not node.up:
                    raise ProcessClusterError(f"{name} ended before the drill began")
            voters = set()
            for name in self.plan.voters:
                with contextlib.suppress(OSError, ValueError, TypeError, KeyError):
                    status = await self.nodes[name].call("/v1/fleet")
                    voters |= {identity.partition("#")[0] for identity in status["voter"]["voters"]}
            if voters == set(self.plan.voters):
                return
            await asyncio.sleep(0.1)
        raise ProcessClusterError(f"the group did not form in {READY_S:.0f} s")

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _copy_stores(self) -> None:
        """Copy the stores of all voters periodically, for faults that restore an old copy."""
        while True:
            await asyncio.sleep(1.5)
            for name in self.plan.voters:
                node = self.nodes[name]
                copy = node.folder / "old"
                if node.store.exists() and not (node.folder / "keep").exists():
                    shutil.rmtree(copy, ignore_errors=True)
                    with contextlib.suppress(OSError):
                        shutil.copytree(node.store, copy)

    # Fault injection.

    async def run(self) -> None:
        """Inject the faults of the plan at their times, and return at the end of the plan."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        for fault in self.plan.faults:
            await asyncio.sleep(max(0.0, start + fault.at_ms / 1000 - loop.time()))
            self.injected_faults.append((clock_us(), fault))
            self.counts[fault.kind] += 1
            self._inject(await self._resolve_roles(fault))
        await asyncio.sleep(max(0.0, start + self.plan.length_ms / 1000 - loop.time()))

    async def _resolve_roles(self, fault: Fault) -> Fault:
        """Return the fault with its roles replaced by the nodes that have them now."""
        names = {}
        for name in {fault.node, fault.other} & {"@holder", "@leader"}:
            names[name] = await self._leader() if name == "@leader" else self._holder()
        return replace(
            fault, node=names.get(fault.node, fault.node), other=names.get(fault.other, fault.other)
        )

    def _holder(self) -> str:
        """Return the node that last acted for the first task, or the first node."""
        task = next(iter(self.settings.tasks))
        effects = [
            effect for effect in self.effect_recorder.effects if effect.task == task and effect.accepted
        ]
        return effects[-1].node.partition("/")[0] if effects else self.plan.nodes[0]

    async def _leader(self) -> str:
        """Return the leader with the highest term, or the first voter."""
        highest_term, leader = -1, self.plan.voters[0]
        for name, status in (await self.statuses(self.plan.voters)).items():
            voter = status.get("voter")
            if voter and voter["role"] == "leader" and voter["term"] > highest_term:
                highest_term, leader = voter["term"], name
        return leader

    def _inject(self, fault: Fault) -> None:
        FAULT_TYPES[fault.kind].inject(fault, self)

    def node_names(self) -> Collection[str]:
        """Return the names of all nodes, running or not."""
        return self.nodes.keys()

    def draw_restart_delay_us(self) -> int:
        """Return a random time for which a node stays down when all nodes are restarted."""
        return int(self.chance.uniform(*RESTART_DELAY_S) * SECOND_US)

    def kill(self, node: str, duration_us: int) -> None:
        """Kill the node's process, and start it again with its store after the duration."""
        self._schedule_restart(self.nodes[node], duration_us / SECOND_US, "keep")

    def wipe_store(self, node: str, duration_us: int) -> None:
        """Kill a voter and delete its store, unless the group could lose its majority."""
        self._spawn(self._lose_store(self.nodes[node], duration_us / SECOND_US, "wipe"))

    def restore_old_store(self, node: str, duration_us: int) -> None:
        """Kill a voter and replace its store by an old copy, unless the group could lose its majority."""
        self._spawn(self._lose_store(self.nodes[node], duration_us / SECOND_US, "old store"))

    def pause(self, node: str, duration_us: int) -> None:
        """Suspend the node's process, and continue it after the duration."""
        self._spawn(self._pause_process(self.nodes[node], duration_us / SECOND_US))

    def drain(self, node: str, duration_us: int) -> None:
        """Shut the node down gracefully, and start it again after the duration."""
        self._spawn(self._drain_and_restart(self.nodes[node], duration_us / SECOND_US))

    def slow_disk(self, node: str, duration_us: int) -> None:
        """Delay each write of the node to its store."""
        delay_ms = MIN_DISK_DELAY_MS + duration_us // 1_000 % DISK_DELAY_RANGE_MS
        self._order_for(self.nodes[node], duration_us, {"disk_ms": delay_ms}, {"disk_ms": 0})

    def fill_disk(self, node: str, duration_us: int) -> None:
        """Fail each write of the node to its store."""
        self._order_for(self.nodes[node], duration_us, {"disk_full": True}, {"disk_full": False})

    def _order_for(
        self, node: NodeProcess, duration_us: int, order: Mapping[str, Any], undo: Mapping[str, Any]
    ) -> None:
        node.order(**order)
        asyncio.get_running_loop().call_later(duration_us / SECOND_US, lambda: node.order(**undo))

    def kill_at_step(self, node: str, step: str) -> None:
        """Kill the node's process when it next reaches the step, and start it again."""
        self.nodes[node].order(hook=step)
        self._spawn(self._restart_after_step(self.nodes[node]))

    def pause_at_step(self, node: str, step: str, duration_us: int) -> None:
        """Suspend the node's process when it next reaches the step, and continue it after the duration."""
        self.nodes[node].order(hook=step, stop=True)
        self._spawn(self._continue_after_step(self.nodes[node], duration_us / SECOND_US))

    def upgrade(self, node: str) -> None:
        """Start a new process beside the node's running one, and end the old one when the new one is ready."""
        self._spawn(self._upgrade_process(self.nodes[node]))

    def reload_configuration(self, node: str) -> None:
        """Signal the node to reload its files."""
        self.nodes[node].signal(signal.SIGHUP)

    def jump_clock(self, node: str, duration_us: int) -> None:
        """Set the node's clock forward by the duration."""
        self.nodes[node].order(jump_ms=duration_us // 1_000)

    def drop_messages(self, origin: str, target: str, duration_us: int) -> None:
        """Drop every message from one node to the other."""
        if (link := self.links.get((origin, target))) is not None:
            link.cut_until = self._loop_time_after(duration_us)

    def delay_messages(self, origin: str, target: str, duration_us: int) -> None:
        """Delay messages from one node to the other at random."""
        if (link := self.links.get((origin, target))) is not None:
            link.slow_until = self._loop_time_after(duration_us)

    def trickle_messages(self, origin: str, target: str, duration_us: int) -> None:
        """Deliver messages from one node to the other byte by byte."""
        if (link := self.links.get((origin, target))) is not None:
            link.trickle_until = self._loop_time_after(duration_us)

    def duplicate_messages(self, origin: str, target: str, duration_us: int) -> None:
        """Deliver messages from one node to the other more than once."""
        if (link := self.links.get((origin, target))) is not None:
            link.repeat_until = self._loop_time_after(duration_us)

    def reset_connection(self, origin: str, target: str) -> None:
        """Reset the connection from one node to the other in the middle of the next message."""
        if (link := self.links.get((origin, target))) is not None:
            link.reset_next = True

    @staticmethod
    def _loop_time_after(duration_us: int) -> float:
        """Return the time of the event loop, in seconds, at which a fault that begins now is over."""
        return asyncio.get_running_loop().time() + duration_us / SECOND_US

    def _schedule_restart(self, node: NodeProcess, duration_s: float, store: str) -> None:
        """Kill the node and restart it after `duration_s`, unless a restart is under way.

        `store` is what happens to its store meanwhile: `keep`, `wipe` or `old store`.
        """
        if node.restarting is None or node.restarting.done():
            task = asyncio.get_running_loop().create_task(self._kill_and_restart(node, duration_s, store))
            node.restarting = task
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _kill_and_restart(self, node: NodeProcess, duration_s: float, store: str) -> None:
        await node.kill()
        self.counts["kills"] += 1
        if store == "wipe":
            shutil.rmtree(node.store, ignore_errors=True)
        elif store == "old store" and (node.folder / "old" / FILE_NAME).exists():
            shutil.rmtree(node.store, ignore_errors=True)
            shutil.copytree(node.folder / "old", node.store)
        await asyncio.sleep(duration_s)
        if not self._closing:
            await node.start()

    async def _lose_store(self, node: NodeProcess, duration_s: float, store_fault: str) -> None:
        """Restart a voter with an empty or old store, unless the group could lose its majority.

        A second voter may lose its store only after the first was replaced in the group: otherwise a majority of those
        that stored an entry could be gone.
        """
        now = asyncio.get_running_loop().time()
        voters: list[str] = []
        if now >= self._next_store_loss_at:
            self._next_store_loss_at = now + 6.0
            for name in self.plan.voters:
                with contextlib.suppress(OSError, ValueError, TypeError, KeyError):
                    status = await asyncio.wait_for(self.nodes[name].call("/v1/fleet"), 1.0)
                    if status["voter"]["role"] == "leader":
                        voters = status["voter"]["voters"]
        is_group_complete = {voter.partition("#")[0] for voter in voters} == set(self.plan.voters)
        others = [
            voter for name, voter in self.nodes.items() if name in self.plan.voters and voter is not node
        ]
        if not is_group_complete or not all(voter.up for voter in others):
            self.counts["spared"] += 1
            return
        self._schedule_restart(node, duration_s, store_fault)

    async def _pause_process(self, node: NodeProcess, duration_s: float) -> None:
        process = node.process
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        if node.process is process:
            node.signal(signal.SIGCONT)

    async def _continue_after_step(self, node: NodeProcess, duration_s: float) -> None:
        """Wait for the node to stop itself at its step, and continue it after `duration_s`."""
        process = node.process
        for _ in range(200):
            await asyncio.sleep(0.02)
            if process is None or process.returncode is not None:
                return
            state = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()[0]
            if state == "T":
                self.counts["stopped at hooks"] += 1
                await asyncio.sleep(duration_s)
                break
        if node.process is process:
            node.signal(signal.SIGCONT)

    async def _upgrade_process(self, node: NodeProcess) -> None:
        """Start a successor as the platform does, and send SIGTERM to the old one once it is ready."""
        predecessor = node.process
        if predecessor is None or predecessor.returncode is not None:
            return
        site = EmulatedSite(cores=2, speed=1.0, call_us=10_000)
        await site.open()
        self._sites.append(site)
        node.write_configuration(site.addresses)
        await node.start()
        for _ in range(400):
            await asyncio.sleep(0.05)
            if await node.healthy():
                break
        else:
            self.unexpected.append(f"the new process of {node.name} was not ready in 20 s")
        signalled_at = asyncio.get_running_loop().time()
        with contextlib.suppress(ProcessLookupError):
            predecessor.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(predecessor.wait(), LEAVE_S)
        except TimeoutError:
            self.unexpected.append(f"the elder of {node.name} did not end {LEAVE_S:.0f} s after SIGTERM")
            predecessor.kill()
        self.counts["upgraded"] += 1
        self.upgrade_durations_s.append(asyncio.get_running_loop().time() - signalled_at)

    async def _drain_and_restart(self, node: NodeProcess, duration_s: float) -> None:
        if not node.up or (node.restarting is not None and not node.restarting.done()):
            return
        node.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(node.wait(), LEAVE_S)
        except TimeoutError:
            self.unexpected.append(f"{node.name} did not end {LEAVE_S:.0f} s after SIGTERM")
        self._schedule_restart(node, duration_s, "keep")

    async def _restart_after_step(self, node: NodeProcess) -> None:
        """Restart the node after it has died at its step; cancel the fault if it does not reach the step in 4 s."""
        process = node.process
        if process is None:
            return
        try:
            await asyncio.wait_for(process.wait(), 4.0)
        except TimeoutError:
            node.order(hook="")
            return
        if node.process is process:
            self.counts["hooks"] += 1
            self._schedule_restart(node, self.chance.uniform(0.05, 1.0), "keep")

    # Shutdown and status.

    async def _close(self) -> None:
        self._closing = True
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self.nodes.values():
            node.signal(signal.SIGCONT)
            await node.kill()
            await node.kill_all()
        await asyncio.gather(*(link.close() for link in self.links.values()))
        await self.effect_recorder.close()
        for node in self.nodes.values():
            node.listening.close()
        self.ports.close()
        for site in self._sites:
            site.close()

    async def statuses(self, names: Sequence[str] = ()) -> dict[str, Any]:
        """Return the cluster status that each node reports, or the error; of all nodes if no names are given."""
        responses: dict[str, Any] = {}
        for name in names or self.nodes:
            try:
                responses[name] = await asyncio.wait_for(self.nodes[name].call("/v1/fleet"), 2.0)
            except (OSError, ValueError, TimeoutError) as error:
                responses[name] = {"fault": repr(error)}
        return responses
