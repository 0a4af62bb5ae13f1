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
from marlstep.core.interfaces import Response, ResponseHandle
from marlstep.net.stream import RingStream
from marlstep.slots import SlotTable, TableFullError
from marlstep.timer_queue import Timer, TimerQueue
from marlstep.units import MILLISECOND, SECOND

log = logging.getLogger(__name__)

LINGER_TIME = 2 * SECOND  # for the last of what was sent to be taken
CROWDED_SHARE = 0.75  # of the table; from there on quiet connections make room
UNPROVEN_SHARE = 0.25  # of the table, for connections that have brought nothing whole yet
MIN_UNPROVEN_AGE = 100 * MILLISECOND  # such a one stays for so long, if there is any room at all
PASSED_BACKLOG = 4096  # others listen on that socket too: it must not shrink what they asked for
MIN_SWEEP_INTERVAL = 50 * MILLISECOND  # between two looks for connections that are idle


class Connection(RingStream):
    """A front end's connection. It has a slot in its front's table from `opened` to `closed`."""

    def __init__(self, listener: Listener, ring_size: int) -> None:
        super().__init__(ring_size)
        self.listener = listener
        self.handle = 0
        now = listener.timeline.now()
        self.since = self.last_received = now
        self._watch: Timer | None = None
        self._linger: Timer | None = None

    def opened(self) -> None:
        if self.listener.accept(self):
            self.await_more()
        else:
            self.abort()

    def closed(self) -> None:
        timeline = self.listener.timeline
        timeline.cancel(self._watch)
        timeline.cancel(self._linger)
        if self.listener.release(self):
            self.peer_closed()

    def await_more(self) -> None:
        """Something has to come, or to be taken, before the listener's patience is over."""
        if self._watch is None and self.listener.read_timeout:
            timeline = self.listener.timeline
            due = timeline.now() + self.listener.read_timeout
            watch = self._watch = timeline.at(
                due, lambda: timeline.after_reading(lambda: self._timed_out(watch))
            )

    def request_completed(self) -> None:
        """What was waited for has come."""
        if self._watch is not None:
            self.listener.timeline.cancel(self._watch)
            self._watch = None

    def _timed_out(self, watch: Timer) -> None:
        if self._watch is not watch:
            return  # what it waited for has come just now
        self._watch = None
        if not self.connected:
            return
        if self.send_blocked:  # for all this time the peer took nothing of what it was sent
            log.warning("connection cut off: its peer takes no answers")
            self.abort()
        else:
            self.read_timed_out()

    def finish(self) -> None:
        """As for any stream, but a peer that does not take what is left is cut off in the end."""
        if self._linger is None and self.connected:
            timeline = self.listener.timeline
            self._linger = timeline.at(timeline.now() + LINGER_TIME, self.abort)
        super().finish()

    # What a front gives.

    def send_response(self, number: int, answer: Response) -> None:
        raise NotImplementedError

    def peer_closed(self) -> None:
        """The connection is lost: nobody can take the answers to what is open there."""
        raise NotImplementedError

    def read_timed_out(self) -> None:
        """Nothing whole came in time."""
        raise NotImplementedError

    def idle(self) -> None:
        """It was quiet for the front's idle time, or has to make room."""

    def drain(self) -> None:
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
        self.capacity = limit  # of the table, what may be used: less while two processes share the node
        self.read_timeout = patience
        self.idle_after = idle_after
        self.draining = False
        self.port = 0  # where 0 was asked for, the one the system gave
        self._new: dict[int, Connection] = {}  # have brought nothing whole yet, the first come first
        self._quiet: dict[int, Connection] = {}  # the one that was heard longest ago first
        self._sweep: Timer | None = None
        self._rejected_connections = 0
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

    def accept(self, connection: Connection) -> bool:
        table = self.connections
        if len(table) >= CROWDED_SHARE * self.capacity and self._quiet:
            next(iter(self._quiet.values())).idle()
        if len(self._new) >= UNPROVEN_SHARE * self.capacity:
            oldest = next(iter(self._new.values()))
            if len(table) >= self.capacity - 1 or oldest.since + MIN_UNPROVEN_AGE <= self.timeline.now():
                oldest.abort()
        try:
            if len(table) >= self.capacity:
                raise TableFullError("the part of the table that is this process's")
            connection.handle = table.add(connection)
        except TableFullError:
            if self._rejected_connections % 100 == 0:
                log.warning(
                    "connections turned away: the table is full (%d so far)", self._rejected_connections + 1
                )
            self._rejected_connections += 1
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
        connection.last_received = self.timeline.now()
        if self._sweep is None:
            self._sweep_later()

    def _sweep_later(self) -> None:
        self.timeline.cancel(self._sweep)
        self._sweep = None
        if self._quiet and self.idle_after:
            first = next(iter(self._quiet.values())).last_received + self.idle_after
            least = self.timeline.now() + MIN_SWEEP_INTERVAL
            self._sweep = self.timeline.at(max(first, least), self._sweep_idle)

    def _sweep_idle(self) -> None:
        now = self.timeline.now()
        for connection in list(self._quiet.values()):
            if connection.last_received + self.idle_after > now:
                break
            connection.idle()
        self._sweep_later()

    def deliver(self, ticket: ResponseHandle, answer: Response) -> None:
        handle, number = ticket
        connection = self.connections.get(handle)
        if connection is not None:
            connection.send_response(number, answer)

    def limit_idle_time(self, after: timedelta) -> None:
        self.idle_after = after
        self._sweep_later()

    def accept_again(self) -> None:
        """Who was to take what is new is gone. `listen` follows."""
        self.draining = False

    def stop_accepting(self) -> None:
        self.draining = True
        if self._server is not None:
            self._server.close()
        for connection in self.connections:
            connection.drain()
