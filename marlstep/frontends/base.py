"""What every front has: a listening socket, a table of connections, and rules for when they end.

A connection that has brought nothing whole yet, or is inside a message, or does not take its answers, is
given `patience`. One on which nothing is open and nothing comes is quiet: it is closed after the idle time,
or sooner where the table fills, the one that has been quiet for longest first.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from datetime import timedelta

from marlstep.core.engine import Core
from marlstep.core.interfaces import Answer, Ticket
from marlstep.net.stream import RingStream
from marlstep.slots import SlotTable, TableFullError
from marlstep.timer_queue import Deadline, TimerQueue
from marlstep.units import MILLISECOND, SECOND

log = logging.getLogger(__name__)

LINGER = 2 * SECOND  # for the last of what was sent to be taken
FULL_SHARE = 0.75  # of the table; from there on quiet connections make room
NEW_SHARE = 0.25  # of the table, for connections that have brought nothing whole yet
NEW_LEAST = 100 * MILLISECOND  # such a one stays for so long, if there is any room at all
PASSED_BACKLOG = 4096  # others listen on that socket too: it must not shrink what they asked for
SWEEP_LEAST = 50 * MILLISECOND  # between two looks for connections that are idle


class Connection(RingStream):
    """A front end's connection. It has a slot in its front's table from `made` to `lost`."""

    def __init__(self, listener: Listener, ring_size: int) -> None:
        super().__init__(ring_size)
        self.listener = listener
        self.handle = 0
        now = listener.timeline.now()
        self.since = self.heard = now
        self._watch: Deadline | None = None
        self._linger: Deadline | None = None

    def made(self) -> None:
        if self.listener.admit(self):
            self.await_more()
        else:
            self.abort()

    def lost(self) -> None:
        timeline = self.listener.timeline
        timeline.cancel(self._watch)
        timeline.cancel(self._linger)
        if self.listener.release(self):
            self.gone()

    def await_more(self) -> None:
        """Something has to come, or to be taken, before the listener's patience is over."""
        if self._watch is None and self.listener.patience:
            timeline = self.listener.timeline
            due = timeline.now() + self.listener.patience
            watch = self._watch = timeline.at(
                due, lambda: timeline.after_reading(lambda: self._out_of_patience(watch))
            )

    def satisfied(self) -> None:
        """What was waited for has come."""
        if self._watch is not None:
            self.listener.timeline.cancel(self._watch)
            self._watch = None

    def _out_of_patience(self, watch: Deadline) -> None:
        if self._watch is not watch:
            return  # what it waited for has come just now
        self._watch = None
        if not self.connected:
            return
        if self.clogged:  # for all this time the peer took nothing of what it was sent
            log.warning("connection cut off: its peer takes no answers")
            self.abort()
        else:
            self.overdue()

    def finish(self) -> None:
        """As for any stream, but a peer that does not take what is left is cut off in the end."""
        if self._linger is None and self.connected:
            timeline = self.listener.timeline
            self._linger = timeline.at(timeline.now() + LINGER, self.abort)
        super().finish()

    # What a front gives.

    def answer(self, number: int, answer: Answer) -> None:
        raise NotImplementedError

    def gone(self) -> None:
        """The connection is lost: nobody can take the answers to what is open there."""
        raise NotImplementedError

    def overdue(self) -> None:
        """Nothing whole came in time."""
        raise NotImplementedError

    def idle(self) -> None:
        """It was quiet for the front's idle time, or has to make room."""

    def leave(self) -> None:
        """The front takes nothing new."""
        raise NotImplementedError


