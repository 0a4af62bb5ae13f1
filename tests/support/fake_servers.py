"""Fakes of the kernel, the database and a uwsgi server, on loopback sockets."""

from __future__ import annotations

import asyncio
from collections import Counter

from marlstep.frontends.uwsgi_wire import PacketReader
from marlstep.net.ring import Ring


class FakeServer:
    """A server on a free loopback port.

    Attributes:
        runs: how often each request was run, by request id.
        writers: the write ends of all connections that were accepted.
        address: "host:port" once the server has started.
    """

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.writers: list[asyncio.StreamWriter] = []
        self.address = ""

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._handle, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def stop(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class FakeKernel(FakeServer):
    """A kernel that ends each run at once, after one downstream call if the body starts with "call".

    Args:
        cut_at: run counts, from 1. When a notice is due at such a count, the connection is aborted instead of sending
            it. As all notices, it is sent again on the next connection.
    """

    def __init__(self, cut_at: tuple[int, ...] = ()) -> None:
        super().__init__()
        self.notices: list[bytes] = []
        self.opened: list[int] = []
        self._cut_at = set(cut_at)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            words = line.decode().split()
            body = await reader.readexactly(int(words[-1]) + 2) if words[0] in ("SCHED", "IODONE") else b""
            match words:
                case ["OPEN", last]:
                    self.opened.append(int(last))
                    writer.write(b"BOOTED hot 10\r\n" + b"".join(self.notices[int(last) :]))
                case ["SYSINFO", tag]:
                    writer.write(f"INFO {tag} 0.5 1 0.1 3\r\n".encode())
                case ["SCHED", id, _, _] if id not in self.runs:
                    self.runs[id] += 1
                    if body.startswith(b"call"):
                        self._send_notice(writer, f"IOREQ %d {id} 3\r\nask\r\n")
                    else:
                        self._send_notice(writer, f"REAP %d {id} complete 1.5 4\r\ndone\r\n")
                case ["IODONE", id, _]:
                    self._send_notice(writer, f"REAP %d {id} complete 2.5 {len(body) - 2}\r\n{body.decode()}")

    def _send_notice(self, writer: asyncio.StreamWriter, text: str) -> None:
        self.notices.append((text % (len(self.notices) + 1)).encode())
        if len(self.runs) in self._cut_at:
            self._cut_at.remove(len(self.runs))
            writer.transport.abort()
        else:
            writer.write(self.notices[-1])


class FakeDatabase(FakeServer):
    """A database that replies to each call at once, and counts the calls by id in `runs`."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            match line.decode().split():
                case ["Q", id, _, length]:
                    await reader.readexactly(int(length) + 2)
                    self.runs[id] += 1
                    writer.write(f"{id} ROWS 4\r\nrows\r\n".encode())


class FakeUwsgiServer(FakeServer):
    """A uwsgi server that responds to each packet; PATH_INFO selects a fault, and any other path a normal response.

    `reached` is set once a packet has arrived.
    """

    def __init__(self) -> None:
        super().__init__()
        self.reached = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        packets, ring = PacketReader(1 << 16), Ring(1 << 16)
        while (packet := packets.next(ring)) is None:
            data = await reader.read(1000)
            if not data:
                return
            ring.put(data)
        self.runs[packet.variables.get("X_ID", "")] += 1
        self.reached.set()
        match packet.variables.get("PATH_INFO"):
            case "/hang":
                await reader.read()
            case "/die":
                writer.transport.abort()
            case "/half":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
            case "/endless":
                writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 10_000)
            case "/unsized":
                writer.write(b"HTTP/1.1 200 OK\r\n\r\nto the end")
            case "/garbage":
                writer.write(b"what is this\r\n\r\n")
            case _:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
        await writer.drain()
