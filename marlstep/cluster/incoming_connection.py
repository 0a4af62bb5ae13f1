"""A connection opened by another node. It carries frames in one direction: to this node."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from marlstep.cluster.drop_recorder import DropRecorder
from marlstep.cluster.wire import MAX_FRAME_HEADER_BYTES, MAX_MESSAGE_BYTES
from marlstep.net.framing import CorruptError, Framing
from marlstep.net.stream import RingStream
from marlstep.timer_queue import Timer, TimerQueue
from marlstep.units import SECOND

RING_SIZE = 64 * 1024  # bytes
FIRST_FRAME_TIMEOUT = 2 * SECOND  # from the connection's opening to its first complete frame
assert RING_SIZE >= MAX_MESSAGE_BYTES + MAX_FRAME_HEADER_BYTES


class ConnectionTable(Protocol):
    """Tracks the open incoming connections and limits their number."""

    def accept(self, connection: IncomingConnection) -> bool:
        """Add a new connection; return False if too many are open."""

    def remove(self, connection: IncomingConnection) -> None:
        """Remove a closed connection; do nothing for one that was not accepted."""


class IncomingConnection(RingStream):
    """Reads frames and delivers their bodies. Closes if a frame is corrupt or the first one is not received in time."""

    def __init__(
        self,
        table: ConnectionTable,
        framing: Framing,
        timeline: TimerQueue,
        deliver: Callable[[bytes], None],
        drops: DropRecorder,
    ) -> None:
        """Create a connection; `deliver` handles a frame's body and raises CorruptError if it is malformed."""
        super().__init__(RING_SIZE)
        self._table, self._framing, self._timeline = table, framing, timeline
        self._deliver, self._drops = deliver, drops
        self._first_frame_deadline: Timer | None = None

    def opened(self) -> None:
        """Add the connection to the table and start the timeout for its first frame."""
        if not self._table.accept(self):
            self.abort()
            return
        due = self._timeline.now() + FIRST_FRAME_TIMEOUT
        self._first_frame_deadline = self._timeline.at(due, self._on_first_frame_timeout)

    def _on_first_frame_timeout(self) -> None:
        self._drops.record("silent", "no complete frame received before the timeout")
        self.abort()

    def data_received(self) -> None:
        """Deliver all frames that have been received completely."""
        try:
            while (body := self._framing.read(self.inbox)) is not None:
                self._timeline.cancel(self._first_frame_deadline)
                self._deliver(body)
        except CorruptError as fault:
            self._drops.record("corrupt", str(fault))
            self.abort()
        if self.at_eof:
            self.abort()

    def closed(self) -> None:
        """Remove the connection from the table."""
        self._timeline.cancel(self._first_frame_deadline)
        self._table.remove(self)
