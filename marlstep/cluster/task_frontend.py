"""The frontend of scheduled tasks: a task's run is a request to the core, like the requests of clients.

It is subject to admission control and is sent to the same pools of servers. The task's lease is checked again when the
request is about to be sent, because it may have expired while admission control delayed the request.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.admission.events import Outcome as RunOutcome
from marlstep.cluster.interfaces import Step, StepObserver
from marlstep.config.cluster import TaskConfig
from marlstep.core.engine import Core
from marlstep.core.errors import RequestRejectedError
from marlstep.core.interfaces import (
    Backend,
    InboundRequest,
    Request,
    Response,
    ResponseHandle,
    ResponseStatus,
)
from marlstep.frontends.uwsgi_wire import write_packet
from marlstep.scheduled_tasks.actions import ActionKind, RunnerAction
from marlstep.scheduled_tasks.outcomes import Outcome
from marlstep.scheduled_tasks.runner import LEASE_MARGIN
from marlstep.timer_queue import Timer, TimerQueue
from marlstep.units import ZERO

log = logging.getLogger(__name__)

FENCED_STATUSES = (409, 412)  # HTTP statuses of a server that has seen a later fencing token
SUCCESS_STATUSES = range(200, 300)  # HTTP statuses
NO_STATUS = 0
REQUEST_MEMORY_KB = 8.0

OutcomeCallback = Callable[[Outcome], None]


@dataclass(slots=True)
class TaskRequest:
    """One request of a task, from its submission to its outcome."""

    task: TaskConfig
    action: RunnerAction
    on_outcome: OutcomeCallback
    lease_time_left: Callable[[], timedelta]  # of the lease with the token of the action
    handle: int = 0  # the core's handle, for cancellation
    started: bool = False  # whether it was sent to a server
    deadline: Timer | None = None


class LeaseGuard:
    """The backend of tasks' requests: the pool's backend, with a check of the lease before each start."""

    def __init__(self, backend: Backend, may_start: Callable[[Request], bool]) -> None:
        """Create the guard; `may_start` is called in the same turn in which the request would be sent."""
        self._backend, self._may_start = backend, may_start

    def start(self, request: Request) -> None:
        """Start a request if its lease lasts long enough; otherwise `may_start` ends it without a run."""
        if self._may_start(request):
            self._backend.start(request)

    def preempt(self, request: Request) -> None:
        """Pass on to the pool's backend."""
        self._backend.preempt(request)

    def resume(self, request: Request) -> None:
        """Pass on to the pool's backend."""
        self._backend.resume(request)

    def supply(self, request: Request, reply: bytes) -> None:
        """Pass on to the pool's backend."""
        self._backend.supply(request, reply)

    def skip(self, request: Request) -> None:
        """Pass on to the pool's backend."""
        self._backend.skip(request)

    def abandon(self, request: Request) -> None:
        """Pass on to the pool's backend."""
        self._backend.abandon(request)


