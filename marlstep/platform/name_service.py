"""Reports to the name service: datagrams, to which nothing comes back.

The name service removes an entry 3 s after the last report that arrived. Some reports are lost, so they are sent often
enough that it takes ten losses in a row for an entry to lapse.
"""

from __future__ import annotations

import asyncio
import logging
from typing import cast

from marlstep.net.eventloop import Address
from marlstep.timer_queue import Timer, TimerQueue
from marlstep.units import MILLISECOND

log = logging.getLogger(__name__)

REPORT_INTERVAL = 300 * MILLISECOND
STATE_WORDS = {True: "yes", False: "no"}  # on the wire: whether requests are wanted here


class ReportSocket(asyncio.DatagramProtocol):
    """The socket for one address."""

    def __init__(self, client: NameServiceClient, address: Address) -> None:
        """Send to this address for the client."""
        self._client, self._address = client, address

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Hand the socket to the client."""
        self._client.opened(self._address, cast(asyncio.DatagramTransport, transport))

    def error_received(self, exc: Exception) -> None:
        """Ignore that the name service is down: no entry lapses meanwhile, and the next report is due soon."""


class NameServiceClient:
    """Reports regularly whether requests are wanted at this node."""

    def __init__(self, name: str, address: Address | None, timeline: TimerQueue) -> None:
        """Make a client for the entry of this name; without an address it reports nothing."""
        self._name, self._address, self._timeline = name, address, timeline
        self._transport: asyncio.DatagramTransport | None = None
        self._open_task: asyncio.Task[None] | None = None
        self._next_report: Timer | None = None
        self._reporting_ended = False
        self._wants_requests = True

    def open(self) -> None:
        """Begin to report."""
        if self._address is not None and not self._reporting_ended:
            self._open_task = asyncio.get_running_loop().create_task(self._open(self._address))

    async def _open(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_datagram_endpoint(lambda: ReportSocket(self, address), remote_addr=address)
        except OSError as error:
            # Perhaps no descriptor is free. A node that is not listed still serves the clients that know it.
            log.error(  # noqa: TRY400 the reason is in the text; the trace would add nothing
                "name service reports failed: address=%s:%d reason=%s", *address, error
            )
            if not self._reporting_ended and address == self._address:
                self._next_report = self._timeline.at(self._timeline.now() + REPORT_INTERVAL, self.open)

    def change_address(self, address: Address | None) -> None:
        """Report to another address, the first time at once."""
        if address != self._address:
            self._address = address
            self._stop()
            self.open()

    def _stop(self, stop_opening: bool = True) -> None:
        """Close the socket. All sockets are closed here."""
        self._timeline.cancel(self._next_report)
        if stop_opening and self._open_task is not None:
            self._open_task.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def opened(self, address: Address, transport: asyncio.DatagramTransport) -> None:
        """Use a socket that has been opened, and report at once."""
        if self._reporting_ended or address != self._address:  # the address changed while it was being opened
            transport.close()
            return
        self._stop(stop_opening=False)
        self._transport = transport
        self._report()

    def _report(self) -> None:
        if self._transport is None or self._transport.is_closing():  # the system closed it
            self._transport = None
            self.open()
            return
        self._send(self._wants_requests)
        self._next_report = self._timeline.at(self._timeline.now() + REPORT_INTERVAL, self._report)

    def _send(self, wants_requests: bool) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(f"renew {self._name} {STATE_WORDS[wants_requests]}".encode())

    def report_state(self, wants_requests: bool) -> None:
        """Report whether requests are wanted here; a change is reported at once. The entry stays either way."""
        if wants_requests != self._wants_requests and not self._reporting_ended:
            self._wants_requests = wants_requests
            self._send(wants_requests)

    def report_last(self, sends_last_report: bool = True) -> None:
        """Report no more, so that the entry lapses.

        Args:
            sends_last_report: whether to report once more that no requests are wanted; not where another process
                goes on to report for this node.
        """
        if sends_last_report:
            self._send(False)
        self._reporting_ended = True
        self._stop()
