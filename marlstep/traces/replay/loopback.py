"""A replay over sockets: node processes between the process of the emulators and the senders in this process.

The senders work in an open loop: requests are sent at their planned times, independent of responses. The delay of
sending is recorded; a run whose senders fell behind by more than `Settings.late_us` is not valid, because it does not
measure the nodes.
"""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from marlstep.core.interfaces import ResponseStatus
from marlstep.emulators.work_plan import WorkPlan
from marlstep.frontends.uwsgi_wire import write_packet
from marlstep.net.stream import RingStream
from marlstep.traces.mapping import PlannedRequest
from marlstep.traces.replay.campaign import Attempt, Campaign, call_count
from marlstep.traces.replay.connections import RespConnection, UwsgiConnection
from marlstep.traces.replay.processes import HOST, REQUEST_MEMORY_KB, ReplayProcesses
from marlstep.traces.replay.settings import Settings
from marlstep.units import SystemClock

START_DELAY_US = 300_000  # delay between the end of the setup and time 0 of the schedule
LAST_RESPONSE_WAIT_US = 1_000_000  # wait for responses after the last deadline
POLL_INTERVAL_S = 0.02


@dataclass(slots=True)
class Loopback:
    """The senders of one replay over sockets, and the processes that they send to.

    Attributes:
        settings: Settings of the nodes and the emulators.
        campaign: State of the senders.
        processes: Processes of the nodes and the emulators.
    """

    settings: Settings
    campaign: Campaign
    processes: ReplayProcesses = field(init=False)
    _connections: list[list[RespConnection]] = field(default_factory=list)  # connections by node and caller
    _connect_tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _start_s: float = 0.0  # time 0 of the schedule on the event loop's clock, in seconds
    # Number of the node, by the id of an open attempt.
    _node_by_attempt: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the processes object; `run` starts the processes."""
        self.processes = ReplayProcesses(self.settings)

    def now_us(self) -> int:
        """Return the time since time 0 of the schedule, in microseconds."""
        return int((asyncio.get_running_loop().time() - self._start_s) * 1e6)

    async def run(self, rows: Iterator[PlannedRequest]) -> None:
        """Start the processes, send all requests, and stop the processes.

        Args:
            rows: Requests of the schedule, in order of time.

        Raises:
            ReplayError: A process did not start, or exited before the first request.
            TimeoutError: A process did not get ready or exit within its timeout.
        """
        with tempfile.TemporaryDirectory() as folder:
            try:
                await self.processes.start(Path(folder))
                await self._send_all(rows)
                await self.processes.stop()
            finally:
                await self.processes.kill()

    async def _send_all(self, rows: Iterator[PlannedRequest]) -> None:
        loop = asyncio.get_running_loop()
        self._connections = [[] for _ in range(self.settings.senders * self.settings.nodes)]
        self._start_s = loop.time() + START_DELAY_US / 1e6
        for number, planned in enumerate(rows):
            delay_us = planned.at_us - self.now_us()
            if delay_us > 0:
                await asyncio.sleep(delay_us / 1e6)
            self._send(self.campaign.start_work(number, planned))
        await self._wait_for_responses()

    async def _wait_for_responses(self) -> None:
        """Wait until no attempt is open, or LAST_RESPONSE_WAIT_US have passed since the last deadline."""
        while self._is_waiting():  # noqa: ASYNC110  (the deadline moves with each retry)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _is_waiting(self) -> bool:
        last_us = self.campaign.last_due_us() + LAST_RESPONSE_WAIT_US
        return self.campaign.open > 0 and self.now_us() < last_us

    def _send(self, attempt: Attempt) -> None:
        self.campaign.record_sent(attempt, self.now_us())
        self._node_by_attempt[attempt.id] = attempt.node
        planned, number = attempt.work.planned, attempt.work.number
        calls = call_count(self.campaign.classes[planned.request_class], number)
        plan = WorkPlan(number, planned.work_us, calls)
        if self.settings.front == "uwsgi":
            self._send_uwsgi(attempt, plan)
        else:
            self._send_resp(attempt, plan)

    def _cost_ms(self, plan: WorkPlan) -> float:
        """Return the expected run time that is sent with the request, in milliseconds."""
        return plan.work_us / self.settings.speed / 1000

    def _send_resp(self, attempt: Attempt, plan: WorkPlan) -> None:
        caller = attempt.work.number % self.settings.senders
        fields, body = self._resp_fields(attempt, plan, caller), plan.to_body()
        connections = self._connections[attempt.node * self.settings.senders + caller]
        for connection in connections:
            if connection.has_room:
                connection.send_request(attempt, fields, body)
                return

        def remove(closed: RespConnection) -> None:
            if closed in connections:
                connections.remove(closed)

        connection = RespConnection(self._record_response, remove)
        connections.append(connection)
        port = self.processes.resp_ports[attempt.node]
        self._connect_in_task(connection, port, lambda: connection.send_request(attempt, fields, body))

    def _resp_fields(self, attempt: Attempt, plan: WorkPlan, caller: int) -> str:
        """Return the fields of a request in their form on the wire."""
        at_ms = round(SystemClock().now().timestamp() * 1000)
        tenant = attempt.work.planned.tenant
        fields = [
            f"id={attempt.id}",
            f"at={at_ms}",
            f"from={caller}",
            f"kb={REQUEST_MEMORY_KB}",
            f"cost={self._cost_ms(plan):.2f}",
            "rank=0.5",
        ]
        if attempt.is_retry:
            fields.append("retry=1")
        if tenant.isalnum():
            fields.append(f"tenant={tenant}")
        return ",".join(fields)

    def _send_uwsgi(self, attempt: Attempt, plan: WorkPlan) -> None:
        planned = attempt.work.planned
        runs_once = planned.request_class == self.settings.once
        variables = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": "/",
            "HTTP_X_CLASS": planned.request_class,
            "HTTP_X_ID": f"work-{attempt.work.number}" if runs_once else "",
            "HTTP_X_RETRY": "1" if attempt.is_retry else "",
            "HTTP_X_COST_MS": f"{self._cost_ms(plan):.2f}",
            "HTTP_X_TENANT": planned.tenant,
            "MARLSTEP_PLAN": plan.to_body().decode(),
        }
        connection = UwsgiConnection(attempt.id, write_packet(variables), self._record_response)
        self._connect_in_task(connection, self.processes.uwsgi_ports[attempt.node], lambda: None)

    def _connect_in_task(self, connection: RingStream, port: int, on_open: Callable[[], None]) -> None:
        """Connect in a separate task, so that other requests are not delayed; then call `on_open`."""
        task = asyncio.get_running_loop().create_task(self._connect(connection, port, on_open))
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)

    async def _connect(self, connection: RingStream, port: int, on_open: Callable[[], None]) -> None:
        try:
            await asyncio.get_running_loop().create_connection(lambda: connection, HOST, port)
        except OSError:
            connection.closed()  # the request stays without a response and counts as lost
            return
        on_open()

    def _record_response(
        self, attempt_id: str, status: ResponseStatus, retry_after_us: int, is_partial: bool
    ) -> None:
        self.processes.report_response(self._node_by_attempt.pop(attempt_id, 0), attempt_id)
        retry = self.campaign.record_response(attempt_id, status, self.now_us(), retry_after_us, is_partial)
        if retry is not None:
            retry_at_s = self._start_s + retry.at_us / 1e6
            asyncio.get_running_loop().call_at(retry_at_s, self._send, retry)
