"""One attempt: a request on its way to one uwsgi server, over a connection of its own."""

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
    RemoteProtocolError,
    ServerDisconnectedError,
)
from marlstep.upstreams.outcomes import response_outcome
from marlstep.upstreams.response_reader import ResponseReader

RING_SIZE = 16 * 1024  # bytes, in each direction


class AttemptState(enum.Enum):
    """The life cycle of an attempt; it goes through the states in this order, and may skip the middle one."""

    CONNECTING = "connecting"  # nothing was sent: nothing can have run
    AWAITING_RESPONSE = "awaiting_response"  # the request was sent at least in part: it may run
    ENDED = "ended"  # the owner was notified


class AttemptOwner(Protocol):
    """What an attempt reports to."""

    response_limit: int  # bytes

    def attempt_ended(self, attempt: Attempt, outcome: AttemptOutcome, error: AttemptError | None) -> None:
        """Handle the end of an attempt; called once. The owner then calls `release`."""


class Attempt(RingStream):
    """The connection of one attempt, from its opening to the complete response."""

    def __init__(
        self,
        owner: AttemptOwner,
        request_id: str,
        packet: bytes,
        started_at: datetime,
        rejection_statuses: Collection[int],
        boot_id_header: str,
    ) -> None:
        """`packet` is the whole uwsgi request; the others are as the pool's configuration has them."""
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
        """The response as far as it was received."""
        return bytes(self._reader.data)

    @property
    def boot_id(self) -> str | None:
        """The incarnation of the server, where its response names one."""
        return self._reader.boot_id

    def open(self, dial: Dial, address: Address, timeline: TimerQueue, connect_timeout: timedelta) -> None:
        """Begin to connect; the request is sent as soon as the connection is open."""
        self._timeline = timeline
        self._connect_timer = timeline.at(
            timeline.now() + connect_timeout,
            lambda: self.connect_failed(ConnectTimeoutError(connect_timeout)),
        )
        self._cancel_dial = dial(lambda: self, address, self._dialed)

    def cancel(self) -> None:
        """End the attempt, as nobody waits for the response any more; does nothing where it has ended."""
        self._end(AttemptOutcome.CANCELLED)

    def release(self) -> None:
        """Free the timer and the connection."""
        self._timeline.cancel(self._connect_timer)
        if self._cancel_dial is not None:
            self._cancel_dial()
            self._cancel_dial = None
        self.abort()

    def _dialed(self, error: OSError | None) -> None:
        self._cancel_dial = None
        if error is not None:
            self.connect_failed(ConnectError(error))

    def connect_failed(self, error: AttemptError) -> None:
        """End the attempt; only where nothing was sent that proves that nothing ran."""
        nothing_sent = self.state is AttemptState.CONNECTING
        self._end(AttemptOutcome.CONNECT_FAILED if nothing_sent else AttemptOutcome.CONNECTION_LOST, error)

    def _end(self, outcome: AttemptOutcome, error: AttemptError | None = None) -> None:
        if self.state is not AttemptState.ENDED:
            self.state = AttemptState.ENDED
            self._owner.attempt_ended(self, outcome, error)

    # Called by the stream.

    def opened(self) -> None:
        """Send the request, unless the attempt ended while the connection was being opened: it must not run then."""
        self._timeline.cancel(self._connect_timer)
        if self.state is AttemptState.ENDED:
            self.abort()
        else:
            self.state = AttemptState.AWAITING_RESPONSE
            self.send(self._packet)

    def data_received(self) -> None:
        """Read the response, and end the attempt once it is complete or proves invalid."""
        try:
            self._reader.feed(self.inbox.take(self.inbox.used))
            if self.at_eof:
                self._reader.feed_eof(self._is_head_request)
        except RemoteProtocolError as error:
            self._end(AttemptOutcome.CONNECTION_LOST, error)
        else:
            if self._reader.is_complete:
                self._end(response_outcome(self._reader.status, self._rejection_statuses))

    def closed(self) -> None:
        """End the attempt, where the response is not complete."""
        self._end(AttemptOutcome.CONNECTION_LOST, ServerDisconnectedError())

    def _is_head_request(self) -> bool:
        size = int.from_bytes(self._packet[1:3], "little")
        return (
            read_variables(self._packet[HEADER_BYTES : HEADER_BYTES + size]).get("REQUEST_METHOD") == "HEAD"
        )
