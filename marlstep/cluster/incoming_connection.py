"""A connection that another node has opened to this one. It carries frames one way: to this node."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from marlstep.cluster.drop_recorder import DropRecorder
from marlstep.cluster.wire import MAX_FRAME_HEAD_BYTES, MAX_MESSAGE_BYTES
from marlstep.net.framing import CorruptError, Framing
from marlstep.net.stream import RingStream
from marlstep.timer_queue import Timer, TimerQueue
from marlstep.units import SECOND

RING_SIZE = 64 * 1024
FIRST_FRAME_TIMEOUT = 2 * SECOND  # from the connection's opening to its first whole frame
assert RING_SIZE >= MAX_MESSAGE_BYTES + MAX_FRAME_HEAD_BYTES


class ConnectionTable(Protocol):
    """Where the open incoming connections are counted and bounded."""

    def accept(self, connection: IncomingConnection) -> bool:
        """Enter a new connection; False where there are too many already."""

    def remove(self, connection: IncomingConnection) -> None:
        """Take a closed connection out; one that was not accepted is not there."""


class IncomingConnection(RingStream):
    """Reads frames and delivers their bodies. Closes where a frame is corrupt or none comes in time."""

    def __init__(
        self,
        table: ConnectionTable,
        framing: Framing,
        timeline: TimerQueue,
        deliver: Callable[[bytes], None],
        drops: DropRecorder,
    ) -> None:
        """`deliver` takes a frame's body; it raises CorruptError where that can't be read."""
        super().__init__(RING_SIZE)
        self._table, self._framing, self._timeline = table, framing, timeline
        self._deliver, self._drops = deliver, drops
        self._first_frame_deadline: Timer | None = None

    def opened(self) -> None:
        """Enter the connection in the table, and bound the time to its first frame."""
        if not self._table.accept(self):
            self.abort()
            return
        due = self._timeline.now() + FIRST_FRAME_TIMEOUT
        self._first_frame_deadline = self._timeline.at(due, self._on_first_frame_timeout)

    def _on_first_frame_timeout(self) -> None:
        self._drops.record("silent", "no whole frame came in time")
        self.abort()

    def data_received(self) -> None:
        """Deliver all frames that have been read whole."""
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
        """Take the connection out of the table."""
        self._timeline.cancel(self._first_frame_deadline)
        self._table.remove(self)
