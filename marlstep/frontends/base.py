"""Base classes of all frontends: a listening socket, its connections, and the timers that close connections.

The rules are in `connection_policy.py` and the table of connections in `connection_table.py`; this module applies them
to sockets. For each connection `opened` is called first, then `data_received` any number of times, then `closed`. In
between the timers may call `timed_out` or `close_idle`, and the frontend may call `drain`. The methods that end a
connection:

| method | used for | open requests and queued output |
| --- | --- | --- |
| `abort` | a peer that does not read, or that gets no slot | requests are cancelled, output is lost |
| `finish` | a connection without open requests | output is sent within CLOSE_TIMEOUT, or else lost |
| `drain` | a connection that must carry no new request | requests get their responses, then it closes |
| `close_idle` | an idle connection; RESP drains it, uwsgi has no idle ones | none is open |
| `timed_out` | the read timer only: RESP rejects the stream, uwsgi finishes | RESP: requests get their responses |
| `RespConnection._reject_stream` | a malformed stream, or a peer that broke a limit | as with `drain` |

The admission controller sets how long a connection may be idle: the core passes its action `IdleLimit` on to
`Listener.limit_idle_time`.
"""

from __future__ import annotations

import logging
from collections import Counter
from datetime import timedelta

from marlstep.core.engine import Core
from marlstep.core.interfaces import Backend, InboundRequest, Response, ResponseHandle
from marlstep.frontends import connection_policy
from marlstep.frontends.connection_end import ConnectionEnd
from marlstep.frontends.connection_table import ConnectionTable
from marlstep.frontends.listening_socket import ListeningSocket
from marlstep.frontends.rejection_log import RejectionLog
from marlstep.net.stream import RingStream
from marlstep.slots import TableFullError
from marlstep.timer_queue import Timer, TimerQueue
from marlstep.units import whole_ms

log = logging.getLogger(__name__)

REJECTIONS_PER_LOG_LINE = 100  # the first of every 100 rejected connections is logged


class Connection(RingStream):
    """A connection of a frontend. It has a slot in the frontend's table from `opened` to `closed`."""

    def __init__(self, listener: Listener, ring_size: int) -> None:
        """`ring_size` is the size of the inbox and of the outbox, in bytes each."""
        super().__init__(ring_size)
        self.listener = listener
        self.handle = 0
        self.opened_at = listener.timeline.now()
        self.end_reason: ConnectionEnd | None = None
        self._progress_timer: Timer | None = None
        self._close_timer: Timer | None = None

    def end_for(self, reason: ConnectionEnd) -> None:
        """Record why this connection is about to end; only the first reason counts."""
        self.end_reason = self.end_reason or reason

    def opened(self) -> None:
        """Occupy a slot in the connection table, or abort the connection if none is free."""
        if self.listener.accept(self):
            self.start_progress_timer()
        else:
            self.end_for(ConnectionEnd.TABLE_FULL)
            self.abort()

    def handle_input(self) -> None:
        """Handle the input, but not that of a client that has reset the connection and can get no response to it."""
        if self.is_reset():
            self.end_for(ConnectionEnd.RESET)
            self.abort()
        else:
            super().handle_input()

    def handling_failed(self) -> None:
        """Record the error as the reason of the end."""
        self.end_for(ConnectionEnd.ERROR)

    def closed(self) -> None:
        """Free the slot and cancel the open requests, whose responses can no longer be delivered."""
        self.listener.count_end(self)
        timeline = self.listener.timeline
        timeline.cancel(self._progress_timer)
        timeline.cancel(self._close_timer)
        if self.listener.connections.remove(self):
            self.cancel_requests()

    def start_progress_timer(self) -> None:
        """Start the read timeout, unless it is running: within it the peer must send or read what is pending."""
        if self._progress_timer is None and self.listener.read_timeout:
            timeline = self.listener.timeline
            due = timeline.now() + self.listener.read_timeout
            timer = self._progress_timer = timeline.at(
                due, lambda: timeline.after_reading(lambda: self._progress_timed_out(timer))
            )

    def stop_progress_timer(self) -> None:
        """Stop the read timeout: the peer has sent or read what was pending."""
        if self._progress_timer is not None:
            self.listener.timeline.cancel(self._progress_timer)
            self._progress_timer = None

    def _progress_timed_out(self, timer: Timer) -> None:
        if self._progress_timer is not timer:
            return  # the timer was stopped or replaced in the same iteration of the event loop
        if self.has_input_to_read():
            self.listener.timeline.after_reading(lambda: self._progress_timed_out(timer))
            return
        self._progress_timer = None
        if not self.connected:
            return
        if self.send_blocked:
            self.listener.log_end("connection aborted", "peer_does_not_read")
            self.end_for(ConnectionEnd.NOT_READ)
            self.abort()
        else:
            self.timed_out()

    def finish(self) -> None:
        """Stop reading and close once all output is sent; abort if that takes longer than CLOSE_TIMEOUT."""
        if self._close_timer is None and self.connected:
            timeline = self.listener.timeline
            due = timeline.now() + connection_policy.CLOSE_TIMEOUT
            self._close_timer = timeline.at(due, self.abort)
        super().finish()

    # Methods that subclasses implement.

    def send_response(self, number: int, response: Response) -> None:
        """Send the response to the request that was submitted under `number`."""
        raise NotImplementedError

    def cancel_requests(self) -> None:
        """Cancel all open requests after the connection has closed."""
        raise NotImplementedError

    def timed_out(self) -> None:
        """Handle a read timeout: the peer sent no complete message in time."""
        raise NotImplementedError

    def close_idle(self) -> None:
        """Close a connection that was idle for too long or that is evicted for a new one."""

    def drain(self) -> None:
        """Accept no new request on this connection, because the frontend stops accepting."""
        raise NotImplementedError


