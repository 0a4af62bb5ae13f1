"""A whole node on loopback sockets, with peers that act only on request of the test.

A test enforces the order of two events by waiting for a command that a peer has read, a response, or a state of the
node. The clock only advances on request, and nothing sleeps.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import struct
from collections.abc import Awaitable, Callable
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

import uvloop

from marlstep.config import Config, check, load
from marlstep.frontends.resp import RespConnection
from marlstep.frontends.resp_wire import FrameReader, write_frame
from marlstep.net.ring import Ring
from marlstep.node import Node
from marlstep.timer_queue import TimerQueue
from marlstep.units import MILLISECOND, instant_us
from tests.support.alternate_settings import alternate_config
from tests.support.fake_servers import FakeServer
from tests.test_loopback import ShiftedWaker

TEST_TIMEOUT_S = 20


async def until(condition: Callable[[], object]) -> None:
    """Yield to the event loop until the condition is true. Only the timeout of the whole test limits the wait."""
    while not condition():
        await asyncio.sleep(0)


class ScriptedKernel(FakeServer):
    """A kernel that records commands and sends notices only when the test calls for them.

    Like the real kernel, it keeps notices and sends those that the node has not read again on the next connection.
    """

    def __init__(self) -> None:
        super().__init__()
        self.commands: list[tuple[str, str]] = []
        self.bodies: dict[tuple[str, str], bytes] = {}
        self.classes: dict[str, str] = {}
        self.up = asyncio.Event()
        self.up.set()
        self.notices: list[bytes] = []
        self.link_count = 0
        self._link: asyncio.StreamWriter | None = None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            words = line.decode().split()
            body = await reader.readexactly(int(words[-1]) + 2) if words[0] in ("SCHED", "IODONE") else b""
            if words[0] == "OPEN":
                self.link_count += 1
                await self.up.wait()
                self._link = writer
                writer.write(b"BOOTED hot 10\r\n" + b"".join(self.notices[int(words[1]) :]))
            elif words[0] == "SYSINFO":
                writer.write(f"INFO {words[1]} 3 0.5\r\n".encode())
            else:
                self.bodies[words[0], words[1]] = body[:-2]
                if words[0] == "SCHED":
                    self.classes[words[1]] = words[2]
                self.commands.append((words[0], words[1]))

    def command_count(self, word: str, id: int) -> int:
        """Return how often a command was read for a request."""
        return self.commands.count((word, f"{id:016x}"))

    async def command_read(self, word: str, id: int, times: int = 1) -> None:
        """Wait until a command has been read for a request `times` times."""
        await until(lambda: self.command_count(word, id) >= times)

    def _notify(self, text: str, body: bytes) -> None:
        self.notices.append(f"{text} {len(body)}\r\n".encode() + body + b"\r\n")
        if self._link is not None:
            self._link.write(self.notices[-1])

    def end_run(self, id: int, end: str = "complete", body: bytes = b"done") -> None:
        """Report the end of a run."""
        self._notify(f"REAP {len(self.notices) + 1} {id:016x} {end} 1.5", body)

    def request_call(self, id: int) -> None:
        """Report that a run needs a downstream call."""
        self._notify(f"IOREQ {len(self.notices) + 1} {id:016x}", b"ask")

    def drop_link(self) -> None:
        """Break the connection to the node."""
        link, self._link = self._link, None
        if link is not None:
            link.transport.abort()


class ScriptedDatabase(FakeServer):
    """A database that records calls and replies only when the test calls `reply`."""

    def __init__(self) -> None:
        super().__init__()
        self.calls: list[tuple[int, asyncio.StreamWriter]] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            match line.decode().split():
                case ["Q", id, _, length]:
                    await reader.readexactly(int(length) + 2)
                    self.calls.append((int(id, 16), writer))

    def call_count(self, id: int) -> int:
        """Return the number of calls that were read for a request."""
        return [request_id for request_id, _ in self.calls].count(id)

    async def call_read(self, id: int, times: int = 1) -> asyncio.StreamWriter:
        """Wait until `times` calls of a request have been read; return the connection of the last of them."""
        await until(lambda: self.call_count(id) >= times)
        return [writer for request_id, writer in self.calls if request_id == id][times - 1]

    async def reply(self, id: int, times: int = 1) -> None:
        """Wait for the call number `times` of a request (from 1) and reply to it."""
        (await self.call_read(id, times)).write(f"{id:016x} ROWS 4\r\nrows\r\n".encode())


class NameServiceRecorder(asyncio.DatagramProtocol):
    """A name service that records the datagrams that it receives."""

    def __init__(self) -> None:
        self.datagrams: list[bytes] = []

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.datagrams.append(data)


class RespClient:
    """A client connection. It reads only while a test waits for a frame."""

    def __init__(
        self, now: Callable[[], datetime], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._now, self._reader, self.writer = now, reader, writer
        self._ring, self._parser = Ring(1 << 18), FrameReader()
        self.frames: list[list[bytes]] = []

    def frame(self, tag: int, request_class: str, body: bytes = b"body", id: int = 0, **fields: Any) -> bytes:
        """Return the frame of a request that is sent now.

        Its id is its tag unless `id` is given. `fields` are further request fields by their names on the wire.
        """
        at = instant_us(self._now()) // 1000
        table = {"id": f"{id or tag:016x}", "at": at, "kb": 1, **fields}
        text = ",".join(f"{name}={value}" for name, value in table.items())
        return write_frame(b"EXEC", b"%d" % tag, request_class.encode(), text.encode(), body)

    def send(self, data: bytes) -> None:
        """Send raw bytes."""
        self.writer.write(data)

    def send_request(
        self, tag: int, request_class: str, body: bytes = b"body", id: int = 0, **fields: Any
    ) -> None:
        """Send a request. Its id is its tag unless `id` is given."""
        self.send(self.frame(tag, request_class, body, id, **fields))

    async def _read_more(self) -> bool:
        try:
            data = await self._reader.read(1 << 16)
        except ConnectionError:
            return False
        self._ring.put(data)
        while (frame := self._parser.next(self._ring)) is not None:
            self.frames.append(frame)
        return bool(data)

    async def response(self, tag: int) -> list[bytes]:
        """Wait for the response with this tag, and return its status word and its body."""
        while not (found := [frame for frame in self.frames if frame[0] == b"%d" % tag]):
            assert await self._read_more(), f"closed without a response to {tag}; received: {self.frames}"
        return [found[0][1], found[0][-1]]

    async def status_word(self, tag: int) -> str:
        """Wait for the response with this tag, and return its status word."""
        return (await self.response(tag))[0].decode()

    def reset(self) -> None:
        """Reset the connection with a TCP RST, as happens when the client's process is killed."""
        connection = self.writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    async def closing_frame(self) -> None:
        """Wait until the node asks the client to close the connection."""
        while [b"0", b"closing"] not in self.frames:
            assert await self._read_more(), "closed without a closing frame"

    async def read_to_end(self) -> list[list[bytes]]:
        """Read until the connection closes, and return all frames received on it."""
        while await self._read_more():
            pass
        return self.frames

    def response_count(self, tag: int) -> int:
        """Return the number of frames with this tag that have been read."""
        return [frame[0] for frame in self.frames].count(b"%d" % tag)


