"""The task runner with a lease table and a run log."""

from __future__ import annotations

import pytest

from marlstep.scheduled_tasks.actions import ActionKind, RunnerAction
from marlstep.scheduled_tasks.outcomes import Outcome
from marlstep.scheduled_tasks.runner import LEASE_MARGIN, RunnerState, TaskRunner
from marlstep.units import MILLISECOND, SECOND
from tests.scheduled_tasks.support import NOW, Group, task_plan


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_run_left_open_is_fenced_and_repeated_only_if_it_is_idempotent(
    idempotent: bool,
) -> None:
    group, first, second = Group(), TaskRunner(task_plan(idempotent)), TaskRunner(task_plan(idempotent))
    first.lease_gained(group.grant("a/1"))
    assert group.run(first, NOW, until=ActionKind.EXECUTE) == [ActionKind.INSPECT, ActionKind.BEGIN]
    run = group.run_log.runs["t"].number
    second.lease_gained(group.grant("b/1"))
    actions = group.run(second, NOW, until=ActionKind.EXECUTE)
    assert actions[:3] == [ActionKind.INSPECT, ActionKind.FENCE, ActionKind.RECORD_FENCE]
    assert group.run_log.runs["t"].number == run if idempotent else group.run_log.runs["t"].number > run
    # The first process ends its run late, and the log refuses the outcome.
    end_command = RunnerAction(ActionKind.END, 1, run, outcome=Outcome.DONE).command("t").to_json()
    assert "refused" in group.run_log.apply(end_command)


def test_a_run_with_a_known_outcome_needs_no_fence() -> None:
    group, first, second = (
        Group(),
        TaskRunner(task_plan(idempotent=False)),
        TaskRunner(task_plan(idempotent=False)),
    )
    first.lease_gained(group.grant("a/1"))
    group.run(first, NOW, until=None)
    assert group.run_log.runs["t"].outcome is Outcome.DONE
    second.lease_gained(group.grant("b/1"))
    assert group.run(second, NOW + SECOND, until=ActionKind.EXECUTE) == [ActionKind.INSPECT, ActionKind.BEGIN]


def test_a_run_that_may_be_in_flight_needs_a_fence_even_after_later_runs_succeeded() -> None:
    group, first, second = (
        Group(),
        TaskRunner(task_plan(idempotent=False)),
        TaskRunner(task_plan(idempotent=False)),
    )
    first.lease_gained(group.grant("a/1"))
    group.run(first, NOW, until=None, outcome=Outcome.UNKNOWN)
    group.run(first, NOW + 5 * SECOND, until=None, outcome=Outcome.DONE)
    assert group.run_log.runs["t"].outcome is Outcome.DONE and group.run_log.runs["t"].may_be_in_flight
    second.lease_gained(group.grant("b/1"))
    assert group.run(second, NOW + 9 * SECOND, until=ActionKind.RECORD_FENCE) == [
        ActionKind.INSPECT,
        ActionKind.FENCE,
    ]


def test_a_run_is_executed_only_if_its_whole_timeout_remains_of_the_lease() -> None:
    group, runner = Group(), TaskRunner(task_plan(idempotent=False))
    runner.lease_gained(group.grant("a/1"))
    group.run(runner, NOW, until=ActionKind.EXECUTE)
    runner._action_in_flight = False
    assert runner.state is RunnerState.EXECUTING
    assert runner.next_action(NOW, NOW, runner.plan.timeout + LEASE_MARGIN - MILLISECOND) is None
    action = runner.next_action(NOW, NOW, runner.plan.timeout + LEASE_MARGIN)
    assert action is not None and action.kind is ActionKind.EXECUTE


def test_a_begin_whose_response_was_lost_is_found_in_the_log_and_executed_once() -> None:
    group, runner = Group(), TaskRunner(task_plan(idempotent=False))
    runner.lease_gained(group.grant("a/1"))
    group.run(runner, NOW, until=ActionKind.BEGIN)
    runner._action_in_flight = False
    action = runner.next_action(NOW, NOW, 2 * SECOND)
    assert action is not None and action.kind is ActionKind.BEGIN
    group.run_log.apply(action.command("t").to_json())
    runner.handle_result(NOW, action, None)
    assert group.run(runner, NOW + SECOND, until=None)[:3] == [
        ActionKind.INSPECT,
        ActionKind.EXECUTE,
        ActionKind.END,
    ]
    assert runner.counts["acts"] == 1 or group.run_log.runs["t"].attempts == 1


def test_a_run_refused_before_it_ran_is_begun_again() -> None:
    group, runner = Group(), TaskRunner(task_plan(idempotent=False))
    runner.lease_gained(group.grant("a/1"))
    actions = group.run(runner, NOW, until=None, outcome=Outcome.NOT_RUN)
    assert actions.count(ActionKind.EXECUTE) >= 2 and not group.run_log.runs["t"].may_be_in_flight
