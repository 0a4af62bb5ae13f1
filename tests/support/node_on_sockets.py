"""A whole node on loopback sockets whose peers hold back what they would say until a test has seen the other event.

Order comes from barriers: a command that a stand-in has read, an answer, a state of the node. Time is pushed on by
hand, and nothing here sleeps.
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
from tests.support.stand_ins import StandIn
from tests.test_loopback import ShiftedWaker

BOUND_S = 20


async def until(true: Callable[[], object]) -> None:
    """The barrier for what only the node's own state shows. Bounded by the test's own time."""
    while not true():
        await asyncio.sleep(0)


class ScriptedKernel(StandIn):
    """Reads commands, and says what the test has it say. Notices are kept for the next link, as the kernel's are."""

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
        return self.commands.count((word, f"{id:016x}"))

    async def command_read(self, word: str, id: int, times: int = 1) -> None:
        """Barrier: this command has been read so often."""
        await until(lambda: self.command_count(word, id) >= times)

    def _say(self, text: str, body: bytes) -> None:
        self.notices.append(f"{text} {len(body)}\r\n".encode() + body + b"\r\n")
        if self._link is not None:
            self._link.write(self.notices[-1])

    def end_run(self, id: int, end: str = "complete", body: bytes = b"done") -> None:
        self._say(f"REAP {len(self.notices) + 1} {id:016x} {end} 1.5", body)

    def request_call(self, id: int) -> None:
        self._say(f"IOREQ {len(self.notices) + 1} {id:016x}", b"ask")

    def drop_link(self) -> None:
        link, self._link = self._link, None
        if link is not None:
            link.transport.abort()


class ScriptedDatabase(StandIn):
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
        return [one for one, _ in self.calls].count(id)

    async def call_read(self, id: int, times: int = 1) -> asyncio.StreamWriter:
        await until(lambda: self.call_count(id) >= times)
        return [writer for one, writer in self.calls if one == id][times - 1]

    async def reply(self, id: int, times: int = 1) -> None:
        (await self.call_read(id, times)).write(f"{id:016x} ROWS 4\r\nrows\r\n".encode())


class NameServiceRecorder(asyncio.DatagramProtocol):
    """The name service: keeps what is reported."""

    def __init__(self) -> None:
        self.seen: list[bytes] = []

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.seen.append(data)


class RespClient:
    """A front end's connection. It reads only when it is asked for an answer."""

    def __init__(
        self, now: Callable[[], datetime], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._now, self._reader, self.writer = now, reader, writer
        self._ring, self._parser = Ring(1 << 18), FrameReader()
        self.frames: list[list[bytes]] = []

    def frame(self, tag: int, kind: str, body: bytes = b"body", id: int = 0, **fields: Any) -> bytes:
        at = instant_us(self._now()) // 1000
        table = {"id": f"{id or tag:016x}", "at": at, "kb": 1, **fields}
        text = ",".join(f"{name}={value}" for name, value in table.items())
        return write_frame(b"EXEC", b"%d" % tag, kind.encode(), text.encode(), body)

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    def send_request(self, tag: int, kind: str, body: bytes = b"body", id: int = 0, **fields: Any) -> None:
        self.send(self.frame(tag, kind, body, id, **fields))

    async def _more(self) -> bool:
        try:
            data = await self._reader.read(1 << 16)
        except ConnectionError:
            return False
        self._ring.put(data)
        while (frame := self._parser.next(self._ring)) is not None:
            self.frames.append(frame)
        return bool(data)

    async def response(self, tag: int) -> list[bytes]:
        """The word and the body that came for this tag; there must be one, and it must be the first."""
        while not (found := [frame for frame in self.frames if frame[0] == b"%d" % tag]):
            assert await self._more(), f"closed with no answer to {tag}; came: {self.frames}"
        return [found[0][1], found[0][-1]]

    async def status_word(self, tag: int) -> str:
        return (await self.response(tag))[0].decode()

    def reset(self) -> None:
        """Not a half-close: the peer's system says that nobody is there any more."""
        one = self.writer.get_extra_info("socket")
        one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    async def closing_frame(self) -> None:
        while [b"0", b"closing"] not in self.frames:
            assert await self._more(), "closed without a word"

    async def read_to_end(self) -> list[list[bytes]]:
        """All that is said until the connection ends."""
        while await self._more():
            pass
        return self.frames

    def response_count(self, tag: int) -> int:
        return [frame[0] for frame in self.frames].count(b"%d" % tag)


class NodeHarness:
    """One node, its peers and its configuration file."""

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
        await until(lambda: self.core.serving_state.can_serve and self.reports.seen)
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
        """The file that SIGHUP reads."""
        self._raw |= other
        check(self._raw)
        self.path.write_text(json.dumps(self._raw))

    @property
    def core(self) -> Any:
        return self.node.core

    def advance_unread(self, by: timedelta) -> None:
        """Time passes, and the timers that are due are called before anything more is read."""
        self.waker.shift += by
        self.timeline.run_due()

    async def advance(self, ms: float, size: float = 20) -> None:
        """Time passes as a loop sees it that is not late: what has come is read between two steps."""
        while ms > 0:
            self.advance_unread(min(size, ms) * MILLISECOND)
            ms -= size
            for _ in range(4):
                await asyncio.sleep(0)

    @property
    def only_connection(self) -> RespConnection:
        """The only one."""
        [connection] = self.node.resp.connections
        assert isinstance(connection, RespConnection)
        return connection

    async def connect(self) -> RespClient:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.node.resp.port)
        return RespClient(self.waker.now, reader, writer)

    def connect_unread(self, takes: int | None = None) -> socket.socket:
        """A connection that stands at once, while the node's loop does not come round. `takes`: bytes unread."""
        one = socket.socket()
        if takes is not None:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, takes)
        one.settimeout(BOUND_S)
        one.connect(("127.0.0.1", self.node.resp.port))
        return one

    async def adopt(self, blind: socket.socket) -> RespClient:
        blind.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=blind)
        return RespClient(self.waker.now, reader, writer)

    async def send_sigterm(self) -> None:
        os.kill(os.getpid(), signal.SIGTERM)
        await until(lambda: self.core.draining)

    async def reload(self, **other: Any) -> None:
        """SIGHUP, with a new file; done when it was read."""
        self.write_config(**other)
        before = self.node.config
        os.kill(os.getpid(), signal.SIGHUP)
        await until(lambda: self.node.config is not before)

    async def requests_read(self, count: int = 1) -> None:
        """Barrier: so many requests were read in all."""
        await until(lambda: self.core.counts["read"] >= count)

    async def run_to_exit(self) -> None:
        """The node ends by itself: nothing is owed then."""
        while not self.node.ended.is_set():
            await self.advance(20)
        assert self.core.unanswered == 0


Test = Callable[[NodeHarness], Awaitable[Any]]


def run_with_node(folder: Path, test: Test, **other: Any) -> None:
    async def run() -> None:
        async with asyncio.timeout(BOUND_S), NodeHarness(folder, alternate_config(**other)) as harness:
            await test(harness)

    uvloop.run(run())