class RequestConnection(Connection):
    """A connection that submits requests to the core, each under a number that is unique on the connection."""

    def __init__(self, frontend: RequestListener, ring_size: int) -> None:
        """`ring_size` is the size of the inbox and of the outbox, in bytes each."""
        super().__init__(frontend, ring_size)
        self._core, self._backend = frontend.core, frontend.backend
        self._request_handles: dict[int, int] = {}  # open requests: number to core handle

    def submit(self, number: int, inbound: InboundRequest) -> None:
        """Submit a request under `number`. Raises RequestRejectedError if the intake rejects it."""
        self._request_handles[number] = self._core.submit(
            self.listener, (self.handle, number), self._backend, inbound
        )

    def cancel_request(self, number: int) -> bool:
        """Cancel a request, which then gets no response. Return False if it is not open."""
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
    """A frontend's listening socket and the connections accepted on it."""

    def __init__(
        self,
        core: Core,
        timeline: TimerQueue,
        limit: int,
        read_timeout: timedelta,
        idle_timeout: timedelta = timedelta(0),
    ) -> None:
        """Create a frontend that does not listen yet.

        Args:
            core: processes the requests.
            timeline: runs the timers of all connections.
            limit: maximum number of connections at a time.
            read_timeout: time for the peer to send a complete message or to read its responses; 0 for no limit.
            idle_timeout: time after which an idle connection is closed, until the controller sets another one with
                `limit_idle_time`; 0 for no limit.
        """
        self.core = core
        self.timeline = timeline
        self.connections: ConnectionTable[Connection] = ConnectionTable(limit)
        self.read_timeout = read_timeout
        self.idle_timeout = idle_timeout
        self.draining = False
        self._listening_socket = ListeningSocket(timeline)
        self._idle_sweep: Timer | None = None
        self.ends: Counter[ConnectionEnd] = Counter()  # connections that have ended, by reason
        self._end_log = RejectionLog(timeline.now())
        self._rejected_connections = 0

    def make(self) -> Connection:
        """Create the connection object for a peer that has connected."""
        raise NotImplementedError

    @property
    def port(self) -> int:
        """The port that is listened on, also one that the system chose; 0 before `listen`."""
        return self._listening_socket.port

    @property
    def listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._listening_socket.is_open

    @property
    def accepting(self) -> bool:
        """Whether connections are still added to the table, also after the listening socket was closed."""
        return self._listening_socket.is_accepting

    async def listen(self, address: tuple[str, int], passed: int | None = None, shared: bool = False) -> None:
        """Start accepting connections; see `ListeningSocket.open`.

        Raises:
            OSError: the address or the passed socket cannot be listened on.
        """
        await self._listening_socket.open(self.make, address, passed, shared)

    # Connection slots and idle connections.

    def accept(self, connection: Connection) -> bool:
        """Add a new connection to the table, evicting another if the policy asks for it; False if no slot is free."""
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
            idle.end_for(ConnectionEnd.IDLE)
            idle.close_idle()
        oldest = connections.oldest_unproven()
        if oldest is not None and self._evicts_unproven(oldest):
            candidate = connection_policy.eviction_candidate(connections.unproven())
            if candidate is not None and self._evicts_unproven(candidate):
                self.evict(candidate)
        self._make_room_in_shrunk_table()

    def _evicts_unproven(self, connection: Connection) -> bool:
        connections = self.connections
        return connection_policy.evicts_unproven_connection(
            len(connections),
            connections.unproven_count,
            self.timeline.now() - connection.opened_at,
            connections.capacity,
        )

    def _make_room_in_shrunk_table(self) -> None:
        """Evict unproven connections by `eviction_candidate`, until a slot is free.

        The capacity may fall below the number of connections when another process of the node gets a share of it.
        """
        connections = self.connections
        while not connection_policy.has_free_slot(len(connections), connections.capacity):
            candidate = connection_policy.eviction_candidate(connections.unproven())
            if candidate is None:
                return
            self.evict(candidate)

    def evict(self, connection: Connection) -> None:
        """Abort an unproven connection. Its slot is free at once, and not only when the event loop has closed it."""
        connection.end_for(ConnectionEnd.EVICTED)
        self.connections.remove(connection)
        connection.abort()

    def count_end(self, connection: Connection) -> None:
        """Count the end of a connection by its reason. Log it if input was left, as a request may be lost with it."""
        reason = connection.end_reason or ConnectionEnd.PEER
        self.ends[reason] += 1
        if connection.inbox.used or reason is ConnectionEnd.EVICTED:
            age_ms = whole_ms(self.timeline.now() - connection.opened_at)
            details = f"{reason.value} port={connection.peer_port} age_ms={age_ms}"
            event = "connection ended with its input unread"
            self.log_end(event, f"{details} unread_bytes={connection.inbox.used}")

    def log_end(self, event: str, reason: str) -> None:
        """Log the end of a connection, rate-limited by `RejectionLog`."""
        self._end_log.write(event, reason, self.timeline.now())

    def mark_idle(self, connection: Connection) -> None:
        """Mark a connection as idle from now on, and schedule an idle sweep if none is due."""
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
            connection.end_for(ConnectionEnd.IDLE)
            connection.close_idle()
        self._schedule_idle_sweep()

    def limit_idle_time(self, after: timedelta) -> None:
        """Set the idle timeout, as the controller's action `IdleLimit` asks; 0 for no limit."""
        self.idle_timeout = after
        self._schedule_idle_sweep()

    # Methods that the core calls.

    def deliver(self, response_handle: ResponseHandle, response: Response) -> None:
        """Send a response on its connection, unless that has closed."""
        handle, number = response_handle
        connection = self.connections.get(handle)
        if connection is not None:
            connection.send_response(number, response)

    def stop_accepting(self) -> None:
        """Drain all connections, and close the listening socket once the connections in its backlog are accepted."""
        self.draining = True
        self._listening_socket.close()
        for connection in self.connections:
            connection.end_for(ConnectionEnd.DRAINING)
            connection.drain()

    def accept_again(self) -> None:
        """End the draining state, so that `listen` can be called again after `stop_accepting`."""
        self.draining = False
        self._listening_socket.stay_open()


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
        """Create the frontend; `backend` runs the requests, for the other arguments see `Listener`."""
        super().__init__(core, timeline, limit, read_timeout, idle_timeout)
        self.backend = backend
