"""Loopback proxies, one per directed pair of nodes, that can drop, delay, trickle, reset and duplicate messages."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from typing import cast

from marlstep.cluster.wire import STREAM_MAGIC
from marlstep.net.framing import KEYED_BYTES

# The size of a frame's header: magic, length and keyed checksum.
HEADER_BYTES = len(STREAM_MAGIC) + 4 + KEYED_BYTES
CHUNK = 64 * 1024
MAX_PORT_TRIES = 20  # ports from the system that are tried until one is free for both TCP and UDP


class DatagramForwarder(asyncio.DatagramProtocol):
    """Receives the datagrams of a link, which forwards them to its target or drops them."""

    def __init__(self, link: Link) -> None:
        """Initialize the protocol of a link."""
        self._link = link
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, which the link uses to send."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Pass a datagram to the link."""
        self._link.forward_datagram(data)


class Link:
    """A proxy for the streams and datagrams from one node to another, with faults.

    Attributes:
        target: The host and port to forward to.
        port: The loopback port on which it accepts connections and datagrams.
        cut_until: Until when messages are dropped, in seconds of the event loop's clock.
        slow_until: Until when messages are delayed at random, on the same clock.
        trickle_until: Until when frames are sent byte by byte, on the same clock.
        repeat_until: Until when messages are duplicated, on the same clock.
        reset_next: Whether only half of the next frame is sent and its connection is then reset.
        loss: The share of datagrams that are lost.
    """

    def __init__(self, target: tuple[str, int], chance: random.Random) -> None:
        """Initialize a link that is not open; its random choices are drawn from `chance`."""
        self.target, self._chance = target, chance
        self.port = 0
        self._server: asyncio.Server | None = None
        self._pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.cut_until = self.slow_until = self.trickle_until = self.repeat_until = 0.0
        self.reset_next = False
        self.loss = 0.0
        self._datagram_endpoint: DatagramForwarder | None = None

    async def open(self, port: int) -> None:
        """Listen at a port, or at one that the system chooses if it is 0, until the link is closed.

        Raises:
            OSError: The port is in use, or `MAX_PORT_TRIES` ports from the system were each in use for datagrams.
        """
        loop = asyncio.get_running_loop()
        for tries_left in reversed(range(MAX_PORT_TRIES)):
            self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)
            self.port = int(self._server.sockets[0].getsockname()[1])
            address = ("127.0.0.1", self.port)
            try:
                _, self._datagram_endpoint = await loop.create_datagram_endpoint(
                    lambda: DatagramForwarder(self), local_addr=address
                )
                return
            except OSError:  # free for TCP, but another program uses the port for UDP
                self._server.close()
                if port or not tries_left:
                    raise

    def forward_datagram(self, data: bytes) -> None:
        """Forward a datagram with the faults of the link; it may be dropped, delayed or duplicated."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        if now < self.cut_until or self._chance.random() < self.loss:
            return
        delay_s = self._chance.random() * 0.4 if now < self.slow_until else 0.0
        for _ in range(2 if now < self.repeat_until else 1):
            loop.call_later(delay_s, self._send_datagram, data)

    def _send_datagram(self, data: bytes) -> None:
        if self._datagram_endpoint is not None and self._datagram_endpoint.transport is not None:
            self._datagram_endpoint.transport.sendto(data, self.target)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        target_writer: asyncio.StreamWriter | None = None
        try:
            _, target_writer = await asyncio.open_connection(*self.target)
            pair = (writer, target_writer)
            self._pairs.add(pair)
            try:
                await self._forward_frames(reader, target_writer)
            finally:
                self._pairs.discard(pair)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            for open_writer in (writer, target_writer):
                if open_writer is not None:
                    open_writer.transport.abort()
            self._tasks.discard(task)

    async def _forward_frames(
        self, reader: asyncio.StreamReader, target_writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        recent_frames: list[bytes] = []
        while True:
            header = await reader.readexactly(HEADER_BYTES)
            size = int.from_bytes(header[len(STREAM_MAGIC) : len(STREAM_MAGIC) + 4], "big")
            frame = header + await reader.readexactly(size)
            now = loop.time()
            if target_writer.is_closing():
                return
            if now < self.cut_until:
                continue  # the frame is dropped and the connection stays open
            if self.reset_next:
                self.reset_next = False
                target_writer.write(frame[: len(frame) // 2])
                await target_writer.drain()
                raise ConnectionResetError
            if now < self.slow_until:
                await asyncio.sleep(self._chance.random() * 0.4)
            if now < self.trickle_until:
                for position in range(0, 0 if target_writer.is_closing() else len(frame)):
                    target_writer.write(frame[position : position + 1])
                    await asyncio.sleep(0.001)
            else:
                target_writer.write(frame)
            if now < self.repeat_until:
                target_writer.write(frame)
                if recent_frames:
                    target_writer.write(self._chance.choice(recent_frames))
            recent_frames = [*recent_frames[-20:], frame]
            await target_writer.drain()

    def abort_connections(self) -> None:
        """Abort all open connections."""
        for pair in list(self._pairs):
            for writer in pair:
                writer.transport.abort()

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        if self._datagram_endpoint is not None and self._datagram_endpoint.transport is not None:
            self._datagram_endpoint.transport.close()
            self._datagram_endpoint = None
        self.abort_connections()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


# All blocks lie below the ephemeral ports that the system assigns to outgoing connections.
FIRST_PORT, BLOCK_SIZE, BLOCK_COUNT = 10_000, 200, 110


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
        for number in chance.sample(range(BLOCK_COUNT), BLOCK_COUNT):
            self._first = FIRST_PORT + number * BLOCK_SIZE
            self._reservation = socket.socket()
            try:
                self._reservation.bind(("127.0.0.1", self._first))
                break
            except OSError:
                self._reservation.close()
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
            if self._next >= self._first + BLOCK_SIZE:
                raise OSError(f"a rig takes {BLOCK_SIZE - 1} ports at the most")
            with socket.socket() as probe, contextlib.suppress(OSError):
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind(("127.0.0.1", self._next))
                return self._next

    def close(self) -> None:
        """Release the block."""
        self._reservation.close()
