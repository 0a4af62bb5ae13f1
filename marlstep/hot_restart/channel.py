"""The I/O of a hot restart: this process's socket, its connections to the other processes, and the timer.

`HotRestart` makes all decisions. This module passes it the received messages together with the current time.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from datetime import datetime
from functools import partial
from pathlib import Path

from marlstep.hot_restart.connection import PeerConnection, PeerRole
from marlstep.hot_restart.discovery import PredecessorSearch, SocketDirectory, connect
from marlstep.hot_restart.messages import Hello, HelloMissingError, Message
from marlstep.hot_restart.restart import HotRestart
from marlstep.timer_queue import Timer, TimerQueue
from marlstep.units import MILLISECOND

log = logging.getLogger(__name__)

TICK_INTERVAL = 20 * MILLISECOND  # between calls of `HotRestart.tick` while it is not idle


class RestartChannel:
    """Connects this process with its predecessor and its successor."""

    def __init__(
        self, folder: Path, node: str, timeline: TimerQueue, make_hot_restart: Callable[[int], HotRestart]
    ) -> None:
        """Create the channel; `open` does the I/O.

        Args:
            folder: the directory of the Unix sockets of the node's processes.
            node: the node's name.
            timeline: the node's timers and clock.
            make_hot_restart: returns the state machine for a given generation of this process.
        """
        self._directory = SocketDirectory(folder, node)
        self._folder, self._timeline, self._make_hot_restart = folder, timeline, make_hot_restart
        self.hot_restart = make_hot_restart(0)
        self._socket_path: Path | None = None
        self._server: asyncio.AbstractServer | None = None
        self._predecessor: PeerConnection | None = None
        self._successor: PeerConnection | None = None
        self._tick_timer: Timer | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._connect_predecessor = partial(PeerConnection, self, PeerRole.PREDECESSOR)
        self._accept_successor = partial(PeerConnection, self, PeerRole.SUCCESSOR)

    async def open(self) -> bool:
        """Connect to the predecessor, if any, and listen for a successor. Return whether a predecessor is connected."""
        search, generation = PredecessorSearch(), 0
        try:
            sockets = self._directory.list_sockets()
            search = await self._directory.find_predecessor(sockets, self._connect_predecessor)
            generation = max(sockets, default=0) + 1
            generation = await self._listen(generation)
        except OSError as error:  # folder missing or not writable, or no Unix sockets
            log.warning("hot restart unavailable: folder=%s error=%s", self._folder, error)
        self.hot_restart = self._make_hot_restart(generation)
        predecessor = search.connection
        if predecessor is not None:
            self._begin_initial_sync(predecessor)
        if search.unreachable:
            self.hot_restart.predecessor_unreachable(self._timeline.now())
        if predecessor is not None or search.unreachable:
            self._schedule_tick()
        return predecessor is not None

    async def _listen(self, first_generation: int) -> int:
        listening, generation = self._directory.listen(first_generation)
        self._socket_path = self._directory.path_of(generation)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_unix_server(self._accept_successor, sock=listening)
        return generation

    def _begin_initial_sync(self, connection: PeerConnection) -> None:
        self._predecessor = connection
        self.hot_restart.predecessor_connected(connection, self._timeline.now())
        if not connection.connected:  # it was lost before this process took it for its predecessor's
            self.connection_lost(connection)

    def _redirect(self, generation: int) -> None:
        """Drop the connection to the predecessor and connect to the newer process that it named as its successor."""
        if self._predecessor is not None:
            previous_connection, self._predecessor = self._predecessor, None
            previous_connection.close()
        task = asyncio.get_running_loop().create_task(self._connect_to(generation))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect_to(self, generation: int) -> None:
        try:
            connection = await connect(self._directory.path_of(generation), self._connect_predecessor)
        except (OSError, TimeoutError) as error:
            log.warning("predecessor did not answer: generation=%d error=%r", generation, error)
            self.hot_restart.predecessor_lost(self._timeline.now())
        else:
            self._begin_initial_sync(connection)

    # Implementation of ConnectionHandler.

    def message_received(self, connection: PeerConnection, message: Message) -> None:
        """Pass a message to the state machine of its sender's side.

        Raises:
            HelloMissingError: the first message of the connection is not a Hello.
        """
        now = self._timeline.now()
        if not connection.hello_received:
            if not isinstance(message, Hello):
                raise HelloMissingError(message)
            connection.hello_received = True
            self._hello_received(connection, message, now)
        elif connection is self._predecessor:
            self.hot_restart.handle_predecessor_message(message, now)
        elif connection is self._successor:
            self.hot_restart.handle_successor_message(message, now)

    def _hello_received(self, connection: PeerConnection, hello: Hello, now: datetime) -> None:
        is_redirect = hello.successor_generation != 0
        if connection is self._predecessor and is_redirect:
            self._redirect(hello.successor_generation)
        elif connection is self._predecessor:
            self.hot_restart.handle_predecessor_message(hello, now)
        elif connection.role is PeerRole.SUCCESSOR and self.hot_restart.successor_connected(
            connection, hello, now
        ):
            self._successor = connection
            self._schedule_tick()

    def unknown_process_connected(self, connection: PeerConnection) -> None:
        """Handle an incoming connection without a valid Hello: its process may be serving as well."""
        if connection.role is PeerRole.SUCCESSOR:
            self.hot_restart.unknown_process_connected(self._timeline.now())
            self._schedule_tick()

    def connection_lost(self, connection: PeerConnection) -> None:
        """Report the end of a connection to the state machine, unless it was redirected or never accepted as a peer."""
        now = self._timeline.now()
        if connection is self._predecessor:
            self._predecessor = None
            self.hot_restart.predecessor_lost(now)
        elif connection is self._successor:
            self._successor = None
            self.hot_restart.successor_lost(now)
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        if self._tick_timer is None and not self.hot_restart.is_idle:
            self._tick_timer = self._timeline.at(self._timeline.now() + TICK_INTERVAL, self._tick)

    def _tick(self) -> None:
        self._tick_timer = None
        for connection in (self._predecessor, self._successor):
            if connection is not None:
                connection.flush_unsent()
        self.hot_restart.tick(self._timeline.now())
        self._schedule_tick()

    def close(self) -> None:
        """Hand over everything that is left, close the connections and the listening socket, and unlink its path."""
        self.hot_restart.finish()
        connections = (self._predecessor, self._successor)
        self._predecessor = self._successor = None
        for connection in connections:
            if connection is not None:
                connection.flush_unsent()  # the peer can still read written data after the close
                connection.close()
        if self._server is not None:
            self._server.close()
        if self._socket_path is not None:
            self._socket_path.unlink(missing_ok=True)
        self._timeline.cancel(self._tick_timer)
