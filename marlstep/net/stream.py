"""The base class of all TCP connections: an asyncio protocol with one ring buffer per direction.

Input is read into the inbox without a copy. Output is written to the loop's transport as long as the peer reads; uvloop
sends all writes of one loop iteration together. While the peer does not read, output is queued in the outbox, and in an
overflow queue once the outbox is full. Nothing is read from the peer until the overflow queue is empty (backpressure).

A connection reads a limited number of bytes in an iteration of the event loop, so that a peer that sends without a
pause does not delay the others. The loop itself would read from it again as long as each read fills its buffer. A
subclass whose messages take long can also leave a part of its input until later (`hold_back_input`).
"""

from __future__ import annotations

import asyncio
import logging
import select
from collections import deque
from collections.abc import Callable
from typing import cast

from marlstep.net.ring import Ring

log = logging.getLogger(__name__)
MAX_READ_BYTES = 16 * 1024  # in one iteration of the event loop
WRITE_BUFFER_LIMIT = 16 * 1024  # bytes in asyncio's transport, above which writing is paused


def _port_of(address: object) -> int:
    """Return the port of a socket address of asyncio; 0 if it has none."""
    return int(address[1]) if isinstance(address, tuple) else 0


def _run_soon(callback: Callable[[], None]) -> None:
    """Run a callback in the next iteration of the running event loop."""
    asyncio.get_running_loop().call_soon(callback)


