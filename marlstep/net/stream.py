"""The base of every TCP connection: an asyncio protocol with one ring buffer a direction.

What is read lands in the ring without a copy. What is written goes out with all else of the same pass of the
loop. Where the peer does not take it, it waits in the other ring; what finds that ring full waits in a line
beside it, and no more is read from the peer until that line is gone.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import cast

from marlstep.net.ring import Ring

log = logging.getLogger(__name__)
BATCH = 16 * 1024  # bytes that the transport may gather for one write


class RingStream(asyncio.BufferedProtocol):
    """Subclasses give `received` and `lost`; they consume `inbox` and call `send`."""

    def __init__(self, ring_size: int) -> None:
        self.inbox = Ring(ring_size)
        self._outbox = Ring(ring_size)
        self._overflow: deque[bytes] = deque()
        self._transport: asyncio.Transport | None = None
        self._writable = True
        self._reading = True
        self._finishing = False
        self.at_end = False  # the peer will send no more

    # What a subclass gives.

    def made(self) -> None:
        """The connection stands."""

    def received(self) -> None:
        """There is more in `inbox`, or the peer has ended, or there is room to write again."""
        raise NotImplementedError

    def lost(self) -> None:
        """The connection is gone. Called once."""
        raise NotImplementedError

    # What a subclass uses.

    @property
    def connected(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    @property
    def clogged(self) -> bool:
        """The peer does not take what was sent: nothing more should be read from it."""
        return bool(self._overflow)

    def send(self, data: bytes) -> None:
        if not self.connected:
            return
        if self._writable and not self._outbox.used and self._transport is not None:
            self._transport.write(data)  # nothing waits before it, and the peer takes what it is sent
            return
        done = 0 if self._overflow else self._outbox.put(data)
        if done < len(data):
            self._overflow.append(data[done:])
        self._flush()

    def finish(self) -> None:
        """Read no more, and close once all that was sent is out."""
        self._finishing = True
        self._flush()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _flush(self) -> None:
        transport = self._transport
        while transport is not None and self._writable and self._outbox.used:
            transport.write(self._outbox.take(self._outbox.used))
            while self._overflow and self._outbox.free:
                data = self._overflow.popleft()
                done = self._outbox.put(data)
                if done < len(data):
                    self._overflow.appendleft(data[done:])
        self._steer()
        if self._finishing and transport is not None and not self._outbox.used:
            transport.close()

    def _steer(self) -> None:
        """Read only while there is room to read into and the peer takes what it is sent."""
        if self._transport is None or self._transport.is_closing():
            return
        wanted = not self._finishing and not self.clogged and self.inbox.free > 0
        if wanted and not self._reading:
            self._transport.resume_reading()
        elif not wanted and self._reading:
            self._transport.pause_reading()
        self._reading = wanted

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=BATCH, low=0)
        self.made()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.inbox.space()

    def buffer_updated(self, nbytes: int) -> None:
        self.inbox.wrote(nbytes)
        self._take()

    def eof_received(self) -> bool:
        self.at_end = True
        self._take()
        return True  # what is open is still answered; the subclass closes

    def _take(self) -> None:
        if self._finishing:
            self.inbox.skip(self.inbox.used)
            return
        try:
            self.received()
        except Exception:
            # A fault in one connection's handling ends that connection and no other.
            log.exception("connection dropped after a fault of our own")
            self.abort()
            return
        self._steer()

    def pause_writing(self) -> None:
        self._writable = False

    def resume_writing(self) -> None:
        self._writable = True
        was_clogged = self.clogged
        self._flush()
        if was_clogged and not self.clogged and not self._finishing:
            self._take()  # what lies in the inbox waited for this

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._overflow.clear()
        self.lost()
