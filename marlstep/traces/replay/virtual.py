"""A replay without sockets: the node's core, the machine and the senders on one clock moved by hand.

The clock jumps from one thing due to the next, in an order that is fixed, so two runs agree to the last digit.
What it leaves out is what the wires cost; the core and the module are the node's own.
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
from marlstep.traces.replay.campaign import Attempt, Campaign, calls_of
from marlstep.units import EPOCH, MICROSECOND, SECOND, span, span_us

START = EPOCH + 1_800_000_000 * SECOND
HELD_KB = 20.0
CALLERS = 4
ENDS = {NoticeType.COMPLETE: Outcome.OK, NoticeType.CANCELLED: Outcome.CANCELLED}


class Clock:
    """A waker whose time is moved by `run`."""

    def __init__(self) -> None:
        self.time = START
        self._alarm: tuple[datetime, Callable[[], None]] | None = None
        self._soon: list[Callable[[], None]] = []

    def now(self) -> datetime:
        return self.time

    def us(self) -> int:
        return (self.time - START) // MICROSECOND

    def wake_at(self, when: datetime, callback: Callable[[], None]) -> None:
        self._alarm = (when, callback)

    def soon(self, callback: Callable[[], None]) -> None:
        self._soon.append(callback)

    def run(self, done: Callable[[], bool]) -> None:
        """On from alarm to alarm until `done`, or until nothing is due any more."""
        while True:
            while self._soon:
                turns, self._soon = self._soon, []
                for turn in turns:
                    turn()
            if done() or self._alarm is None:
                return
            when, callback = self._alarm
            self._alarm = None
            self.time = max(self.time, when)
            callback()


class VirtualReplay:
    """The world of one replay: the senders, and the nodes on one timeline."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        campaign: Campaign,
        machines: Sequence[Machine],
        gauge_names: tuple[str, ...],
        call_us: int,
    ) -> None:
        self.clock = Clock()
        self.timeline = TimerQueue(self.clock)
        self.campaign = campaign
        self.nodes = [
            VirtualNode(self, settings, seed + number, machine, gauge_names, call_us)
            for number, machine in enumerate(machines)
        ]
        self._rows: Iterator[tuple[int, PlannedRequest]] = iter(())
        self._all_sent = False

    def run(self, rows: Iterator[PlannedRequest]) -> None:
        self._rows = enumerate(rows)
        for node in self.nodes:
            node.core.start()
        self._next_row()
        self.clock.run(lambda: self._all_sent and not self.campaign.open)

    def _next_row(self) -> None:
        found = next(self._rows, None)
        if found is None:
            self._all_sent = True
            return
        number, planned = found
        self.timeline.at(START + span(planned.at_us), lambda: self._first(number, planned))

    def _first(self, number: int, planned: PlannedRequest) -> None:
        self._send(self.campaign.begin(number, planned))
        self._next_row()

    def _send(self, attempt: Attempt) -> None:
        self.campaign.record_sent(attempt, self.clock.us())
        self.nodes[attempt.node].take(attempt)

    def answered(self, attempt: Attempt, verdict: ResponseStatus, after_us: int, poor: bool) -> None:
        following = self.campaign.record_response(attempt.id, verdict, self.clock.us(), after_us, poor)
        if following is not None:
            self.timeline.at(START + span(following.at_us), lambda: self._send(following))


