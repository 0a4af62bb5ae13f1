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

RING_BYTES = 2 * MAX_MESSAGE_BYTES  # of the inbox: the longest message, and the beginning of the next
MAX_UNSENT_BYTES = 4 << 20  # that may wait for the peer to read, until `require_prompt_reads`


class PeerRole(enum.Enum):
    """What the process at the other end is to this one."""

    PREDECESSOR = "predecessor"
    SUCCESSOR = "successor"


class ConnectionHandler(Protocol):
    """What takes what happens on a connection."""

    def message_received(self, connection: PeerConnection, message: Message, /) -> None:
        """Handle a message. Raises CorruptError where it must not come now."""

    def unknown_process_connected(self, connection: PeerConnection, /) -> None:
        """Handle a process whose first message can't be understood."""

    def connection_lost(self, connection: PeerConnection, /) -> None:
        """Handle the end of a connection."""


class PeerConnection(RingStream):
    """One connection to another process of the node.

    A message must be on its way before the run that it speaks of begins, and a transport writes only at the end of a
    pass of the event loop. So messages are written straight to a duplicate of the socket.
    """

    def __init__(self, handler: ConnectionHandler, role: PeerRole) -> None:
        """`role` is what the process at the other end is to this one."""
        super().__init__(RING_BYTES)
        self._handler, self.role = handler, role
        self._socket: socket.socket | None = None
        self._unsent = bytearray()
        self._requires_prompt_reads = False
        self.hello_received = False

    def opened(self) -> None:
        """Duplicate the socket, for writing."""
        assert self._transport is not None
        self._socket = socket.socket(fileno=os.dup(self._transport.get_extra_info("socket").fileno()))

    def closed(self) -> None:
        """Give back the duplicate."""
        self._close_duplicate()
        self._handler.connection_lost(self)

    def data_received(self) -> None:
        """Handle all messages that are complete; close at the end of the stream, and where it is corrupt."""
        try:
            while (message := read(self.inbox)) is not None:
                self._handler.message_received(self, message)
        except CorruptError as error:
            log.error(  # noqa: TRY400 - the peer's fault: a traceback of this process says nothing
                "restart connection closed: reason=corrupt_message error=%s peer=%s", error, self.role.value
            )
            if not self.hello_received:
                self._handler.unknown_process_connected(self)
            self.close()
        if self.at_eof:
            self.close()

    def send_message(self, message: Message) -> None:
        """Write a message now; what the peer does not take waits for `flush_unsent`."""
        if self._socket is not None:
            self._unsent += write(message)
            self.flush_unsent()

    def require_prompt_reads(self) -> None:
        """Let no message wait from now on: close where the peer does not take one at once."""
        self._requires_prompt_reads = True

    def flush_unsent(self) -> None:
        """Write what the peer takes. Close the connection where too much waits."""
        if self._socket is None:
            return
        try:
            while self._unsent:
                del self._unsent[: self._socket.send(self._unsent, socket.MSG_DONTWAIT)]
        except BlockingIOError:
            if self._requires_prompt_reads or len(self._unsent) > MAX_UNSENT_BYTES:
                log.error(  # noqa: TRY400 - the peer's fault, as above
                    "restart connection closed: reason=peer_not_reading unsent_bytes=%d peer=%s",
                    len(self._unsent),
                    self.role.value,
                )
                self.close()
        except OSError:
            self._close_duplicate()  # the peer has ended: what it wrote before is still to be read

    def close(self) -> None:
        """Close at once; what was written to the socket is still delivered."""
        self._close_duplicate()
        self.abort()

    def _close_duplicate(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None
