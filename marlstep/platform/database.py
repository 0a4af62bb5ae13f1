"""The client of the database, which makes the downstream calls of runs.

This module manages the calls in flight, the queue of calls, and the connections. `call_policy.py` has the rules for
time limits and connections, `database_wire.py` the wire protocol.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime
from functools import partial

from marlstep.admission.events import Outcome
from marlstep.admission.settings import Effect
from marlstep.core.interfaces import EventSink, Request
from marlstep.net.eventloop import Address, Cancel, Dial, dial
from marlstep.net.lines import LineStream
from marlstep.platform import call_policy, database_wire
from marlstep.platform.call_policy import ConnectionChoice
from marlstep.timer_queue import Timer, TimerQueue

log = logging.getLogger(__name__)


@dataclass(slots=True, eq=False)
class _Call:
    """One call, from `DatabaseClient.call` until its outcome is reported."""

    id: str  # of its request
    body: bytes
    until: datetime  # end of the time limit that the database gets
    is_idempotent: bool
    timeout: Timer | None = None
    connection: DatabaseConnection | None = None


class DatabaseConnection(LineStream):
    """One connection to the database, which carries one call at a time."""

    def __init__(self, client: DatabaseClient, address: Address) -> None:
        """Initialize a connection that is not open yet.

        Args:
            client: handles replies and changes of the connection's state.
            address: of the database, as host and port.
        """
        super().__init__(database_wire.RING_SIZE, database_wire.LINE_LIMIT)
        self.address = address
        self.call: _Call | None = None  # in flight
        self.last_request_id = ""  # of the last call on this connection
        self.idle_timer: Timer | None = None
        self._client = client
        self._has_foreign_reply = False  # a reply arrived that does not belong to the call in flight

    def opened(self) -> None:
        """Notify the client that the connection is open."""
        self._client.connection_opened(self)

    def closed(self) -> None:
        """Notify the client that the connection has closed."""
        self._client.connection_closed(self)

    def body_length(self, words: list[str]) -> int | None:
        """Return the length in bytes of the result of a reply, or None if it has no result.

        Raises:
            InvalidLengthError: the length is invalid.
        """
        return database_wire.reply_body_length(words)

    def data_received(self) -> None:
        """Handle replies; once the call has ended, return the connection to the pool or drop it."""
        carried_call = self.call is not None
        super().data_received()
        if self.call is not None:
            return
        # Decided only after all received input was handled: input after the reply belongs to no call.
        if call_policy.is_reusable(
            carried_call,
            self.connected,
            self._has_foreign_reply,
            has_unread_input=self.partial or self.at_eof,
        ):
            self._client.return_to_pool(self)
        else:
            self.abort()

    def message(self, words: list[str], body: bytes) -> None:
        """Handle a reply.

        Raises:
            UnknownReplyError: the line is not a reply that the protocol defines.
        """
        reply = database_wire.parse_reply(words)
        if self.call is not None and self.call.id == reply.call_id:
            self._client.call_ended(self.call, reply.outcome, body)
        else:
            log.warning("database connection to be dropped: reason=reply_to_no_call call=%s", reply.call_id)
            self._has_foreign_reply = True


class DatabaseClient:
    """Makes calls, and keeps idle connections for later calls.

    The end of each call is reported to the sink exactly once, unless the call is abandoned.
    """

    def __init__(
        self, address: Address | None, timeline: TimerQueue, sink: Callable[[], EventSink], dial: Dial = dial
    ) -> None:
        """Initialize a client without connections.

        Args:
            address: of the database, as host and port; if None, every call ends as `Outcome.CONNECT_FAILED`.
            timeline: runs the timers of calls and idle connections.
            sink: returns the receiver of the outcomes of calls.
            dial: opens connections.
        """
        self._address = address
        self._dial = dial
        self._timeline = timeline
        self._sink = sink
        self._calls: dict[str, _Call] = {}  # in flight or queued, by request id
        self._queue: deque[_Call] = deque()  # waiting for a connection
        self._connections: set[DatabaseConnection] = set()  # all that are open
        self._idle: list[DatabaseConnection] = []  # ready for a call, most recently used last
        self._dialing: dict[int, Cancel] = {}  # connections being opened, by number
        self._dial_count = 0

    def change_address(self, address: Address | None) -> None:
        """Send new calls to another address; calls in flight finish on their connections."""
        if address == self._address:
            return
        self._address = address
        for connection in list(self._idle):
            self._drop_connection(connection)
        self._serve_queue()

    def call(self, request: Request, until: datetime) -> None:
        """Make the call of a request, which replaces an earlier call of the request that has not ended.

        Args:
            request: whose `call_body` is sent.
            until: the end of the time limit that the database gets; the call times out `LATE_REPLY_GRACE` later.
        """
        self.abandon_call(request)
        is_idempotent = request.class_settings.effect is Effect.IDEMPOTENT
        call = _Call(request.id, request.call_body, until, is_idempotent)
        on_timeout = partial(self._on_call_timeout, call)
        call.timeout = self._timeline.at(
            call_policy.call_timeout_at(until), lambda: self._timeline.after_reading(on_timeout)
        )
        self._calls[call.id] = call
        if self._may_use_idle(call):
            self._send(call, self._take_idle())
        else:
            self._queue.append(call)
            self._serve_queue()

    def abandon_call(self, request: Request) -> None:
        """Abandon the call of a request, if it has one, without reporting an outcome."""
        if (call := self._calls.get(request.id)) is not None:
            self._forget_call(call)

    def close(self) -> None:
        """Abandon all calls without reporting an outcome, and close all connections; no call is made after this."""
        self._address = None
        for call in list(self._calls.values()):
            self._forget_call(call)
        for cancel in self._dialing.values():
            cancel()
        self._dialing.clear()
        for connection in list(self._connections):
            connection.abort()

    # Connections for queued calls.

    def _serve_queue(self) -> None:
        """Assign idle connections to queued calls, and open connections for the others within the limit."""
        while len(self._dialing) < len(self._queue):
            choice = call_policy.choose_connection(
                self._address is not None,
                self._may_use_idle(self._queue[0]),
                len(self._connections) + len(self._dialing),
                len(self._idle),
            )
            match choice:
                case ConnectionChoice.USE_IDLE:
                    connection = self._take_idle()
                    self._send(self._queue.popleft(), connection)
                case ConnectionChoice.OPEN:
                    self._open_connection()
                case ConnectionChoice.FAIL:
                    self._fail_queue()
                    return
                case ConnectionChoice.REPLACE_IDLE:
                    self._drop_connection(self._idle[0])  # `connection_closed` serves the queue again
                    return
                case ConnectionChoice.WAIT:
                    return

    def _fail_queue(self) -> None:
        """End all queued calls; without a connection, none of them ran."""
        for call in list(self._queue):
            self.call_ended(call, Outcome.CONNECT_FAILED)

    def _open_connection(self) -> None:
        address = self._address
        assert address is not None
        self._dial_count += 1
        number = self._dial_count
        self._dialing[number] = self._dial(
            lambda: DatabaseConnection(self, address),
            address,
            lambda error: self._on_dialed(number, address, error),
        )

    def _on_dialed(self, number: int, address: Address, error: OSError | None) -> None:
        del self._dialing[number]
        if error is not None and address == self._address:
            log.warning("database connect failed: address=%s:%d reason=%s", *address, error)
            if self._queue:  # for each other call, a connection is being opened
                self.call_ended(self._queue[0], Outcome.CONNECT_FAILED)
        self._serve_queue()

    # Lifecycle of connections.

    def connection_opened(self, connection: DatabaseConnection) -> None:
        """Send the first queued call on a new connection, or add the connection to the pool."""
        self._connections.add(connection)
        if connection.address != self._address:
            self._drop_connection(connection)
        elif self._queue:
            self._send(self._queue.popleft(), connection)
        else:
            self.return_to_pool(connection)

    def connection_closed(self, connection: DatabaseConnection) -> None:
        """Remove a connection, and end its call as `Outcome.RESET`, since the call may have run.

        This is called for every connection that closes, whatever the reason.
        """
        self._connections.discard(connection)
        self._timeline.cancel(connection.idle_timer)
        if connection in self._idle:
            self._idle.remove(connection)
        if connection.call is not None:
            self.call_ended(connection.call, Outcome.RESET)
        self._serve_queue()

    def return_to_pool(self, connection: DatabaseConnection) -> None:
        """Keep an idle connection for the next call, for at most `IDLE_CONNECTION_TIMEOUT`."""
        if connection.address != self._address:
            self._drop_connection(connection)
            return
        if call_policy.evicts_idle_connection(len(self._idle)):
            self._drop_connection(self._idle[0])
        self._idle.append(connection)
        due = self._timeline.now() + call_policy.IDLE_CONNECTION_TIMEOUT
        connection.idle_timer = self._timeline.at(due, lambda: self._drop_connection(connection))
        if self._queue:
            self._serve_queue()

    def _may_use_idle(self, call: _Call) -> bool:
        """Return whether there is an idle connection and the call may use the most recently used one."""
        return bool(self._idle) and call_policy.may_use_idle_connection(
            call.is_idempotent, call.id, self._idle[-1].last_request_id
        )

    def _take_idle(self) -> DatabaseConnection:
        connection = self._idle.pop()
        self._timeline.cancel(connection.idle_timer)
        return connection

    def _drop_connection(self, connection: DatabaseConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)
        self._timeline.cancel(connection.idle_timer)
        connection.abort()

    # Sending and ending calls.

    def _send(self, call: _Call, connection: DatabaseConnection) -> None:
        call.connection, connection.call, connection.last_request_id = connection, call, call.id
        time_left = call.until - self._timeline.now()
        connection.send(database_wire.encode_call(call.id, call.body, time_left))

    def call_ended(self, call: _Call, outcome: Outcome, body: bytes = b"") -> None:
        """End a call and report its outcome, unless the call has already ended."""
        if self._calls.get(call.id) is call:
            connection, call.connection = call.connection, None
            if connection is not None:
                connection.call = None  # `data_received` returns the connection to the pool
            self._forget_call(call)
            self._sink().call_ended(call.id, outcome, body)

    def _on_call_timeout(self, call: _Call) -> None:
        if self._calls.get(call.id) is call:  # otherwise its reply was read in the same event loop iteration
            self._forget_call(call)
            self._sink().call_ended(call.id, Outcome.TIMEOUT)

    def _forget_call(self, call: _Call) -> None:
        """Remove a call, and drop its connection if the reply is still outstanding.

        This is called for every call that ends, whatever the reason.
        """
        del self._calls[call.id]
        self._timeline.cancel(call.timeout)
        if call in self._queue:
            self._queue.remove(call)
        if call.connection is not None:
            connection, call.connection = call.connection, None
            connection.call = None
            connection.abort()
