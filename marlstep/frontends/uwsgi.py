"""The front for the uwsgi protocol: one packet a connection, one HTTP-style response, then the close.

Done is the upstream's own response, unchanged. Refused is 503 with Retry-After, failed 502, out of time 504.
A packet that can't be read, or names no class there is, is answered 400; one whose body is too large 413.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from datetime import timedelta

from marlstep.core.engine import Core
from marlstep.core.errors import RepeatedWorkError, RequestRejectedError
from marlstep.core.interfaces import Backend, InboundRequest, Response, ResponseStatus
from marlstep.frontends.base import Connection, Listener
from marlstep.frontends.uwsgi_mapping import UwsgiMapping
from marlstep.frontends.uwsgi_wire import InvalidPacketError, Packet, PacketReader, write_response
from marlstep.timer_queue import TimerQueue
from marlstep.units import MILLISECOND, SECOND

log = logging.getLogger(__name__)

RING_SIZE = 16 * 1024
NAME_LIMIT = 256  # characters of the name of some work: it is kept, and told to other processes
LONGEST_COST = 3_600_000.0  # ms


def read_cost(text: str | None) -> timedelta | None:
    """A hint: one that is no number of milliseconds is as good as none."""
    try:
        value = float(text or "")
    except ValueError:
        return None
    return value * MILLISECOND if 0 <= value <= LONGEST_COST else None


class UwsgiConnection(Connection):
    def __init__(self, front: UwsgiFrontend) -> None:
        super().__init__(front, RING_SIZE)
        self.frontend = front
        self._packet = PacketReader(front.body_limit)
        self._request: int | None = None
        self._taken = False  # its one packet is whole, or can't become so

    def data_received(self) -> None:
        if not self._taken:
            try:
                packet = self._packet.next(self.inbox)
                if packet is not None:
                    self._taken = True
                    self.frontend.proven(self)
                    self.request_completed()
                    self._submit(packet)
                elif self.at_eof:
                    self.finish()  # the client left inside its packet: there is no request to answer
            except InvalidPacketError as fault:
                self._reject(fault.status, str(fault))
        if self._taken:
            self.inbox.skip(self.inbox.used)  # a connection carries one request

    def _submit(self, packet: Packet) -> None:
        front = self.frontend
        try:
            offer = front.read_request(packet)
            self._request = front.core.submit(front, (self.handle, 1), front.backend, offer)
        except RepeatedWorkError as fault:
            self._reject(502, str(fault))
        except RequestRejectedError as fault:
            self._reject(400, str(fault))

    def _reject(self, status: int, why: str) -> None:
        log.warning("uwsgi request answered %d: %s", status, why)
        self._taken = True
        self._respond(write_response(status, {}, why))

    def _respond(self, response: bytes) -> None:
        self.send(response)
        self.finish()

    def send_response(self, number: int, answer: Response) -> None:
        self._request = None
        match answer.status:
            case ResponseStatus.DONE:
                self._respond(answer.body)
            case ResponseStatus.REJECTED:
                wait = str(self.frontend.whole_seconds(answer.retry_after))
                self._respond(write_response(503, {"Retry-After": wait}, "refused, it never ran"))
            case ResponseStatus.EXPIRED:
                self._respond(write_response(504, {}, "out of time"))
            case ResponseStatus.FAILED:
                self._respond(write_response(502, {}, "failed"))

    def peer_closed(self) -> None:
        if self._request is not None:
            self.frontend.core.client_disconnected(self._request)
            self._request = None

    def read_timed_out(self) -> None:
        if self._request is None:
            self.finish()

    def drain(self) -> None:
        """What was begun may still be sent whole, and is then answered."""
        if self._request is None and not self._packet.inside:
            self.finish()


class UwsgiFrontend(Listener):
    def __init__(
        self,
        core: Core,
        timeline: TimerQueue,
        backend: Backend,
        limit: int,
        patience: timedelta,
        mapped: UwsgiMapping,
        body_limit: int,
        pool_of: Callable[[str], str] = lambda kind: "",
    ) -> None:
        super().__init__(core, timeline, limit, patience)
        self.pool_of = pool_of
        self.backend = backend
        self.mapped = mapped
        self.body_limit = body_limit
        self._number = 0

    def make(self) -> UwsgiConnection:
        return UwsgiConnection(self)

    def limit_idle_time(self, after: timedelta) -> None:
        """Clients here open a connection for each request: the operator's own limit stays."""

    def read_request(self, packet: Packet) -> InboundRequest:
        mapped, variables = self.mapped, packet.variables
        said = variables.get(mapped.kind, "")
        if len(once := variables.get(mapped.id or "") or "") > NAME_LIMIT:
            raise RequestRejectedError(f"{mapped.id} is over {NAME_LIMIT} characters")
        kind = mapped.classes.get(said, said) or mapped.default_class or ""
        if kind not in self.core.classes and mapped.default_class:
            kind = mapped.default_class
        self._number += 1
        return InboundRequest(
            id=f"uwsgi-{self._number}",  # of this try; what the client names is the work
            request_class=kind,
            body=packet.raw,
            arrived_at=self.timeline.now(),
            memory_kb=max(mapped.kb, len(packet.raw) / 1024),
            is_retry=_flag(variables.get(mapped.retry or "", "")),
            cost_hint=read_cost(variables.get(mapped.cost or "")),
            tenant=variables.get(mapped.tenant or "") or None,
            pool=self.pool_of(kind),
            idempotency_key=once or None,
        )

    def whole_seconds(self, after: timedelta) -> int:
        """Retry-After counts whole seconds: rounded up, within the longest that is allowed."""
        most = timedelta(microseconds=self.core.settings.max_retry_after_us)
        return min(-(-after // SECOND), most // SECOND)


def _flag(text: str) -> bool:
    return text.lower() not in ("", "0", "no", "false", "off")
