"""The clients of a soak: they send requests over RESP and uwsgi, keep using open connections, and record all of it."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from dataclasses import dataclass

from marlstep.emulators.work_plan import WorkPlan
from marlstep.fault_injection.effect_recorder import clock_us
from marlstep.fault_injection.soak.history import Excuse, History, ReceivedResponse, RequestRecord
from marlstep.frontends.resp_wire import FrameReader, write_frame
from marlstep.frontends.uwsgi_wire import write_packet
from marlstep.net.ring import Ring
from marlstep.units import SystemClock, instant_us

unix_time = SystemClock().now
HOST = "127.0.0.1"
RING_BYTES = 1 << 18
RESPONSE_TIMEOUT_S = 12.0  # longer than any deadline; a request without a response by then has none
CLOSING_CROSSING_US = 50_000  # requests written until then after `0 closing` may cross it, and are sent again
MAX_PIPELINED = 4  # requests of one client at a time on a connection
MAX_REQUESTS_PER_CONNECTION = 30
THINK_TIME_S = (0.005, 0.15)
SILENT_TIME_S = (1.0, 4.0)
PIECE_PAUSE_S = (0.001, 0.3)  # between two pieces of one request, shorter than the read timeout of 1.5 s
REPEAT_SHARE, PIECES_SHARE, SILENT_SHARE, LEAVE_SHARE = 0.25, 0.1, 0.02, 0.03
WORK_US = (500, 20_000)
MAX_CALLS = 2
MAX_REPEATABLE = 60  # keyed requests that are remembered for a repeat


@dataclass(slots=True, frozen=True)
class RequestClass:
    """What a client knows of a request class."""

    name: str
    deadline_us: int
    has_key: bool


@dataclass(slots=True, frozen=True)
class KeyedWork:
    """Keyed work that a client may send again."""

    request_class: RequestClass
    plan: WorkPlan
    sent_us: int
    repeat_until_us: int


class Traffic:
    """What all clients share: the classes, the numbers of requests, keyed work to repeat, and whether to connect.

    Attributes:
        may_connect: Whether clients may open connections; False while no process of the node accepts any.
        stopped: Set when the clients are to end.
    """

    def __init__(
        self, history: History, classes: list[RequestClass], port: int, uwsgi_port: int, repeat_window_us: int
    ) -> None:
        """Initialize the traffic to the node's RESP port and uwsgi port; the latter is 0 without uwsgi."""
        self.history, self.classes = history, classes
        self.port, self.uwsgi_port = port, uwsgi_port
        self.may_connect = asyncio.Event()
        self.stopped = asyncio.Event()
        self.connections: dict[int, RespClient] = {}  # open RESP connections by the client's port
        self.uwsgi_requests: dict[int, RequestRecord] = {}  # waiting for a response, by the client's port
        self._repeat_window_us = repeat_window_us
        self._repeatable: list[KeyedWork] = []
        self._count = 0

    def forget_keyed_work(self) -> None:
        """Repeat no work that was sent before: its keys are lost with the only process of the node."""
        self._repeatable.clear()

    def next_work(self, chance: random.Random) -> tuple[RequestClass, WorkPlan]:
        """Return new work, or keyed work to be sent again."""
        now = clock_us()
        repeatable = [work for work in self._repeatable if now < work.repeat_until_us]
        if repeatable and chance.random() < REPEAT_SHARE:
            chosen = chance.choice(repeatable)
            return chosen.request_class, chosen.plan
        request_class = chance.choice(self.classes)
        self._count += 1
        plan = WorkPlan(self._count, chance.randint(*WORK_US), chance.randint(0, MAX_CALLS))
        if request_class.has_key:
            self._repeatable = repeatable[-MAX_REPEATABLE:]
            self._repeatable.append(KeyedWork(request_class, plan, now, now + self._repeat_window_us))
        return request_class, plan

    def record(self, request_class: RequestClass, plan: WorkPlan, frontend: str, port: int) -> RequestRecord:
        """Add a request to the history."""
        record = RequestRecord(
            len(self.history.requests) + 1,
            plan.number,
            request_class.name,
            request_class.deadline_us,
            frontend,
            port,
        )
        self.history.requests.append(record)
        return record

    async def connect(self, port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Open a connection when the node accepts some; None if it is refused."""
        await self.may_connect.wait()
        try:
            return await asyncio.open_connection(HOST, port)
        except OSError:
            await asyncio.sleep(THINK_TIME_S[1])
            return None

    def excuse_connections(self, ports: set[int]) -> None:
        """Excuse the open requests on connections of a process that is about to be killed before its time."""
        for port in ports:
            if (client := self.connections.get(port)) is not None:
                client.excuse_open_requests(Excuse.KILLED_EARLY)
            if (record := self.uwsgi_requests.get(port)) is not None:
                record.excuse = Excuse.KILLED_EARLY

    @property
    def open_requests(self) -> int:
        """Number of requests that still wait for a response."""
        return sum(client.open_requests for client in self.connections.values()) + len(self.uwsgi_requests)


class RespClient:
    """One RESP connection. Requests are sent while it stands, whatever the node announces but `0 closing`."""

    def __init__(
        self,
        traffic: Traffic,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        chance: random.Random,
    ) -> None:
        """Initialize the client of an open connection."""
        self.traffic, self._reader, self._writer, self._chance = traffic, reader, writer, chance
        self.port = int(writer.get_extra_info("sockname")[1])
        self.closing_us = 0
        self._ended = asyncio.Event()
        self._open: dict[int, RequestRecord] = {}
        self._excuse: Excuse | None = None
        self._last_tag = 0
        self._changed = asyncio.Event()
        self._ring, self._frames = Ring(RING_BYTES), FrameReader()
        self._answered: dict[int, RequestRecord] = {}
        traffic.connections[self.port] = self
        self._reading = asyncio.create_task(self._read())

    @property
    def open_requests(self) -> int:
        """Number of requests on this connection that wait for a response."""
        return len(self._open)

    @property
    def usable(self) -> bool:
        """Whether more requests may be sent."""
        return not self._ended.is_set() and not self.closing_us and self._excuse is None

    def excuse_open_requests(self, excuse: Excuse) -> None:
        """Excuse the open requests, and those that are sent from now on."""
        self._excuse = excuse
        for record in self._open.values():
            record.excuse = excuse

    async def send(self) -> None:
        """Send one request, at times in pieces."""
        request_class, plan = self.traffic.next_work(self._chance)
        self._last_tag += 1
        tag = self._last_tag
        record = self.traffic.record(request_class, plan, "resp", self.port)
        self._open[tag] = record
        fields = f"id={record.number:016x},at={instant_us(unix_time()) // 1000},kb=1"
        fields += f",once=w{plan.number}" if request_class.has_key else ""
        frame = write_frame(
            b"EXEC", b"%d" % tag, request_class.name.encode(), fields.encode(), plan.to_body()
        )
        with contextlib.suppress(OSError):
            if self._chance.random() < PIECES_SHARE:
                cut = self._chance.randrange(1, len(frame))
                self._writer.write(frame[:cut])
                await self._writer.drain()
                await asyncio.sleep(self._chance.uniform(*PIECE_PAUSE_S))
                frame = frame[cut:]
            self._writer.write(frame)
            await self._writer.drain()
            self._mark_written(record)

    def _mark_written(self, record: RequestRecord) -> None:
        if self._ended.is_set() or record.connection_end:
            return
        record.written_us = clock_us()
        crossed = self.closing_us and record.written_us > self.closing_us
        record.excuse = self._excuse or (Excuse.CROSSED_CLOSING if crossed else None)

    async def settle(self) -> None:
        """Wait until all open requests have responses, or none can come any more."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                while self._open and not self._ended.is_set():
                    self._changed.clear()
                    await self._changed.wait()

    async def close(self, *, leave: bool = False) -> None:
        """Close the connection; with `leave` without waiting for the responses, which are not owed any more."""
        if leave:
            self.excuse_open_requests(Excuse.CLIENT_LEFT)
        else:
            await self.settle()
        self._end("open" if self._open else "closed by the client")
        self._reading.cancel()
        self._writer.close()

    async def _read(self) -> None:
        end = "end of stream"
        try:
            while data := await self._reader.read(1 << 16):
                self._ring.put(data)
                while (words := self._frames.next(self._ring)) is not None:
                    self._handle(words)
        except OSError:
            end = "reset"
        except ValueError as error:
            end = f"unreadable: {error}"
        self._end(end)

    def _handle(self, words: list[bytes]) -> None:
        if words[1] == b"closing":
            self.closing_us = clock_us()
            self._changed.set()
            return
        tag = int(words[0])
        record = self._open.pop(tag, None) or self._answered.get(tag)
        if record is not None:
            self._answered[tag] = record
            record.responses.append(ReceivedResponse(clock_us(), words[1].decode(), words[-1]))
        self._changed.set()

    def _end(self, how: str) -> None:
        if self._ended.is_set():
            return
        self._ended.set()
        self._changed.set()
        self.traffic.connections.pop(self.port, None)
        for record in self._open.values():
            record.connection_end, record.ended_us = how, clock_us()


async def run_resp_client(traffic: Traffic, chance: random.Random) -> None:
    """Open connections one after another, and send requests on each until it closes or its number is reached."""
    while not traffic.stopped.is_set():
        streams = await traffic.connect(traffic.port)
        if streams is None:
            continue
        client = RespClient(traffic, *streams, chance)
        pipelined = chance.randint(1, MAX_PIPELINED)
        for _ in range(MAX_REQUESTS_PER_CONNECTION):
            if not client.usable or traffic.stopped.is_set():
                break
            await client.send()
            if client.open_requests >= pipelined:
                await client.settle()
            silent = chance.random() < SILENT_SHARE
            await asyncio.sleep(chance.uniform(*(SILENT_TIME_S if silent else THINK_TIME_S)))
        await client.close(leave=chance.random() < LEAVE_SHARE)


async def run_uwsgi_client(traffic: Traffic, chance: random.Random) -> None:
    """Send one request after another, each on a connection of its own."""
    idempotent = [item for item in traffic.classes if not item.has_key]
    while not traffic.stopped.is_set():
        await _exchange_over_uwsgi(traffic, chance.choice(idempotent))
        await asyncio.sleep(chance.uniform(*THINK_TIME_S))


async def _exchange_over_uwsgi(traffic: Traffic, request_class: RequestClass) -> None:
    streams = await traffic.connect(traffic.uwsgi_port)
    if streams is None:
        return
    reader, writer = streams
    port = int(writer.get_extra_info("sockname")[1])
    record = traffic.record(request_class, WorkPlan(0, 1_000), "uwsgi", port)
    traffic.uwsgi_requests[port] = record
    body = WorkPlan(record.number, 1_000).to_body()
    variables = {"HTTP_X_CLASS": request_class.name, "CONTENT_LENGTH": str(len(body))}
    received, record.connection_end = bytearray(), "end of stream"
    try:
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            writer.write(write_packet(variables, body))
            await writer.drain()
            record.written_us = clock_us()
            record.excuse = None if record.excuse is Excuse.NOT_WRITTEN else record.excuse
            while data := await reader.read(1 << 16):
                received += data
    except TimeoutError:
        record.connection_end = "timed out"
    except OSError:
        record.connection_end = "reset"
    traffic.uwsgi_requests.pop(port, None)
    record.ended_us = clock_us()
    writer.close()
    for head in range(received.count(b"HTTP/1.1 ")):
        status = received.split(b"HTTP/1.1 ")[head + 1][:3].decode("latin-1")
        record.responses.append(ReceivedResponse(record.ended_us, status, bytes(received[-64:])))


class Crowd:
    """Connections that send nothing, or half a request, and stand until the crowd leaves."""

    def __init__(self, traffic: Traffic, size: int, chance: random.Random) -> None:
        """Initialize a crowd of `size` connections to the RESP port."""
        self._traffic, self._size, self._chance = traffic, size, chance
        self._sockets: list[socket.socket] = []

    async def run(self) -> None:
        """Connect one after another, and again where the node has closed some."""
        while not self._traffic.stopped.is_set():
            await self._traffic.may_connect.wait()
            self._drop_closed()
            if len(self._sockets) < self._size:
                self._connect()
            await asyncio.sleep(0.01)
        self.close()

    def _connect(self) -> None:
        with contextlib.suppress(OSError):
            connection = socket.create_connection((HOST, self._traffic.port), timeout=1)
            connection.setblocking(False)
            if self._chance.random() < 0.5:
                connection.send(b"*5\r\n$4\r\nEX"[: self._chance.randint(1, 10)])
            self._sockets.append(connection)

    def _drop_closed(self) -> None:
        for connection in list(self._sockets):
            try:
                closed = connection.recv(1 << 12) == b""
            except BlockingIOError:
                closed = False
            except OSError:
                closed = True
            if closed:
                connection.close()
                self._sockets.remove(connection)

    def close(self) -> None:
        """Close all connections."""
        for connection in self._sockets:
            connection.close()
        self._sockets.clear()