class RingStream(asyncio.BufferedProtocol):
    """A connection: `opened` is called first, then `data_received` any number of times, then `closed`.

    Subclasses implement `data_received` and `closed`, consume `inbox` and call `send`.

    Attributes:
        run_soon: runs a callback in the next iteration of the event loop.
    """

    def __init__(self, ring_size: int) -> None:
        """`ring_size` is the size of the inbox and of the outbox, in bytes each."""
        self.inbox = Ring(ring_size)
        self._outbox = Ring(ring_size)
        self._overflow: deque[bytes] = deque()
        self._transport: asyncio.Transport | None = None
        self.run_soon: Callable[[Callable[[], None]], None] = _run_soon
        self._writable = True
        self._reading = True
        self._read_limit = 0  # size of the buffer that asyncio reads into, in bytes
        self._read_bytes = 0  # in this iteration of the event loop, if any read in it has filled its buffer
        self._yields = False  # reads no more in this iteration
        self.is_held_back = False  # complete messages may be left in the inbox until `continue_input`
        self._poll: select.poll | None = None  # of the socket; made when it is first needed
        self._finishing = False
        self.at_eof = False  # the peer has ended its stream
        self.peer_port = 0  # 0 if unknown

    # Methods that subclasses implement.

    def opened(self) -> None:
        """Handle the opening of the connection."""

    def data_received(self) -> None:
        """Consume `inbox`. Called when data has arrived, when the peer ended its stream, and when it reads again."""
        raise NotImplementedError

    def closed(self) -> None:
        """Handle the end of the connection, whatever its cause. Called once."""
        raise NotImplementedError

    def handling_failed(self) -> None:
        """Handle an exception of `data_received`, before the connection is aborted."""

    # Methods that subclasses and owners call.

    @property
    def connected(self) -> bool:
        """Whether the connection is open and not closing."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def send_blocked(self) -> bool:
        """Whether output is in the overflow queue because the peer does not read; reading from it is paused then.

        This bounds the memory of a connection: a request that is not read needs no queued response.
        """
        return bool(self._overflow)

    @property
    def holds_back_input(self) -> bool:
        """Whether complete messages may be left in the inbox: the peer does not read, or the rest follows later."""
        return self.send_blocked or self.is_held_back

    def hold_back_input(self) -> None:
        """Leave the rest of the inbox, and read no more, until `continue_input` is called."""
        self.is_held_back = True
        self._update_reading()

    def continue_input(self) -> None:
        """Handle the input that was held back, and read again."""
        self.is_held_back = False
        if self.connected:
            self.handle_input()

    def has_unread_input(self) -> bool:
        """Return whether the socket holds bytes, or the end of the peer's stream, that were not read yet."""
        return bool(self._poll_socket() & select.POLLIN)

    def has_input_to_read(self) -> bool:
        """Return whether input that has arrived is still to be read, in the next iterations of the event loop.

        Reading may wait for the next iteration, but must not be paused for another reason.
        """
        is_reading = self._reading or self._yields
        return is_reading and not (self.at_eof or self._finishing) and self.has_unread_input()

    def is_reset(self) -> bool:
        """Return whether the peer has reset the connection, which the loop reports only after all input was read."""
        return bool(self._poll_socket() & select.POLLERR)

    def _poll_socket(self) -> int:
        """Return the events of the socket; 0 if there is none."""
        if self._poll is None:
            connection = None if self._transport is None else self._transport.get_extra_info("socket")
            if connection is None:
                return 0
            self._poll = select.poll()
            self._poll.register(connection.fileno(), select.POLLIN)
        events = self._poll.poll(0)
        return events[0][1] if events else 0

    def send(self, data: bytes) -> None:
        """Send data, or queue it while the peer does not read. Ignored if the connection is closed."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._writable and not self._outbox.used:
            transport.write(data)  # no earlier output is queued, and the peer reads
            return
        queued = 0 if self._overflow else self._outbox.put(data)
        if queued < len(data):
            self._overflow.append(data[queued:])
        self._flush()

    def handle_input(self) -> None:
        """Call `data_received` for what is in the inbox, and abort the connection if that fails."""
        if self.is_held_back:
            return
        if self._finishing:
            self.inbox.skip(self.inbox.used)
            return
        try:
            self.data_received()
        except Exception:
            # An error in handling one connection must not affect the others.
            log.exception("connection aborted: reason=unhandled_error connection=%s", type(self).__name__)
            self.handling_failed()
            self.abort()
            return
        self._update_reading()

    def finish(self) -> None:
        """Stop reading, and close once all output is written."""
        self._finishing = True
        self._flush()

    def abort(self) -> None:
        """Close at once and discard queued output."""
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
        """Pause or resume reading: it requires space in the inbox, and that no input is held back."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        has_space = self.inbox.used < self.inbox.size
        must_wait = self.send_blocked or self._yields or self.is_held_back
        should_read = has_space and not self._finishing and not must_wait
        if should_read and not self._reading:
            transport.resume_reading()
        elif not should_read and self._reading:
            transport.pause_reading()
        self._reading = should_read

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and set its buffer limits."""
        self._transport = cast(asyncio.Transport, transport)
        self.peer_port = _port_of(transport.get_extra_info("peername"))
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_LIMIT, low=0)
        self.opened()

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer for asyncio to read into. Reading is paused while the inbox is full."""
        buffer = self.inbox.space()[: MAX_READ_BYTES - self._read_bytes]
        self._read_limit = len(buffer)
        return buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle data that asyncio has read into the buffer."""
        self.inbox.commit_write(nbytes)
        has_filled_buffer = nbytes >= self._read_limit
        self.handle_input()
        if has_filled_buffer:  # the loop reads again in the same iteration
            self._count_read(nbytes)

    def _count_read(self, nbytes: int) -> None:
        """Count bytes read in this iteration of the event loop, and read no more in it once the limit is reached."""
        if not self._read_bytes:
            self.run_soon(self._begin_iteration)
        self._read_bytes += nbytes
        if self._read_bytes >= MAX_READ_BYTES:
            self._yields = True
            self._update_reading()

    def _begin_iteration(self) -> None:
        self._read_bytes, self._yields = 0, False
        self._update_reading()

    def eof_received(self) -> bool:
        """Handle the end of the peer's stream."""
        self.at_eof = True
        self.handle_input()
        return True  # keep the transport open for pending responses; the subclass closes it

    def pause_writing(self) -> None:
        """Queue output from now on, because the peer does not read."""
        self._writable = False

    def resume_writing(self) -> None:
        """Write the queued output, and resume reading."""
        self._writable = True
        was_send_blocked = self.send_blocked
        self._flush()
        if was_send_blocked and not self.send_blocked and not self._finishing:
            self.handle_input()  # handle the input that was held back in the inbox

    def connection_lost(self, _exc: Exception | None) -> None:
        """Discard queued output and call `closed`."""
        self._transport = self._poll = None
        self._overflow.clear()
        self.closed()
