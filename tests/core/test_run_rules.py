"""The rules for which runs may be started, whatever the controller requests."""

from __future__ import annotations

import pytest

from marlstep.core.interfaces import Stage
from marlstep.core.run_rules import RunDecision, decide_run


def decide(stage: Stage, **facts: bool) -> RunDecision:
    defaults = {"may_have_run": False, "is_settled": False, "has_effect": True, "arrived_too_late": False}
    return decide_run(stage, **{**defaults, **facts})


def test_a_queued_request_is_started_and_a_paused_one_resumed() -> None:
    assert decide(Stage.QUEUED) is RunDecision.START
    assert decide(Stage.PAUSED, may_have_run=True) is RunDecision.RESUME


@pytest.mark.parametrize("stage", [Stage.QUEUED, Stage.PAUSED])
@pytest.mark.parametrize("fact", ["is_settled", "arrived_too_late"])
def test_nothing_runs_after_the_response_or_for_an_arrival_after_the_grace(stage: Stage, fact: str) -> None:
    assert decide(stage, **{fact: True}) is RunDecision.FORBIDDEN


def test_work_with_an_effect_that_may_have_run_is_not_started_again_and_idempotent_work_is() -> None:
    assert decide(Stage.QUEUED, may_have_run=True) is RunDecision.FORBIDDEN
    assert decide(Stage.QUEUED, may_have_run=True, has_effect=False) is RunDecision.START


@pytest.mark.parametrize("stage", [Stage.RUNNING, Stage.CALLING, Stage.ATTACHED, Stage.FINISHED])
def test_a_request_that_is_neither_queued_nor_paused_is_left_alone(stage: Stage) -> None:
    assert decide(stage) is RunDecision.NOTHING_TO_DO