class VirtualNode:
    """One node: its core, and the front, backend, store and gauges around it at once."""

    def __init__(
        self,
        world: VirtualReplay,
        settings: Settings,
        seed: int,
        machine: Machine,
        gauge_names: tuple[str, ...],
        call_us: int,
    ) -> None:
        self.world, self.machine = world, machine
        self.clock, self.timeline = world.clock, world.timeline
        self._gauge_names, self._call = gauge_names, span(call_us)
        self.core = Core(settings, seed, self.timeline, Ports(self, self))
        self.core.add_frontend(self)
        self._attempts: dict[int, Attempt] = {}
        self._number = 0
        self._alarm: Timer | None = None
        self._calls: dict[str, Timer] = {}

    def take(self, attempt: Attempt) -> None:
        """A request arrives."""
        planned, number = attempt.work.planned, attempt.work.number
        plan = WorkPlan(
            number, planned.work_us, calls_of(self.world.campaign.classes[planned.request_class], number)
        )
        self._number += 1
        offer = InboundRequest(
            id=attempt.id,
            request_class=planned.request_class,
            body=plan.to_body(),
            arrived_at=self.clock.now(),
            memory_kb=HELD_KB,
            caller=number % CALLERS,
            is_retry=attempt.is_retry,
            cost_hint=span(round(planned.work_us / self.machine.sharing.speed)),
            tenant=planned.tenant,
        )
        self._attempts[self._number] = attempt
        try:
            self.core.submit(self, (0, self._number), self, offer)
        except RequestRejectedError:
            del self._attempts[self._number]
            self.timeline.soon(lambda: self.world.answered(attempt, ResponseStatus.FAILED, 0, False))

    # As a front.

    def deliver(self, ticket: ResponseHandle, answer: Response) -> None:
        attempt = self._attempts.pop(ticket[1])
        poor = answer.body.startswith(b"poor")
        verdict, after = answer.status, span_us(answer.retry_after)
        self.timeline.soon(lambda: self._delivered(attempt, verdict, after, poor))

    def _delivered(self, attempt: Attempt, verdict: ResponseStatus, after_us: int, poor: bool) -> None:
        self.world.answered(attempt, verdict, after_us, poor)
        self._advance()
        if (notice := self.machine.response_delivered(attempt.id)) is not None:
            self._notice(notice)
        self._look()

    def limit_idle_time(self, after: timedelta) -> None:
        """There are no connections here."""

    def stop_accepting(self) -> None:
        """A replay ends before the node does."""

    # As the kernel.

    def _advance(self) -> None:
        for notice in self.machine.advance(self.clock.us()):
            self._notice(notice)

    def _notice(self, notice: Notice) -> None:
        if notice.type is NoticeType.CALL:
            self.core.call_needed(notice.run_id, notice.body)
        else:
            elapsed = span(notice.elapsed_us)
            self.core.run_ended(notice.run_id, ENDS[notice.type], elapsed, notice.body)

    def _look(self) -> None:
        self.timeline.cancel(self._alarm)
        at = self.machine.next_event_us()
        self._alarm = None if at is None else self.timeline.at(START + span(at), self._due)

    def _due(self) -> None:
        self._alarm = None
        self._advance()
        self._look()

    def _told(self, request: Request, command: Callable[[], bool]) -> None:
        """A command reaches the machine in a turn of its own, as it would over the link."""

        def carry_out() -> None:
            self._advance()
            if not command():
                self.core.run_ended(request.id, Outcome.NOT_STARTED, span(0))
            self._look()

        self.timeline.soon(carry_out)

    def start(self, request: Request) -> None:
        offer = request.inbound
        self._told(request, lambda: self.machine.start(offer.id, offer.request_class, offer.body))

    def preempt(self, request: Request) -> None:
        def halt() -> bool:
            if (notice := self.machine.pause(request.id)) is not None:
                self._notice(notice)
            return True

        self._told(request, halt)

    def resume(self, request: Request) -> None:
        self._told(request, lambda: self.machine.resume(request.id))

    def supply(self, request: Request, reply: bytes) -> None:
        self._told(request, lambda: self.machine.end_call(request.id, skipped=False))

    def skip(self, request: Request) -> None:
        self._told(request, lambda: self.machine.end_call(request.id, skipped=True))

    def abandon(self, request: Request) -> None:
        """The machine hears of it by the answer."""

    def request_gauges(self) -> None:
        self._advance()
        values = dict(zip(self._gauge_names, self.machine.read_gauges(), strict=False))
        self.timeline.soon(lambda: self.core.gauges(values))

    # As the database.

    def call(self, request: Request, until: datetime) -> None:
        reply_at = self.clock.now() + self._call
        outcome = Outcome.OK if reply_at <= until else Outcome.TIMEOUT
        at = min(reply_at, until)
        self._calls[request.id] = self.timeline.at(at, lambda: self._called(request.id, outcome))

    def _called(self, id: str, outcome: Outcome) -> None:
        del self._calls[id]
        self.core.call_ended(id, outcome, b"rows" if outcome is Outcome.OK else b"")

    def abandon_call(self, request: Request) -> None:
        self.timeline.cancel(self._calls.pop(request.id, None))
