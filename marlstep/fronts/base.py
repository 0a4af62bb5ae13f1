"""What every front has: a listening socket, a table of connections, and rules for when they end."""

from __future__ import annotations

import asyncio
import logging
from datetime import timedelta

from marlstep.core.engine import Core
from marlstep.core.model import Answer, Ticket
from marlstep.slots import SlotTable, TableFull
from marlstep.stream import RingStream
from marlstep.timeline import Deadline, Timeline
from marlstep.units import SECOND

log = logging.getLogger(__name__)

LINGER = 5 * SECOND  # for the last of what was sent to be taken


class Connection(RingStream):
    """A front end's connection. It has a slot in its front's table from `made` to `lost`."""

    def __init__(self, listener: Listener, ring_size: int) -> None:
        super().__init__(ring_size)
        self.listener = listener
        self.handle = 0
        self._idle: Deadline | None = None
        self._linger: Deadline | None = None

    def made(self) -> None:
        try:
            self.handle = self.listener.connections.add(self)
        except TableFull:
            log.warning("connection turned away: the table is full")
            self.abort()
            return
        self.rest()

    def lost(self) -> None:
        self.listener.timeline.cancel(self._idle)
        self.listener.timeline.cancel(self._linger)
        if self.listener.connections.free(self.handle):
            self.gone()

    def rest(self) -> None:
        """Something went over the connection: its idle time starts anew."""
        timeline = self.listener.timeline
        timeline.cancel(self._idle)
        self._idle = None
        if self.listener.idle_after:
            self._idle = timeline.at(timeline.now() + self.listener.idle_after, self._at_rest)

    def finish(self) -> None:
        """As for any stream, but a peer that does not take what is left is cut off in the end."""
        if self._linger is None and self.connected:
            timeline = self.listener.timeline
            self._linger = timeline.at(timeline.now() + LINGER, self.abort)
        super().finish()

    def _at_rest(self) -> None:
        self._idle = None
        if self.clogged:  # for all this time the peer took nothing of what it was sent
            log.warning("connection cut off: its peer takes no answers")
            self.abort()
        else:
            self.idle()

    # What a front gives.

    def answer(self, number: int, answer: Answer) -> None:
        raise NotImplementedError

    def gone(self) -> None:
        """The connection is lost: nobody can take the answers to what is open there."""
        raise NotImplementedError

    def idle(self) -> None:
        """Nothing went over the connection for the front's idle time."""
        raise NotImplementedError

    def leave(self) -> None:
        """The front takes nothing new."""
        raise NotImplementedError


class Listener:
    def __init__(self, core: Core, timeline: Timeline, limit: int, idle_after: timedelta) -> None:
        self.core = core
        self.timeline = timeline
        self.connections: SlotTable[Connection] = SlotTable(limit)
        self.idle_after = idle_after
        self.leaving = False
        self.port = 0  # where 0 was asked for, the one the system gave
        self._server: asyncio.Server | None = None

    def make(self) -> Connection:
        raise NotImplementedError

    async def listen(self, address: tuple[str, int]) -> None:
        host, port = address
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self.make, host, port, backlog=512, reuse_address=True)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def deliver(self, ticket: Ticket, answer: Answer) -> None:
        handle, number = ticket
        connection = self.connections.get(handle)
        if connection is not None:
            connection.answer(number, answer)

    def limit_idle(self, after: timedelta) -> None:
        self.idle_after = after

    def stop_accepting(self) -> None:
        self.leaving = True
        if self._server is not None:
            self._server.close()
        for connection in self.connections:
            connection.leave()
