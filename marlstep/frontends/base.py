"""What all frontends share: a listening socket, its connections, and the timers that bound how long each may stay.

`connection_policy.py` has the rules, `connection_table.py` the connections; here they meet the sockets. The life of a
connection is `opened`, `data_received` any number of times, `closed`; in between its timers may call `timed_out` or
`close_idle`, and the frontend `drain`. Which method ends a connection, and when to use it:

| method | use it | what is open, and what is queued to be sent |
| --- | --- | --- |
| `abort` | for a peer that does not read, or that gets no slot | cancelled, lost |
| `finish` | when nothing is owed any more: no request is open | sent within CLOSE_TIMEOUT, or else lost |
| `drain` | when the peer is to send nothing new here | gets its responses, then the connection closes |
| `close_idle` | for an idle connection; RESP drains it, uwsgi has none to close | nothing is open |
| `timed_out` | from the read timer alone: RESP rejects the stream, uwsgi finishes | RESP: gets its responses |
| `RespConnection._reject_stream` | where the bytes can't be divided into frames any more | drained |

How long a connection may be idle is up to the admission controller: its action `IdleLimit` comes through the core to
`Listener.limit_idle_time`.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from datetime import timedelta

from marlstep.core.engine import Core
from marlstep.core.interfaces import Backend, InboundRequest, Response, ResponseHandle
from marlstep.frontends import connection_policy
from marlstep.frontends.connection_table import ConnectionTable
from marlstep.net.stream import RingStream
from marlstep.slots import TableFullError
from marlstep.timer_queue import Timer, TimerQueue

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 512  # connections that the system queues before they are accepted
PASSED_BACKLOG = 4096  # other processes listen on a passed socket too: theirs must not shrink
REJECTIONS_PER_LOG_LINE = 100  # rejected connections; the first of each hundred is logged


class Connection(RingStream):
    """A connection of a frontend. It has a slot in the frontend's table from `opened` to `closed`."""

    def __init__(self, listener: Listener, ring_size: int) -> None:
        """`ring_size` is the size of the inbox and of the outbox, in bytes each."""
        super().__init__(ring_size)
        self.listener = listener
        self.handle = 0
        self.opened_at = listener.timeline.now()
        self._progress_timer: Timer | None = None
        self._close_timer: Timer | None = None

    def opened(self) -> None:
        """Take a slot in the table, or abort."""
        if self.listener.accept(self):
            self.start_progress_timer()
        else:
            self.abort()

    def closed(self) -> None:
        """Give the slot back, and cancel what is open: nobody can take the responses."""
        timeline = self.listener.timeline
        timeline.cancel(self._progress_timer)
        timeline.cancel(self._close_timer)
        if self.listener.connections.remove(self):
            self.cancel_requests()

    def start_progress_timer(self) -> None:
        """Give the peer the read timeout to send, or to read, what the connection waits for."""
        if self._progress_timer is None and self.listener.read_timeout:
            timeline = self.listener.timeline
            due = timeline.now() + self.listener.read_timeout
            timer = self._progress_timer = timeline.at(
                due, lambda: timeline.after_reading(lambda: self._progress_timed_out(timer))
            )

    def stop_progress_timer(self) -> None:
        """Note that the peer did what the connection waited for."""
        if self._progress_timer is not None:
            self.listener.timeline.cancel(self._progress_timer)
            self._progress_timer = None

    def _progress_timed_out(self, timer: Timer) -> None:
        if self._progress_timer is not timer:
            return  # what the connection waited for has come in the same turn
        self._progress_timer = None
        if not self.connected:
            return
        if self.send_blocked:
            log.warning("connection aborted: reason=peer_does_not_read")
            self.abort()
        else:
            self.timed_out()

    def finish(self) -> None:
        """Read no more and close once all is sent; abort where the peer does not take it within CLOSE_TIMEOUT."""
        if self._close_timer is None and self.connected:
            timeline = self.listener.timeline
            due = timeline.now() + connection_policy.CLOSE_TIMEOUT
            self._close_timer = timeline.at(due, self.abort)
        super().finish()

    # For subclasses to implement.

    def send_response(self, number: int, response: Response) -> None:
        """Send the response to the request that the connection submitted under this number."""
        raise NotImplementedError

    def cancel_requests(self) -> None:
        """Cancel all requests that are open: the connection has closed."""
        raise NotImplementedError

    def timed_out(self) -> None:
        """Handle a read timeout: no complete message came in time."""
        raise NotImplementedError

    def close_idle(self) -> None:
        """Close a connection that was idle for too long, or has to make room for another."""

    def drain(self) -> None:
        """Accept nothing new on this connection: the frontend is closing."""
        raise NotImplementedError


class RequestConnection(Connection):
    """A connection that submits requests to the core, each under a number of the connection's own."""

    def __init__(self, frontend: RequestListener, ring_size: int) -> None:
        """`ring_size` is the size of the inbox and of the outbox, in bytes each."""
        super().__init__(frontend, ring_size)
        self._core, self._backend = frontend.core, frontend.backend
        self._request_handles: dict[int, int] = {}  # of the open requests, by number

    def submit(self, number: int, inbound: InboundRequest) -> None:
        """Submit a request. Raises RequestRejectedError."""
        self._request_handles[number] = self._core.submit(
            self.listener, (self.handle, number), self._backend, inbound
        )

    def cancel_request(self, number: int) -> bool:
        """Cancel one request, to which no response is owed any more; False where it is not open."""
        handle = self._request_handles.pop(number, None)
        if handle is not None:
            self._core.client_disconnected(handle)
        return handle is not None

    def cancel_requests(self) -> None:
        """Cancel all open requests."""
        for handle in self._request_handles.values():
            self._core.client_disconnected(handle)
        self._request_handles.clear()


