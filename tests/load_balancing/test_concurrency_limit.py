"""Tests of the adaptive concurrency limit: adjustment, backoff, and convergence to a server's capacity."""

from __future__ import annotations

from datetime import datetime

import pytest

from marlstep.load_balancing.concurrency_limit import (
    AdaptiveConcurrencyLimit,
    ConcurrencyLimitSettings,
    limit_after_failure,
    limit_after_interval,
)
from marlstep.units import MILLISECOND, SECOND
from tests.support.pools import START

SETTINGS = ConcurrencyLimitSettings()


def test_a_limit_in_use_rises_toward_its_square_root_as_headroom_at_baseline_latency() -> None:
    raised_limit = limit_after_interval(SETTINGS, 16.0, 20 * MILLISECOND, 20 * MILLISECOND, max_in_flight=8)
    assert raised_limit == pytest.approx(16 + 0.3 * 4)


def test_a_limit_that_was_not_in_use_does_not_rise() -> None:
    assert limit_after_interval(SETTINGS, 16.0, 20 * MILLISECOND, 20 * MILLISECOND, max_in_flight=7) == 16.0


def test_a_limit_falls_by_the_gradient_even_where_it_was_not_in_use() -> None:
    # The mean latency is twice the tolerated latency, so the gradient is 0.5.
    lowered_limit = limit_after_interval(SETTINGS, 100.0, 20 * MILLISECOND, 60 * MILLISECOND, max_in_flight=1)
    assert lowered_limit == pytest.approx(100 + 0.3 * (50 + 10 - 100))


def test_one_interval_lowers_the_target_to_no_less_than_the_minimum_gradient() -> None:
    slow = limit_after_interval(SETTINGS, 100.0, 20 * MILLISECOND, 60 * MILLISECOND, max_in_flight=1)
    slower = limit_after_interval(SETTINGS, 100.0, 20 * MILLISECOND, 60 * SECOND, max_in_flight=1)
    assert slower == slow


def test_limits_stay_within_their_bounds() -> None:
    limit_at_maximum = limit_after_interval(
        SETTINGS, 256.0, 20 * MILLISECOND, 20 * MILLISECOND, max_in_flight=256
    )
    assert limit_at_maximum == SETTINGS.max_limit
    assert limit_after_failure(SETTINGS, 2.1) == SETTINGS.min_limit
    assert limit_after_failure(SETTINGS, 10.0) == pytest.approx(8.0)


def simulate_load(limit: AdaptiveConcurrencyLimit, capacity: int, seconds: int, start: datetime) -> datetime:
    """Simulate a server that runs `capacity` requests at once in 20 ms each, and queues further requests."""
    now = start
    for _ in range(seconds * 20):
        now += 50 * MILLISECOND
        in_flight = int(limit.value)
        latency = 20 * MILLISECOND * max(1.0, in_flight / capacity)
        for _ in range(min(in_flight, 8)):
            limit.record_response(now, latency, in_flight)
    return now


def test_the_limit_converges_to_the_capacity_of_the_server_and_follows_its_changes() -> None:
    limit = AdaptiveConcurrencyLimit(ConcurrencyLimitSettings())
    now = simulate_load(limit, 40, 30, START)
    assert 40 <= limit.value <= 90
    simulate_load(limit, 10, 30, now)  # the server loses three quarters of its capacity
    assert 8 <= limit.value <= 30


def test_an_unused_limit_does_not_rise_and_failures_of_one_interval_back_off_once() -> None:
    limit = AdaptiveConcurrencyLimit(ConcurrencyLimitSettings(initial_limit=16))
    now = START
    for _ in range(200):
        now += 50 * MILLISECOND
        limit.record_response(now, 20 * MILLISECOND, 1)
    assert limit.value == 16
    for _ in range(10):
        limit.record_failure(now)
    assert limit.value == pytest.approx(16 * 0.8)
    for step in range(100):
        limit.record_failure(now + step * SECOND)
    assert limit.value == ConcurrencyLimitSettings().min_limit
