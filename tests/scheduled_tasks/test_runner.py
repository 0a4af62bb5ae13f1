"""The runner of one task against its lease and its run log."""

from __future__ import annotations

import pytest

from marlstep.scheduled_tasks.run_log import Outcome
from marlstep.scheduled_tasks.runner import LEASE_MARGIN, RunnerAction, RunnerState, TaskRunner
from marlstep.units import MILLISECOND, SECOND
from tests.scheduled_tasks.support import NOW, Log, plan


@pytest.mark.parametrize("safe", [True, False])
def test_a_run_that_was_begun_and_not_ended_is_fenced_and_then_repeated_only_where_that_is_safe(
    safe: bool,
) -> None:
    log, first, second = Log(), TaskRunner(plan(safe)), TaskRunner(plan(safe))
    first.lease_gained(log.grant("a/1"))
    assert log.run(first, NOW, until="act") == ["look", "begin"]
    run = log.record.runs["t"].number
    second.lease_gained(log.grant("b/1"))
    steps = log.run(second, NOW, until="act")
    assert steps[:3] == ["look", "fence", "fenced"]
    assert log.record.runs["t"].number == run if safe else log.record.runs["t"].number > run
    # The first goes on, late: the log turns its outcome down.
    ended = RunnerAction("end", 1, run, outcome=Outcome.DONE).command("t")
    assert "refused" in log.record.apply(ended)


def test_a_run_whose_end_is_known_needs_no_fence() -> None:
    log, first, second = Log(), TaskRunner(plan(False)), TaskRunner(plan(False))
    first.lease_gained(log.grant("a/1"))
    log.run(first, NOW, until="nothing")
    assert log.record.runs["t"].outcome is Outcome.DONE
    second.lease_gained(log.grant("b/1"))
    assert log.run(second, NOW + SECOND, until="act") == ["look", "begin"]


def test_doubt_stays_through_later_runs_that_went_well() -> None:
    log, first, second = Log(), TaskRunner(plan(False)), TaskRunner(plan(False))
    first.lease_gained(log.grant("a/1"))
    log.run(first, NOW, until="nothing", outcome=Outcome.UNKNOWN)
    log.run(first, NOW + 5 * SECOND, until="nothing", outcome=Outcome.DONE)
    assert log.record.runs["t"].outcome is Outcome.DONE and log.record.runs["t"].may_be_in_flight
    second.lease_gained(log.grant("b/1"))
    assert log.run(second, NOW + 9 * SECOND, until="fenced") == ["look", "fence"]


def test_no_act_begins_without_its_longest_time_left_of_the_lease() -> None:
    log, one = Log(), TaskRunner(plan(False))
    one.lease_gained(log.grant("a/1"))
    log.run(one, NOW, until="act")
    one._action_in_flight = False
    assert one.state is RunnerState.EXECUTING
    assert one.next_action(NOW, NOW, one.plan.timeout + LEASE_MARGIN - MILLISECOND) is None
    do = one.next_action(NOW, NOW, one.plan.timeout + LEASE_MARGIN)
    assert do is not None and do.what == "act"


def test_a_begin_whose_answer_was_lost_is_found_in_the_log_and_acted_on_once() -> None:
    log, one = Log(), TaskRunner(plan(False))
    one.lease_gained(log.grant("a/1"))
    log.run(one, NOW, until="begin")
    one._action_in_flight = False
    do = one.next_action(NOW, NOW, 2 * SECOND)
    assert do is not None and do.what == "begin"
    log.record.apply(do.command("t"))
    one.handle_result(NOW, do, None)
    assert log.run(one, NOW + SECOND, until="nothing")[:3] == ["look", "act", "end"]
    assert one.counts["acts"] == 1 or log.record.runs["t"].attempts == 1


def test_what_was_refused_before_it_ran_is_tried_again() -> None:
    log, one = Log(), TaskRunner(plan(False))
    one.lease_gained(log.grant("a/1"))
    steps = log.run(one, NOW, until="nothing", outcome=Outcome.NOT_RUN)
    assert steps.count("act") >= 2 and not log.record.runs["t"].may_be_in_flight
