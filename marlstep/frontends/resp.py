"""The front for the platform: frames to requests, answers to frames.

What is bad gets a stated answer. A frame that can be read but asks for what can't be had (an unknown class,
a field that is wrong, over 32 open) is answered `error`, and the connection goes on. Where the frames can't
be told apart any more, or a tag comes again, what is open there is answered, and the connection is closed; a
tag that was whole by then is answered `error` as well. So it goes with who keeps asking for what can't be
had, and with a frame that does not come whole in time.
"""

from __future__ import annotations

import logging
import math
from datetime import timedelta

from marlstep.core.engine import Core
from marlstep.core.errors import RequestRejectedError
from marlstep.core.idempotency import body_digest
from marlstep.core.interfaces import Backend, InboundRequest, Response, ResponseStatus
from marlstep.frontends.base import Connection, Listener
from marlstep.frontends.resp_wire import (
    FrameReader,
    MalformedFrameError,
    read_fields,
    read_tag,
    write_fields,
    write_frame,
)
from marlstep.timer_queue import TimerQueue
from marlstep.units import EPOCH, MILLISECOND, SECOND, whole_ms

log = logging.getLogger(__name__)

RING_SIZE = 4 * 1024  # a frame is read word by word, and the longest word holds 2 KiB
READ_TIMEOUT = 1.5 * SECOND  # for a frame to come whole, the first one from the connect
MAX_COMPLAINTS_PER_SECOND = 5  # in the log a second
MAX_FAULTS = 8  # frames that ask for what can't be had, before the connection is closed on
MAX_OPEN_REQUESTS = 32  # requests on one connection
MAX_TAGS_AHEAD = 1024  # tags remembered out of order; one who jumps about more breaks the protocol
CLOSE_DELAY = 200 * MILLISECOND  # a peer that was told of the close has crossed it by then, or is cut off
STATUS_WORDS = {
    ResponseStatus.DONE: b"done",
    ResponseStatus.REJECTED: b"later",
    ResponseStatus.FAILED: b"error",
    ResponseStatus.EXPIRED: b"error",
}


def read_request(kind: bytes, fields: bytes, body: bytes) -> InboundRequest:
    """A request out of its words; raises ValueError that names what is wrong."""
    table = read_fields(fields)
    id = table.get("id", "")
    if len(id) != 16 or not all(digit in "0123456789abcdef" for digit in id):
        raise ValueError("id is not 16 hex digits")
    at = table.get("at", "")
    if not at.isdigit() or len(at) > 14:
        raise ValueError("at is no time in milliseconds")
    key, once = table.get("key"), table.get("once")
    return InboundRequest(
        id=id,
        request_class=kind.decode("ascii"),
        body=body,
        arrived_at=EPOCH + int(at) * MILLISECOND,
        memory_kb=_number(table, "kb", above=0, below=2000),
        caller=int(_number(table, "from", default=0, below=1e9)),
        is_retry=table.get("retry") == "1",
        cost_hint=_number(table, "cost", below=1e9) * MILLISECOND if "cost" in table else None,
        rank=_number(table, "rank", default=0, below=1),
        tenant=table.get("tenant"),
        entity=int(key, 16) >> 11 if key else None,
        idempotency_key=once,
        digest=body_digest(body) if once else "",
    )


def _number(
    table: dict[str, str], name: str, default: float | None = None, above: float = -1, below: float = math.inf
) -> float:
    text = table.get(name)
    if text is None and default is not None:
        return default
    try:
        value = float(text or "")
    except ValueError:
        raise ValueError(f"{name} is no number") from None
    if not above < value < below or value < 0:
        raise ValueError(f"{name} is out of range")
    return value


