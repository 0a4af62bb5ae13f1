"""Runs scheduled tasks whose leases this process holds, by commands of the log and requests to servers."""

from __future__ import annotations

import logging
from datetime import datetime, timedelta
from functools import partial

from marlstep.cluster.context import NodeContext
from marlstep.cluster.interfaces import Step, TurnRequester
from marlstep.cluster.task_frontend import TaskFrontend
from marlstep.config.cluster import TaskConfig
from marlstep.scheduled_tasks.actions import ActionKind, RunnerAction
from marlstep.scheduled_tasks.outcomes import Outcome
from marlstep.scheduled_tasks.run_log import TASK_LEASE_PREFIX
from marlstep.scheduled_tasks.runner import TaskRunner
from marlstep.units import ZERO

log = logging.getLogger(__name__)


class TaskDriver:
    """Carries out the actions of the runners of all tasks."""

    def __init__(self, context: NodeContext, turns: TurnRequester, frontend: TaskFrontend | None) -> None:
        """Create a runner for each task; `frontend` is None on a node without tasks."""
        self._context, self._turns, self._frontend = context, turns, frontend
        self._tasks = {task.plan.name: task for task in context.config.tasks}
        self.runners = {name: TaskRunner(task.plan) for name, task in self._tasks.items()}
        self._proposals: dict[int, tuple[str, RunnerAction]] = {}  # by command number

    def lease_names(self) -> list[str]:
        """Return the names of all tasks' leases."""
        return [TASK_LEASE_PREFIX + name for name in self.runners]

    def busy_leases(self) -> list[str]:
        """Return the leases of tasks with an open run."""
        return [
            TASK_LEASE_PREFIX + name for name, runner in self.runners.items() if runner.busy and runner.token
        ]

    def drain(self) -> None:
        """Stop starting new runs."""
        for runner in self.runners.values():
            runner.draining = True

    def tick(self, now: datetime) -> None:
        """Handle command results and lease changes, and start the next action of each task."""
        self._collect_results(now)
        for name, runner in self.runners.items():
            self._follow_lease(name, runner)
            if not self._context.capabilities.starts_tasks and not runner.busy:
                continue
            lease_time_left = self._context.client.holder.time_left(TASK_LEASE_PREFIX + name, now)
            action = runner.next_action(now, self._context.wall(), lease_time_left)
            if action is not None:
                self._start(self._tasks[name], runner, action, now)

    def next_due(self, now: datetime) -> datetime | None:
        """Return when a task next needs a turn, or None if none does."""
        wall = self._context.wall()
        due = [runner.next_due(now, wall) for runner in self.runners.values()]
        return min((when for when in due if when is not None), default=None)

    def _collect_results(self, now: datetime) -> None:
        for number in list(self._proposals):
            result = self._context.client.take_result(number)
            if result is None:
                continue
            name, action = self._proposals.pop(number)
            if action.kind is ActionKind.BEGIN and "begun" in result:
                self._context.observer.reached(Step.RUN_BEGUN)
            self.runners[name].handle_result(now, action, result)

    def _follow_lease(self, name: str, runner: TaskRunner) -> None:
        token = self._context.client.holder.token(TASK_LEASE_PREFIX + name)
        if token == runner.token:
            return
        if token:
            runner.lease_gained(token)
            self._context.observer.reached(Step.LEASE_GAINED)
        else:
            runner.lease_lost()
            self._abandon_proposals(name)

    def _abandon_proposals(self, task: str) -> None:
        for number, (name, _) in list(self._proposals.items()):
            if name == task:
                del self._proposals[number]
                self._context.client.abandon(number)

    def _start(self, task: TaskConfig, runner: TaskRunner, action: RunnerAction, now: datetime) -> None:
        if action.is_request:
            self._request(task, runner, action, now)
        else:
            self._propose(task.plan.name, runner, action, now)

    def _propose(self, name: str, runner: TaskRunner, action: RunnerAction, now: datetime) -> None:
        if action.kind is ActionKind.END:
            self._context.observer.reached(Step.RUN_ENDING)
        number = self._context.client.propose(now, action.command(name))
        if number is None:
            runner.handle_result(now, action, None)
        else:
            self._proposals[number] = (name, action)
        self._turns.schedule()

    def _request(self, task: TaskConfig, runner: TaskRunner, action: RunnerAction, now: datetime) -> None:
        assert self._frontend is not None
        # The partition state may have changed while the run was being started.
        if not self._context.capabilities.starts_tasks:
            runner.handle_result(now, action, Outcome.NOT_RUN)
            self._turns.schedule()
            return
        self._context.observer.reached(Step.ACTION_STARTING)
        self._frontend.execute(
            task,
            action,
            partial(self._time_left, task.plan.name, action.token),
            partial(self._request_ended, runner, action),
        )

    def _time_left(self, name: str, token: int) -> timedelta:
        """Return for how long the task may still act under the lease with this token.

        Called again when the request is about to be sent, because admission control may have delayed it.
        """
        lease, holder = TASK_LEASE_PREFIX + name, self._context.client.holder
        if holder.token(lease) != token or not self._context.capabilities.starts_tasks:
            return ZERO
        return holder.time_left(lease, self._context.steady.now())

    def _request_ended(self, runner: TaskRunner, action: RunnerAction, outcome: Outcome) -> None:
        log.info(
            "fleet: task request ended task=%s run=%d token=%d action=%s outcome=%r",
            runner.plan.name,
            action.run,
            action.token,
            action.kind,
            outcome.value,
        )
        runner.handle_result(self._context.steady.now(), action, outcome)
        self._turns.schedule()
