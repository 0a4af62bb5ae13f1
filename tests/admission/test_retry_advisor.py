"""Tests of Retry-After and callers' credit."""

from __future__ import annotations

import pytest

from marlstep.admission.actions import Advertise
from marlstep.admission.retry_advisor import (
    active_callers,
    credit_per_caller,
    is_worth_advertising,
    retry_after_us,
)
from marlstep.admission.settings import LoadSignal
from tests.support.helpers import START, ControllerDriver


def test_credit_is_bounded_only_while_requests_queue() -> None:
    server = ControllerDriver(cores=1, load_signal=LoadSignal.CREDIT)
    for index in range(2):
        server.arrive(f"done{index}")
        server.end(f"done{index}", after_ms=400)
    server.tick()
    [free] = server.actions_of(Advertise)
    server.arrive("a")
    server.arrive("b")
    server.tick(after_ms=50)
    [bound] = server.actions_of(Advertise)
    assert 1 <= bound.value < free.value
    assert server.now > START


def test_callers_with_a_single_request_do_not_reduce_the_credit_of_the_others() -> None:
    # Guards against a credit that is far too low: in a long run it was shared with dozens of callers that had sent a
    # single request, and for ten seconds half of all requests were rejected while cores were idle.
    credits = []
    for others in (0, 40):
        server = ControllerDriver(cores=1, load_signal=LoadSignal.CREDIT, memory_kb=100_000.0)
        for index in range(30):
            server.arrive(f"done{index}", caller=index % 3)
            server.end(f"done{index}", after_ms=20)
        for index in range(others):
            server.arrive(f"once{index}", caller=100 + index)
            server.end(f"once{index}")
        server.arrive("a")
        server.arrive("b")
        server.tick(after_ms=50)
        credits.append(server.actions_of(Advertise)[0].value)
    assert credits[1] > 0.5 * credits[0]


@pytest.mark.parametrize(
    ("seen", "seen_again", "expected", "active"), [(0, 0, 3, 1), (2, 0, 3, 2), (40, 0, 3, 3), (40, 9, 3, 9)]
)
def test_callers_with_a_single_request_count_only_up_to_the_configured_number(
    seen: int, seen_again: int, expected: int, active: int
) -> None:
    assert active_callers(seen, seen_again, expected) == active


def test_retry_after_is_the_time_to_work_off_the_queue_between_a_tick_and_the_maximum() -> None:
    assert retry_after_us(10, 400.0, 2.0, tick_us=50, max_retry_after_us=9_000) == 2_000
    assert retry_after_us(0, 400.0, 2.0, tick_us=50, max_retry_after_us=9_000) == 50
    assert retry_after_us(900, 400.0, 2.0, tick_us=50, max_retry_after_us=9_000) == 9_000
    assert retry_after_us(10, 400.0, 2.0, tick_us=50, max_retry_after_us=0) == 0


def test_the_credit_is_what_can_run_and_queue_shared_among_the_callers() -> None:
    credit = credit_per_caller(
        concurrency_limit=4.0, queue_us=300.0, us_per_run=100.0, at_calls=2, lag_factor=0.5, callers=3
    )
    assert credit == (4.0 * 4 + 2) * 0.5 / 3


def test_each_caller_gets_a_credit_of_at_least_one() -> None:
    assert credit_per_caller(1.0, 0.0, 100.0, at_calls=0, lag_factor=0.1, callers=50) == 1.0


def test_a_credit_is_advertised_if_it_differs_by_more_than_a_tenth() -> None:
    assert not is_worth_advertising(11.0, advertised=10.0)
    assert is_worth_advertising(11.1, advertised=10.0)
    assert is_worth_advertising(0.1, advertised=0.0)
