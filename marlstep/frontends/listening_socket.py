"""A listening socket, which is closed only once the connections in its backlog are accepted."""

from __future__ import annotations

import asyncio
import os
import select
import socket
from collections.abc import Callable

from marlstep.timer_queue import TimerQueue

LISTEN_BACKLOG = 512  # connections that the system queues before they are accepted
PASSED_BACKLOG = 4096  # other processes listen on a passed socket too, and their backlog must not shrink


class ListeningSocket:
    """The listening socket of a frontend; it can be opened again after it was closed."""

    def __init__(self, timeline: TimerQueue) -> None:
        """Create a socket that does not listen yet; `timeline` runs callbacks in iterations of the event loop."""
        self._timeline = timeline
        self._server: asyncio.Server | None = None
        self._is_passed = False
        self._is_closing = False
        self._is_opening_last_connections = False  # accepted before the socket was closed
        self.port = 0  # set by `open`; the port that the system chose if 0 was configured

    @property
    def is_open(self) -> bool:
        """Whether new connections are accepted."""
        return self._server is not None and self._server.is_serving()

    @property
    def is_accepting(self) -> bool:
        """Whether connections are still opened, also after the socket was closed."""
        return self.is_open or self._is_opening_last_connections

    async def open(
        self,
        make: Callable[[], asyncio.BaseProtocol],
        address: tuple[str, int],
        passed: int | None = None,
        shared: bool = False,
    ) -> None:
        """Start accepting connections.

        Args:
            make: creates the protocol of a connection.
            address: host and port.
            passed: descriptor of a listening socket that this process inherited, used instead of `address`.
            shared: whether another process may listen on the address at the same time.

        Raises:
            OSError: the address or the passed socket cannot be listened on.
        """
        host, port = address
        loop = asyncio.get_running_loop()
        if passed is None:
            self._server = await loop.create_server(
                make, host, port, backlog=LISTEN_BACKLOG, reuse_address=True, reuse_port=shared
            )
        else:
            # Closing the duplicate leaves the passed descriptor open, so that this process can listen again.
            duplicate = socket.socket(fileno=os.dup(passed))
            self._server = await loop.create_server(make, sock=duplicate, backlog=PASSED_BACKLOG)
        self.port = int(self._server.sockets[0].getsockname()[1])
        self._is_passed, self._is_closing = passed is not None, False

    def close(self) -> None:
        """Close the socket once the connections in its backlog are accepted, unless `stay_open` comes first.

        The system resets the connections in the backlog of a socket that is closed, and the loop accepts only one
        connection in each iteration. A passed socket is closed at once: its backlog is that of another process too.
        """
        self._is_closing = True
        self._close_when_empty(LISTEN_BACKLOG)

    def stay_open(self) -> None:
        """Keep a socket open that is closing and not closed yet."""
        self._is_closing = False

    def _close_when_empty(self, max_accepts: int) -> None:
        """Close the socket when its backlog is empty, or after `max_accepts` more iterations of the event loop."""
        if self._server is None or not self._is_closing:
            return
        if max_accepts > 0 and not self._is_passed and self._has_backlog():
            self._timeline.soon(lambda: self._close_when_empty(max_accepts - 1))
        elif self._server.is_serving():
            self._server.close()
            # The loop opens the connection that it accepted last in its next iteration.
            self._is_opening_last_connections = True
            self._timeline.after_reading(self._last_connections_opened)

    def _last_connections_opened(self) -> None:
        self._is_opening_last_connections = False

    def _has_backlog(self) -> bool:
        """Whether connections wait to be accepted."""
        assert self._server is not None
        poll = select.poll()
        for listening in self._server.sockets:
            poll.register(listening.fileno(), select.POLLIN)
        return bool(poll.poll(0))
