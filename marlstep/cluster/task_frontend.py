"""Acts of tasks as requests: through the core, its module and rules, to the pool's servers, like any other.

The lease is looked at once more at the moment when the request leaves: in the module's hold it may have run out.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.admission.events import Outcome as RunOutcome
from marlstep.config.fleet import TaskConfig
from marlstep.core.engine import Core, Refused
from marlstep.core.model import Answer, Backend, Offer, Request, Ticket, Verdict
from marlstep.fronts.uwsgi_wire import write_packet
from marlstep.scheduled_tasks.run_log import Outcome
from marlstep.scheduled_tasks.runner import LEASE_MARGIN, RunnerAction
from marlstep.timer_queue import Deadline, TimerQueue
from marlstep.units import ZERO

log = logging.getLogger(__name__)

FENCED_STATUSES = (409, 412)  # by which a server says that it has seen a later token
REQUEST_MEMORY_KB = 8.0

OutcomeCallback = Callable[[Outcome], None]


@dataclass(slots=True)
class TaskRequest:
    task: TaskConfig
    do: RunnerAction
    told: OutcomeCallback
    left: Callable[[], timedelta]  # of the lease, for this grant
    handle: int = 0
    started: bool = False
    bound: Deadline | None = None


class LeaseGuard:
    """The backend of tasks' requests: the pool's, behind a last look at the lease."""

    def __init__(self, backend: Backend, front: TaskFrontend) -> None:
        self._backend, self._front = backend, front

    def start(self, request: Request) -> None:
        if self._front.may_start(request):
            self._backend.start(request)

    def pause(self, request: Request) -> None:
        self._backend.pause(request)

    def resume(self, request: Request) -> None:
        self._backend.resume(request)

    def supply(self, request: Request, reply: bytes) -> None:
        self._backend.supply(request, reply)

    def skip(self, request: Request) -> None:
        self._backend.skip(request)

    def abandon(self, request: Request) -> None:
        self._backend.abandon(request)


class TaskFrontend:
    """Where the acts of this node's tasks come from, and their answers go."""

    def __init__(
        self,
        core: Core,
        timeline: TimerQueue,
        backend: Backend,
        steady: TimerQueue,
        pool_of: Callable[[str], str],
        holder: str,
        class_variable: str,
    ) -> None:
        """`timeline` is the core's, `steady` the one by which leases are counted."""
        self._core, self._timeline, self._steady = core, timeline, steady
        self._backend = LeaseGuard(backend, self)
        self.pool_of = pool_of
        self._holder, self._class_variable = holder, class_variable
        self._requests: dict[int, TaskRequest] = {}
        self._number = 0
        self.on_step: Callable[[str], None] = lambda step: None  # the rig's hook; nothing in the product

    def execute(
        self, task: TaskConfig, do: RunnerAction, left: Callable[[], timedelta], told: OutcomeCallback
    ) -> None:
        """`told` is called once, with what the act came to."""
        self._number += 1
        number, plan = self._number, task.plan
        variables = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": f"/task/{plan.name}",
            "SERVER_PROTOCOL": "HTTP/1.1",
            "CONTENT_LENGTH": "0",
            **task.variables,
            self._class_variable: plan.request_class,
            "HTTP_X_TASK": plan.name,
            "HTTP_X_TASK_TOKEN": str(do.token),
            "HTTP_X_TASK_RUN": str(do.run),
            "HTTP_X_TASK_HOLDER": self._holder,
            "HTTP_X_TASK_FENCE": "1" if do.what == "fence" else "0",
        }
        offer = Offer(
            id=f"task-{number}",
            kind=plan.request_class,
            body=write_packet(variables),
            arrived=self._timeline.now(),
            kb=REQUEST_MEMORY_KB,
            pool=self.pool_of(plan.request_class),
            once=f"{plan.name}/{do.what}/{do.run}/{do.token}/{number}",
        )
        acting = self._requests[number] = TaskRequest(task, do, told, left)
        acting.bound = self._steady.at(
            self._steady.now() + max(left(), ZERO), lambda: self._out_of_time(number)
        )
        try:
            acting.handle = self._core.submit(self, (0, number), self._backend, offer)
        except Refused as fault:
            log.warning("task %s: not taken: %s", plan.name, fault)
            self._over(number, Outcome.NOT_RUN)

    def may_start(self, request: Request) -> bool:
        """The last look, in the turn in which the request leaves."""
        acting = self._requests.get(request.ticket[1])
        if acting is None or acting.left() < acting.task.plan.timeout + LEASE_MARGIN:
            if acting is not None:
                log.warning("task %s: its lease was too short when its turn came", acting.task.plan.name)
            # Told in a turn of its own: the core is in the midst of starting it.
            self._timeline.soon(lambda: self._core.run_ended(request.id, RunOutcome.FULL, ZERO))
            return False
        acting.started = True
        self._steady.cancel(acting.bound)
        number = request.ticket[1]
        self.on_step("leaving")
        until: datetime = self._steady.now() + acting.task.plan.timeout
        acting.bound = self._steady.at(until, lambda: self._out_of_time(number))
        return True

    def _out_of_time(self, number: int) -> None:
        acting = self._requests.get(number)
        if acting is None:
            return
        handle, started = acting.handle, acting.started
        self._over(number, Outcome.UNKNOWN if started else Outcome.NOT_RUN)
        self._core.client_gone(handle)

    def _over(self, number: int, outcome: Outcome) -> None:
        """The one place where an act is given back."""
        acting = self._requests.pop(number, None)
        if acting is not None:
            self._steady.cancel(acting.bound)
            acting.told(outcome)

    # What the core tells a front.

    def deliver(self, ticket: Ticket, answer: Answer) -> None:
        acting = self._requests.get(ticket[1])
        if acting is not None:
            self._over(ticket[1], outcome_of(answer, acting.started))

    def limit_idle(self, after: timedelta) -> None:
        """There are no connections here."""

    def stop_accepting(self) -> None:
        """The runners are told to leave, and begin nothing more."""


def outcome_of(answer: Answer, started: bool) -> Outcome:
    """What an answer says of an act: only the server's own word, or its not having left, is proof."""
    match answer.verdict:
        case Verdict.DONE:
            status = status_of(answer.body)
            if status in FENCED_STATUSES:
                return Outcome.FENCED_OFF
            return Outcome.DONE if 200 <= status < 300 else Outcome.FAILED
        case Verdict.REFUSED:
            return Outcome.NOT_RUN
    return Outcome.UNKNOWN if started else Outcome.NOT_RUN


def status_of(response: bytes) -> int:
    """0 where there is none."""
    words = response[:32].split(b" ", 2)
    return int(words[1]) if len(words) > 1 and words[1].isdigit() else 0
