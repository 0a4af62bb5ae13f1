"""The client of the database: the calls that runs make to the tier below.

One connection carries all calls. It is opened when a call needs it and closed by us when it lies idle, before
the other side would close it under a call.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from datetime import datetime

from marlstep.core.model import Request, Sink
from marlstep.lines import LineFault, LineStream, length
from marlstep.timeline import Deadline, Timeline
from marlstep.units import MILLISECOND, SECOND, whole_ms
from petrelcart.interface import Outcome

log = logging.getLogger(__name__)

ENDS = {
    "FULL": Outcome.FULL,
    "FAIL": Outcome.ERROR,
    "TIMEOUT": Outcome.TIMEOUT,
    "NONE": Outcome.MOOT,
}
RING_SIZE = 128 * 1024
LINE_LIMIT = 256
IDLE = 5 * SECOND  # the other side closes after 10 s
LATE = 50 * MILLISECOND  # past its time a reply may still be on its way for so long


class DatabaseLink(LineStream):
    """One connection to the database."""

    def __init__(self, database: Database) -> None:
        super().__init__(RING_SIZE, LINE_LIMIT)
        self._database = database

    def made(self) -> None:
        self._database.link_up(self)

    def lost(self) -> None:
        self._database.link_lost(self)

    def body_length(self, words: list[str]) -> int | None:
        return length(words[2]) if len(words) == 3 and words[1] == "ROWS" else None

    def message(self, words: list[str], body: bytes) -> None:
        match words:
            case [id, "ROWS", _]:
                self._database.reply(id, Outcome.OK, body)
            case [id, end] if end in ENDS:
                self._database.reply(id, ENDS[end], b"")
            case _:
                raise LineFault(f"unknown reply {' '.join(words)[:64]!r}")


class Database:
    def __init__(self, address: tuple[str, int], timeline: Timeline, sink: Callable[[], Sink]) -> None:
        self._address = address
        self._timeline = timeline
        self._sink = sink
        self._link: DatabaseLink | None = None
        self._opening: asyncio.Task[None] | None = None
        self._waiting: list[tuple[str, bytes, datetime]] = []  # calls made before the connection stands
        self._calls: dict[str, Deadline] = {}  # in hand, each with the end of its wait
        self._idle: Deadline | None = None

    def call(self, request: Request, until: datetime) -> None:
        id, body = request.id, request.call_body
        if id in self._calls:
            self.give_up(request)
        self._calls[id] = self._timeline.at(until + LATE, lambda: self._timed_out(id))
        self._timeline.cancel(self._idle)
        self._idle = None
        if self._link is not None and self._link.connected:
            self._send(id, body, until)
        else:
            self._waiting.append((id, body, until))
            if self._opening is None:
                self._opening = asyncio.get_running_loop().create_task(self._open())

    def give_up(self, request: Request) -> None:
        self._drop(request.id, tell=True)

    def close(self) -> None:
        if self._link is not None:
            self._link.abort()

    def _send(self, id: str, body: bytes, until: datetime) -> None:
        left = max(1, whole_ms(until - self._timeline.now()))
        if self._link is not None:
            self._link.send(f"Q {id} {left} {len(body)}\r\n".encode() + body + b"\r\n")

    async def _open(self) -> None:
        try:
            await asyncio.get_running_loop().create_connection(lambda: DatabaseLink(self), *self._address)
        except OSError as fault:
            # A refused connection proves that no call ran.
            log.warning("database not reached: %s", fault)
            waiting, self._waiting = self._waiting, []
            for id, _, _ in waiting:
                self.reply(id, Outcome.CONNECT_FAILED, b"")
        finally:
            self._opening = None

    def link_up(self, link: DatabaseLink) -> None:
        self._link = link
        waiting, self._waiting = self._waiting, []
        for id, body, until in waiting:
            if id in self._calls:
                self._send(id, body, until)

    def link_lost(self, link: DatabaseLink) -> None:
        if self._link is link:
            self._link = None
            waiting = {id for id, _, _ in self._waiting}
            for id in [id for id in self._calls if id not in waiting]:
                self.reply(id, Outcome.RESET, b"")  # a connection that breaks under a call proves nothing

    def reply(self, id: str, outcome: Outcome, body: bytes) -> None:
        if self._drop(id, tell=False):
            self._sink().call_ended(id, outcome, body)

    def _timed_out(self, id: str) -> None:
        if self._drop(id, tell=True):
            self._sink().call_ended(id, Outcome.TIMEOUT)

    def _drop(self, id: str, tell: bool) -> bool:
        """The one place where a call leaves our hands."""
        deadline = self._calls.pop(id, None)
        if deadline is None:
            return False
        self._timeline.cancel(deadline)
        sent = all(id != waiting for waiting, _, _ in self._waiting)
        self._waiting = [call for call in self._waiting if call[0] != id]
        if tell and sent and self._link is not None:
            self._link.send(f"X {id}\r\n".encode())
        if not self._calls and self._link is not None:
            self._timeline.cancel(self._idle)
            self._idle = self._timeline.at(self._timeline.now() + IDLE, self._close_idle)
        return True

    def _close_idle(self) -> None:
        if self._link is not None and not self._calls:
            link, self._link = self._link, None
            link.finish()
