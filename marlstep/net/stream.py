"""The base of every TCP connection: an asyncio protocol with one ring buffer per direction.

What is read goes into the inbox without a copy. What is written goes to the loop's transport as long as the peer reads,
and uvloop sends out all of one pass together. Else it waits in the outbox, and what does not fit there in an overflow
queue; no more is read from the peer until that queue is empty (backpressure).
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import cast

from marlstep.net.ring import Ring

log = logging.getLogger(__name__)
WRITE_BUFFER_LIMIT = 16 * 1024  # bytes in asyncio's transport, above which writing is paused


class RingStream(asyncio.BufferedProtocol):
    """A connection. Its life is `opened`, `data_received` any number of times, `closed`.

    Subclasses implement `data_received` and `closed`, consume `inbox` and call `send`.
    """

    def __init__(self, ring_size: int) -> None:
        """`ring_size` is the size of the inbox and of the outbox, in bytes each."""
        self.inbox = Ring(ring_size)
        self._outbox = Ring(ring_size)
        self._overflow: deque[bytes] = deque()
        self._transport: asyncio.Transport | None = None
        self._writable = True
        self._reading = True
        self._finishing = False
        self.at_eof = False  # the peer will send no more

    # For subclasses to implement.

    def opened(self) -> None:
        """Handle the connection's opening."""

    def data_received(self) -> None:
        """Consume `inbox`: there is more in it, the peer has ended its stream, or it reads again."""
        raise NotImplementedError

    def closed(self) -> None:
        """Handle the end of the connection, however it ended. Called once."""
        raise NotImplementedError

    # For subclasses and owners to call.

    @property
    def connected(self) -> bool:
        """Whether the connection is open, and not being closed."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def send_blocked(self) -> bool:
        """Whether the peer does not read what was sent, so that nothing more is read from it.

        That bounds the memory of a connection: a request that is not read needs no queued response.
        """
        return bool(self._overflow)

    def send(self, data: bytes) -> None:
        """Send data, or queue it where the peer does not read; ignored where there is no connection."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._writable and not self._outbox.used:
            transport.write(data)  # nothing is queued before it, and the peer reads
            return
        queued = 0 if self._overflow else self._outbox.put(data)
        if queued < len(data):
            self._overflow.append(data[queued:])
        self._flush()

    def finish(self) -> None:
        """Read no more, and close once all that was sent is written out."""
        self._finishing = True
        self._flush()

    def abort(self) -> None:
        """Close at once; what is queued is lost."""
        if self._transport is not None:
            self._transport.abort()

    def _flush(self) -> None:
        transport = self._transport
        while transport is not None and self._writable and self._outbox.used:
            transport.write(self._outbox.take(self._outbox.used))
            while self._overflow and self._outbox.free:
                data = self._overflow.popleft()
                queued = self._outbox.put(data)
                if queued < len(data):
                    self._overflow.appendleft(data[queued:])
        self._update_reading()
        if self._finishing and transport is not None and not self._outbox.used:
            transport.close()

    def _update_reading(self) -> None:
        """Read only while there is space in the inbox and the peer reads what it is sent."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        has_space = self.inbox.used < self.inbox.size
        wanted = has_space and not self._finishing and not self._overflow
        if wanted and not self._reading:
            transport.resume_reading()
        elif not wanted and self._reading:
            transport.pause_reading()
        self._reading = wanted

    # For asyncio to call.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport that asyncio has connected."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_LIMIT, low=0)
        self.opened()

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return where asyncio is to read into. Reading is paused while there is no space."""
        return self.inbox.space()

    def buffer_updated(self, nbytes: int) -> None:
        """Take in what asyncio has read."""
        self.inbox.wrote(nbytes)
        self._handle_data()

    def eof_received(self) -> bool:
        """Note the end of the peer's stream."""
        self.at_eof = True
        self._handle_data()
        return True  # asyncio leaves it open: responses are still owed, and the subclass closes

    def _handle_data(self) -> None:
        if self._finishing:
            self.inbox.skip(self.inbox.used)
            return
        try:
            self.data_received()
        except Exception:
            # A fault in the handling of one connection must end no other.
            log.exception("connection aborted: reason=unhandled_error connection=%s", type(self).__name__)
            self.abort()
            return
        self._update_reading()

    def pause_writing(self) -> None:
        """Queue from now on: the peer does not read."""
        self._writable = False

    def resume_writing(self) -> None:
        """Write out what is queued, and read again."""
        self._writable = True
        was_send_blocked = self.send_blocked
        self._flush()
        if was_send_blocked and not self.send_blocked and not self._finishing:
            self._handle_data()  # what is in the inbox was held back until now

    def connection_lost(self, _exc: Exception | None) -> None:
        """Drop what is queued, and tell the subclass."""
        self._transport = None
        self._overflow.clear()
        self.closed()
