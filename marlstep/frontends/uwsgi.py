"""The frontend for the uwsgi protocol: a connection carries one packet and one HTTP response, then it closes.

The response of the upstream is forwarded unchanged. A rejection is 503 with Retry-After, a failure 502, an expired
deadline 504. A malformed packet, or one with an unknown class, gets 400; one with a body over the limit gets 413.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from datetime import timedelta

from marlstep.core.engine import Core
from marlstep.core.errors import RepeatedWorkError, RequestRejectedError
from marlstep.core.interfaces import Backend, InboundRequest, Response, ResponseStatus
from marlstep.frontends import uwsgi_policy
from marlstep.frontends.base import RequestConnection, RequestListener
from marlstep.frontends.connection_end import ConnectionEnd
from marlstep.frontends.errors import InvalidPacketError
from marlstep.frontends.packet_memory import PacketMemory
from marlstep.frontends.rejection_log import RejectionLog
from marlstep.frontends.scan_scheduler import SMALL_BLOCK_BYTES, ScanScheduler
from marlstep.frontends.uwsgi_mapping import UwsgiMapping
from marlstep.frontends.uwsgi_requests import http_response, read_request, variables_of_requests
from marlstep.frontends.uwsgi_wire import Packet, PacketReader, write_response
from marlstep.timer_queue import TimerQueue
from marlstep.units import span

RING_SIZE = 16 * 1024  # bytes
DEFAULT_PACKET_MEMORY = 16 << 20  # bytes
ONLY_REQUEST = 1  # request number; each connection has only one request


class UwsgiConnection(RequestConnection):
    """A connection of a gateway, which carries one request."""

    def __init__(self, frontend: UwsgiFrontend) -> None:
        """Create a connection that has not been opened yet."""
        super().__init__(frontend, RING_SIZE)
        self.frontend = frontend
        self._packets = PacketReader(frontend.body_limit, frontend.variable_names)
        self._packet_done = False  # the packet is complete, or rejected
        self._scans: ScanScheduler | None = (
            None  # schedules the scan of this packet; None before it is needed
        )

    def data_received(self) -> None:
        """Submit the request once its packet is complete, and discard all input after the packet."""
        if not self._packet_done:
            try:
                packet = self._packets.next(self.inbox, self._may_scan)
            except InvalidPacketError as error:
                self._reject(error.status, str(error))
            else:
                self._handle(packet)
        if self._packet_done:
            self.inbox.skip(self.inbox.used)

    def _may_scan(self, size: int) -> bool:
        """Return whether a block of variables may be scanned now, and queue this connection if not.

        A connection that is queued is not evicted as unproven: its packet may be complete.
        """
        scans = self._scans = self.frontend.scans_of(size)
        if not scans.admit(size):
            scans.enqueue(self, self._resume_scan)
            self.frontend.connections.mark_proven(self)
            return False
        scans.remove(self)
        return True

    @property
    def _waits_for_scan(self) -> bool:
        return self._scans is not None and self._scans.is_queued(self)

    def _resume_scan(self) -> None:
        self.frontend.connections.mark_unproven(self)
        self.handle_input()

    def closed(self) -> None:
        """Leave the queue for a scan, release the packet's memory, and free the slot."""
        if self._scans is not None:
            self._scans.remove(self)
        self.release_packet()
        super().closed()

    def release_packet(self) -> None:
        """Free the memory of an incomplete packet, and its reservation."""
        self._packets.discard()
        self.frontend.packet_memory.release(self)

    def _handle(self, packet: Packet | None) -> None:
        if packet is not None:
            self._packet_done = True
            self.frontend.packet_memory.mark_received(self)
            self.frontend.connections.mark_proven(self)
            self.stop_progress_timer()
            self._submit(packet)
        elif self.at_eof and not self._waits_for_scan:
            self.finish()  # the client ended its stream within the packet, so there is no request to respond to
        elif not self.frontend.reserve_memory(self, self._packets.declared_bytes):
            self._refuse_for_memory()
        elif self._waits_for_scan:
            self.frontend.packet_memory.mark_received(self)  # the packet may be complete

    def _submit(self, packet: Packet) -> None:
        """Submit the request, or respond with the status of its rejection.

        A request whose id or idempotency key is in use by work that may have run gets 502, like a failure. All other
        rejections of the intake get 400, including PROCESS_AT_CAPACITY, although it is the node's own state and not
        the client's fault.
        """
        try:
            self.submit(ONLY_REQUEST, self.frontend.read_request(packet))
        except RepeatedWorkError as error:
            self._reject(502, str(error))
        except RequestRejectedError as error:
            self._reject(400, str(error))
        except InvalidPacketError as error:
            self._reject(error.status, str(error))

    def _reject(self, status: int, reason: str) -> None:
        self.frontend.log_rejection("request rejected", reason, f"frontend=uwsgi status={status}")
        self._packet_done = True
        self.release_packet()
        self.end_for(ConnectionEnd.MALFORMED)
        self._respond(write_response(status, {}, reason))

    def _refuse_for_memory(self) -> None:
        """Respond before the packet is complete, as there is no memory for the rest of it."""
        self.frontend.log_rejection("packet refused", f"no memory for {self._packets.declared_bytes} bytes")
        self._packet_done = True
        self.release_packet()
        self.end_for(ConnectionEnd.NO_MEMORY)
        rejection = Response(ResponseStatus.REJECTED, retry_after=self.frontend.max_retry_after)
        self._respond(http_response(rejection, self.frontend.max_retry_after))

    def _respond(self, response: bytes) -> None:
        self.send(response)
        self.finish()

    def send_response(self, number: int, response: Response) -> None:
        """Send the response, then close."""
        self._request_handles.pop(number, None)
        self._respond(http_response(response, self.frontend.max_retry_after))

    def timed_out(self) -> None:
        """Close without a response if the packet was not complete in time."""
        if self._waits_for_scan:
            self.start_progress_timer()  # the client waits for this process
        elif uwsgi_policy.closes_at_timeout(len(self._request_handles)):
            self.end_for(ConnectionEnd.FRAME_TIMEOUT)
            self.finish()

    def drain(self) -> None:
        """Stay open: the only request of the connection is open, or is still read within the read timeout."""