class NodeHarness:
    """A node with scripted peers and a configuration file, on a clock that the test advances."""

    def __init__(self, folder: Path, raw: dict[str, Any]) -> None:
        self.path = folder / "config.json"
        self._raw = raw
        self.kernel, self.database = ScriptedKernel(), ScriptedDatabase()

    async def __aenter__(self) -> NodeHarness:
        loop = asyncio.get_running_loop()
        await self.kernel.start()
        await self.database.start()
        self.naming, self.reports = await loop.create_datagram_endpoint(
            NameServiceRecorder, local_addr=("127.0.0.1", 0)
        )
        port = self.naming.get_extra_info("sockname")[1]
        self._raw |= {
            "kernel": self.kernel.address,
            "db": self.database.address,
            "naming": f"127.0.0.1:{port}",
        }
        self.write_config()
        self.waker = ShiftedWaker(loop)
        self.timeline = TimerQueue(self.waker)
        self.node = Node(self._read(), self.timeline, self._read)
        await self.node.open()
        await until(lambda: self.core.serving_state.can_serve and self.reports.datagrams)
        return self

    def _read(self) -> Config:
        return load({"PROXY_CONFIG": str(self.path)})

    async def __aexit__(self, *_: object) -> None:
        self.node.resp.stop_accepting()
        await self.node.close()
        self.kernel.stop()
        self.database.stop()
        self.naming.close()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, signal.SIG_DFL if number == signal.SIGTERM else signal.default_int_handler)

    def write_config(self, **other: Any) -> None:
        """Check and write the configuration file, which the node reads at start and on SIGHUP.

        Keyword arguments replace its keys.
        """
        self._raw |= other
        check(self._raw)
        self.path.write_text(json.dumps(self._raw))

    @property
    def core(self) -> Any:
        """The core of the node, typed as `Any` so that tests can inspect its internals."""
        return self.node.core

    def advance_unread(self, by: timedelta) -> None:
        """Advance the clock and run due timers before any socket is read, as happens when the event loop lags."""
        self.waker.shift += by
        self.timeline.run_due()

    async def advance(self, ms: float, size: float = 20) -> None:
        """Advance the clock in steps of `size` ms, reading sockets between them like an event loop without lag."""
        while ms > 0:
            self.advance_unread(min(size, ms) * MILLISECOND)
            ms -= size
            for _ in range(4):
                await asyncio.sleep(0)

    @property
    def only_connection(self) -> RespConnection:
        """The node's connection, which must be the only one."""
        [connection] = self.node.resp.connections
        assert isinstance(connection, RespConnection)
        return connection

    async def connect(self) -> RespClient:
        """Open a connection to the node's frontend."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.node.resp.port)
        return RespClient(self.waker.now, reader, writer)

    def connect_unread(self, receive_buffer: int | None = None) -> socket.socket:
        """Open a connection without running the node's event loop, so that it waits in the listen backlog.

        `receive_buffer` is the SO_RCVBUF size in bytes, which limits what the client receives without reading.
        """
        connection = socket.socket()
        if receive_buffer is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        connection.settimeout(TEST_TIMEOUT_S)
        connection.connect(("127.0.0.1", self.node.resp.port))
        return connection

    async def adopt(self, connection: socket.socket) -> RespClient:
        """Return a client for a connection that `connect_unread` opened."""
        connection.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=connection)
        return RespClient(self.waker.now, reader, writer)

    async def send_sigterm(self) -> None:
        """Send SIGTERM and wait until the node is shutting down."""
        os.kill(os.getpid(), signal.SIGTERM)
        await until(lambda: self.core.is_shutting_down)

    async def reload(self, **other: Any) -> None:
        """Change the configuration file, send SIGHUP, and wait until the new configuration is in force."""
        self.write_config(**other)
        before = self.node.config
        os.kill(os.getpid(), signal.SIGHUP)
        await until(lambda: self.node.config is not before)

    async def requests_read(self, count: int = 1) -> None:
        """Wait until the node has read `count` requests in total."""
        await until(lambda: self.core.counts["read"] >= count)

    async def run_to_exit(self) -> None:
        """Advance the clock until the node exits, and check that no request is left without a response."""
        while not self.node.ended.is_set():
            await self.advance(20)
        assert self.core.unanswered == 0


Test = Callable[[NodeHarness], Awaitable[Any]]


def run_with_node(folder: Path, test: Test, **other: Any) -> None:
    """Run a test with a new node that has the alternate settings. Keyword arguments replace configuration keys."""

    async def run() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S), NodeHarness(folder, alternate_config(**other)) as harness:
            await test(harness)

    uvloop.run(run())
