"""Tests of the expected queueing time of an arrival, and of its limit."""

from __future__ import annotations

import pytest

from marlstep.admission.queue_wait import (
    UNMARKED_RETRY_WAIT_FRACTION,
    expected_wait_us,
    latest_acceptable_response_at,
)


def test_the_wait_is_the_work_ahead_divided_by_the_concurrency_limit() -> None:
    assert expected_wait_us(6, 100.0, 2.0, higher_weight_share=0.0, cores=4) == 300.0


def test_the_share_of_higher_weights_lengthens_the_wait() -> None:
    assert expected_wait_us(6, 100.0, 2.0, higher_weight_share=0.5, cores=4) == 600.0


def test_at_least_one_core_is_assumed_to_remain_beside_higher_weights() -> None:
    assert expected_wait_us(6, 100.0, 2.0, higher_weight_share=1.0, cores=4) == 1200.0


@pytest.mark.parametrize(
    ("deadline_at", "marks_retries", "expected"),
    [
        (9_000, True, 1_000 + 2_000),
        (9_000, False, 1_000 + UNMARKED_RETRY_WAIT_FRACTION * 2_000),
        (1_500, True, 1_500),
        (1_500, False, 1_500),
    ],
)
def test_an_arrival_may_wait_until_objective_or_deadline_and_less_if_retries_are_not_marked(
    deadline_at: int, marks_retries: bool, expected: float
) -> None:
    assert latest_acceptable_response_at(1_000, 2_000, deadline_at, marks_retries) == expected
