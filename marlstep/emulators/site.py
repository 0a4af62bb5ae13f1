"""The emulators that one node connects to: a kernel, a database and a uwsgi server, on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from marlstep.emulators.database import DatabaseConnection, DatabaseEmulator
from marlstep.emulators.kernel import KernelConnection, KernelEmulator
from marlstep.emulators.machine import Machine, count_runs
from marlstep.emulators.machine_driver import LoopClock
from marlstep.emulators.uwsgi_server import UwsgiServerConnection, UwsgiServerEmulator

HOST = "127.0.0.1"
LISTEN_BACKLOG = 512  # connections
PORTS_PER_SITE = 3


class EmulatedSite:
    """The emulators of one node. The kernel and the uwsgi server run on separate machines.

    Attributes:
        addresses: "host:port" of each emulator by its key in the node's configuration; empty before `open`.
    """

    def __init__(self, cores: float, speed: float, call_us: int) -> None:
        """Initialize the emulators, which listen after `open`; requires a running event loop.

        Args:
            cores: Number of cores of each machine.
            speed: Microseconds of work that one core does in a microsecond.
            call_us: Latency of the database in microseconds.
        """
        clock = LoopClock()
        self.kernel = KernelEmulator(Machine(cores, speed), clock)
        self.database = DatabaseEmulator(clock, call_us)
        self.uwsgi = UwsgiServerEmulator(Machine(cores, speed), clock)
        self.addresses: dict[str, str] = {}
        self._listeners: list[asyncio.Server] = []

    async def open(self, first_port: int = 0) -> None:
        """Listen on `first_port` and the next two ports; if it is 0, on ports that the system chooses."""
        connection_types: dict[str, Callable[[], asyncio.BaseProtocol]] = {
            "kernel": lambda: KernelConnection(self.kernel),
            "db": lambda: DatabaseConnection(self.database),
            "uwsgi": lambda: UwsgiServerConnection(self.uwsgi),
        }
        loop = asyncio.get_running_loop()
        for number, (name, make_connection) in enumerate(connection_types.items()):
            port = first_port + number if first_port else 0
            listener = await loop.create_server(make_connection, HOST, port, backlog=LISTEN_BACKLOG)
            self._listeners.append(listener)
            self.addresses[name] = f"{HOST}:{listener.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening."""
        for listener in self._listeners:
            listener.close()


def report_sites(sites: Sequence[EmulatedSite], at_most_once_class: str) -> dict[str, int]:
    """Return the counts of runs and calls of all sites together, by their names in a replay's report.

    Work that was started on two sites counts as run twice.
    """
    machines = [machine for site in sites for machine in (site.kernel.machine, site.uwsgi.machine)]
    counts = count_runs(machines, at_most_once_class)
    return {**counts.to_json(), "calls": sum(site.database.calls for site in sites)}
