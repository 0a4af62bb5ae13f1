"""Sends reports to the name service as datagrams, which are not acknowledged.

The name service removes an entry 3 s after the last report it received. Since datagrams may be lost, the reporting
interval is short enough that an entry lapses only after ten consecutive losses.
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
STATE_WORDS = {True: "yes", False: "no"}  # on the wire, by whether requests are wanted at this node


class ReportSocket(asyncio.DatagramProtocol):
    """The datagram socket for reports to one address."""

    def __init__(self, client: NameServiceClient, address: Address) -> None:
        """Initialize the protocol of a socket.

        Args:
            client: gets the socket once it is open.
            address: of the name service, as host and port.
        """
        self._client, self._address = client, address

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass the open socket to the client."""
        self._client.opened(self._address, cast(asyncio.DatagramTransport, transport))

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: if the name service is down, no entry lapses, and the next report is sent soon."""


class NameServiceClient:
    """Sends periodic reports on whether requests are wanted at this node."""

    def __init__(self, name: str, address: Address | None, timeline: TimerQueue) -> None:
        """Initialize a client that does not report before `open`.

        Args:
            name: of the entry of this node.
            address: of the name service, as host and port; if None, nothing is reported.
            timeline: schedules the reports.
        """
        self._name, self._address, self._timeline = name, address, timeline
        self._transport: asyncio.DatagramTransport | None = None
        self._open_task: asyncio.Task[None] | None = None
        self._next_report: Timer | None = None
        self._reporting_ended = False
        self._wants_requests = True

    def open(self) -> None:
        """Open the socket and start reporting."""
        if self._address is not None and not self._reporting_ended:
            self._open_task = asyncio.get_running_loop().create_task(self._open(self._address))

    async def _open(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_datagram_endpoint(lambda: ReportSocket(self, address), remote_addr=address)
        except OSError as error:
            # For example, no file descriptor is free. An unlisted node still serves the clients that know it.
            log.error(  # noqa: TRY400 the message has the reason; a traceback would add nothing
                "name service reports failed: address=%s:%d reason=%s", *address, error
            )
            if not self._reporting_ended and address == self._address:
                self._next_report = self._timeline.at(self._timeline.now() + REPORT_INTERVAL, self.open)

    def change_address(self, address: Address | None) -> None:
        """Report to another address, starting immediately."""
        if address != self._address:
            self._address = address
            self._stop()
            self.open()

    def _stop(self, stop_opening: bool = True) -> None:
        """Cancel the next report, and close the socket. This is the only place that closes a socket in use.

        Args:
            stop_opening: whether to cancel the opening of a socket as well.
        """
        self._timeline.cancel(self._next_report)
        if stop_opening and self._open_task is not None:
            self._open_task.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def opened(self, address: Address, transport: asyncio.DatagramTransport) -> None:
        """Use a newly opened socket, and send a report immediately."""
        if self._reporting_ended or address != self._address:  # the address changed while it opened
            transport.close()
            return
        self._stop(stop_opening=False)
        self._transport = transport
        self._report()

    def _report(self) -> None:
        if self._transport is None or self._transport.is_closing():  # closed by the operating system
            self._transport = None
            self.open()
            return
        self._send(self._wants_requests)
        self._next_report = self._timeline.at(self._timeline.now() + REPORT_INTERVAL, self._report)

    def _send(self, wants_requests: bool) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(f"renew {self._name} {STATE_WORDS[wants_requests]}".encode())

    def report_state(self, wants_requests: bool) -> None:
        """Set whether requests are wanted at this node, and report a change immediately.

        The reports renew the entry in both states.
        """
        if wants_requests != self._wants_requests and not self._reporting_ended:
            self._wants_requests = wants_requests
            self._send(wants_requests)

    def report_last(self, sends_last_report: bool = True) -> None:
        """Stop reporting for good, so that the entry lapses.

        Args:
            sends_last_report: whether to send a last report that no requests are wanted. False if another process
                continues to report for this node.
        """
        if sends_last_report:
            self._send(False)
        self._reporting_ended = True
        self._stop()
