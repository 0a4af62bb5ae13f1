"""A replay without sockets: the cores of the nodes, the emulated machines and the senders on one simulated clock.

The clock advances from one event to the next in a deterministic order, so two runs have identical results. The cost of
network communication is not simulated; the core and its admission controller are the code that real nodes run.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from datetime import datetime, timedelta

from marlstep.admission.events import Outcome
from marlstep.admission.settings import Settings
from marlstep.core.engine import Core, Ports
from marlstep.core.errors import RequestRejectedError
from marlstep.core.interfaces import InboundRequest, Request, Response, ResponseHandle, ResponseStatus
from marlstep.emulators.machine import Machine, Notice, NoticeType
from marlstep.emulators.work_plan import WorkPlan
from marlstep.timer_queue import Timer, TimerQueue
from marlstep.traces.mapping import PlannedRequest
from marlstep.traces.replay.campaign import Attempt, Campaign, call_count
from marlstep.units import EPOCH, MICROSECOND, SECOND, span, span_us

START = EPOCH + 1_800_000_000 * SECOND
REQUEST_MEMORY_KB = 20.0
CALLERS = 4
PARTIAL_PREFIX = b"poor"  # prefix of the body of a response whose call was skipped
OUTCOMES = {NoticeType.COMPLETE: Outcome.OK, NoticeType.CANCELLED: Outcome.CANCELLED}


class SimulatedClock:
    """A simulated clock; `run` advances it from one wake-up to the next.

    Attributes:
        time: Current time.
    """

    def __init__(self) -> None:
        """Initialize the clock to START, without a wake-up."""
        self.time = START
        self._wakeup: tuple[datetime, Callable[[], None]] | None = None
        self._callbacks: list[Callable[[], None]] = []  # run before the next wake-up

    def now(self) -> datetime:
        """Return the current time."""
        return self.time

    def elapsed_us(self) -> int:
        """Return the time since START, in microseconds."""
        return (self.time - START) // MICROSECOND

    def wake_at(self, when: datetime, callback: Callable[[], None]) -> None:
        """Schedule `callback` at `when`; replaces the wake-up that was scheduled before."""
        self._wakeup = (when, callback)

    def soon(self, callback: Callable[[], None]) -> None:
        """Schedule `callback` to run before the next wake-up."""
        self._callbacks.append(callback)

    def run(self, done: Callable[[], bool]) -> None:
        """Advance from wake-up to wake-up until `done` returns True or no wake-up is scheduled."""
        while True:
            self._run_callbacks()
            if done() or self._wakeup is None:
                return
            when, callback = self._wakeup
            self._wakeup = None
            self.time = max(self.time, when)
            callback()

    def _run_callbacks(self) -> None:
        while self._callbacks:
            callbacks, self._callbacks = self._callbacks, []
            for callback in callbacks:
                callback()


class VirtualReplay:
    """One virtual replay: the senders, and the nodes on one timer queue.

    Attributes:
        clock: Simulated clock.
        timeline: Timers of all nodes and senders.
        campaign: State of the senders.
        nodes: Nodes, by number.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        campaign: Campaign,
        machines: Sequence[Machine],
        gauge_names: tuple[str, ...],
        call_us: int,
    ) -> None:
        """Initialize the replay and create its nodes; `run` starts them.

        Args:
            settings: Settings of each node.
            seed: Seed of the first node; each further node has the next integer.
            campaign: State of the senders.
            machines: Emulated machines, one per node.
            gauge_names: Names of the gauges, in the order in which a machine reports them.
            call_us: Duration of a call to the dependency, in microseconds.
        """
        self.clock = SimulatedClock()
        self.timeline = TimerQueue(self.clock)
        self.campaign = campaign
        self.nodes = [
            VirtualNode(self, settings, seed + number, machine, gauge_names, call_us)
            for number, machine in enumerate(machines)
        ]
        self._requests: Iterator[tuple[int, PlannedRequest]] = iter(())
        self._all_sent = False

    def run(self, rows: Iterator[PlannedRequest]) -> None:
        """Replay the requests until all have a response.

        Args:
            rows: Requests of the schedule, in order of time.
        """
        self._requests = enumerate(rows)
        for node in self.nodes:
            node.core.start()
        self._schedule_next_request()
        self.clock.run(lambda: self._all_sent and not self.campaign.open)

    def _schedule_next_request(self) -> None:
        row = next(self._requests, None)
        if row is None:
            self._all_sent = True
            return
        number, planned = row
        self.timeline.at(START + span(planned.at_us), lambda: self._send_first_attempt(number, planned))

    def _send_first_attempt(self, number: int, planned: PlannedRequest) -> None:
        self._send(self.campaign.start_work(number, planned))
        self._schedule_next_request()

    def _send(self, attempt: Attempt) -> None:
        self.campaign.record_sent(attempt, self.clock.elapsed_us())
        self.nodes[attempt.node].submit_attempt(attempt)

    def record_response(
        self, attempt: Attempt, status: ResponseStatus, retry_after_us: int, is_partial: bool
    ) -> None:
        """Pass a response to the senders, and schedule the retry if there is one.

        Args:
            attempt: Attempt that the response belongs to.
            status: Status of the response.
            retry_after_us: Retry-After of a rejection, in microseconds; 0 if there is none.
            is_partial: Whether a call was skipped.
        """
        retry = self.campaign.record_response(
            attempt.id, status, self.clock.elapsed_us(), retry_after_us, is_partial
        )
        if retry is not None:
            self.timeline.at(START + span(retry.at_us), lambda: self._send(retry))


