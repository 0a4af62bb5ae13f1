"""An emulator of a uwsgi server: a machine that does the work of requests, and can't pause it."""

from __future__ import annotations

from marlstep.emulators.machine import Machine, Notice, NoticeType
from marlstep.emulators.machine_driver import LoopClock, MachineDriver
from marlstep.frontends.uwsgi_wire import PacketReader, write_response
from marlstep.net.stream import RingStream

RING_BYTES = 256 * 1024
MAX_BODY_BYTES = 64 * 1024
PLAN_VARIABLE = "MARLSTEP_PLAN"  # of a request; holds the body of a work plan
CLASS_VARIABLE = "HTTP_X_CLASS"


class UwsgiServerEmulator:
    """Runs each request on a machine, and responds on its connection when the run is complete."""

    def __init__(self, machine: Machine, clock: LoopClock) -> None:
        """`machine` does the work of the requests."""
        self.machine = machine
        self._driver = MachineDriver(machine, clock, self._handle_notice)
        self._connections: dict[str, UwsgiServerConnection] = {}  # by the run that each waits for
        self._last_number = 0

    def start_run(self, connection: UwsgiServerConnection, request_class: str, plan: bytes) -> None:
        """Start the run of a request, or respond with an error where its plan can't be read."""
        self._last_number += 1
        run_id = f"c{self._last_number}"
        self._driver.advance()
        if self.machine.start(run_id, request_class, plan):
            self._connections[run_id] = connection
            connection.run_id = run_id
        else:
            connection.send(write_response(400, {}, "no plan"))
            connection.finish()
        self._driver.reschedule()

    def connection_closed(self, run_id: str) -> None:
        """Drop a response that nobody waits for; the run goes on, as on a server that does not watch its client."""
        self._connections.pop(run_id, None)

    def _handle_notice(self, notice: Notice) -> None:
        if notice.type is NoticeType.CALL:  # calls inside this server are not emulated, and take no time
            self.machine.end_call(notice.run_id, skipped=False)
        elif (connection := self._connections.pop(notice.run_id, None)) is not None:
            connection.send(write_response(200, {}, notice.body.decode()))
            connection.finish()


class UwsgiServerConnection(RingStream):
    """A connection from a node to the emulated server; it carries one request."""

    def __init__(self, server: UwsgiServerEmulator) -> None:
        """Run the request on `server`."""
        super().__init__(RING_BYTES)
        self._server = server
        self._packets = PacketReader(MAX_BODY_BYTES)
        self.run_id = ""  # empty until the run has started

    def data_received(self) -> None:
        """Start the run when the request's packet is complete."""
        packet = self._packets.next(self.inbox) if not self.run_id else None
        if packet is not None:
            variables = packet.variables
            plan = variables.get(PLAN_VARIABLE, "").encode()
            self._server.start_run(self, variables.get(CLASS_VARIABLE, ""), plan)

    def closed(self) -> None:
        """Drop the response if it is still to come."""
        self._server.connection_closed(self.run_id)
