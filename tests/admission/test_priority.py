"""Tests of the priority weight that a response can still earn, and of the dispatch order."""

from __future__ import annotations

from typing import Any

import pytest

from marlstep.admission.entry import State
from marlstep.admission.priority import (
    MIN_REMAINING_RUN_FRACTION,
    attainable_weight,
    can_be_on_time,
    dispatch_order,
    earliest_response_at,
)
from tests.admission.entries import queued_entry
from tests.support.helpers import KEYED, MS, START, request_class

LATE = request_class("late", priority_weight=3.0, late_response_factor=0.5)
OBJECTIVE = START + 2_000 * MS
DEADLINE = START + 4_000 * MS


def test_the_earliest_response_of_a_new_run_is_a_fraction_of_the_mean_run_time_away() -> None:
    assert earliest_response_at(START, 300.0) == START + MIN_REMAINING_RUN_FRACTION * 300.0
    assert earliest_response_at(START, 0.0) == START


@pytest.mark.parametrize(
    ("response_at", "weight"),
    [(OBJECTIVE, 3.0), (OBJECTIVE + 1, 1.5), (DEADLINE, 1.5), (DEADLINE + 1, 0.0)],
)
def test_a_response_earns_full_weight_until_the_objective_and_the_late_share_until_the_deadline(
    response_at: int, weight: float
) -> None:
    assert attainable_weight(queued_entry(LATE), response_at) == weight


def test_a_response_that_is_not_owed_earns_nothing() -> None:
    assert attainable_weight(queued_entry(LATE, response_owed=False), START) == 0.0


def test_a_keyed_run_earns_its_weight_after_its_caller_has_disconnected() -> None:
    assert attainable_weight(queued_entry(KEYED, response_owed=False), START) == KEYED.priority_weight


def test_a_keyed_run_earns_its_weight_until_its_objective_if_the_caller_deadline_is_earlier() -> None:
    impatient: dict[str, Any] = {"deadline_at": START + 500 * MS}
    assert attainable_weight(queued_entry(KEYED, **impatient), OBJECTIVE) == KEYED.priority_weight
    assert attainable_weight(queued_entry(KEYED, **impatient), OBJECTIVE + 1) == 0.0
    assert attainable_weight(queued_entry(LATE, **impatient), START + 500 * MS + 1) == 0.0


@pytest.mark.parametrize(
    ("changes", "response_at", "is_on_time"),
    [
        ({}, OBJECTIVE, True),
        ({}, OBJECTIVE + 1, False),
        ({"deadline_at": START + 500 * MS}, START + 500 * MS + 1, False),
        ({"response_owed": False}, START, False),
        ({"priority_weight": 0.0}, START, True),
    ],
)
def test_a_request_can_be_on_time_within_objective_and_deadline_if_a_caller_waits(
    changes: dict[str, Any], response_at: int, is_on_time: bool
) -> None:
    assert can_be_on_time(queued_entry(**changes), response_at) is is_on_time


def test_requests_are_ordered_by_priority_then_paused_runs_then_objective_then_age() -> None:
    high = queued_entry(priority=3.0, arrival_number=5)
    paused = queued_entry(state=State.PAUSED, arrival_number=4)
    sooner = queued_entry(objective_at=OBJECTIVE - 1, arrival_number=3)
    older = queued_entry(arrival_number=1)
    younger = queued_entry(arrival_number=2)
    assert sorted([younger, older, sooner, paused, high], key=dispatch_order) == [
        high,
        paused,
        sooner,
        older,
        younger,
    ]
