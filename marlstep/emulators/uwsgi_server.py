"""Emulator of a uwsgi server: runs requests on an emulated machine, and cannot pause them."""

from __future__ import annotations

from marlstep.emulators.machine import Machine, Notice, NoticeType
from marlstep.emulators.machine_driver import LoopClock, MachineDriver
from marlstep.frontends.uwsgi_wire import PacketReader, write_response
from marlstep.net.stream import RingStream

RING_BYTES = 256 * 1024
MAX_BODY_BYTES = 64 * 1024
PLAN_VARIABLE = "MARLSTEP_PLAN"  # uwsgi variable with the work plan of the request
CLASS_VARIABLE = "HTTP_X_CLASS"  # uwsgi variable with the request class


class UwsgiServerEmulator:
    """Runs each request on a machine, and responds on its connection when the run is complete.

    Attributes:
        machine: runs the requests.
    """

    def __init__(self, machine: Machine, clock: LoopClock) -> None:
        """Initialize the server with no requests; `clock` sets the time of `machine`."""
        self.machine = machine
        self._driver = MachineDriver(machine, clock, self._handle_notice)
        self._connections: dict[str, UwsgiServerConnection] = {}  # by run id, until the response is sent
        self._last_number = 0

    def start_run(self, connection: UwsgiServerConnection, request_class: str, plan: bytes) -> None:
        """Start the run of a request, or respond with status 400 if it has no valid work plan."""
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
        """Discard the response of a run whose connection was closed.

        The run continues, as on a server that does not detect the disconnect of its client.
        """
        self._connections.pop(run_id, None)

    def _handle_notice(self, notice: Notice) -> None:
        if notice.type is NoticeType.CALL:
            # Downstream calls of this server are not emulated; they end at once.
            self.machine.end_call(notice.run_id, skipped=False)
        elif (connection := self._connections.pop(notice.run_id, None)) is not None:
            connection.send(write_response(200, {}, notice.body.decode()))
            connection.finish()


class UwsgiServerConnection(RingStream):
    """A connection from a node to the emulated server, with a single request.

    Attributes:
        run_id: id of the run of the request; empty until the run has started.
    """

    def __init__(self, server: UwsgiServerEmulator) -> None:
        """Initialize a connection whose request is run by `server`."""
        super().__init__(RING_BYTES)
        self._server = server
        self._packets = PacketReader(MAX_BODY_BYTES)
        self.run_id = ""

    def data_received(self) -> None:
        """Start the run when the packet of the request is complete."""
        packet = self._packets.next(self.inbox) if not self.run_id else None
        if packet is not None:
            variables = packet.variables
            plan = variables.get(PLAN_VARIABLE, "").encode()
            self._server.start_run(self, variables.get(CLASS_VARIABLE, ""), plan)

    def closed(self) -> None:
        """Discard the response if it has not been sent."""
        self._server.connection_closed(self.run_id)