class VirtualNode:
    """One node: a core, with this object as its frontend, kernel, dependency and source of gauges.

    Attributes:
        replay: Replay that the node is part of.
        machine: Emulated machine that runs the requests.
        clock: Simulated clock.
        timeline: Timers of the replay.
        core: Core of the node.
    """

    def __init__(
        self,
        replay: VirtualReplay,
        settings: Settings,
        seed: int,
        machine: Machine,
        gauge_names: tuple[str, ...],
        call_us: int,
    ) -> None:
        """Initialize the node and its core on the timers of the replay.

        Args:
            replay: Replay that the node is part of.
            settings: Settings of the node.
            seed: Seed of the random numbers of the core.
            machine: Emulated machine that runs the requests.
            gauge_names: Names of the gauges, in the order in which the machine reports them.
            call_us: Duration of a call to the dependency, in microseconds.
        """
        self.replay, self.machine = replay, machine
        self.clock, self.timeline = replay.clock, replay.timeline
        self._gauge_names, self._call_time = gauge_names, span(call_us)
        self.core = Core(settings, seed, self.timeline, Ports(self, self))
        self.core.add_frontend(self)
        self._attempts: dict[int, Attempt] = {}
        self._request_number = 0
        self._wakeup: Timer | None = None
        self._calls: dict[str, Timer] = {}

    def submit_attempt(self, attempt: Attempt) -> None:
        """Submit a request to the core."""
        planned, number = attempt.work.planned, attempt.work.number
        plan = WorkPlan(
            number, planned.work_us, call_count(self.replay.campaign.classes[planned.request_class], number)
        )
        self._request_number += 1
        inbound = InboundRequest(
            id=attempt.id,
            request_class=planned.request_class,
            body=plan.to_body(),
            arrived_at=self.clock.now(),
            memory_kb=REQUEST_MEMORY_KB,
            caller=number % CALLERS,
            is_retry=attempt.is_retry,
            cost_hint=span(round(planned.work_us / self.machine.sharing.speed)),
            tenant=planned.tenant,
        )
        self._attempts[self._request_number] = attempt
        try:
            self.core.submit(self, (0, self._request_number), self, inbound)
        except RequestRejectedError:
            del self._attempts[self._request_number]
            self.timeline.soon(lambda: self.replay.record_response(attempt, ResponseStatus.FAILED, 0, False))

    # Frontend interface of the core.

    def deliver(self, response_handle: ResponseHandle, response: Response) -> None:
        """Schedule the delivery of a response to its sender."""
        attempt = self._attempts.pop(response_handle[1])
        self.timeline.soon(lambda: self._handle_delivery(attempt, response))

    def _handle_delivery(self, attempt: Attempt, response: Response) -> None:
        is_partial = response.body.startswith(PARTIAL_PREFIX)
        self.replay.record_response(attempt, response.status, span_us(response.retry_after), is_partial)
        self._advance()
        if (notice := self.machine.response_delivered(attempt.id)) is not None:
            self._handle_notice(notice)
        self._plan_next_event()

    def limit_idle_time(self, after: timedelta) -> None:
        """Do nothing; a virtual replay has no connections."""

    def stop_accepting(self) -> None:
        """Do nothing; a virtual replay ends before its nodes shut down."""

    # Kernel interface of the core, implemented by the emulated machine.

    def _advance(self) -> None:
        for notice in self.machine.advance(self.clock.elapsed_us()):
            self._handle_notice(notice)

    def _handle_notice(self, notice: Notice) -> None:
        if notice.type is NoticeType.CALL:
            self.core.call_needed(notice.run_id, notice.body)
        else:
            elapsed = span(notice.elapsed_us)
            self.core.run_ended(notice.run_id, OUTCOMES[notice.type], elapsed, notice.body)

    def _plan_next_event(self) -> None:
        self.timeline.cancel(self._wakeup)
        at = self.machine.next_event_us()
        self._wakeup = None if at is None else self.timeline.at(START + span(at), self._on_wakeup)

    def _on_wakeup(self) -> None:
        self._wakeup = None
        self._advance()
        self._plan_next_event()

    def _schedule_command(self, request: Request, command: Callable[[], bool]) -> None:
        """Execute a command in a separate callback, as if it had arrived over the kernel connection."""

        def execute() -> None:
            self._advance()
            if not command():
                self.core.run_ended(request.id, Outcome.NOT_STARTED, span(0))
            self._plan_next_event()

        self.timeline.soon(execute)

    def start(self, request: Request) -> None:
        """Start a run."""
        inbound = request.inbound
        self._schedule_command(
            request, lambda: self.machine.start(inbound.id, inbound.request_class, inbound.body)
        )

    def preempt(self, request: Request) -> None:
        """Pause a run; the machine may end it instead."""

        def pause_run() -> bool:
            if (notice := self.machine.pause(request.id)) is not None:
                self._handle_notice(notice)
            return True

        self._schedule_command(request, pause_run)

    def resume(self, request: Request) -> None:
        """Resume a paused run."""
        self._schedule_command(request, lambda: self.machine.resume(request.id))

    def supply(self, request: Request, reply: bytes) -> None:  # noqa: ARG002  (emulated runs ignore the reply)
        """Pass the reply to its call to a run."""
        self._schedule_command(request, lambda: self.machine.end_call(request.id, skipped=False))

    def skip(self, request: Request) -> None:
        """Continue a run without the reply to its call."""
        self._schedule_command(request, lambda: self.machine.end_call(request.id, skipped=True))

    def abandon(self, request: Request) -> None:
        """Do nothing; the machine is notified of the response instead."""

    def request_gauges(self) -> None:
        """Report the machine's gauges to the core."""
        self._advance()
        values = dict(zip(self._gauge_names, self.machine.read_gauges(), strict=False))
        self.timeline.soon(lambda: self.core.gauges(values))

    # Dependency interface of the core.

    def call(self, request: Request, until: datetime) -> None:
        """Start a call that times out at `until`."""
        reply_at = self.clock.now() + self._call_time
        outcome = Outcome.OK if reply_at <= until else Outcome.TIMEOUT
        at = min(reply_at, until)
        self._calls[request.id] = self.timeline.at(at, lambda: self._end_call(request.id, outcome))

    def _end_call(self, request_id: str, outcome: Outcome) -> None:
        del self._calls[request_id]
        self.core.call_ended(request_id, outcome, b"rows" if outcome is Outcome.OK else b"")

    def abandon_call(self, request: Request) -> None:
        """Cancel a call."""
        self.timeline.cancel(self._calls.pop(request.id, None))
