"""The connection to one other node, opened when there is a frame to send and reopened after a backoff.

Frames that can't be sent soon are dropped, since the protocols above this layer retry.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from datetime import datetime

from marlstep.cluster.drop_recorder import DropRecorder
from marlstep.net.backoff import Backoff
from marlstep.net.eventloop import Address, Cancel, Dial
from marlstep.net.stream import RingStream
from marlstep.timer_queue import Timer, TimerQueue
from marlstep.units import MILLISECOND, SECOND

RING_SIZE = 64  # bytes; received data is discarded, and asyncio's transport buffers sent data
MAX_QUEUED_FRAMES = 64  # while there is no connection; the oldest are dropped
CONNECT_TIMEOUT = 1 * SECOND
# Delay between connection attempts; it doubles with each failed attempt.
MIN_BACKOFF, MAX_BACKOFF = 20 * MILLISECOND, 500 * MILLISECOND
WRITE_STALL_TIMEOUT = 1 * SECOND  # after this time a peer that does not read is disconnected


class OutgoingConnection(RingStream):
    """A connection opened by this node. It carries frames in one direction: to the other node."""

    def __init__(self, on_lost: Callable[[OutgoingConnection], None]) -> None:
        """Create a connection; `on_lost` is called once, when it is closed."""
        super().__init__(RING_SIZE)
        self._on_lost = on_lost

    def data_received(self) -> None:
        """Discard the data, since the peer is not expected to send any."""
        if self.inbox.used:
            self.inbox.skip(self.inbox.used)
        if self.at_eof:
            self.abort()

    def closed(self) -> None:
        """Notify the owner of the connection."""
        self._on_lost(self)


class OutboundPeer:
    """Sends frames to the node at one address, over at most one connection at a time."""

    def __init__(self, address: Address, timeline: TimerQueue, dial: Dial, drops: DropRecorder) -> None:
        """Initialize the peer without a connection; the first `send` opens one.

        Args:
            address: The address of the peer.
            timeline: Provides the time and timers.
            dial: Opens a connection.
            drops: Records dropped frames.

        """
        self._address, self._timeline, self._dial, self._drops = address, timeline, dial, drops
        self._connection: OutgoingConnection | None = None
        self._cancel_dialing: Cancel | None = None  # None unless a connection attempt is in progress
        self._connect_deadline: Timer | None = None
        self._redial_at: datetime | None = None
        self._backoff = Backoff(MIN_BACKOFF, MAX_BACKOFF)
        self._queued: deque[bytes] = deque(maxlen=MAX_QUEUED_FRAMES)
        self._stalled_since: datetime | None = None

    def send(self, frame: bytes) -> None:
        """Send a frame, or queue it until there is a connection. The frame may be dropped."""
        now = self._timeline.now()
        if self._connection is not None and self._connection.connected:
            self._send_on(self._connection, frame, now)
            return
        if len(self._queued) == MAX_QUEUED_FRAMES:
            self._drops.counts["dropped"] += 1
        self._queued.append(frame)
        if self._cancel_dialing is None and (self._redial_at is None or now >= self._redial_at):
            self._connect(now)

    def _send_on(self, connection: OutgoingConnection, frame: bytes, now: datetime) -> None:
        if not connection.send_blocked:
            self._stalled_since = None
            connection.send(frame)
            return
        self._drops.counts["dropped"] += 1
        if self._stalled_since is None:
            self._stalled_since = now
        elif now > self._stalled_since + WRITE_STALL_TIMEOUT:
            self._drops.record("cut", f"{self._address} does not read")
            connection.abort()

    def _connect(self, now: datetime) -> None:
        connection = OutgoingConnection(self._on_lost)
        self._connect_deadline = self._timeline.at(
            now + CONNECT_TIMEOUT, lambda: self._on_dialed(connection, TimeoutError("connect timed out"))
        )
        self._cancel_dialing = self._dial(
            lambda: connection, self._address, lambda fault: self._on_dialed(connection, fault)
        )

    def _on_dialed(self, connection: OutgoingConnection, fault: OSError | None) -> None:
        if self._cancel_dialing is None:
            return  # the attempt has timed out or was cancelled
        cancel_dialing, self._cancel_dialing = self._cancel_dialing, None
        self._timeline.cancel(self._connect_deadline)
        now = self._timeline.now()
        if fault is not None or not connection.connected:
            if isinstance(fault, TimeoutError):
                cancel_dialing()
                connection.abort()
            self._back_off(now)
            return
        self._connection = connection
        self._backoff.reset()
        self._redial_at, self._stalled_since = None, None
        while self._queued:
            connection.send(self._queued.popleft())

    def _back_off(self, now: datetime) -> None:
        """Delay the next attempt, and drop queued frames, which would be outdated by then."""
        self._queued.clear()
        self._redial_at = now + self._backoff.next_delay()

    def _on_lost(self, connection: OutgoingConnection) -> None:
        if connection is self._connection:
            self._connection = None
            self._back_off(self._timeline.now())

    def close(self) -> None:
        """Cancel a connection attempt, and close the connection after its buffered data is sent."""
        if self._cancel_dialing is not None:
            self._cancel_dialing()
            self._cancel_dialing = None
        self._timeline.cancel(self._connect_deadline)
        if self._connection is not None:
            self._connection.finish()
