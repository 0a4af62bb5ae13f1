"""The platform's frontend: RESP connections that carry many requests at a time.

`resp_wire.py` and `resp_commands.py` parse frames and commands, `resp_fields.py` the fields, and `resp_policy.py` has
the rules for when reading stops and a connection closes. This module has the connections and their state.
"""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta

from marlstep.core.engine import Core
from marlstep.core.errors import RejectionReason, RequestRejectedError
from marlstep.core.interfaces import Backend, Response, ResponseStatus
from marlstep.errors import RemoteProtocolError
from marlstep.frontends import resp_policy
from marlstep.frontends.base import RequestConnection, RequestListener
from marlstep.frontends.connection_end import ConnectionEnd
from marlstep.frontends.errors import FrameFault, MalformedFrameError
from marlstep.frontends.rejection_log import RejectionLog
from marlstep.frontends.resp_commands import (
    AliveCommand,
    Command,
    ExecCommand,
    ForgetCommand,
    UnknownCommand,
    parse_command,
)
from marlstep.frontends.resp_fields import (
    HEALTHY_WORD,
    STATUS_WORDS,
    UNHEALTHY_WORD,
    advertised_fields,
    read_request,
    response_fields,
)
from marlstep.frontends.resp_tags import TagTracker
from marlstep.frontends.resp_wire import FrameReader, write_fields, write_frame, write_response_frame
from marlstep.frontends.time_slices import TimeSlices
from marlstep.timer_queue import TimerQueue

RING_SIZE = 4 * 1024  # bytes; frames are read word by word, and the longest word has 2 KiB
ERROR_WORD = STATUS_WORDS[ResponseStatus.FAILED]
CLOSING_FRAME = write_frame(b"0", b"closing")  # asks the peer to send no more requests on this connection


