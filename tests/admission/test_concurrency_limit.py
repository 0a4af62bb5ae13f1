"""Tests of the limit on concurrent runs."""

from __future__ import annotations

import pytest

from marlstep.admission.concurrency_limit import (
    CPU_BUSY_THRESHOLD,
    LIMIT_INCREASE_PER_SECOND,
    MAX_READ_LAG_FRACTION,
    adapted_limit,
    is_cpu_busy,
    read_lag_factor,
)
from tests.support.helpers import MS, ControllerDriver


def test_the_limit_grows_by_two_per_second_while_the_cores_are_not_busy() -> None:
    server = ControllerDriver(cores=2)
    for index in range(10):
        server.arrive(f"r{index}")
    assert sum(action == "Run" for action, _ in server.actions) == 2
    server.tick(after_ms=1000, cpu=0.5)
    assert sum(action == "Run" for action, _ in server.actions) == 4


def test_the_limit_falls_back_to_the_cores_when_latency_grows() -> None:
    server = ControllerDriver(cores=2)
    server.arrive("quick")
    server.end("quick", after_ms=10)
    for index in range(12):
        server.arrive(f"r{index}")
    server.tick(after_ms=1000, cpu=0.5)
    for index in range(2):
        server.end(f"r{index}", after_ms=1)
    server.tick(after_ms=1000, cpu=1.0)  # runs took a second, the base latency is 10 ms
    assert server.controller.concurrency.limit < 3


def test_read_lag_reduces_the_number_of_concurrent_runs() -> None:
    server = ControllerDriver(cores=8, memory_kb=10_000.0)
    for index in range(20):
        server.arrive(f"r{index}", unread_us=1_500 * MS)
    assert len([1 for action, _ in server.actions if action == "Run"]) < 8


@pytest.mark.parametrize(("cpu_load", "is_busy"), [(0.84, False), (CPU_BUSY_THRESHOLD, True), (1.0, True)])
def test_the_cores_are_busy_from_the_threshold_on(cpu_load: float, is_busy: bool) -> None:
    assert is_cpu_busy(cpu_load) is is_busy


def test_the_limit_grows_only_if_reached_while_the_cores_are_not_busy() -> None:
    assert adapted_limit(4.0, False, False, 100, [900]) == 4.0
    assert adapted_limit(4.0, False, True, 100, [900]) == 4.0 + LIMIT_INCREASE_PER_SECOND


def test_on_busy_cores_the_limit_follows_the_gradient_of_latency() -> None:
    assert adapted_limit(8.0, True, True, 100, [200, 200]) == 8.0 / 2 + LIMIT_INCREASE_PER_SECOND
    assert adapted_limit(8.0, True, False, 100, []) == 8.0


def test_read_lag_above_the_allowance_reduces_the_limit_in_proportion() -> None:
    allowed_us = MAX_READ_LAG_FRACTION * 2_000
    assert read_lag_factor(allowed_us, shortest_objective_us=2_000) == 1.0
    assert read_lag_factor(2 * allowed_us, shortest_objective_us=2_000) == 0.5
    assert read_lag_factor(0.0, shortest_objective_us=2_000) == 1.0