def no_pool(_request_class: str) -> str:
    """Return the empty pool name for every class: no upstream pools are configured."""
    return ""


class UwsgiFrontend(RequestListener):
    """The frontend for gateways that speak uwsgi."""

    def __init__(
        self,
        core: Core,
        timeline: TimerQueue,
        backend: Backend,
        limit: int,
        read_timeout: timedelta,
        mapping: UwsgiMapping,
        body_limit: int,
        pool_of: Callable[[str], str] = no_pool,
        packet_memory_bytes: int = DEFAULT_PACKET_MEMORY,
    ) -> None:
        """Create a frontend that does not listen yet.

        Args:
            core: processes the requests.
            timeline: runs the timers of all connections.
            backend: runs the requests.
            limit: maximum number of connections at a time.
            read_timeout: time for a packet to be complete.
            mapping: which variables carry which fields of a request.
            body_limit: maximum size of a body in bytes; a packet with a larger one gets 413.
            pool_of: returns the name of the upstream pool for a class.
            packet_memory_bytes: memory of all packets that are read or run at a time.
        """
        super().__init__(core, timeline, backend, limit, read_timeout)
        self.pool_of = pool_of
        self.mapping = mapping
        self.body_limit = body_limit
        self._small_block_scans = ScanScheduler(timeline.soon)
        self._large_block_scans = ScanScheduler(timeline.soon)
        self.packet_memory: PacketMemory[UwsgiConnection] = PacketMemory(packet_memory_bytes)
        self._rejection_log = RejectionLog(timeline.now())
        self._request_count = 0

    def make(self) -> UwsgiConnection:
        """Create the connection object for a peer that has connected."""
        return UwsgiConnection(self)

    def limit_idle_time(self, after: timedelta) -> None:
        """Ignore the limit: gateways open a connection per request, and the read timeout bounds its idle time."""

    @property
    def max_retry_after(self) -> timedelta:
        """The longest Retry-After that callers respect."""
        return span(self.core.settings.max_retry_after_us)

    def scans_of(self, block_bytes: int) -> ScanScheduler:
        """Return what schedules the scan of a block of variables of this size."""
        is_small = block_bytes <= SMALL_BLOCK_BYTES
        return self._small_block_scans if is_small else self._large_block_scans

    def reserve_memory(self, connection: UwsgiConnection, packet_bytes: int) -> bool:
        """Reserve memory for a packet, and close connections that stall for it; False if there is none.

        A connection with unread input is spared, as its packet may be complete with it.
        """
        memory, now = self.packet_memory, self.timeline.now()
        memory.reserve(connection, packet_bytes, now)
        if not memory.is_exceeded:
            return True
        for evicted in memory.evictable(now):
            if evicted is not connection and not evicted.has_unread_input():
                evicted.release_packet()
                self.evict(evicted)
            if not memory.is_exceeded:
                return True
        return False

    def log_rejection(self, event: str, reason: str, details: str = "") -> None:
        """Log a rejection, rate-limited by `RejectionLog`."""
        self._rejection_log.write(event, reason, self.timeline.now(), details)

    def variable_names(self) -> Collection[str]:
        """Return the names of the variables that requests are read from, by the mapping in force."""
        return variables_of_requests(self.mapping)

    def read_request(self, packet: Packet) -> InboundRequest:
        """Return the request of a packet. Raises InvalidPacketError if its idempotency key is too long."""
        number = self._request_count + 1
        inbound = read_request(
            packet,
            self.mapping,
            self.core.classes,
            self.pool_of,
            id=f"uwsgi-{number}",
            arrived_at=self.timeline.now(),
        )
        self._request_count = number
        return inbound
