"""The transport between nodes: frames over TCP, on one connection per direction and pair of nodes.

Delivery is not guaranteed: what can't be sent is dropped and counted, and the protocols above repeat what matters to
them. A connection whose peer does not read is aborted, and one that brings a corrupt frame is closed.
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
INCOMING_PER_NODE, INCOMING_SPARE = 4, 16  # bounds on open connections that others have opened


class ClusterTransport:
    """Listens for other nodes and sends to them, by the names of nodes or of processes."""

    def __init__(
        self,
        nodes: Mapping[str, Address],
        framing: Framing,
        timeline: TimerQueue,
        deliver: Callable[[bytes], None],
        dial: Dial = dial,
    ) -> None:
        """`deliver` takes each frame's body; a CorruptError that it raises closes the connection."""
        self._framing, self._timeline, self._deliver, self._dial = framing, timeline, deliver, dial
        self._drops = DropRecorder(timeline)
        self._incoming: set[IncomingConnection] = set()
        self._max_incoming = INCOMING_PER_NODE * len(nodes) + INCOMING_SPARE
        self._peers = {name: self._peer_at(address) for name, address in nodes.items()}
        self._server: asyncio.Server | None = None
        self._temporary_server: asyncio.Server | None = None  # while another process has the address

    @property
    def counts(self) -> Counter[str]:
        """What was sent, and what was dropped by reason; the keys are parts of metric names."""
        return self._drops.counts

    async def listen(self, address: Address) -> None:
        """Listen at the node's own address. Raises OSError, also while another process of this node has it."""
        self._server = await self._listen(address)
        if self._temporary_server is not None:
            self._temporary_server.close()  # its open connections go on
            self._temporary_server = None

    async def listen_on_free_port(self, host: str) -> int:
        """Listen on any free port until `listen` succeeds; return the port. Raises OSError."""
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
        """Send to `name` at this address from now on, over a new connection."""
        if name in self._peers:
            self._peers[name].close()
        self._peers[name] = self._peer_at(address)

    def remove_address(self, name: str) -> None:
        """Forget the address of `name`, if there is one, and close the connection to it."""
        peer = self._peers.pop(name, None)
        if peer is not None:
            peer.close()

    def accept(self, connection: IncomingConnection) -> bool:
        """Enter a new incoming connection; False where there are too many already."""
        if len(self._incoming) >= self._max_incoming:
            self.record_drop("crowded", f"over {self._max_incoming} connections")
            return False
        self._incoming.add(connection)
        return True

    def remove(self, connection: IncomingConnection) -> None:
        """Take a closed incoming connection out; one that was not accepted is not there."""
        self._incoming.discard(connection)

    def send(self, node: str, body: bytes) -> None:
        """Send a frame's body to the node or process of that name; it may be dropped."""
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
        """Count something that was dropped, under a key of `counts`, and log it at a bounded rate."""
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