class TaskFrontend:
    """Submits the requests of this node's tasks to the core, and reports their outcomes."""

    def __init__(
        self,
        core: Core,
        timeline: TimerQueue,
        backend: Backend,
        steady: TimerQueue,
        pool_of: Callable[[str], str],
        holder: str,
        class_variable: str,
        observer: StepObserver,
    ) -> None:
        """Initialize the frontend with no requests.

        Args:
            core: Runs the requests.
            timeline: The core's timers, on the wall clock.
            backend: The backend of the pools of servers.
            steady: Timers on the monotonic clock that leases are measured with.
            pool_of: Returns the pool of a request class.
            holder: The name with which this process holds leases.
            class_variable: The uwsgi variable that holds the request class.
            observer: Notified of each step.

        """
        self._core, self._timeline, self._steady = core, timeline, steady
        self._backend = LeaseGuard(backend, self.may_start)
        self.pool_of = pool_of
        self._holder, self._class_variable = holder, class_variable
        self._requests: dict[int, TaskRequest] = {}
        self._number = 0
        self._observer = observer

    def execute(
        self,
        task: TaskConfig,
        action: RunnerAction,
        lease_time_left: Callable[[], timedelta],
        on_outcome: OutcomeCallback,
    ) -> None:
        """Submit the request of an action; `on_outcome` is called once, when the request has ended."""
        self._number += 1
        number, plan = self._number, task.plan
        inbound_request = InboundRequest(
            id=f"task-{number}",
            request_class=plan.request_class,
            body=write_packet(self._variables(task, action)),
            arrived_at=self._timeline.now(),
            memory_kb=REQUEST_MEMORY_KB,
            pool=self.pool_of(plan.request_class),
            idempotency_key=f"{plan.name}/{action.kind}/{action.run}/{action.token}/{number}",
        )
        task_request = self._requests[number] = TaskRequest(task, action, on_outcome, lease_time_left)
        task_request.deadline = self._steady.at(
            self._steady.now() + max(lease_time_left(), ZERO), lambda: self._on_deadline(number)
        )
        try:
            task_request.handle = self._core.submit(self, (0, number), self._backend, inbound_request)
        except RequestRejectedError as fault:
            log.warning("task request rejected: task=%s reason=%s", plan.name, fault)
            self._finish(number, Outcome.NOT_RUN)

    def _variables(self, task: TaskConfig, action: RunnerAction) -> dict[str, str]:
        """Return the variables of the uwsgi packet. Those of the operator can override the first four only."""
        plan = task.plan
        return {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": f"/task/{plan.name}",
            "SERVER_PROTOCOL": "HTTP/1.1",
            "CONTENT_LENGTH": "0",
            **task.variables,
            self._class_variable: plan.request_class,
            "HTTP_X_TASK": plan.name,
            "HTTP_X_TASK_TOKEN": str(action.token),
            "HTTP_X_TASK_RUN": str(action.run),
            "HTTP_X_TASK_HOLDER": self._holder,
            "HTTP_X_TASK_FENCE": "1" if action.kind is ActionKind.FENCE else "0",
        }

    def may_start(self, request: Request) -> bool:
        """Check the lease of a request that is about to be sent, and mark the request as started if it suffices."""
        task_request = self._requests.get(request.response_handle[1])
        if (
            task_request is None
            or task_request.lease_time_left() < task_request.task.plan.timeout + LEASE_MARGIN
        ):
            if task_request is not None:
                log.warning("task request not started: lease too short task=%s", task_request.task.plan.name)
            # Reported in a later turn, because the core is still starting the request in this one.
            self._timeline.soon(lambda: self._core.run_ended(request.id, RunOutcome.REJECTED, ZERO))
            return False
        task_request.started = True
        self._steady.cancel(task_request.deadline)
        number = request.response_handle[1]
        self._observer.reached(Step.REQUEST_STARTING)
        until: datetime = self._steady.now() + task_request.task.plan.timeout
        task_request.deadline = self._steady.at(until, lambda: self._on_deadline(number))
        return True

    def _on_deadline(self, number: int) -> None:
        task_request = self._requests.get(number)
        if task_request is None:
            return
        handle, started = task_request.handle, task_request.started
        self._finish(number, Outcome.UNKNOWN if started else Outcome.NOT_RUN)
        self._core.client_disconnected(handle)

    def _finish(self, number: int, outcome: Outcome) -> None:
        """Report the outcome of a request. Each request ends here exactly once."""
        task_request = self._requests.pop(number, None)
        if task_request is not None:
            self._steady.cancel(task_request.deadline)
            task_request.on_outcome(outcome)

    # The interface of `Frontend`, called by the core.

    def deliver(self, response_handle: ResponseHandle, response: Response) -> None:
        """Handle the final response to a request, unless the request has already reached its deadline."""
        task_request = self._requests.get(response_handle[1])
        if task_request is not None:
            self._finish(response_handle[1], outcome_of(response, task_request.started))

    def limit_idle_time(self, after: timedelta) -> None:
        """Do nothing, since this frontend has no connections."""

    def stop_accepting(self) -> None:
        """Do nothing, since draining runners start no new runs."""


def outcome_of(response: Response, started: bool) -> Outcome:
    """Return the outcome that a final response proves.

    Only the server's response, or the fact that the request was never sent, makes the outcome certain.
    """
    match response.status:
        case ResponseStatus.DONE:
            status = status_of(response.body)
            if status in FENCED_STATUSES:
                return Outcome.FENCED_OFF
            return Outcome.DONE if status in SUCCESS_STATUSES else Outcome.FAILED
        case ResponseStatus.REJECTED:
            return Outcome.NOT_RUN
    return Outcome.UNKNOWN if started else Outcome.NOT_RUN


def status_of(response: bytes) -> int:
    """Return the HTTP status of a response, or NO_STATUS if it has none."""
    words = response[:32].split(b" ", 2)
    return int(words[1]) if len(words) > 1 and words[1].isdigit() else NO_STATUS
