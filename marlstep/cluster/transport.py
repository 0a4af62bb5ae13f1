"""The transport between nodes: frames over TCP, on one connection per direction and pair of nodes.

Delivery is not guaranteed: frames that can't be sent are dropped and counted, and the protocols above this layer retry.
A connection is aborted if its peer does not read, and closed if a frame received on it is corrupt.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping

from marlstep.cluster.drop_recorder import DropRecorder
from marlstep.cluster.incoming_connection import IncomingConnection
from marlstep.cluster.outbound_peer import OutboundPeer
from marlstep.net.eventloop import Address, Dial, dial
from marlstep.net.framing import FrameTooLargeError, Framing
from marlstep.timer_queue import TimerQueue

ACCEPT_BACKLOG = 128
INCOMING_PER_NODE, INCOMING_SPARE = 4, 16  # limits on open connections that other nodes have opened


class ClusterTransport:
    """Receives frames from other nodes and sends frames to nodes or processes by name."""

    def __init__(
        self,
        nodes: Mapping[str, Address],
        framing: Framing,
        timeline: TimerQueue,
        deliver: Callable[[bytes], None],
        dial: Dial = dial,
    ) -> None:
        """Initialize the transport with no connections.

        Args:
            nodes: The addresses of all nodes by name.
            framing: Encodes and decodes frames.
            timeline: Provides the time and timers.
            deliver: Handles the body of a received frame; a CorruptError that it raises closes the connection.
            dial: Opens a connection.

        """
        self._framing, self._timeline, self._deliver, self._dial = framing, timeline, deliver, dial
        self._drops = DropRecorder(timeline)
        self._incoming: set[IncomingConnection] = set()
        self._max_incoming = INCOMING_PER_NODE * len(nodes) + INCOMING_SPARE
        self._peers = {name: self._peer_at(address) for name, address in nodes.items()}
        self._server: asyncio.Server | None = None
        # Used while another process has bound the address.
        self._temporary_server: asyncio.Server | None = None

    @property
    def counts(self) -> Counter[str]:
        """The numbers of sent frames and of drops by reason; the keys are parts of metric names."""
        return self._drops.counts

    async def listen(self, address: Address) -> None:
        """Listen at the node's own address.

        Raises:
            OSError: the address can't be bound, for example because another process of this node has bound it.
        """
        self._server = await self._listen(address)
        if self._temporary_server is not None:
            self._temporary_server.close()  # connections that it has accepted stay open
            self._temporary_server = None

    async def listen_on_free_port(self, host: str) -> int:
        """Listen on any free port until `listen` succeeds, and return the port.

        Raises:
            OSError: no port can be bound.
        """
        self._temporary_server = await self._listen((host, 0))
        port: int = self._temporary_server.sockets[0].getsockname()[1]
        return port

    async def _listen(self, address: Address) -> asyncio.Server:
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            self._new_incoming, *address, backlog=ACCEPT_BACKLOG, reuse_address=True
        )

    def _new_incoming(self) -> IncomingConnection:
        return IncomingConnection(self, self._framing, self._timeline, self._deliver, self._drops)

    def _peer_at(self, address: Address) -> OutboundPeer:
        return OutboundPeer(address, self._timeline, self._dial, self._drops)

    def set_address(self, name: str, address: Address) -> None:
        """Set the address of `name`; the next frame opens a new connection to it."""
        if name in self._peers:
            self._peers[name].close()
        self._peers[name] = self._peer_at(address)

    def remove_address(self, name: str) -> None:
        """Remove the address of `name`, if there is one, and close the connection to it."""
        peer = self._peers.pop(name, None)
        if peer is not None:
            peer.close()

    def accept(self, connection: IncomingConnection) -> bool:
        """Add a new incoming connection; return False if too many are open."""
        if len(self._incoming) >= self._max_incoming:
            self.record_drop("crowded", f"over {self._max_incoming} connections")
            return False
        self._incoming.add(connection)
        return True

    def remove(self, connection: IncomingConnection) -> None:
        """Remove a closed incoming connection; do nothing for one that was not accepted."""
        self._incoming.discard(connection)

    def send(self, node: str, body: bytes) -> None:
        """Send a frame's body to the node or process of this name. The frame may be dropped."""
        peer = self._peers.get(node)
        if peer is None:
            self.counts["unknown"] += 1
            return
        try:
            frame = self._framing.write(body)
        except FrameTooLargeError as fault:
            self.record_drop("too large", str(fault))
            return
        self.counts["sent"] += 1
        peer.send(frame)

    def record_drop(self, reason: str, detail: str) -> None:
        """Count a drop in `counts` by its reason, and log it at a bounded rate."""
        self._drops.record(reason, detail)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        for peer in self._peers.values():
            peer.close()
        for server in (self._server, self._temporary_server):
            if server is not None:
                server.close()
        for connection in list(self._incoming):
            connection.abort()
