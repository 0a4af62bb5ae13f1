"""One request on its way to one uwsgi server: a connection of its own, and the response as it comes."""

from __future__ import annotations

from collections.abc import Collection
from datetime import datetime, timedelta
from typing import Protocol

import httptools

from marlstep.frontends.uwsgi_wire import HEAD, read_variables
from marlstep.load_balancing.retries import AttemptOutcome
from marlstep.net.eventloop import Address, Cancel, Dial
from marlstep.net.stream import RingStream
from marlstep.timer_queue import Timer, TimerQueue

RING_SIZE = 16 * 1024


class AttemptOwner(Protocol):
    response_limit: int

    def response_awaited(self, attempt: Attempt) -> bool: ...

    def attempt_ended(self, attempt: Attempt, end: AttemptOutcome, why: str) -> None:
        """Told once, and not any more after `waits_for` is false."""


class Attempt(RingStream):
    def __init__(
        self,
        owner: AttemptOwner,
        id: str,
        packet: bytes,
        since: datetime,
        refuses: Collection[int],
        boot_header: str,
    ) -> None:
        super().__init__(RING_SIZE)
        self.id, self.since = id, since
        self.sent = False  # the packet has begun to leave
        self.boot: str | None = None  # what the server said of its present life
        self.response = bytearray()
        self._owner, self._packet = owner, packet
        self._refuses, self._boot_header = refuses, boot_header.encode("latin-1")
        self._parser = httptools.HttpResponseParser(self)
        self._headers_done = self._complete = self._sized = False
        self._opening: Cancel | None = None
        self._timeout: Timer | None = None

    def open(self, dial: Dial, address: Address, timeline: TimerQueue, within: timedelta) -> None:
        self._timeline = timeline
        self._timeout = timeline.at(timeline.now() + within, lambda: self.not_opened("no connection in time"))
        self._opening = dial(lambda: self, address, self._opened)

    def _opened(self, fault: OSError | None) -> None:
        self._opening = None
        if fault is not None:
            self.not_opened(str(fault))

    def not_opened(self, why: str) -> None:
        """It proves that nothing ran only where the packet had not begun to leave."""
        self._end(AttemptOutcome.BROKEN if self.sent else AttemptOutcome.NOT_REACHED, f"not reached: {why}")

    def opened(self) -> None:
        self._timeline.cancel(self._timeout)
        if self._owner.response_awaited(self):
            self.sent = True
            self.send(self._packet)
        else:  # given up while the connection was on its way: it must not run now
            self.abort()

    def data_received(self) -> None:
        data = self.inbox.take(self.inbox.used)
        self.response += data
        try:
            if data:
                self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as fault:
            return self._end(AttemptOutcome.BROKEN, f"no response: {fault!r}")
        if len(self.response) > self._owner.response_limit:
            self._end(AttemptOutcome.BROKEN, f"a response of over {self._owner.response_limit} bytes")
        elif self._complete or (self.at_eof and self._headers_done and not self._cut_short()):
            status = self._parser.get_status_code()
            self._end(AttemptOutcome.REFUSED if status in self._refuses else AttemptOutcome.WELL, "")
        elif self.at_eof:
            self._end(AttemptOutcome.BROKEN, "the response was cut short")

    def _cut_short(self) -> bool:
        """Is a body owed that has not come? A response that names no length ends with its connection."""
        return self._sized and not self._is_head()

    def _is_head(self) -> bool:
        size = int.from_bytes(self._packet[1:3], "little")
        return read_variables(self._packet[HEAD : HEAD + size]).get("REQUEST_METHOD") == "HEAD"

    def closed(self) -> None:
        self._end(AttemptOutcome.BROKEN, "the connection broke")

    def _end(self, end: AttemptOutcome, why: str) -> None:
        if self._owner.response_awaited(self):
            self._owner.attempt_ended(self, end, why)

    def abandon(self) -> None:
        """Its owner is done with it."""
        self._timeline.cancel(self._timeout)
        if self._opening is not None:
            self._opening()
            self._opening = None
        self.abort()

    # What httptools calls.

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        self._sized = self._sized or name in (b"content-length", b"transfer-encoding")
        if name == self._boot_header:
            self.boot = value.decode("latin-1")[:64]

    def on_headers_complete(self) -> None:
        self._headers_done = self._parser.get_status_code() >= 200

    def on_message_complete(self) -> None:
        self._complete = self._headers_done and self._sized
