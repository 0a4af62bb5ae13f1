"""Lines between nodes. Each node dials those that it has something for; a line carries frames one way.

What can't be sent is dropped: all that is sent here is sent again by who needs it. A line whose other end does not
read is cut, and one that brings what can't be read is closed; both are counted.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter, deque
from collections.abc import Callable, Mapping
from datetime import datetime, timedelta

from marlstep.cluster.wire import MAX_MESSAGE_BYTES
from marlstep.net.eventloop import Address, Cancel, Dial, dial
from marlstep.net.framing import CorruptError, Framing
from marlstep.net.stream import RingStream
from marlstep.timer_queue import Deadline, TimerQueue
from marlstep.units import MILLISECOND, SECOND

log = logging.getLogger(__name__)

RING_SIZE = 64 * 1024
MAX_QUEUED_FRAMES = 64  # messages that wait for a line to stand
CONNECT_TIMEOUT = 1 * SECOND  # for a line to stand
MIN_BACKOFF, MAX_BACKOFF = 20 * MILLISECOND, 500 * MILLISECOND  # before a line is dialled again
WRITE_STALL_TIMEOUT = 1 * SECOND  # that the other end may take nothing
FIRST_FRAME_TIMEOUT = 2 * SECOND  # for the first whole frame of a line to come
assert RING_SIZE >= MAX_MESSAGE_BYTES + 64


class IncomingConnection(RingStream):
    """A line that another node has dialled."""

    def __init__(self, lines: ClusterTransport) -> None:
        super().__init__(RING_SIZE)
        self._lines = lines
        self._patience: Deadline | None = None

    def made(self) -> None:
        lines = self._lines
        if not lines.accept(self):
            self.abort()
            return
        self._patience = lines.timeline.at(lines.timeline.now() + FIRST_FRAME_TIMEOUT, self._silent)

    def _silent(self) -> None:
        self._lines.record_drop("silent", "no whole frame came in time")
        self.abort()

    def received(self) -> None:
        try:
            while (body := self._lines.framing.read(self.inbox)) is not None:
                self._lines.timeline.cancel(self._patience)
                self._lines.deliver(body)
        except CorruptError as fault:
            self._lines.record_drop("corrupt", str(fault))
            self.abort()
        if self.at_end:
            self.abort()

    def lost(self) -> None:
        self._lines.timeline.cancel(self._patience)
        self._lines.incoming.discard(self)


class OutgoingConnection(RingStream):
    def __init__(self, to: OutboundPeer) -> None:
        super().__init__(64)  # nothing comes here, and what goes out waits in the transport
        self._to = to

    def made(self) -> None:
        """`To.opened` is told."""

    def received(self) -> None:
        if self.inbox.used:
            self.inbox.skip(self.inbox.used)
        if self.at_end:
            self.abort()

    def lost(self) -> None:
        self._to.lost(self)


class OutboundPeer:
    """The line to one node."""

    def __init__(self, lines: ClusterTransport, address: Address) -> None:
        self._lines, self._address = lines, address
        self._line: OutgoingConnection | None = None
        self._opening: Cancel | None = None
        self._within: Deadline | None = None
        self._again: datetime | None = None
        self._wait = MIN_BACKOFF
        self._kept: deque[bytes] = deque(maxlen=MAX_QUEUED_FRAMES)
        self._clogged: datetime | None = None
        self._leaving = False

    def send(self, frame: bytes) -> None:
        now = self._lines.timeline.now()
        if self._line is not None and self._line.connected:
            if not self._line.clogged:
                self._clogged = None
                self._line.send(frame)
                return
            self._lines.counts["dropped"] += 1
            if self._clogged is None:
                self._clogged = now
            elif now > self._clogged + WRITE_STALL_TIMEOUT:
                self._lines.record_drop("cut", f"{self._address} does not read")
                self._line.abort()
            return
        if len(self._kept) == MAX_QUEUED_FRAMES:
            self._lines.counts["dropped"] += 1
        self._kept.append(frame)
        if self._opening is None and (self._again is None or now >= self._again):
            self._dial(now)

    def _dial(self, now: datetime) -> None:
        timeline = self._lines.timeline
        line = OutgoingConnection(self)
        self._within = timeline.at(
            now + CONNECT_TIMEOUT, lambda: self._opened(line, TimeoutError("no line in time"))
        )
        self._opening = self._lines.dial(lambda: line, self._address, lambda fault: self._opened(line, fault))

    def _opened(self, line: OutgoingConnection, fault: OSError | None) -> None:
        if self._opening is None:
            return  # given up before
        opening, self._opening = self._opening, None
        self._lines.timeline.cancel(self._within)
        now = self._lines.timeline.now()
        if fault is not None or not line.connected:
            if isinstance(fault, TimeoutError):
                opening()
                line.abort()
            self._retry(now)
            return
        self._line, self._wait, self._again, self._clogged = line, MIN_BACKOFF, None, None
        while self._kept:
            line.send(self._kept.popleft())

    def _retry(self, now: datetime) -> None:
        """What waited is old by the time the line stands."""
        self._kept.clear()
        self._again = now + self._wait
        self._wait = min(MAX_BACKOFF, 2 * self._wait)

    def lost(self, line: OutgoingConnection) -> None:
        if line is self._line:
            self._line = None
            self._retry(self._lines.timeline.now())

    def close(self) -> None:
        if self._opening is not None:
            self._opening()
            self._opening = None
        self._lines.timeline.cancel(self._within)
        if self._line is not None:
            self._line.finish()  # what is out is still sent


class ClusterTransport:
    def __init__(
        self,
        nodes: Mapping[str, Address],
        framing: Framing,
        timeline: TimerQueue,
        deliver: Callable[[bytes], None],
        dial: Dial = dial,
    ) -> None:
        self.framing, self.timeline, self.deliver, self.dial = framing, timeline, deliver, dial
        self.incoming: set[IncomingConnection] = set()
        self.counts: Counter[str] = Counter()
        self._most = 4 * len(nodes) + 16
        self._to = {name: OutboundPeer(self, address) for name, address in nodes.items()}
        self._server: asyncio.Server | None = None
        self._aside: asyncio.Server | None = None  # while another process has the address
        self._said: dict[str, datetime] = {}

    async def listen(self, address: Address) -> None:
        """Raises OSError, also where another process of this node still has the address."""
        self._server = await self._listen(address)
        if self._aside is not None:
            self._aside.close()  # lines that stand there go on
            self._aside = None

    async def listen_on_free_port(self, host: str) -> int:
        """At a port that is free; gives it. Raises OSError."""
        self._aside = await self._listen((host, 0))
        port: int = self._aside.sockets[0].getsockname()[1]
        return port

    async def _listen(self, address: Address) -> asyncio.Server:
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: IncomingConnection(self), *address, backlog=128, reuse_address=True
        )

    def set_address(self, name: str, address: Address) -> None:
        """From now on that one is to be found there."""
        if name in self._to:
            self._to[name].close()
        self._to[name] = OutboundPeer(self, address)

    def remove_address(self, name: str) -> None:
        if (to := self._to.pop(name, None)) is not None:
            to.close()

    def accept(self, line: IncomingConnection) -> bool:
        if len(self.incoming) >= self._most:
            self.record_drop("crowded", f"over {self._most} lines")
            return False
        self.incoming.add(line)
        return True

    def send(self, node: str, body: bytes) -> None:
        to = self._to.get(node)
        if to is None:
            self.counts["unknown"] += 1
            return
        try:
            frame = self.framing.write(body)
        except ValueError as fault:
            self.record_drop("too large", str(fault))
            return
        self.counts["sent"] += 1
        to.send(frame)

    def record_drop(self, what: str, why: str) -> None:
        """Something was dropped; it is logged once in ten seconds."""
        self.counts[what] += 1
        now = self.timeline.now()
        if what not in self._said or now > self._said[what] + timedelta(seconds=10):
            self._said[what] = now
            log.warning("fleet: %s (%d so far): %s", what, self.counts[what], why)

    async def close(self) -> None:
        """The one place where the address and the lines are given back."""
        for to in self._to.values():
            to.close()
        for server in (self._server, self._aside):
            if server is not None:
                server.close()
        for line in list(self.incoming):
            line.abort()
