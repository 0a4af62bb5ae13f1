"""A replay over sockets: a node process between the stand-ins' process and the senders here.

Open loop: requests leave at their planned instants whatever has been answered. How late they left is measured; a
run whose senders fell behind by more than a stated bound says nothing about the node, and is said not to count.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import socket
import sys
import tempfile
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httptools

from marlstep.core.interfaces import ResponseStatus
from marlstep.emulators.work_plan import WorkPlan
from marlstep.frontends.resp_wire import FrameReader, read_fields, write_frame
from marlstep.frontends.uwsgi_wire import write_packet
from marlstep.net.stream import RingStream
from marlstep.traces.mapping import PlannedRequest
from marlstep.traces.replay.campaign import Attempt, Campaign, calls_of
from marlstep.units import SystemClock

RING_SIZE = 64 * 1024
OPEN_LIMIT = 32  # requests on one connection of the platform's wire
HELD_KB = 20.0
READY_S = 20.0  # for the node to answer its first health check
LEAD_US = 300_000  # from the last preparation to the first request
WORDS = {b"done": ResponseStatus.DONE, b"later": ResponseStatus.REJECTED}
STATUS = {200: ResponseStatus.DONE, 503: ResponseStatus.REJECTED, 504: ResponseStatus.EXPIRED}
OnAnswer = Callable[[str, ResponseStatus, int, bool], None]  # id, verdict, after in microseconds, poor


class ReplayError(Exception):
    """Why a replay could not be run, in one line."""


class RespSender(RingStream):
    """One connection of a front end."""

    def __init__(self, on_answer: OnAnswer, on_close: Callable[[RespSender], None]) -> None:
        super().__init__(RING_SIZE)
        self.open: dict[int, str] = {}
        self.closing = False
        self._frames = FrameReader()
        self._tag = 0
        self._on_answer, self._on_close = on_answer, on_close

    def exec(self, attempt: Attempt, fields: str, body: bytes) -> None:
        self._tag += 1
        self.open[self._tag] = attempt.id
        kind = attempt.work.planned.request_class.encode()
        self.send(write_frame(b"EXEC", b"%d" % self._tag, kind, fields.encode(), body))

    def data_received(self) -> None:
        while (words := self._frames.next(self.inbox)) is not None:
            tag = int(words[0])
            if tag == 0:
                self.closing = True
                self._on_close(self)
                continue
            id = self.open.pop(tag, None)
            fields = read_fields(words[2]) if len(words) > 2 else {}
            body = words[3] if len(words) > 3 else b""
            if id is not None:
                after = int(fields.get("after", "0")) * 1000
                self._on_answer(
                    id, WORDS.get(words[1], ResponseStatus.FAILED), after, body.startswith(b"poor")
                )
        if (self.closing and not self.open) or self.at_eof:
            self.finish()

    def closed(self) -> None:
        self.closing = True
        self._on_close(self)


class UwsgiSender(RingStream):
    """One request of a gateway, on a connection of its own."""

    def __init__(self, id: str, packet: bytes, on_answer: OnAnswer) -> None:
        super().__init__(RING_SIZE)
        self._id, self._packet, self._on_answer = id, packet, on_answer
        self._parser = httptools.HttpResponseParser(self)
        self._body = b""
        self._after = 0

    def opened(self) -> None:
        self.send(self._packet)

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            self._after = int(value) * 1_000_000

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        verdict = STATUS.get(self._parser.get_status_code(), ResponseStatus.FAILED)
        self._on_answer(self._id, verdict, self._after, self._body.startswith(b"poor"))
        self.finish()

    def data_received(self) -> None:
        data = self.inbox.take(self.inbox.used)
        if data:
            self._parser.feed_data(data)
        if self.at_eof:
            self.finish()

    def closed(self) -> None:
        """A request that is lost shows as one without an answer."""


@dataclass(slots=True)
class Settings:
    """How a replay is run. Times are microseconds."""

    config: Mapping[str, Any]  # the node's, as the platform writes it; the addresses are replaced
    front: str = "resp"  # or uwsgi
    speed: float = 1.0
    call_us: int = 30_000
    senders: int = 4  # front ends
    nodes: int = 1
    late_us: int = 50_000  # a run whose senders were later than this at the 99th percentile does not count
    once: str = "setpoint-cmd"  # the class that must never run twice


@dataclass(slots=True)
class Loopback:
    settings: Settings
    campaign: Campaign
    account: dict[str, int] = field(default_factory=dict)
    node_cpu_s: float = 0.0  # of all nodes, from their start to their end
    _children: list[asyncio.subprocess.Process] = field(default_factory=list)
    _spare: list[list[RespSender]] = field(default_factory=list)
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    _start: float = 0.0
    _resp: list[int] = field(default_factory=list)  # ports, by node
    _uwsgi: list[int] = field(default_factory=list)
    _where: dict[str, int] = field(default_factory=dict)  # the node of each open request

    def now_us(self) -> int:
        return int((asyncio.get_running_loop().time() - self._start) * 1e6)

    async def run(self, rows: Iterator[PlannedRequest]) -> None:
        with tempfile.TemporaryDirectory() as folder:
            try:
                await self._open(Path(folder))
                await self._replay(rows)
                await self._close()
            finally:
                for child in self._children:
                    if child.returncode is None:
                        child.kill()
                        await child.wait()

    # The other processes.

    async def _child(self, *words: str, **environ: str) -> asyncio.subprocess.Process:
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *words,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL if not os.environ.get("MARLSTEP_REPLAY_LOG") else None,
            env={**os.environ, **environ},
        )
        self._children.append(child)
        return child

    async def _open(self, folder: Path) -> None:
        told = self.settings
        cores = str(told.config["settings"]["familyInfo"]["cpus"])
        words = [
            "marlstep.emulators",
            "--nodes",
            str(told.nodes),
            "--cores",
            cores,
            "--speed",
            str(told.speed),
        ]
        stand_ins = await self._child(*words, "--call-us", str(told.call_us), "--once", told.once)
        assert stand_ins.stdout is not None
        line = await asyncio.wait_for(stand_ins.stdout.readline(), READY_S)
        if not line:
            raise ReplayError("the stand-ins did not start")
        for number, addresses in enumerate(json.loads(line)):
            await self._node(folder, number, addresses)
        for port in self._resp:
            await asyncio.wait_for(self._until_healthy(port), READY_S)

    async def _node(self, folder: Path, number: int, addresses: Mapping[str, str]) -> None:
        told = self.settings
        self._resp.append(free_port())
        self._uwsgi.append(free_port())
        config = {**told.config, "listen": f"127.0.0.1:{self._resp[-1]}", "naming": None, "mgmt": None}
        config |= {"kernel": addresses["kernel"], "db": addresses["db"]}
        path, operator = folder / f"{number}.json", folder / f"{number}.toml"
        path.write_text(json.dumps(config))
        operator.write_text(
            f'[uwsgi]\nlisten = "127.0.0.1:{self._uwsgi[-1]}"\nupstream = "{addresses["uwsgi"]}"\nmax_response = 4096\n'
            f'max_connections = 4096\nmax_body = 4096\nheld_kb = {HELD_KB}\n[uwsgi.vars]\nclass = "HTTP_X_CLASS"\n'
            'id = "HTTP_X_ID"\nretry = "HTTP_X_RETRY"\ncost = "HTTP_X_COST_MS"\ntenant = "HTTP_X_TENANT"\n'
        )
        extra = ["--operator", str(operator)] if told.front == "uwsgi" else []
        await self._child("marlstep", "node", *extra, PROXY_CONFIG=str(path))

    async def _until_healthy(self, port: int) -> None:
        while True:
            if any(child.returncode is not None for child in self._children):
                raise ReplayError("the node or the stand-ins ended before the first request")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.write(write_frame(b"ALIVE", b"1", b""))
            answer = await reader.read(100)
            writer.close()
            if b"healthy" in answer:
                return
            await asyncio.sleep(0.05)

    async def _close(self) -> None:
        """End the node by the notice, as the platform does, and take the stand-ins' account."""
        stand_ins, *nodes = self._children
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        for node in nodes:
            node.terminate()
        for node in nodes:
            await asyncio.wait_for(node.wait(), READY_S)
        after = resource.getrusage(
            resource.RUSAGE_CHILDREN
        )  # the nodes are the children that ended meanwhile
        self.node_cpu_s = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
        assert stand_ins.stdin is not None and stand_ins.stdout is not None
        stand_ins.stdin.close()
        told = await asyncio.wait_for(stand_ins.stdout.readline(), READY_S)
        self.account = json.loads(told)
        await stand_ins.wait()

    # Sending.

    async def _replay(self, rows: Iterator[PlannedRequest]) -> None:
        loop = asyncio.get_running_loop()
        self._spare = [[] for _ in range(self.settings.senders * self.settings.nodes)]
        self._start = loop.time() + LEAD_US / 1e6
        numbered = enumerate(rows)
        sent = asyncio.Event()

        def next_row() -> None:
            """One timer at a time: a long schedule takes no more memory than a short one."""
            while (found := next(numbered, None)) is not None:
                number, planned = found
                delay = planned.at_us - self.now_us()
                if delay > 0:
                    loop.call_at(self._start + planned.at_us / 1e6, first, number, planned)
                    return
                self._send(self.campaign.begin(number, planned))
            sent.set()

        def first(number: int, planned: PlannedRequest) -> None:
            self._send(self.campaign.begin(number, planned))
            next_row()

        next_row()
        await sent.wait()
        while self.campaign.open and self.now_us() < self.campaign.last_due_us() + 1_000_000:
            await asyncio.sleep(0.02)

    def _send(self, attempt: Attempt) -> None:
        self.campaign.record_sent(attempt, self.now_us())
        self._where[attempt.id] = attempt.node
        planned, number = attempt.work.planned, attempt.work.number
        plan = WorkPlan(
            number, planned.work_us, calls_of(self.campaign.classes[planned.request_class], number)
        )
        if self.settings.front == "uwsgi":
            self._send_uwsgi(attempt, plan)
        else:
            self._send_resp(attempt, plan)

    def _send_resp(self, attempt: Attempt, plan: WorkPlan) -> None:
        sender = attempt.work.number % self.settings.senders
        cost = plan.work_us / self.settings.speed / 1000
        at = round(SystemClock().now().timestamp() * 1000)
        fields = f"id={attempt.id},at={at},from={sender},kb={HELD_KB},cost={cost:.2f},rank=0.5"
        fields += ",retry=1" if attempt.is_retry else ""
        fields += f",tenant={attempt.work.planned.tenant}" if attempt.work.planned.tenant.isalnum() else ""
        spare = self._spare[attempt.node * self.settings.senders + sender]
        for connection in spare:
            if not connection.closing and len(connection.open) < OPEN_LIMIT and connection.connected:
                connection.exec(attempt, fields, plan.to_body())
                return
        connection = RespSender(self._answered, lambda one: spare.remove(one) if one in spare else None)
        spare.append(connection)
        self._dial(
            connection, self._resp[attempt.node], lambda: connection.exec(attempt, fields, plan.to_body())
        )

    def _send_uwsgi(self, attempt: Attempt, plan: WorkPlan) -> None:
        planned = attempt.work.planned
        variables = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": "/",
            "HTTP_X_CLASS": planned.request_class,
            "HTTP_X_ID": f"work-{attempt.work.number}" if planned.request_class == self.settings.once else "",
            "HTTP_X_RETRY": "1" if attempt.is_retry else "",
            "HTTP_X_COST_MS": f"{plan.work_us / self.settings.speed / 1000:.2f}",
            "HTTP_X_TENANT": planned.tenant,
            "MARLSTEP_PLAN": plan.to_body().decode(),
        }
        connection = UwsgiSender(attempt.id, write_packet(variables), self._answered)
        self._dial(connection, self._uwsgi[attempt.node], lambda: None)

    def _dial(self, connection: RingStream, port: int, then: Callable[[], None]) -> None:
        async def open() -> None:
            try:
                await asyncio.get_running_loop().create_connection(lambda: connection, "127.0.0.1", port)
            except OSError:
                connection.closed()  # what was to go there is without an answer, and counts as lost
                return
            then()

        task = asyncio.get_running_loop().create_task(open())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _answered(self, id: str, verdict: ResponseStatus, after_us: int, poor: bool) -> None:
        stand_ins = self._children[0]
        if stand_ins.stdin is not None:
            stand_ins.stdin.write(b"%d %b\n" % (self._where.pop(id, 0), id.encode()))
        following = self.campaign.record_response(id, verdict, self.now_us(), after_us, poor)
        if following is not None:
            at = self._start + following.at_us / 1e6
            asyncio.get_running_loop().call_at(at, self._send, following)


def free_port() -> int:
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return int(one.getsockname()[1])
