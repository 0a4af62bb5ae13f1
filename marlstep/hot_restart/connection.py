"""One connection between two processes of a node."""

from __future__ import annotations

import enum
import logging
import os
import socket
from typing import Protocol

from marlstep.hot_restart.messages import MAX_MESSAGE_BYTES, CorruptError, Message, read, write
from marlstep.net.stream import RingStream

log = logging.getLogger(__name__)

RING_BYTES = 2 * MAX_MESSAGE_BYTES  # receive buffer: the longest message and the start of the next one
MAX_UNSENT_BYTES = 4 << 20  # buffered for a slow peer; after `require_prompt_reads` nothing may be buffered


class PeerRole(enum.Enum):
    """The role of the process at the other end, relative to this process."""

    PREDECESSOR = "predecessor"
    SUCCESSOR = "successor"


class ConnectionHandler(Protocol):
    """Receives the events of a connection."""

    def message_received(self, connection: PeerConnection, message: Message, /) -> None:
        """Handle a message.

        Raises:
            CorruptError: the message is not valid at this point of the connection.
        """

    def unknown_process_connected(self, connection: PeerConnection, /) -> None:
        """Handle a peer whose first message can't be decoded or is not a Hello."""

    def connection_lost(self, connection: PeerConnection, /) -> None:
        """Handle the end of a connection."""


class PeerConnection(RingStream):
    """One connection to another process of the node.

    A message about a run must be sent before that run begins, but an asyncio transport may write only at the end of an
    event loop iteration. Messages are therefore written directly to a duplicate of the socket.
    """

    def __init__(self, handler: ConnectionHandler, role: PeerRole) -> None:
        """Initialize an unconnected connection.

        Args:
            handler: receives the events of the connection.
            role: the role of the process at the other end, relative to this process.
        """
        super().__init__(RING_BYTES)
        self._handler, self.role = handler, role
        self._socket: socket.socket | None = None
        self._unsent = bytearray()
        self._requires_prompt_reads = False
        self.hello_received = False

    def opened(self) -> None:
        """Duplicate the socket for direct writes."""
        assert self._transport is not None
        self._socket = socket.socket(fileno=os.dup(self._transport.get_extra_info("socket").fileno()))

    def closed(self) -> None:
        """Close the duplicate socket and report the lost connection."""
        self._close_duplicate()
        self._handler.connection_lost(self)

    def data_received(self) -> None:
        """Handle all complete messages; close the connection at the end of the stream or on corrupt data."""
        try:
            while (message := read(self.inbox)) is not None:
                self._handler.message_received(self, message)
        except CorruptError as error:
            log.error(  # noqa: TRY400 - caused by the peer, so a local traceback does not help
                "restart connection closed: reason=corrupt_message error=%s peer=%s", error, self.role.value
            )
            if not self.hello_received:
                self._handler.unknown_process_connected(self)
            self.close()
        if self.at_eof:
            self.close()

    def send_message(self, message: Message) -> None:
        """Write a message now; buffer what the socket does not accept until the next `flush_unsent`."""
        if self._socket is not None:
            self._unsent += write(message)
            self.flush_unsent()

    def require_prompt_reads(self) -> None:
        """Stop buffering: from now on, close the connection if the socket does not accept a message at once."""
        self._requires_prompt_reads = True

    def flush_unsent(self) -> None:
        """Write as many buffered bytes as the socket accepts. Close the connection if too many remain."""
        if self._socket is None:
            return
        try:
            while self._unsent:
                del self._unsent[: self._socket.send(self._unsent, socket.MSG_DONTWAIT)]
        except BlockingIOError:
            if self._requires_prompt_reads or len(self._unsent) > MAX_UNSENT_BYTES:
                log.error(  # noqa: TRY400 - caused by the peer, as above
                    "restart connection closed: reason=peer_not_reading unsent_bytes=%d peer=%s",
                    len(self._unsent),
                    self.role.value,
                )
                self.close()
        except OSError:
            self._close_duplicate()  # the peer has closed; data that it wrote before is still to be read

    def close(self) -> None:
        """Close at once; data already written to the socket is still delivered."""
        self._close_duplicate()
        self.abort()

    def _close_duplicate(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None
