"""The client of the database: the calls that runs make to the tier below.

Each connection carries one call at a time, so that a reply that can't be read, does not end or never comes
takes no other call along. A connection is used again only after a reply that was whole and alone; whatever
else came on it, it is dropped. For calls that must not be made twice a new one is opened, since one that lay
idle may have been forgotten by the other side, and its break would leave open whether the call ran.
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
from marlstep.net.lines import LineProtocolError, LineStream, parse_length
from marlstep.timer_queue import Timer, TimerQueue
from marlstep.units import MILLISECOND, SECOND, whole_ms

log = logging.getLogger(__name__)

ENDS = {
    "FULL": Outcome.REJECTED,
    "FAIL": Outcome.ERROR,
    "TIMEOUT": Outcome.TIMEOUT,
    "NONE": Outcome.NOT_STARTED,
}
RING_SIZE = 16 * 1024
LINE_LIMIT = 256
BODY_LIMIT = RING_SIZE - LINE_LIMIT  # results hold 4 KiB at the most
IDLE_CONNECTION_TIMEOUT = (
    2 * SECOND
)  # a connection that lies idle for longer is closed; the other side does after 10 s
LATE = 50 * MILLISECOND  # past its time a reply may still be on its way for so long
MAX_IDLE_CONNECTIONS = 16  # each setpoint's call leaves one more
MAX_CONNECTIONS = 40  # far over the calls that the module has in hand at once


@dataclass(slots=True)
class _Call:
    id: str
    body: bytes
    until: datetime
    once: bool  # must not be made twice
    deadline: Timer | None = None
    link: DatabaseConnection | None = None


class DatabaseConnection(LineStream):
    """One connection to the database."""

    def __init__(self, database: Database, address: Address) -> None:
        super().__init__(RING_SIZE, LINE_LIMIT)
        self.address = address
        self.call: _Call | None = None
        self.served = ""  # the request of its last call
        self.idle: Timer | None = None
        self._database = database
        self._spoilt = False  # more came than belongs to its call: good for this one reply, and no more

    def opened(self) -> None:
        self._database.connection_opened(self)

    def closed(self) -> None:
        self._database.connection_lost(self)

    def body_length(self, words: list[str]) -> int | None:
        return parse_length(words[2], BODY_LIMIT) if len(words) == 3 and words[1] == "ROWS" else None

    def data_received(self) -> None:
        served = self.call is not None
        super().data_received()
        if self.call is not None:
            return
        # Looked at when all that came together is read: what is there beside its reply belongs to nobody.
        if served and self.connected and not (self._spoilt or self.partial or self.at_eof):
            self._database.return_to_pool(self)
        else:
            self.abort()

    def message(self, words: list[str], body: bytes) -> None:
        match words:
            case [id, "ROWS", _]:
                outcome = Outcome.OK
            case [id, end] if end in ENDS:
                outcome = ENDS[end]
            case _:
                raise LineProtocolError(f"unknown reply {' '.join(words)[:64]!r}")
        if self.call is not None and self.call.id == id:
            self._database.call_ended(self.call, outcome, body)
        else:
            log.warning("database: a reply to no call of this connection, which is dropped")
            self._spoilt = True


class Database:
    def __init__(
        self, address: Address | None, timeline: TimerQueue, sink: Callable[[], EventSink], dial: Dial = dial
    ) -> None:
        self._address = address
        self._dial = dial
        self._timeline = timeline
        self._sink = sink
        self._calls: dict[str, _Call] = {}  # in hand, by the request they are made for
        self._queue: deque[_Call] = deque()  # have no connection yet
        self._links: set[DatabaseConnection] = set()  # all that stand
        self._resting: list[DatabaseConnection] = []  # those free for a call, the last used at the end
        self._opening: dict[int, Cancel] = {}  # those on their way
        self._number = 0

    def change_address(self, address: Address | None) -> None:
        """From now on calls go to this address; those on their way may end where they are."""
        if address == self._address:
            return
        self._address = address
        for link in list(self._resting):
            self._retire(link)
        self._serve()

    def call(self, request: Request, until: datetime) -> None:
        self.abandon_call(request)
        call = _Call(
            request.id, request.call_body, until, request.class_settings.effect is not Effect.IDEMPOTENT
        )
        late = partial(self._timed_out, call)
        call.deadline = self._timeline.at(until + LATE, lambda: self._timeline.after_reading(late))
        self._calls[call.id] = call
        if (link := self._take_idle(call)) is not None:
            self._send(call, link)
        else:
            self._queue.append(call)
            self._serve()

    def abandon_call(self, request: Request) -> None:
        if (call := self._calls.get(request.id)) is not None:
            self._drop(call)

    def close(self) -> None:
        for cancel in self._opening.values():
            cancel()
        for link in list(self._links):
            link.abort()

    def _serve(self) -> None:
        """As many connections on their way as there are calls that wait for one."""
        while len(self._opening) < len(self._queue):
            if self._address is None:
                return self._fail_queued()
            if (link := self._take_idle(self._queue[0])) is not None:
                self._send(self._queue.popleft(), link)
            elif len(self._links) + len(self._opening) < MAX_CONNECTIONS:
                self._open(self._address)
            else:
                if self._resting:  # when it is gone, this is looked at again
                    self._retire(self._resting[0])
                return

    def _open(self, address: Address) -> None:
        self._number += 1
        number = self._number
        self._opening[number] = self._dial(
            lambda: DatabaseConnection(self, address),
            address,
            lambda fault: self._opened(number, address, fault),
        )

    def _opened(self, number: int, address: Address, fault: OSError | None) -> None:
        del self._opening[number]
        if fault is None or address != self._address:
            return self._serve()
        log.warning("database not reached: %s", fault)
        if self._queue:  # the others have connections of their own on their way
            self.call_ended(self._queue[0], Outcome.CONNECT_FAILED)
        self._serve()

    def _fail_queued(self) -> None:
        """No connection: it proves that what waited for one never ran."""
        for call in list(self._queue):
            self.call_ended(call, Outcome.CONNECT_FAILED)

    def connection_opened(self, link: DatabaseConnection) -> None:
        self._links.add(link)
        if link.address != self._address:
            self._retire(link)
        elif self._queue:
            self._send(self._queue.popleft(), link)
        else:
            self.return_to_pool(link)

    def connection_lost(self, link: DatabaseConnection) -> None:
        """The one place where a connection is given back."""
        self._links.discard(link)
        self._timeline.cancel(link.idle)
        if link in self._resting:
            self._resting.remove(link)
        if link.call is not None:
            self.call_ended(link.call, Outcome.RESET)  # one that breaks under a call proves nothing
        self._serve()

    def return_to_pool(self, link: DatabaseConnection) -> None:
        """The connection is free: for the next call that waits, or to lie idle for a while."""
        if link.address != self._address:
            self._retire(link)
            return
        if len(self._resting) >= MAX_IDLE_CONNECTIONS:
            self._retire(self._resting[0])
        self._resting.append(link)
        link.idle = self._timeline.at(
            self._timeline.now() + IDLE_CONNECTION_TIMEOUT, lambda: self._retire(link)
        )
        if self._queue:
            self._serve()

    def _take_idle(self, call: _Call) -> DatabaseConnection | None:
        """The connection that lay idle for the shortest time, where this call may use one that did.

        The second copy of a reply may come late: not to be taken for one to its next call.
        """
        if call.once or not self._resting or self._resting[-1].served == call.id:
            return None
        link = self._resting.pop()
        self._timeline.cancel(link.idle)
        return link

    def _retire(self, link: DatabaseConnection) -> None:
        if link in self._resting:
            self._resting.remove(link)
        self._timeline.cancel(link.idle)
        link.abort()

    def _send(self, call: _Call, link: DatabaseConnection) -> None:
        call.link, link.call, link.served = link, call, call.id
        left = max(1, whole_ms(call.until - self._timeline.now()))
        link.send(f"Q {call.id} {left} {len(call.body)}\r\n".encode() + call.body + b"\r\n")

    def call_ended(self, call: _Call, outcome: Outcome, body: bytes = b"") -> None:
        if self._calls.get(call.id) is call:
            link, call.link = call.link, None
            if link is not None:
                link.call = None  # it is looked at again by whoever reads it
            self._drop(call)
            self._sink().call_ended(call.id, outcome, body)

    def _timed_out(self, call: _Call) -> None:
        if self._calls.get(call.id) is call:  # else its reply has come just now
            self._drop(call)
            self._sink().call_ended(call.id, Outcome.TIMEOUT)

    def _drop(self, call: _Call) -> None:
        """The one place where a call leaves our hands. Where no reply came its connection goes too."""
        del self._calls[call.id]
        self._timeline.cancel(call.deadline)
        if call in self._queue:
            self._queue.remove(call)
        if call.link is not None:
            link, call.link = call.link, None
            link.call = None
            link.abort()
