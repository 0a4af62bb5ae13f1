"""The link to the kernel, which owns the cores: commands out, notices in.

The link is made again whenever it breaks. Each notice is applied once, by its number. A command stays in the
ledger until the kernel is known to have read it: a notice speaks of its request, or gauges come that were asked for
after it. After a break what the kernel may not have read is sent again, once the notices it kept have been applied.

What was read long ago must not be sent again: between the last of those notices and the command on its way the run
may end, or come to its next call, and would be started a second time or get the reply to the call before.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from marlstep.admission.events import Outcome
from marlstep.core.interfaces import EventSink, Request
from marlstep.net.eventloop import Address, Cancel, Dial, dial
from marlstep.net.lines import LineProtocolError, LineStream, parse_length
from marlstep.timer_queue import Timer, TimerQueue
from marlstep.units import MILLISECOND, ZERO

log = logging.getLogger(__name__)

ENDS = {
    "complete": Outcome.OK,
    "error": Outcome.ERROR,
    "cancelled": Outcome.CANCELLED,
    "unknown": Outcome.NOT_STARTED,
}
RING_SIZE = 256 * 1024
LINE_LIMIT = 8 * 1024
BODY_LIMIT = 64 * 1024  # the protocol names 4 KiB for results
WITH_BODY = {"REAP": 6, "IOREQ": 4}  # the number of words of lines that a body follows
MIN_BACKOFF, MAX_BACKOFF = 20 * MILLISECOND, 1000 * MILLISECOND  # between tries, after a first one at once
SYNC_TAG = "sync"


def _milliseconds(word: str) -> timedelta:
    """Figures that only inform may be odd: a notice must not be lost for them."""
    try:
        return max(ZERO, min(float(word), 1e9) * MILLISECOND)
    except (ValueError, OverflowError):
        log.warning("not a time: %r", word[:32])
        return ZERO


@dataclass(slots=True, eq=False)  # two that read alike are two: a run may be paused and resumed many times
class _Command:
    id: str
    data: bytes

    @property
    def word(self) -> str:
        return self.data.split(b" ", 1)[0].decode()


class KernelConnection(LineStream):
    """One connection to the kernel."""

    def __init__(self, kernel: Kernel, address: Address) -> None:
        super().__init__(RING_SIZE, LINE_LIMIT)
        self.address = address
        self.booted = False  # the kernel has answered on it
        self._kernel = kernel

    def opened(self) -> None:
        self._kernel.connection_opened(self)

    def closed(self) -> None:
        self._kernel.connection_lost(self)

    def body_length(self, words: list[str]) -> int | None:
        parts = WITH_BODY.get(words[0])
        if parts is None:
            return None
        if len(words) != parts:
            raise LineProtocolError(f"malformed {words[0]}")
        return parse_length(words[-1], BODY_LIMIT)

    def message(self, words: list[str], body: bytes) -> None:
        self._kernel.notice(self, words, body)


class Kernel:
    """The one client of the kernel; a backend and the gauges of the core."""

    def __init__(
        self,
        address: Address,
        gauge_names: Sequence[str],
        timeline: TimerQueue,
        sink: Callable[[], EventSink],
        dial: Dial = dial,
    ) -> None:
        self._address = address
        self._dial = dial
        self._gauge_names = gauge_names
        self._timeline = timeline
        self._sink = sink
        self._link: KernelConnection | None = None
        self._synced = False
        self._last = 0  # the number of the last notice that was read
        self._asked_again = -1  # the one after which some were missing
        self._unconfirmed: dict[str, list[_Command]] = {}
        self._call_numbers: dict[str, int] = {}  # the notice by which a run asked for its call
        self._retry = MIN_BACKOFF
        self._closing = False
        self._asked = 0
        self._written: deque[_Command] = deque()  # on this link, in order, and not known to be read
        self._probe: tuple[str, int] | None = (
            None  # the tag of gauges asked for, and how many were written before
        )
        self._opening: Cancel | None = None
        self._later: Timer | None = None

    def open(self) -> None:
        self._connect()

    def close(self) -> None:
        self._closing = True
        self._stop_opening()
        if self._link is not None:
            self._link.abort()

    def change_address(self, address: Address) -> None:
        """The kernel is reached elsewhere from now on. The old link serves until the new one stands."""
        if address != self._address:
            self._address, self._retry = address, MIN_BACKOFF
            self._stop_opening()
            self._connect()

    def set_gauge_names(self, gauge_names: Sequence[str]) -> None:
        """The order of the gauges has changed."""
        self._gauge_names = gauge_names

    def _stop_opening(self) -> None:
        self._timeline.cancel(self._later)
        self._later = None
        if self._opening is not None:
            self._opening()
            self._opening = None

    def _connect(self) -> None:
        self._later = None
        if not self._closing and self._opening is None:
            address = self._address
            self._opening = self._dial(lambda: KernelConnection(self, address), address, self._opened)

    def _opened(self, fault: OSError | None) -> None:
        self._opening = None
        if fault is not None:
            log.warning("kernel not reached: %s", fault)
        if self._link is None or self._link.address != self._address:  # also where it was lost at once
            self._connect_later()

    def _connect_later(self) -> None:
        if not self._closing and self._opening is None and self._later is None:
            self._later = self._timeline.at(self._timeline.now() + self._retry, self._connect)
            self._retry = min(MAX_BACKOFF, self._retry * 2)

    # The link.

    def connection_opened(self, link: KernelConnection) -> None:
        if link.address != self._address:  # it moved while the connection was on its way
            link.abort()
            return
        before, self._link, self._synced = self._link, link, False
        self._written.clear()
        self._probe = None
        link.send(b"OPEN %d\r\n" % self._last)
        if before is not None:
            before.abort()

    def connection_lost(self, link: KernelConnection) -> None:
        if self._link is not link:
            return
        self._link, self._synced = None, False
        if self._closing:
            return
        log.warning("kernel link lost after notice %d", self._last)
        if link.booted:
            self._connect()
        else:
            self._connect_later()

    def notice(self, link: KernelConnection, words: list[str], body: bytes) -> None:
        if link is not self._link:
            return  # a newer link has taken its place, and repeats what was not read here
        match words:
            case ["BOOTED", state, ms]:
                self._booted(state, ms)
            case ["INFO", tag, *values]:
                self._info(tag, values)
            case ["EINVAL", command, id]:
                self._invalid(command, id)
            case ["REAP", number, id, end, ms, _]:
                if self._is_new(number):
                    self._confirm(id)
                    self._sink().run_ended(id, ENDS.get(end, Outcome.ERROR), _milliseconds(ms), body)
            case ["IOREQ", number, id, _]:
                if self._is_new(number):
                    self._confirm(id)
                    self._call_numbers[id] = int(number)
                    self._sink().call_needed(id, body)
            case ["DMESG", number, *text]:
                if self._is_new(number):
                    log.info("kernel: %s", " ".join(text)[:200])
            case _:
                # It has no body, so what follows can still be read: no reason to give up the link.
                log.warning("unknown notice %r", " ".join(words)[:64])

    def _is_new(self, word: str) -> bool:
        """Each notice counts once, however often a new link repeats it."""
        if not (word.isascii() and word.isdigit()):
            raise LineProtocolError(f"not the number of a notice: {word[:32]!r}")
        number = int(word)
        if number <= self._last:
            return False
        if number > self._last + 1:
            if self._asked_again != self._last:  # a new link repeats it, if the kernel has it still
                self._asked_again = self._last
                raise LineProtocolError(f"notice {number} after {self._last}")
            log.error("kernel notices %d to %d were never read", self._last + 1, number - 1)
        self._last = number
        return True

    def _booted(self, state: str, age: str) -> None:
        log.info("kernel up, %s at its start %s ms ago", state, age)
        self._retry = MIN_BACKOFF
        self._sink().backend_ready()
        if self._link is not None:
            self._link.booted = True
            # The notices that were missed come before the answer to this.
            self._link.send(f"SYSINFO {SYNC_TAG}\r\n".encode())

    def _info(self, tag: str, values: list[str]) -> None:
        if tag == SYNC_TAG and not self._synced:
            self._synced = True
            for commands in list(self._unconfirmed.values()):
                for command in commands:
                    self._send(command)
        elif self._probe is not None and tag == self._probe[0]:
            for _ in range(self._probe[1]):
                self._read_by_kernel(self._written.popleft())
            self._probe = None
        try:
            numbers = [float(value) for value in values]
        except ValueError as fault:
            log.warning("malformed gauges: %s", fault)
            return
        self._sink().gauges(dict(zip(self._gauge_names, numbers, strict=False)))

    def _invalid(self, command: str, id: str) -> None:
        """A command was not carried out. Where a run hangs on it, that run is over."""
        log.warning("kernel: EINVAL %s %s", command, id)
        asked = next((one for one in self._unconfirmed.get(id, []) if one.word == command), None)
        if asked is None:
            return
        self._read_by_kernel(asked)
        if command == "SCHED":
            self._confirm(id)
            self._sink().run_ended(id, Outcome.NOT_STARTED, ZERO)
        elif command in ("RESCHED", "IODONE", "NOIO"):
            self._confirm(id)
            self._sink().run_ended(id, Outcome.ERROR, ZERO)

    # Commands.

    def start(self, request: Request) -> None:
        offer = request.inbound
        head = f"SCHED {offer.id} {offer.request_class} {len(offer.body)}\r\n".encode()
        self._command(offer.id, head + offer.body + b"\r\n")

    def pause(self, request: Request) -> None:
        self._command(request.id, f"PREEMPT {request.id}\r\n".encode())

    def resume(self, request: Request) -> None:
        self._command(request.id, f"RESCHED {request.id}\r\n".encode())

    def supply(self, request: Request, reply: bytes) -> None:
        self._command(request.id, f"IODONE {request.id} {len(reply)}\r\n".encode() + reply + b"\r\n")

    def skip(self, request: Request) -> None:
        number = self._call_numbers.get(request.id, 0)
        self._command(request.id, f"NOIO {request.id} {number}\r\n".encode())

    def abandon(self, request: Request) -> None:
        """The kernel ends the run of a request that is over at its next call, or runs it out."""

    def request_gauges(self) -> None:
        if self._synced:
            self._asked += 1
            if self._probe is None:
                self._probe = (f"g{self._asked}", len(self._written))
            self._write(b"SYSINFO g%d\r\n" % self._asked)

    def _command(self, id: str, data: bytes) -> None:
        command = _Command(id, data)
        self._unconfirmed.setdefault(id, []).append(command)
        if self._synced:
            self._send(command)

    def _send(self, command: _Command) -> None:
        self._written.append(command)
        self._write(command.data)

    def _read_by_kernel(self, command: _Command) -> None:
        """It is never sent again. A notice may have told so before."""
        left = self._unconfirmed.get(command.id, [])
        if command in left:
            left.remove(command)
            if not left:
                del self._unconfirmed[command.id]

    def _write(self, data: bytes) -> None:
        if self._link is not None:
            self._link.send(data)

    def _confirm(self, id: str) -> None:
        """A notice spoke of the request: the kernel has read what was sent for it."""
        self._unconfirmed.pop(id, None)
        self._call_numbers.pop(id, None)