class TagTracker:
    """Which tags a connection has used: all up to one, and a few beyond."""

    def __init__(self) -> None:
        self._upto = 0
        self._beyond: set[int] = set()

    def take(self, tag: int) -> bool:
        """False where the tag was used before, or where too many lie out of order."""
        if tag <= self._upto or tag in self._beyond or len(self._beyond) >= MAX_TAGS_AHEAD:
            return False
        self._beyond.add(tag)
        while self._upto + 1 in self._beyond:
            self._upto += 1
            self._beyond.remove(self._upto)
        return True

    def taken(self, tag: int) -> bool:
        return tag <= self._upto or tag in self._beyond


class RespConnection(Connection):
    def __init__(self, front: RespFrontend) -> None:
        super().__init__(front, RING_SIZE)
        self.frontend = front
        self._frames = FrameReader()
        self._tags = TagTracker()
        self._open: dict[int, int] = {}  # tag to request
        self._draining = False  # the peer was told to send nothing new here
        self._broken = False  # what the peer sends can't be told apart any more
        self._faults = 0

    def opened(self) -> None:
        super().opened()
        if self.frontend.draining:
            self.drain()

    def data_received(self) -> None:
        taken = False
        while not self._broken and not self.send_blocked:
            try:
                frame = self._frames.next(self.inbox)
            except MalformedFrameError as fault:
                self._malformed(fault)
                return
            if frame is None:
                break
            taken = True
            self._take_frame(frame)
        if self._broken:
            self.inbox.skip(self.inbox.used)
        else:
            self._note_progress(taken)
        if not self._open and self._read_remaining:
            self.finish()

    @property
    def _read_remaining(self) -> bool:
        """The peer sends no more. Where it took no answers, requests of its may lie here unread: they come first."""
        return self.at_eof and not self.send_blocked

    def _note_progress(self, taken: bool) -> None:
        if taken:
            self.frontend.proven(self)
        if taken or not self._waits:
            self.request_completed()
        if self._waits:
            self.await_more()
        if self._open:
            self.frontend.busy(self)
        elif taken:
            self.frontend.quiet(self)

    @property
    def _waits(self) -> bool:
        """Something has to come, or to be taken, before this connection can go on."""
        return self.send_blocked or self.inbox.used > 0 or self._frames.inside or self.frontend.is_new(self)

    def _take_frame(self, frame: list[bytes]) -> None:
        tag = read_tag(frame[1]) if len(frame) > 1 else None
        if frame[0] == b"FORGET" and tag is not None and len(frame) == 2:
            self._handle_forget(tag)
        elif tag is None or not self._tags.take(tag):
            self._malformed(MalformedFrameError("no tag, or one that came before", None))
        elif frame[0] == b"ALIVE" and len(frame) <= 3:
            self._send_frame(tag, b"healthy" if self.frontend.core.healthy else b"sick", {}, b"")
        elif frame[0] == b"EXEC" and 4 <= len(frame) <= 5:
            self._handle_exec(tag, frame[2], frame[3], frame[4] if len(frame) == 5 else b"")
        else:
            self._fail(tag, "unknown command")

    def _handle_exec(self, tag: int, kind: bytes, fields: bytes, body: bytes) -> None:
        if len(self._open) >= MAX_OPEN_REQUESTS:
            self._fail(tag, f"over {MAX_OPEN_REQUESTS} open")
            return
        try:
            offer = read_request(kind, fields, body)
            self._open[tag] = self.frontend.core.submit(
                self.frontend, (self.handle, tag), self.frontend.backend, offer
            )
        except (ValueError, OverflowError, RequestRejectedError) as fault:
            self._fail(tag, str(fault))

    def _handle_forget(self, tag: int) -> None:
        """The peer stopped waiting: no answer is owed. It may have crossed the answer."""
        if (handle := self._open.pop(tag, None)) is not None:
            self.frontend.core.client_disconnected(handle)
        elif not self._tags.taken(tag):
            self._fault("taken back before it came")

    def _fail(self, tag: int, why: str) -> None:
        self._send_frame(tag, STATUS_WORDS[ResponseStatus.FAILED], {}, b"")
        self._fault(why)

    def _fault(self, why: str) -> None:
        self.frontend.log_rejected("request refused unread", why)
        self._faults += 1
        if self._faults == MAX_FAULTS and not self._broken:
            self._malformed(MalformedFrameError(f"{MAX_FAULTS} requests that can't be taken", None))

    def _malformed(self, fault: MalformedFrameError) -> None:
        self.frontend.log_rejected("malformed", str(fault))
        if fault.tag is not None and self._tags.take(fault.tag):
            self._fail(fault.tag, str(fault))
        self._broken = True
        self.inbox.skip(self.inbox.used)
        self.drain()

    def send_response(self, number: int, answer: Response) -> None:
        self._open.pop(number, None)
        fields: dict[str, str] = {}
        if answer.status is ResponseStatus.REJECTED:
            if answer.retry_after:
                fields["after"] = str(whole_ms(answer.retry_after))
            if answer.no_failover:
                fields["last"] = "1"
        self._send_frame(number, STATUS_WORDS[answer.status], fields, answer.body)
        if self.send_blocked:
            self.await_more()
        if not self._open:
            if self._broken or self._read_remaining:
                self.finish()
            else:
                self.frontend.quiet(self)

    def _send_frame(self, tag: int, word: bytes, fields: dict[str, str], body: bytes) -> None:
        if self.frontend.core.advertised_value is not None:
            fields = {"say": f"{self.frontend.core.advertised_value:.4f}", **fields}
        self.send(write_frame(b"%d" % tag, word, write_fields(fields), body))

    def peer_closed(self) -> None:
        for handle in self._open.values():
            self.frontend.core.client_disconnected(handle)
        self._open.clear()

    def read_timed_out(self) -> None:
        if self._waits:
            self._malformed(MalformedFrameError("no whole frame in time", None))

    def idle(self) -> None:
        self.frontend.busy(self)  # told once
        if not self._open:
            self.drain()

    def drain(self) -> None:
        """Tell the peer to send nothing more here. It closes when all is answered, or is closed on later."""
        if self._broken and not self._open:
            self._send_closing()
            self.finish()
        elif not self._draining:
            self._send_closing()
            self._schedule_abort()
        self._draining = True

    def _send_closing(self) -> None:
        if not self._draining:
            self.send(write_frame(b"0", b"closing"))

    def _schedule_abort(self) -> None:
        timeline = self.frontend.timeline
        timeline.at(timeline.now() + CLOSE_DELAY, lambda: timeline.after_reading(self._abort_after_close))

    def _abort_after_close(self) -> None:
        """The peer should have closed. What crossed our word is still read and answered.

        A frame that is not whole yet is waited for as ever: no longer than the listener's patience.
        """
        unread = not self._broken and (self.send_blocked or self.inbox.used > 0 or self._frames.inside)
        if self.connected and (self._open or unread):
            self._schedule_abort()
        else:
            self.finish()


class RespFrontend(Listener):
    def __init__(
        self, core: Core, timeline: TimerQueue, backend: Backend, limit: int, idle_after: timedelta
    ) -> None:
        super().__init__(core, timeline, limit, READ_TIMEOUT, idle_after)
        self.backend = backend
        self._complaints = 0
        self._complaints_since = timeline.now()

    def make(self) -> RespConnection:
        return RespConnection(self)

    def log_rejected(self, what: str, why: str) -> None:
        """Into the log, but only the first few of a second: bad clients come by the hundred."""
        now = self.timeline.now()
        if now - self._complaints_since >= SECOND:
            if self._complaints > MAX_COMPLAINTS_PER_SECOND:
                log.warning("and %d more bad requests", self._complaints - MAX_COMPLAINTS_PER_SECOND)
            self._complaints, self._complaints_since = 0, now
        self._complaints += 1
        if self._complaints <= MAX_COMPLAINTS_PER_SECOND:
            log.warning("%s: %s", what, why)
