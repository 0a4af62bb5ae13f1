"""Reports to the name service: datagrams to which nothing comes back.

An entry lapses 3 s after the last report that arrived. Some get lost, a quarter of them on a bad day, so
that one a second would let the entry lapse every minute or two; at this pace it takes ten losses in a row.
"""

from __future__ import annotations

import asyncio
import logging
from typing import cast

from marlstep.timer_queue import Timer, TimerQueue
from marlstep.units import MILLISECOND

log = logging.getLogger(__name__)
Address = tuple[str, int]
REPORT_INTERVAL = 300 * MILLISECOND


class _Endpoint(asyncio.DatagramProtocol):
    """The socket for one address."""

    def __init__(self, naming: NameService, address: Address) -> None:
        self._naming, self._address = naming, address

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._naming.opened(self._address, cast(asyncio.DatagramTransport, transport))

    def error_received(self, exc: Exception) -> None:
        """The name service is down. No entry lapses meanwhile; the next report is due soon anyway."""


class NameService:
    def __init__(self, name: str, address: Address | None, timeline: TimerQueue) -> None:
        self._name, self._address, self._timeline = name, address, timeline
        self._transport: asyncio.DatagramTransport | None = None
        self._opening: asyncio.Task[None] | None = None
        self._next: Timer | None = None
        self._left = False
        self._state = "yes"

    def open(self) -> None:
        if self._address is not None and not self._left:
            self._opening = asyncio.get_running_loop().create_task(self._open(self._address))

    async def _open(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_datagram_endpoint(lambda: _Endpoint(self, address), remote_addr=address)
        except (
            OSError
        ) as fault:  # no descriptor is free, perhaps; who is not listed still serves those who know it
            log.error("no reports to the name service: %s", fault)
            if not self._left and address == self._address:
                self._next = self._timeline.at(self._timeline.now() + REPORT_INTERVAL, self.open)

    def change_address(self, address: Address | None) -> None:
        """Reports go to this address from now on, the first at once."""
        if address != self._address:
            self._address = address
            self._stop()
            self.open()

    def _stop(self, opening: bool = True) -> None:
        """The one place where the socket is given back."""
        self._timeline.cancel(self._next)
        if opening and self._opening is not None:
            self._opening.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def opened(self, address: Address, transport: asyncio.DatagramTransport) -> None:
        if self._left or address != self._address:  # it moved while the socket was on its way
            transport.close()
            return
        self._stop(opening=False)
        self._transport = transport
        self._report()

    def _report(self) -> None:
        if self._transport is None or self._transport.is_closing():  # the system took it away
            self._transport = None
            self.open()
            return
        self._send(self._state)
        self._next = self._timeline.at(self._timeline.now() + REPORT_INTERVAL, self._report)

    def _send(self, state: str) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(f"renew {self._name} {state}".encode())

    def report_state(self, wanted: bool) -> None:
        """Whether requests are wanted here; a change is reported at once. The entry stays either way."""
        state = "yes" if wanted else "no"
        if state != self._state and not self._left:
            self._state = state
            self._send(state)

    def report_last(self, last_word: bool = True) -> None:
        """Say so once and report no more: the entry lapses. Without a word where another process reports on."""
        if last_word:
            self._send("no")
        self._left = True
        self._stop()