class Listener:
    """A frontend's listening socket, and the connections that it accepted."""

    def __init__(
        self,
        core: Core,
        timeline: TimerQueue,
        limit: int,
        read_timeout: timedelta,
        idle_timeout: timedelta = timedelta(0),
    ) -> None:
        """Make a frontend that does not listen yet.

        Args:
            core: takes the requests.
            timeline: the timers of all connections.
            limit: of the connections at a time.
            read_timeout: for the peer to send a complete message or to read its responses; 0 for no limit.
            idle_timeout: after which an idle connection is closed, until the controller sets another limit by
                `limit_idle_time`; 0 for no limit.
        """
        self.core = core
        self.timeline = timeline
        self.connections: ConnectionTable[Connection] = ConnectionTable(limit)
        self.read_timeout = read_timeout
        self.idle_timeout = idle_timeout
        self.draining = False
        self.port = 0  # once it listens, the one that the system chose where 0 was configured
        self._idle_sweep: Timer | None = None
        self._rejected_connections = 0
        self._server: asyncio.Server | None = None

    def make(self) -> Connection:
        """Make a connection for a peer that has connected."""
        raise NotImplementedError

    @property
    def listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._server is not None and self._server.is_serving()

    async def listen(self, address: tuple[str, int], passed: int | None = None, shared: bool = False) -> None:
        """Accept connections. Raises OSError.

        Args:
            address: host and port.
            passed: the descriptor of a listening socket that this process was started with, to use in its place.
            shared: whether another process may listen on the address at the same time.
        """
        host, port = address
        loop = asyncio.get_running_loop()
        if passed is None:
            self._server = await loop.create_server(
                self.make, host, port, backlog=LISTEN_BACKLOG, reuse_address=True, reuse_port=shared
            )
        else:
            # A duplicate: closing it ends the listening here alone, and this process can listen again.
            duplicate = socket.socket(fileno=os.dup(passed))
            self._server = await loop.create_server(self.make, sock=duplicate, backlog=PASSED_BACKLOG)
        self.port = int(self._server.sockets[0].getsockname()[1])

    # The connections.

    def accept(self, connection: Connection) -> bool:
        """Enter a new connection in the table, closing another where the policy says so; False if there is no slot."""
        self._make_room()
        try:
            self.connections.add(connection)
        except TableFullError:
            if self._rejected_connections % REJECTIONS_PER_LOG_LINE == 0:
                log.warning(
                    "connections rejected: reason=table_full capacity=%d rejected=%d",
                    self.connections.capacity,
                    self._rejected_connections + 1,
                )
            self._rejected_connections += 1
            return False
        return True

    def _make_room(self) -> None:
        connections = self.connections
        idle = connections.longest_idle()
        if idle is not None and connection_policy.evicts_idle_connection(
            len(connections), connections.capacity
        ):
            idle.close_idle()
        oldest = connections.oldest_unproven()
        if oldest is not None and connection_policy.evicts_unproven_connection(
            len(connections),
            connections.unproven_count,
            self.timeline.now() - oldest.opened_at,
            connections.capacity,
        ):
            oldest.abort()

    def mark_idle(self, connection: Connection) -> None:
        """Note that nothing is open on a connection from now on."""
        self.connections.mark_idle(connection, self.timeline.now())
        if self._idle_sweep is None:
            self._schedule_idle_sweep()

    def _schedule_idle_sweep(self) -> None:
        self.timeline.cancel(self._idle_sweep)
        self._idle_sweep = None
        idle_since = self.connections.longest_idle_since()
        if idle_since is not None and self.idle_timeout:
            due = connection_policy.next_idle_sweep_at(idle_since, self.idle_timeout, self.timeline.now())
            self._idle_sweep = self.timeline.at(due, self._close_idle_connections)

    def _close_idle_connections(self) -> None:
        now = self.timeline.now()
        for connection, idle_since in self.connections.idle_connections():
            if not connection_policy.is_idle_too_long(idle_since, self.idle_timeout, now):
                break
            connection.close_idle()
        self._schedule_idle_sweep()

    def limit_idle_time(self, after: timedelta) -> None:
        """Close connections that are idle for longer, as the controller's `IdleLimit` asks; 0 for no limit."""
        self.idle_timeout = after
        self._schedule_idle_sweep()

    # The core's side.

    def deliver(self, response_handle: ResponseHandle, response: Response) -> None:
        """Send a response, unless its connection has closed."""
        handle, number = response_handle
        connection = self.connections.get(handle)
        if connection is not None:
            connection.send_response(number, response)

    def stop_accepting(self) -> None:
        """Close the listening socket, and drain all connections."""
        self.draining = True
        if self._server is not None:
            self._server.close()
        for connection in self.connections:
            connection.drain()

    def accept_again(self) -> None:
        """Undo `stop_accepting`; `listen` follows."""
        self.draining = False


class RequestListener(Listener):
    """A frontend whose connections submit requests to the core."""

    def __init__(
        self,
        core: Core,
        timeline: TimerQueue,
        backend: Backend,
        limit: int,
        read_timeout: timedelta,
        idle_timeout: timedelta = timedelta(0),
    ) -> None:
        """As a Listener; `backend` runs the requests."""
        super().__init__(core, timeline, limit, read_timeout, idle_timeout)
        self.backend = backend
