"""Loopback proxies, one per directed pair of nodes, that can drop, delay, trickle, reset and duplicate messages."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from typing import cast

from marlstep.cluster.wire import STREAM_MAGIC
from marlstep.net.framing import KEYED_BYTES

# Bytes before the body of a frame: magic, length and authentication.
HEAD = len(STREAM_MAGIC) + 4 + KEYED_BYTES
CHUNK = 64 * 1024
TRIES = 20  # ports from the system that are tried until one is free for both TCP and UDP


class DatagramForwarder(asyncio.DatagramProtocol):
    """Receives the datagrams of a link, which forwards them to its target or drops them."""

    def __init__(self, link: Link) -> None:
        self._link = link
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._link.datagram(data)


class Link:
    """A proxy for the streams and datagrams from one node to another, with faults.

    Attributes:
        target: The host and port to forward to.
        port: The loopback port on which it accepts connections and datagrams.
        cut_until: Until when messages are dropped, in seconds of the event loop's clock.
        slow_until: Until when messages are delayed at random, on the same clock.
        trickle_until: Until when frames are sent byte by byte, on the same clock.
        repeat_until: Until when messages are duplicated, on the same clock.
        reset_next: The next frame is sent by half, and its connection then reset.
        loss: The share of datagrams that are lost.
    """

    def __init__(self, target: tuple[str, int], chance: random.Random) -> None:
        self.target, self._chance = target, chance
        self.port = 0
        self._server: asyncio.Server | None = None
        self._pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.cut_until = self.slow_until = self.trickle_until = self.repeat_until = 0.0
        self.reset_next = False
        self.loss = 0.0
        self._datagrams: DatagramForwarder | None = None

    async def open(self, port: int) -> None:
        """Listen at a port, or at one that the system chooses if it is 0, until the link is closed.

        Raises:
            OSError: The port is in use, or `TRIES` ports from the system were each in use for datagrams.
        """
        loop = asyncio.get_running_loop()
        for left in reversed(range(TRIES)):
            self._server = await asyncio.start_server(self._taken, "127.0.0.1", port)
            self.port = int(self._server.sockets[0].getsockname()[1])
            address = ("127.0.0.1", self.port)
            try:
                _, self._datagrams = await loop.create_datagram_endpoint(
                    lambda: DatagramForwarder(self), local_addr=address
                )
                return
            except OSError:  # free for TCP, but another program uses the port for UDP
                self._server.close()
                if port or not left:
                    raise

    def datagram(self, data: bytes) -> None:
        """Forward a datagram with the faults of the link; it may be dropped, delayed or duplicated."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        if now < self.cut_until or self._chance.random() < self.loss:
            return
        late = self._chance.random() * 0.4 if now < self.slow_until else 0.0
        for _ in range(2 if now < self.repeat_until else 1):
            loop.call_later(late, self._pass_on, data)

    def _pass_on(self, data: bytes) -> None:
        if self._datagrams is not None and self._datagrams.transport is not None:
            self._datagrams.transport.sendto(data, self.target)

    async def _taken(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        out: asyncio.StreamWriter | None = None
        try:
            _, out = await asyncio.open_connection(*self.target)
            pair = (writer, out)
            self._pairs.add(pair)
            try:
                await self._carry(reader, out)
            finally:
                self._pairs.discard(pair)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            for one in (writer, out):
                if one is not None:
                    one.transport.abort()
            self._tasks.discard(task)

    async def _carry(self, reader: asyncio.StreamReader, out: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        old: list[bytes] = []
        while True:
            head = await reader.readexactly(HEAD)
            size = int.from_bytes(head[len(STREAM_MAGIC) : len(STREAM_MAGIC) + 4], "big")
            frame = head + await reader.readexactly(size)
            now = loop.time()
            if out.is_closing():
                return
            if now < self.cut_until:
                continue  # the frame is dropped and the connection stays open
            if self.reset_next:
                self.reset_next = False
                out.write(frame[: len(frame) // 2])
                await out.drain()
                raise ConnectionResetError
            if now < self.slow_until:
                await asyncio.sleep(self._chance.random() * 0.4)
            if now < self.trickle_until:
                for at in range(0, 0 if out.is_closing() else len(frame)):
                    out.write(frame[at : at + 1])
                    await asyncio.sleep(0.001)
            else:
                out.write(frame)
            if now < self.repeat_until:
                out.write(frame)
                if old:
                    out.write(self._chance.choice(old))
            old = [*old[-20:], frame]
            await out.drain()

    def break_off(self) -> None:
        """Abort all open connections."""
        for pair in list(self._pairs):
            for one in pair:
                one.transport.abort()

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        if self._datagrams is not None and self._datagrams.transport is not None:
            self._datagrams.transport.close()
            self._datagrams = None
        self.break_off()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


# All blocks lie below the ephemeral ports that the system assigns to outgoing connections.
FIRST_PORT, BLOCK, BLOCKS = 10_000, 200, 110


class Ports:
    """A block of ports that no other drill on this machine uses.

    The first port of the block stays bound until `close`, which reserves the block.
    """

    def __init__(self) -> None:
        """Reserve a block.

        Raises:
            OSError: No block is free.
        """
        chance = random.SystemRandom()
        for number in chance.sample(range(BLOCKS), BLOCKS):
            self._first = FIRST_PORT + number * BLOCK
            self._guard = socket.socket()
            try:
                self._guard.bind(("127.0.0.1", self._first))
                break
            except OSError:
                self._guard.close()
        else:
            raise OSError("no block of ports is free")
        self._next = self._first

    def take(self) -> int:
        """Return a port of the block that is free now.

        Raises:
            OSError: All ports of the block were taken.
        """
        while True:
            self._next += 1
            if self._next >= self._first + BLOCK:
                raise OSError(f"a rig takes {BLOCK - 1} ports at the most")
            with socket.socket() as one, contextlib.suppress(OSError):
                one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                one.bind(("127.0.0.1", self._next))
                return self._next

    def close(self) -> None:
        """Release the block."""
        self._guard.close()
