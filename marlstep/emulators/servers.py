"""The stand-ins on sockets: a kernel, a database and a uwsgi server. Their clocks are the loop's.

The machine's own time is exact: runs end when they would have, however late the loop looks, so that a busy loop
does not take speed from the cores that it stands in for.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marlstep.emulators.cores import Machine, Notice, ran
from marlstep.frontends.uwsgi_wire import PacketReader, write_response
from marlstep.net.lines import LineProtocolError, LineStream, parse_length
from marlstep.net.stream import RingStream

RING_SIZE = 256 * 1024
LINE_LIMIT = 8 * 1024
BODY_LIMIT = 64 * 1024
KEPT_NOTICES = 4_000  # as PROTOCOL has it
WITH_BODY = {"SCHED": 4, "IODONE": 3}


class Clock:
    """Microseconds since it was made."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._start = self._loop.time()

    def now_us(self) -> int:
        return int((self._loop.time() - self._start) * 1e6)

    def at(self, us: int, callback: Callable[[], None]) -> asyncio.TimerHandle:
        return self._loop.call_at(self._start + us / 1e6, callback)


class Driven:
    """A machine on the loop's clock: looks when the next run ends, and hands on what happens."""

    def __init__(self, machine: Machine, clock: Clock, on_notice: Callable[[Notice], None]) -> None:
        self.machine, self._clock, self._on_notice = machine, clock, on_notice
        self._alarm: asyncio.TimerHandle | None = None

    def advance(self) -> None:
        for notice in self.machine.advance(self._clock.now_us()):
            self._on_notice(notice)

    def look(self) -> None:
        """After any change: set the alarm for the next end."""
        if self._alarm is not None:
            self._alarm.cancel()
        at = self.machine.next_us()
        self._alarm = None if at is None else self._clock.at(at, self._due)

    def _due(self) -> None:
        self._alarm = None
        self.advance()
        self.look()


class KernelServer:
    """The kernel's end of the link: one link at a time, notices kept for the next."""

    def __init__(self, machine: Machine, clock: Clock) -> None:
        self.driven = Driven(machine, clock, self.notice)
        self.machine = machine
        self.clock = clock
        self.link: KernelLinkServer | None = None
        self._number = 0
        self._notices: list[tuple[int, bytes]] = []

    def notice(self, notice: Notice) -> None:
        if notice.what == "call":
            head = f"IOREQ {self._number + 1} {notice.id} {len(notice.body)}\r\n"
        else:
            ms = notice.elapsed_us / 1000
            head = f"REAP {self._number + 1} {notice.id} {notice.what} {ms:.3f} {len(notice.body)}\r\n"
        self._number += 1
        data = head.encode() + notice.body + b"\r\n"
        self._notices.append((self._number, data))
        del self._notices[:-KEPT_NOTICES]
        if self.link is not None:
            self.link.send(data)

    def opened(self, link: KernelLinkServer, last: int) -> None:
        before, self.link = self.link, link
        if before is not None and before is not link:
            before.abort()
        link.send(f"BOOTED hot {self.clock.now_us() // 1000}\r\n".encode())
        for number, data in self._notices:
            if number > last:
                link.send(data)

    def command(self, link: KernelLinkServer, words: list[str], body: bytes) -> None:
        machine = self.machine
        self.driven.advance()
        match words:
            case ["OPEN", last] if last.isdigit():
                self.opened(link, int(last))
            case ["SYSINFO", tag]:
                gauges = " ".join(f"{value:.4f}" for value in machine.gauges())
                link.send(f"INFO {tag} {gauges}\r\n".encode())
            case ["SCHED", id, kind, _]:
                self._done(link, machine.start(id, kind, body), "SCHED", id)
            case ["PREEMPT", id]:
                if (notice := machine.pause(id)) is not None:
                    self.notice(notice)
            case ["RESCHED", id]:
                self._done(link, machine.resume(id), "RESCHED", id)
            case ["IODONE", id, _]:
                self._done(link, machine.answer_call(id, left_out=False), "IODONE", id)
            case ["NOIO", id, _]:
                self._done(link, machine.answer_call(id, left_out=True), "NOIO", id)
            case _:
                raise LineProtocolError(f"no command: {' '.join(words)[:64]!r}")
        self.driven.look()

    def over(self, id: str) -> None:
        """Who sent the request has its answer."""
        self.driven.advance()
        if (notice := self.machine.over(id)) is not None:
            self.notice(notice)
        self.driven.look()

    def _done(self, link: KernelLinkServer, good: bool, command: str, id: str) -> None:
        if not good:
            link.send(f"EINVAL {command} {id}\r\n".encode())