class RespConnection(RequestConnection):
    """A RESP connection of the platform. A request's number on the connection is its tag."""

    def __init__(self, frontend: RespFrontend) -> None:
        """Create a connection that has not been opened yet."""
        super().__init__(frontend, RING_SIZE)
        self.frontend = frontend
        self._frames = FrameReader()
        self._tags = TagTracker()
        self._closing_announced = False  # CLOSING_FRAME was sent
        self._malformed = False  # no more frames are read from the stream
        self._frame_overdue = False  # the frame that is being read exceeded the read timeout
        self._invalid_requests = 0

    def opened(self) -> None:
        """Occupy a slot in the connection table; drain at once if the frontend is draining."""
        super().opened()
        if self.frontend.draining:
            self.end_for(ConnectionEnd.DRAINING)
            self.drain()

    def closed(self) -> None:
        """Leave the queue for time of the event loop, and free the slot."""
        self.frontend.time_slices.remove(self)
        super().closed()

    def data_received(self) -> None:
        """Handle all complete frames, or as many as the time of this iteration allows."""
        frames_read = self._handle_frames()
        if self._malformed:
            self.inbox.skip(self.inbox.used)
        else:
            self._update_progress(frames_read > 0)
        if not self._request_handles and resp_policy.has_read_everything(self.at_eof, self.holds_back_input):
            self.finish()

    def _handle_frames(self) -> int:
        """Handle complete frames until none is left or the time is used up. Return their number."""
        frames_read = 0
        while not self._malformed and not self.send_blocked:
            try:
                words = self._frames.next(self.inbox)
                if words is None:
                    break
                frames_read += 1
                self._handle(parse_command(words))
            except MalformedFrameError as error:
                self._reject_stream(error)
            if resp_policy.needs_shared_time(frames_read) and self.frontend.time_slices.is_used_up():
                self.hold_back_input()
                self.frontend.time_slices.enqueue(self, self.continue_input)
                break
        return frames_read

    @property
    def _waits_for_peer(self) -> bool:
        if self.is_held_back:
            return False  # the peer waits for this process
        return resp_policy.waits_for_peer(
            self.send_blocked,
            self.inbox.used,
            self._frames.inside_frame,
            self.frontend.connections.is_unproven(self),
        )

    def _update_progress(self, has_read_frame: bool) -> None:
        """Restart the read timeout if a frame was read, and mark the connection as busy or idle."""
        if has_read_frame:
            self._frame_overdue = False
            self.frontend.connections.mark_proven(self)
        waits_for_peer = self._waits_for_peer
        if has_read_frame or not waits_for_peer:
            self.stop_progress_timer()
        if waits_for_peer:
            self.start_progress_timer()
        if self._request_handles:
            self.frontend.connections.mark_busy(self)
        elif has_read_frame:
            self.frontend.mark_idle(self)

    # Handling of commands.

    def _handle(self, command: Command) -> None:
        """Execute a command. Raises MalformedFrameError if its tag was used before."""
        if isinstance(command, ForgetCommand):
            self._forget(command)
            return
        if not self._mark_tag_used(command.tag):
            raise MalformedFrameError(FrameFault.REPEATED_TAG, str(command.tag))
        match command:
            case ExecCommand():
                self._exec(command)
            case AliveCommand(tag):
                word = HEALTHY_WORD if self.frontend.core.healthy else UNHEALTHY_WORD
                self._send_frame(tag, word, advertised_fields(self.frontend.core.advertised_value), b"")
            case UnknownCommand(tag):
                self._reject_request(tag, "unknown command")

    def _mark_tag_used(self, tag: int) -> bool:
        """Mark a tag as used; False if it is that of an open request, or remembered as used."""
        return tag not in self._request_handles and self._tags.mark_used(tag)

    def _exec(self, command: ExecCommand) -> None:
        """Submit a request; a request that the intake rejects gets `error` at once.

        It counts as invalid, unless the reason is the state of this process and not a fault of the request.
        """
        if not resp_policy.accepts_another_request(len(self._request_handles)):
            self._reject_request(command.tag, f"over {resp_policy.MAX_OPEN_REQUESTS} open requests")
            return
        try:
            self.submit(command.tag, read_request(command.request_class, command.fields, command.body))
        except RequestRejectedError as error:
            is_fault_of_request = error.reason is not RejectionReason.PROCESS_AT_CAPACITY
            self._reject_request(command.tag, str(error), is_invalid=is_fault_of_request)
        except RemoteProtocolError as error:
            self._reject_request(command.tag, str(error))

    def _forget(self, command: ForgetCommand) -> None:
        """Cancel a request whose client stopped waiting. It may have ended already, if FORGET crossed its response."""
        was_open = self.cancel_request(command.tag)
        if not was_open and not self._tags.may_be_used(command.tag):
            self._count_invalid_request("FORGET of a tag that was never used")

    def _reject_request(self, tag: int, reason: str, is_invalid: bool = True) -> None:
        self._send_frame(tag, ERROR_WORD, advertised_fields(self.frontend.core.advertised_value), b"")
        if is_invalid:
            self._count_invalid_request(reason)
        else:
            self.frontend.log_rejection("request rejected", reason)

    def _count_invalid_request(self, reason: str) -> None:
        """Count an invalid request, and drain the connection once there are too many.

        Requests of other clients may share it: those that arrive until the announced close are still answered.
        """
        self.frontend.log_rejection("request rejected", reason)
        self._invalid_requests += 1
        if self._has_too_many_invalid_requests and not self._closing_announced:
            self.end_for(ConnectionEnd.INVALID_REQUESTS)
            self.drain()

    @property
    def _has_too_many_invalid_requests(self) -> bool:
        return resp_policy.has_too_many_invalid_requests(self._invalid_requests)

    def _stop_reading(self) -> None:
        """Discard the input from now on; the open requests still get their responses."""
        self._malformed = True
        self.inbox.skip(self.inbox.used)

    def _reject_stream(self, error: MalformedFrameError) -> None:
        """Stop reading and drain: close at once if no request is open, else after the last response."""
        is_late = error.fault is FrameFault.TIMEOUT
        self.end_for(ConnectionEnd.FRAME_TIMEOUT if is_late else ConnectionEnd.MALFORMED)
        self.frontend.log_rejection("malformed frame", str(error))
        if error.tag is not None and self._mark_tag_used(error.tag):
            self._reject_request(error.tag, str(error))
        self._stop_reading()
        self.drain()

    # Sending of responses.

    def send_response(self, number: int, response: Response) -> None:
        """Send the response on its tag, and close after the last one if nothing more can be read."""
        self._request_handles.pop(number, None)
        fields = response_fields(response, self.frontend.core.advertised_value)
        self._send_frame(number, STATUS_WORDS[response.status], fields, response.body)
        if self.send_blocked:
            self.start_progress_timer()
        if not self._request_handles:
            if resp_policy.closes_after_last_response(self._malformed, self.at_eof, self.holds_back_input):
                self.finish()
            elif self._frame_overdue:
                self._reject_stream(MalformedFrameError(FrameFault.TIMEOUT, None))
            else:
                self.frontend.mark_idle(self)

    def _send_frame(self, tag: int, word: bytes, fields: Mapping[str, str], body: bytes) -> None:
        self.send(write_response_frame(tag, word, write_fields(fields), body))

    # Closing of the connection.

    def timed_out(self) -> None:
        """Treat a frame that is not complete in time as malformed, once no request is open.

        `_reject_stream` then closes the connection at once.
        """
        if not self._waits_for_peer:
            return
        if resp_policy.awaits_slow_frame(len(self._request_handles)):
            self._frame_overdue = True
        else:
            self._reject_stream(MalformedFrameError(FrameFault.TIMEOUT, None))

    def close_idle(self) -> None:
        """Leave the idle list, so that the closing is announced once, and announce it unless a request is open."""
        self.frontend.connections.mark_busy(self)
        if not self._request_handles:
            self.drain()

    def drain(self) -> None:
        """Ask the peer to send no more requests, and close once all open ones have their responses."""
        if not self._closing_announced:
            self.send(CLOSING_FRAME)
        if resp_policy.drains_at_once(self._malformed, len(self._request_handles)):
            self.finish()
        elif not self._closing_announced:
            self._schedule_close()
        self._closing_announced = True

    def _schedule_close(self) -> None:
        timeline = self.frontend.timeline
        due = timeline.now() + resp_policy.CLOSE_DELAY
        timeline.at(due, lambda: timeline.after_reading(self._close_unless_postponed))

    def _close_unless_postponed(self) -> None:
        """Close the connection, which the peer should have done by now, or wait for another CLOSE_DELAY.

        After too many invalid requests nothing more is read, so that a peer that goes on sending can't keep it open.
        """
        if self._has_too_many_invalid_requests:
            self._stop_reading()
        if resp_policy.postpones_close(
            self.connected,
            len(self._request_handles),
            self._malformed,
            self.send_blocked,
            incomplete_input=self.inbox.used > 0 or self._frames.inside_frame or self.has_input_to_read(),
        ):
            self._schedule_close()
        else:
            self.finish()


class RespFrontend(RequestListener):
    """The frontend that the platform connects to by RESP."""

    def __init__(
        self, core: Core, timeline: TimerQueue, backend: Backend, limit: int, idle_timeout: timedelta
    ) -> None:
        """Create a frontend that does not listen yet; for the arguments see `Listener`."""
        super().__init__(core, timeline, backend, limit, resp_policy.READ_TIMEOUT, idle_timeout)
        self._rejection_log = RejectionLog(timeline.now())
        self.time_slices = TimeSlices(timeline.now, timeline.soon)

    def make(self) -> RespConnection:
        """Create the connection object for a peer that has connected."""
        return RespConnection(self)

    def log_rejection(self, event: str, reason: str) -> None:
        """Log invalid client input, rate-limited by `RejectionLog`."""
        self._rejection_log.write(event, reason, self.timeline.now())
