"""One attempt: sends a request to one uwsgi server over its own connection, and receives the response."""

from __future__ import annotations

import enum
from collections.abc import Collection
from datetime import datetime, timedelta
from typing import Protocol

from marlstep.frontends.uwsgi_wire import HEADER_BYTES, read_variables
from marlstep.load_balancing.retry_policy import AttemptOutcome
from marlstep.net.eventloop import Address, Cancel, Dial
from marlstep.net.stream import RingStream
from marlstep.timer_queue import Timer, TimerQueue
from marlstep.upstreams.errors import (
    AttemptError,
    ConnectError,
    ConnectTimeoutError,
    InvalidResponseError,
    ServerDisconnectedError,
)
from marlstep.upstreams.outcomes import response_outcome
from marlstep.upstreams.response_reader import ResponseReader

RING_SIZE = 16 * 1024  # bytes per direction


class AttemptState(enum.Enum):
    """The life cycle of an attempt: the states occur in this order, and AWAITING_RESPONSE may be skipped."""

    CONNECTING = "connecting"  # nothing was sent, so nothing can have run
    AWAITING_RESPONSE = "awaiting_response"  # the request was sent at least partially, and may run
    ENDED = "ended"  # the owner was notified


class AttemptOwner(Protocol):
    """The object that starts an attempt and is notified of its end."""

    response_limit: int  # largest response that is accepted, in bytes

    def attempt_ended(self, attempt: Attempt, outcome: AttemptOutcome, error: AttemptError | None) -> None:
        """Handle the end of an attempt. Called once per attempt; the owner must call `attempt.release`."""


class Attempt(RingStream):
    """The connection of one attempt, from the connect to the complete response."""

    def __init__(
        self,
        owner: AttemptOwner,
        request_id: str,
        packet: bytes,
        started_at: datetime,
        rejection_statuses: Collection[int],
        boot_id_header: str,
    ) -> None:
        """Initialize an attempt that is not connected yet; `open` starts it.

        Args:
            owner: Is notified once of the end of the attempt.
            request_id: The id of the request, for the owner.
            packet: The complete uwsgi request.
            started_at: The time at which the attempt is started, for the owner.
            rejection_statuses: Status codes by which a server reports that it did not run the request.
            boot_id_header: Response header with the server's incarnation, in lower case.

        """
        super().__init__(RING_SIZE)
        self.request_id, self.started_at = request_id, started_at
        self.state = AttemptState.CONNECTING
        self._owner, self._packet = owner, packet
        self._rejection_statuses = rejection_statuses
        self._reader = ResponseReader(owner.response_limit, boot_id_header.encode("latin-1"))
        self._cancel_dial: Cancel | None = None
        self._connect_timer: Timer | None = None

    @property
    def response(self) -> bytes:
        """The part of the response that has been received so far."""
        return bytes(self._reader.data)

    @property
    def boot_id(self) -> str | None:
        """The server's incarnation; None if the response contains none."""
        return self._reader.boot_id

    def open(self, dial: Dial, address: Address, timeline: TimerQueue, connect_timeout: timedelta) -> None:
        """Start to connect; the request is sent as soon as the connection is open.

        Args:
            dial: Opens connections.
            address: Host and port of the server.
            timeline: The clock and its timers.
            connect_timeout: Time after which the attempt ends if the connection is not open.

        """
        self._timeline = timeline
        self._connect_timer = timeline.at(
            timeline.now() + connect_timeout,
            lambda: self.connect_failed(ConnectTimeoutError(connect_timeout)),
        )
        self._cancel_dial = dial(lambda: self, address, self._on_dialed)

    def cancel(self) -> None:
        """Cancel the attempt because no client waits for the response; has no effect once the attempt has ended."""
        self._end(AttemptOutcome.CANCELLED)

    def close(self) -> None:
        """End the attempt without notifying the owner, and close the connection: the process exits."""
        self.state = AttemptState.ENDED
        self.release()

    def release(self) -> None:
        """Cancel the connect timer and close the connection."""
        self._timeline.cancel(self._connect_timer)
        if self._cancel_dial is not None:
            self._cancel_dial()
            self._cancel_dial = None
        self.abort()

    def _on_dialed(self, error: OSError | None) -> None:
        self._cancel_dial = None
        if error is not None:
            self.connect_failed(ConnectError(error))

    def connect_failed(self, error: AttemptError) -> None:
        """End the attempt after a connect error; the request cannot have run if nothing was sent."""
        nothing_sent = self.state is AttemptState.CONNECTING
        self._end(AttemptOutcome.CONNECT_FAILED if nothing_sent else AttemptOutcome.CONNECTION_LOST, error)

    def _end(self, outcome: AttemptOutcome, error: AttemptError | None = None) -> None:
        if self.state is not AttemptState.ENDED:
            self.state = AttemptState.ENDED
            self._owner.attempt_ended(self, outcome, error)

    # Callbacks of `RingStream`.

    def opened(self) -> None:
        """Send the request, unless the attempt ended during the connect: the request must not run then."""
        self._timeline.cancel(self._connect_timer)
        if self.state is AttemptState.ENDED:
            self.abort()
        else:
            self.state = AttemptState.AWAITING_RESPONSE
            self.send(self._packet)

    def data_received(self) -> None:
        """Parse the received data, and end the attempt once the response is complete or found to be invalid."""
        try:
            self._reader.feed(self.inbox.take(self.inbox.used))
            if self.at_eof:
                self._reader.feed_eof(self._is_head_request)
        except InvalidResponseError as error:
            self._end(AttemptOutcome.CONNECTION_LOST, error)
        else:
            if self._reader.is_complete:
                self._end(response_outcome(self._reader.status, self._rejection_statuses))

    def closed(self) -> None:
        """End the attempt, unless it has ended already: the connection was lost."""
        self._end(AttemptOutcome.CONNECTION_LOST, ServerDisconnectedError())

    def _is_head_request(self) -> bool:
        size = int.from_bytes(self._packet[1:3], "little")
        return (
            read_variables(self._packet[HEADER_BYTES : HEADER_BYTES + size]).get("REQUEST_METHOD") == "HEAD"
        )