class Listener:
    def __init__(
        self,
        core: Core,
        timeline: TimerQueue,
        limit: int,
        patience: timedelta,
        idle_after: timedelta = timedelta(0),
    ) -> None:
        self.core = core
        self.timeline = timeline
        self.connections: SlotTable[Connection] = SlotTable(limit)
        self.room = limit  # of the table, what may be used: less while two processes share the node
        self.patience = patience
        self.idle_after = idle_after
        self.leaving = False
        self.port = 0  # where 0 was asked for, the one the system gave
        self._new: dict[int, Connection] = {}  # have brought nothing whole yet, the first come first
        self._quiet: dict[int, Connection] = {}  # the one that was heard longest ago first
        self._sweep: Deadline | None = None
        self._turned_away = 0
        self._server: asyncio.Server | None = None

    def make(self) -> Connection:
        raise NotImplementedError

    @property
    def listening(self) -> bool:
        return self._server is not None and self._server.is_serving()

    async def listen(self, address: tuple[str, int], passed: int | None = None, shared: bool = False) -> None:
        """Take connections at the address, or at the listening socket that was passed to this process.

        A shared address may have a listener in each of two processes.
        """
        host, port = address
        loop = asyncio.get_running_loop()
        if passed is None:
            self._server = await loop.create_server(
                self.make, host, port, backlog=512, reuse_address=True, reuse_port=shared
            )
        else:
            # A copy: closing it ends the listening here alone, and it can be taken up again.
            copy = socket.socket(fileno=os.dup(passed))
            self._server = await loop.create_server(self.make, sock=copy, backlog=PASSED_BACKLOG)
        self.port = int(self._server.sockets[0].getsockname()[1])

    # The table.

    def admit(self, connection: Connection) -> bool:
        table = self.connections
        if len(table) >= FULL_SHARE * self.room and self._quiet:
            next(iter(self._quiet.values())).idle()
        if len(self._new) >= NEW_SHARE * self.room:
            oldest = next(iter(self._new.values()))
            if len(table) >= self.room - 1 or oldest.since + NEW_LEAST <= self.timeline.now():
                oldest.abort()
        try:
            if len(table) >= self.room:
                raise TableFullError("the part of the table that is this process's")
            connection.handle = table.add(connection)
        except TableFullError:
            if self._turned_away % 100 == 0:
                log.warning("connections turned away: the table is full (%d so far)", self._turned_away + 1)
            self._turned_away += 1
            return False
        self._new[connection.handle] = connection
        return True

    def release(self, connection: Connection) -> bool:
        """The one place where a connection's slot is given back; False where it had none."""
        if self.connections.get(connection.handle) is not connection:
            return False
        self._new.pop(connection.handle, None)
        self._quiet.pop(connection.handle, None)
        return self.connections.free(connection.handle)

    def is_new(self, connection: Connection) -> bool:
        return connection.handle in self._new

    def proven(self, connection: Connection) -> None:
        """It has brought something whole."""
        self._new.pop(connection.handle, None)

    def busy(self, connection: Connection) -> None:
        self._quiet.pop(connection.handle, None)

    def quiet(self, connection: Connection) -> None:
        """Nothing is open there any more."""
        self._quiet.pop(connection.handle, None)
        self._quiet[connection.handle] = connection
        connection.heard = self.timeline.now()
        if self._sweep is None:
            self._sweep_later()

    def _sweep_later(self) -> None:
        self.timeline.cancel(self._sweep)
        self._sweep = None
        if self._quiet and self.idle_after:
            first = next(iter(self._quiet.values())).heard + self.idle_after
            least = self.timeline.now() + SWEEP_LEAST
            self._sweep = self.timeline.at(max(first, least), self._sweep_idle)

    def _sweep_idle(self) -> None:
        now = self.timeline.now()
        for connection in list(self._quiet.values()):
            if connection.heard + self.idle_after > now:
                break
            connection.idle()
        self._sweep_later()

    def deliver(self, ticket: Ticket, answer: Answer) -> None:
        handle, number = ticket
        connection = self.connections.get(handle)
        if connection is not None:
            connection.answer(number, answer)

    def limit_idle(self, after: timedelta) -> None:
        self.idle_after = after
        self._sweep_later()

    def accept_again(self) -> None:
        """Who was to take what is new is gone. `listen` follows."""
        self.leaving = False

    def stop_accepting(self) -> None:
        self.leaving = True
        if self._server is not None:
            self._server.close()
        for connection in self.connections:
            connection.leave()