class KernelLinkServer(LineStream):
    def __init__(self, server: KernelServer) -> None:
        super().__init__(RING_SIZE, LINE_LIMIT)
        self._server = server

    def body_length(self, words: list[str]) -> int | None:
        parts = WITH_BODY.get(words[0])
        return parse_length(words[-1], BODY_LIMIT) if parts is not None and len(words) == parts else None

    def message(self, words: list[str], body: bytes) -> None:
        self._server.command(self, words, body)

    def closed(self) -> None:
        if self._server.link is self:
            self._server.link = None


class DatabaseServer:
    """Answers every call with rows after a set time."""

    def __init__(self, clock: Clock, latency_us: int) -> None:
        self.clock, self.latency_us = clock, latency_us
        self.calls = 0


class DatabaseLinkServer(LineStream):
    def __init__(self, server: DatabaseServer) -> None:
        super().__init__(RING_SIZE, LINE_LIMIT)
        self._server = server

    def body_length(self, words: list[str]) -> int | None:
        return parse_length(words[3], BODY_LIMIT) if len(words) == 4 and words[0] == "Q" else None

    def message(self, words: list[str], body: bytes) -> None:
        if words[0] == "Q" and len(words) == 4:
            server = self._server
            server.calls += 1
            reply = f"{words[1]} ROWS 4\r\nrows\r\n".encode()
            server.clock.at(server.clock.now_us() + server.latency_us, lambda: self.send(reply))

    def closed(self) -> None:
        """Closing a connection gives up every call on it."""


class UwsgiServer:
    """Does the work of uwsgi requests on the same kind of machine; a run there can't be paused."""

    def __init__(self, machine: Machine, clock: Clock) -> None:
        self.driven = Driven(machine, clock, self.notice)
        self.machine = machine
        self.connections: dict[str, UwsgiServerConnection] = {}
        self._number = 0

    def begin(self, connection: UwsgiServerConnection, kind: str, body: bytes) -> None:
        self._number += 1
        id = f"c{self._number}"
        self.driven.advance()
        if self.machine.start(id, kind, body):
            self.connections[id] = connection
            connection.id = id
        else:
            connection.send(write_response(400, {}, "no plan"))
            connection.finish()
        self.driven.look()

    def notice(self, notice: Notice) -> None:
        if notice.what == "call":  # the calls of this server are its own business, and take no time
            self.machine.answer_call(notice.id, left_out=False)
        elif (connection := self.connections.pop(notice.id, None)) is not None:
            connection.send(write_response(200, {}, notice.body.decode()))
            connection.finish()

    def gone(self, id: str) -> None:
        """The node let go: the work goes on, as a server's does that does not look."""
        self.connections.pop(id, None)


class UwsgiServerConnection(RingStream):
    def __init__(self, server: UwsgiServer) -> None:
        super().__init__(RING_SIZE)
        self._server = server
        self._packets = PacketReader(BODY_LIMIT)
        self.id = ""

    def data_received(self) -> None:
        packet = self._packets.next(self.inbox) if not self.id else None
        if packet is not None:
            plan = packet.variables.get("MARLSTEP_PLAN", "")
            self._server.begin(self, packet.variables.get("HTTP_X_CLASS", ""), plan.encode())

    def closed(self) -> None:
        self._server.gone(self.id)


class StandIns:
    """All three for one node."""

    def __init__(self, cores: float, speed: float, call_us: int) -> None:
        clock = Clock()
        self.kernel = KernelServer(Machine(cores, speed), clock)
        self.database = DatabaseServer(clock, call_us)
        self.uwsgi = UwsgiServer(Machine(cores, speed), clock)
        self.addresses: dict[str, str] = {}
        self._servers: list[asyncio.Server] = []

    async def open(self, first_port: int = 0) -> None:
        """Listen on that port and those after it, or where the system chooses."""
        makers: dict[str, Callable[[], asyncio.BaseProtocol]] = {
            "kernel": lambda: KernelLinkServer(self.kernel),
            "db": lambda: DatabaseLinkServer(self.database),
            "uwsgi": lambda: UwsgiServerConnection(self.uwsgi),
        }
        loop = asyncio.get_running_loop()
        for number, (name, make) in enumerate(makers.items()):
            port = first_port + number if first_port else 0
            server = await loop.create_server(make, "127.0.0.1", port, backlog=512)
            self._servers.append(server)
            self.addresses[name] = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        for server in self._servers:
            server.close()


def account(sites: list[StandIns], kind: str) -> dict[str, int]:
    """What was run on all: for the report of a replay. Work that ran on two nodes ran twice."""
    machines = [machine for site in sites for machine in (site.kernel.machine, site.uwsgi.machine)]
    return {**ran(machines, kind), "calls": sum(site.database.calls for site in sites)}
