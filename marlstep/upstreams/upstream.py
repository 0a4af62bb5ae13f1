"""The client of the uwsgi server behind the uwsgi front: a backend that does its work by sending it on.

A connection that can't be made proves that nothing ran. One that breaks later proves nothing, and the request
is never sent a second time. A run can't be paused here, only given up, when its answer is out already.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from datetime import datetime

import httptools

from marlstep.core.model import Request, Sink
from marlstep.fronts.uwsgi_wire import HEAD, read_variables
from marlstep.net.stream import RingStream
from marlstep.timeline import Timeline
from petrelcart.interface import Outcome

log = logging.getLogger(__name__)

RING_SIZE = 16 * 1024


class _Attempt(RingStream):
    """One request on its way: a connection of its own, and the response as it comes."""

    def __init__(self, upstream: Upstream, request: Request, since: datetime) -> None:
        super().__init__(RING_SIZE)
        self.id, self.since = request.id, since
        self.sent = False  # the packet has begun to leave
        self.task: asyncio.Task[None] | None = None
        self._upstream = upstream
        self._packet = request.offer.body
        self._response = bytearray()
        self._parser = httptools.HttpResponseParser(self)
        self._headers_done = self._complete = self._sized = False

    def made(self) -> None:
        if self._upstream.waits_for(self):
            self.sent = True
            self.send(self._packet)
        else:  # given up while the connection was on its way: it must not run now
            self.abort()

    def received(self) -> None:
        data = self.inbox.take(self.inbox.used)
        self._response += data
        try:
            if data:
                self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as fault:
            return self._end(Outcome.ERROR, f"no response: {fault!r}")
        if len(self._response) > self._upstream.response_limit:
            self._end(Outcome.ERROR, f"a response of over {self._upstream.response_limit} bytes")
        elif self._complete or (self.at_end and self._headers_done and not self._cut_short()):
            self._end(Outcome.OK, "")
        elif self.at_end:
            self._end(Outcome.RESET, "the response was cut short")

    def _cut_short(self) -> bool:
        """Is a body owed that has not come? A response that names no length ends with its connection."""
        return self._sized and not self._is_head()

    def _is_head(self) -> bool:
        size = int.from_bytes(self._packet[1:3], "little")
        return read_variables(self._packet[HEAD : HEAD + size]).get("REQUEST_METHOD") == "HEAD"

    def lost(self) -> None:
        self._end(Outcome.RESET, "the connection broke")

    def _end(self, outcome: Outcome, why: str) -> None:
        self._upstream.ended(self, outcome, bytes(self._response), why)

    # What httptools calls.

    def on_header(self, name: bytes, value: bytes) -> None:
        self._sized = self._sized or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        self._headers_done = self._parser.get_status_code() >= 200

    def on_message_complete(self) -> None:
        self._complete = self._headers_done and self._sized


class Upstream:
    def __init__(
        self, address: tuple[str, int], timeline: Timeline, sink: Callable[[], Sink], response_limit: int
    ) -> None:
        self.response_limit = response_limit
        self._address = address
        self._timeline = timeline
        self._sink = sink
        self._attempts: dict[str, _Attempt] = {}

    def move(self, address: tuple[str, int]) -> None:
        """From now on attempts go to this address; those on their way end where they are."""
        self._address = address

    def start(self, request: Request) -> None:
        attempt = _Attempt(self, request, self._timeline.now())
        self._attempts[request.id] = attempt
        attempt.task = asyncio.get_running_loop().create_task(self._open(attempt))

    async def _open(self, attempt: _Attempt) -> None:
        try:
            await asyncio.get_running_loop().create_connection(lambda: attempt, *self._address)
        except OSError as fault:
            self.not_opened(attempt, fault)

    def not_opened(self, attempt: _Attempt, fault: OSError) -> None:
        """It proves that nothing ran only where the packet had not begun to leave."""
        outcome = Outcome.RESET if attempt.sent else Outcome.CONNECT_FAILED
        self.ended(attempt, outcome, b"", f"not reached: {fault}")

    def pause(self, request: Request) -> None:
        """A server behind a socket can't be paused: the run goes on, unless nobody waits for it."""
        if request.answered:
            self.abandon(request)

    def abandon(self, request: Request) -> None:
        attempt = self._attempts.get(request.id)
        if attempt is not None:
            # Told in a turn of its own: the core is in the midst of answering.
            self._timeline.soon(lambda: self.ended(attempt, Outcome.CANCELLED, b"", ""))

    def resume(self, request: Request) -> None:
        """Nothing is ever paused here."""

    def supply(self, request: Request, reply: bytes) -> None:
        """Nothing is ever called for here."""

    def skip(self, request: Request) -> None:
        """Nothing is ever called for here."""

    def waits_for(self, attempt: _Attempt) -> bool:
        return self._attempts.get(attempt.id) is attempt

    def ended(self, attempt: _Attempt, outcome: Outcome, response: bytes, why: str) -> None:
        """The one place where an attempt and its connection are given back."""
        if not self.waits_for(attempt):
            return
        del self._attempts[attempt.id]
        if why:
            log.warning("upstream: %s: %s", attempt.id, why)
        if attempt.task is not None and outcome is Outcome.CANCELLED:
            attempt.task.cancel()
        attempt.abort()
        self._sink().run_ended(attempt.id, outcome, self._timeline.now() - attempt.since, response)

    def close(self) -> None:
        for attempt in list(self._attempts.values()):
            attempt.abort()
