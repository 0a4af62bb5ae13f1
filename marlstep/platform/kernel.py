"""The client of the kernel, which owns the cores: sends commands and receives notices over one connection.

A lost connection is reopened. The kernel then repeats the notices that were not read; each notice is applied only once
(`notice_sequence.py`). Once the repeated notices have been applied, the client resends the commands that the kernel may
not have read (`command_log.py`). `kernel_wire.py` has the wire protocol.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from datetime import timedelta

from marlstep.core.interfaces import EventSink, Request
from marlstep.net.backoff import Backoff
from marlstep.net.eventloop import Address, Cancel, Dial, dial
from marlstep.net.lines import LineStream
from marlstep.platform import kernel_wire
from marlstep.platform.command_log import Command, CommandLog, run_outcome_of_rejected_command
from marlstep.platform.kernel_wire import (
    CallNeeded,
    CommandRejected,
    GaugeReadings,
    KernelMessage,
    KernelStarted,
    MissingNoticesError,
    RunEnded,
    UnknownNotice,
)
from marlstep.platform.notice_sequence import NoticeDecision, NoticeSequence
from marlstep.timer_queue import Timer, TimerQueue
from marlstep.units import MILLISECOND, ZERO

log = logging.getLogger(__name__)

RING_SIZE = 256 * 1024  # bytes
LINE_LIMIT = 8 * 1024  # bytes
MIN_BACKOFF = 20 * MILLISECOND  # between connection attempts; the first attempt is immediate
MAX_BACKOFF = 1000 * MILLISECOND
# Tag of the first gauges request on a connection. Its response follows the repeated notices, and so marks their end.
SYNC_TAG = "sync"
MAX_LOGGED_MESSAGE_CHARACTERS = 200  # of a kernel message
MAX_LOGGED_NOTICE_CHARACTERS = 64  # of an unknown notice


class KernelConnection(LineStream):
    """One connection to the kernel."""

    def __init__(self, client: KernelClient, address: Address) -> None:
        """Initialize a connection that is not open yet.

        Args:
            client: handles notices and changes of the connection's state.
            address: of the kernel, as host and port.
        """
        super().__init__(RING_SIZE, LINE_LIMIT)
        self.address = address
        self.started = False  # the kernel has responded to OPEN_CONNECTION
        self._client = client

    def opened(self) -> None:
        """Notify the client that the connection is open."""
        self._client.connection_opened(self)

    def closed(self) -> None:
        """Notify the client that the connection has closed."""
        self._client.connection_closed(self)

    def body_length(self, words: list[str]) -> int | None:
        """Return the length in bytes of the body of a notice, or None if it has no body.

        Raises:
            MalformedNoticeError: the line has the wrong number of words.
            InvalidLengthError: the length is invalid.
        """
        return kernel_wire.notice_body_length(words)

    def message(self, words: list[str], body: bytes) -> None:
        """Pass a notice to the client.

        Raises:
            InvalidNoticeNumberError: the number of a numbered notice is not a decimal number.
            MissingNoticesError: notices before this one are missing.
        """
        self._client.notice_received(self, words, body)


class KernelClient:
    """The client of the kernel, used by the core as its backend and its source of gauges."""

    def __init__(
        self,
        address: Address,
        gauge_names: Sequence[str],
        timeline: TimerQueue,
        sink: Callable[[], EventSink],
        dial: Dial = dial,
    ) -> None:
        """Initialize a client that does not connect before `open`.

        Args:
            address: of the kernel, as host and port.
            gauge_names: in the order in which the kernel sends the readings.
            timeline: runs the timer of the backoff.
            sink: returns the receiver of the events that the kernel reports.
            dial: opens connections.
        """
        self._address = address
        self._dial = dial
        self._gauge_names = gauge_names
        self._timeline = timeline
        self._sink = sink
        self._connection: KernelConnection | None = None
        self._synced = False  # the notices repeated on the connection have been applied
        self._notices = NoticeSequence()
        self._commands = CommandLog()
        # By request: the number of the notice in which its run asked for a call.
        self._call_notice_numbers: dict[str, int] = {}
        self._gauge_request_count = 0
        self._backoff = Backoff(MIN_BACKOFF, MAX_BACKOFF)
        self._cancel_dialing: Cancel | None = None  # set while a connection is being opened
        self._redial_timer: Timer | None = None
        self._closing = False

    def open(self) -> None:
        """Start connecting."""
        self._connect()

    def close(self) -> None:
        """Close the connection, and do not reconnect."""
        self._closing = True
        self._stop_connecting()
        if self._connection is not None:
            self._connection.abort()

    def change_address(self, address: Address) -> None:
        """Connect to another address; the old connection stays in use until the new one is open."""
        if address != self._address:
            self._address = address
            self._backoff.reset()
            self._stop_connecting()
            self._connect()

    def set_gauge_names(self, gauge_names: Sequence[str]) -> None:
        """Set the names of the gauges, in the order in which the kernel sends the readings."""
        self._gauge_names = gauge_names

    # Opening connections, with backoff.

    def _stop_connecting(self) -> None:
        self._timeline.cancel(self._redial_timer)
        self._redial_timer = None
        if self._cancel_dialing is not None:
            self._cancel_dialing()
            self._cancel_dialing = None

    def _connect(self) -> None:
        self._redial_timer = None
        if not self._closing and self._cancel_dialing is None:
            address = self._address
            self._cancel_dialing = self._dial(
                lambda: KernelConnection(self, address), address, self._on_dialed
            )

    def _on_dialed(self, error: OSError | None) -> None:
        self._cancel_dialing = None
        if error is not None:
            log.warning("kernel connect failed: address=%s:%d reason=%s", *self._address, error)
        # `_connection` is also None if the connection was opened and has closed again since.
        if self._connection is None or self._connection.address != self._address:
            self._connect_later()

    def _connect_later(self) -> None:
        if not self._closing and self._cancel_dialing is None and self._redial_timer is None:
            due = self._timeline.now() + self._backoff.next_delay()
            self._redial_timer = self._timeline.at(due, self._connect)

    # Connection events.

    def connection_opened(self, connection: KernelConnection) -> None:
        """Replace the previous connection by a new one, and request the notices that were not read."""
        if connection.address != self._address:  # the address changed while it opened
            connection.abort()
            return
        previous, self._connection, self._synced = self._connection, connection, False
        self._commands.connection_opened()
        connection.send(kernel_wire.encode_open(self._notices.last))
        if previous is not None:
            previous.abort()

    def connection_closed(self, connection: KernelConnection) -> None:
        """Reconnect, unless a newer connection is in use.

        If the kernel had responded on the connection, the client reconnects immediately: until then the ends of runs
        are not reported and cores may be idle. Otherwise it reconnects with backoff, since the kernel may be down.
        """
        if self._connection is not connection:
            return
        self._connection, self._synced = None, False
        if self._closing:
            return
        log.warning("kernel connection lost: last_notice=%d", self._notices.last)
        if connection.started:
            self._connect()
        else:
            self._connect_later()

    # Handling notices.

    def notice_received(self, connection: KernelConnection, words: list[str], body: bytes) -> None:
        """Apply a notice.

        Raises:
            InvalidNoticeNumberError: the number of a numbered notice is not a decimal number.
            MissingNoticesError: notices before this one are missing.
        """
        if connection is not self._connection:
            return  # a newer connection is in use, on which the kernel repeats unread notices
        match kernel_wire.parse_notice(words):
            case RunEnded() as notice:
                self._run_ended(notice, body)
            case CallNeeded() as notice:
                self._call_needed(notice, body)
            case GaugeReadings(tag, readings):
                self._gauges_received(tag, readings)
            case CommandRejected(verb, request_id):
                self._command_rejected(verb, request_id)
            case KernelStarted() as notice:
                self._kernel_started(notice)
            case KernelMessage() as notice:
                if self._should_apply(notice.number):
                    log.info("kernel message: text=%s", notice.text[:MAX_LOGGED_MESSAGE_CHARACTERS])
            case UnknownNotice():
                # The connection stays open: the notice has no body, so the next notice can still be parsed.
                log.warning("kernel notice ignored: words=%r", " ".join(words)[:MAX_LOGGED_NOTICE_CHARACTERS])

    def _should_apply(self, number: int) -> bool:
        """Return whether a numbered notice is to be applied, as NoticeSequence decides.

        Raises:
            MissingNoticesError: notices before this one are missing, and a new connection may repeat them.
        """
        last = self._notices.last
        decision = self._notices.decide(number)
        if decision is NoticeDecision.APPLY:
            return True
        if decision is NoticeDecision.RECONNECT:
            raise MissingNoticesError(last, number)
        if decision is NoticeDecision.APPLY_AFTER_LOSS:
            log.error("kernel notices lost: first=%d last=%d", last + 1, number - 1)
            return True
        return False

    def _run_ended(self, notice: RunEnded, body: bytes) -> None:
        if not self._should_apply(notice.number):
            return
        elapsed = kernel_wire.parse_elapsed(notice.elapsed_text)
        if elapsed is None:
            shown = notice.elapsed_text[: kernel_wire.MAX_SHOWN_CHARACTERS]
            log.warning("kernel run time unreadable: request=%s elapsed_ms=%r", notice.request_id, shown)
            elapsed = ZERO
        self._confirm_request(notice.request_id)
        self._sink().run_ended(notice.request_id, notice.outcome, elapsed, body)

    def _call_needed(self, notice: CallNeeded, body: bytes) -> None:
        if self._should_apply(notice.number):
            self._confirm_request(notice.request_id)
            self._call_notice_numbers[notice.request_id] = notice.number
            self._sink().call_needed(notice.request_id, body)

    def _kernel_started(self, notice: KernelStarted) -> None:
        log.info("kernel up: state=%s age_ms=%s", notice.state, notice.age_ms)
        self._backoff.reset()
        self._sink().backend_started(self._kernel_age(notice), notice.is_cold)
        self._sink().backend_ready()
        if self._connection is not None:
            self._connection.started = True
            # The kernel sends the unread notices before its response to this request.
            self._connection.send(kernel_wire.encode_gauges_request(SYNC_TAG))

    def _kernel_age(self, notice: KernelStarted) -> timedelta:
        """Return how long ago the kernel started; zero, with which its warm-up begins now, if that is unreadable."""
        age = kernel_wire.parse_elapsed(notice.age_ms)
        if age is None:
            log.warning("kernel age unreadable: age_ms=%r", notice.age_ms[: kernel_wire.MAX_SHOWN_CHARACTERS])
        return age or ZERO

    def _gauges_received(self, tag: str, readings: list[str]) -> None:
        if tag == SYNC_TAG and not self._synced:
            self._synced = True
            for command in self._commands.commands_to_resend():
                self._send(command)
        else:
            self._commands.gauges_received(tag)
        try:
            values = [float(reading) for reading in readings]
        except ValueError as error:
            log.warning("kernel gauges ignored: reason=%s", error)
            return
        self._sink().gauges(dict(zip(self._gauge_names, values, strict=False)))

    def _command_rejected(self, verb: str, request_id: str) -> None:
        """Handle a command that the kernel rejected: a run that depends on the command ends."""
        log.warning("kernel rejected a command: command=%s request=%s", verb, request_id)
        if not self._commands.confirm_rejected(verb, request_id):
            return
        outcome = run_outcome_of_rejected_command(verb)
        if outcome is not None:
            self._confirm_request(request_id)
            self._sink().run_ended(request_id, outcome, ZERO)

    def _confirm_request(self, request_id: str) -> None:
        """Confirm the commands of a request after a notice about it, and forget the number of its call's notice."""
        self._commands.confirm_request(request_id)
        self._call_notice_numbers.pop(request_id, None)

    # Sending commands.

    def start(self, request: Request) -> None:
        """Start a run."""
        inbound = request.inbound
        self._send_when_synced(
            inbound.id, kernel_wire.encode_start(inbound.id, inbound.request_class, inbound.body)
        )

    def preempt(self, request: Request) -> None:
        """Preempt a run; if this takes effect, the run is reported as cancelled."""
        self._send_when_synced(request.id, kernel_wire.encode_pause(request.id))

    def resume(self, request: Request) -> None:
        """Resume a paused run."""
        self._send_when_synced(request.id, kernel_wire.encode_resume(request.id))

    def supply(self, request: Request, reply: bytes) -> None:
        """Supply a run with the reply to its call."""
        self._send_when_synced(request.id, kernel_wire.encode_reply(request.id, reply))

    def skip(self, request: Request) -> None:
        """Resume a run without a reply to its call."""
        call_notice_number = self._call_notice_numbers.get(request.id, 0)
        self._send_when_synced(request.id, kernel_wire.encode_skip(request.id, call_notice_number))

    def abandon(self, request: Request) -> None:
        """Do nothing: the kernel ends the run of an abandoned request at its next call, or runs it to completion."""

    def request_gauges(self) -> None:
        """Request the gauges, whose readings are reported to the sink."""
        if self._synced and self._connection is not None:
            self._gauge_request_count += 1
            tag = f"g{self._gauge_request_count}"
            self._commands.gauges_requested(tag)
            self._connection.send(kernel_wire.encode_gauges_request(tag))

    def _send_when_synced(self, request_id: str, data: bytes) -> None:
        """Send a command immediately, or once the notices repeated on the connection have been applied."""
        command = Command(request_id, data)
        self._commands.add(command)
        if self._synced:
            self._send(command)

    def _send(self, command: Command) -> None:
        self._commands.mark_written(command)
        if self._connection is not None:
            self._connection.send(command.data)
