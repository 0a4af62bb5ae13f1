"""Reports to the name service: one datagram a second, to which nothing comes back."""

from __future__ import annotations

import asyncio
import logging
from typing import cast

from marlstep.timeline import Deadline, Timeline
from marlstep.units import SECOND

log = logging.getLogger(__name__)
EVERY = SECOND  # an entry lapses after 3 s


class Naming(asyncio.DatagramProtocol):
    def __init__(self, name: str, address: tuple[str, int], timeline: Timeline) -> None:
        self._name, self._address, self._timeline = name, address, timeline
        self._transport: asyncio.DatagramTransport | None = None
        self._next: Deadline | None = None

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_datagram_endpoint(lambda: self, remote_addr=self._address)
        except OSError as fault:  # a node that is not listed still serves those who know it
            log.error("no reports to the name service: %s", fault)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)
        self._report()

    def error_received(self, exc: Exception) -> None:
        """The name service is down. No entry lapses meanwhile; the next report is due in a second anyway."""

    def _report(self) -> None:
        self._send("yes")
        self._next = self._timeline.at(self._timeline.now() + EVERY, self._report)

    def _send(self, state: str) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(f"renew {self._name} {state}".encode())

    def leave(self) -> None:
        """Say so once and report no more: the entry lapses."""
        self._timeline.cancel(self._next)
        if self._transport is not None:
            self._send("no")
            self._transport.close()
