"""Tests of outlier detection: when a server is ejected, and how it returns to service."""

from __future__ import annotations

import pytest

from marlstep.load_balancing.concurrency_limit import ConcurrencyLimitSettings
from marlstep.load_balancing.outlier_detection import (
    STATE_AFTER_FAILURE,
    STATE_AFTER_SUCCESS,
    OutlierDetectionSettings,
    ServerHealth,
    ServerHealthState,
    ejection_allowed,
    ejection_time,
    should_eject,
    slow_start_weight,
)
from marlstep.load_balancing.server_table import PoolSettings
from marlstep.units import MILLISECOND, SECOND, ZERO
from tests.support.pools import (
    START,
    choose_and_complete,
    complete_attempt,
    fail_attempts,
    make_table,
    server_named,
)

SETTINGS = OutlierDetectionSettings()


@pytest.mark.parametrize(
    ("consecutive_failures", "attempts", "failure_share", "expected"),
    [
        (5, 5.0, 1.0, True),  # too many failures in a row
        (4, 4.0, 1.0, False),  # a large share of failures, but too few attempts
        (1, 10.0, 0.5, True),  # a large share of failures, and enough attempts
        (4, 100.0, 0.49, False),  # just below both thresholds
    ],
)
def test_a_server_is_ejected_after_failures_in_a_row_or_by_its_share_of_failures(
    consecutive_failures: int, attempts: float, failure_share: float, expected: bool
) -> None:
    assert should_eject(SETTINGS, consecutive_failures, attempts, failure_share) is expected


def test_ejections_are_allowed_up_to_the_share_of_the_pool() -> None:
    assert ejection_allowed(2, 10, 0.34) and not ejection_allowed(3, 10, 0.34)
    assert not ejection_allowed(0, 2, 0.34)  # one of two servers is more than the permitted share


def test_an_ejection_lasts_twice_as_long_after_each_earlier_one_up_to_the_maximum() -> None:
    times = [ejection_time(SETTINGS, earlier) / SECOND for earlier in (0, 1, 4, 5, 1_000_000)]
    assert times == [2, 4, 32, 60, 60]


def test_the_weight_in_slow_start_rises_linearly_from_its_minimum() -> None:
    elapsed = (-SECOND, ZERO, 5 * SECOND, 10 * SECOND, 99 * SECOND)
    weights = [slow_start_weight(SETTINGS, time_in_slow_start) for time_in_slow_start in elapsed]
    assert weights == [pytest.approx(weight) for weight in (0.1, 0.1, 0.55, 1.0, 1.0)]


def test_the_transition_tables_cover_every_state() -> None:
    assert set(STATE_AFTER_SUCCESS) == set(STATE_AFTER_FAILURE) == set(ServerHealthState)


def test_the_ejection_count_is_reset_after_a_minute_in_the_healthy_state() -> None:
    health = ServerHealth(SETTINGS, START, ejections=3)
    health.record_success(START)
    health.record_success(START + 59 * SECOND)
    assert health.ejections == 3
    health.record_success(START + 60 * SECOND)
    assert health.ejections == 0


def test_a_late_result_does_not_change_an_ejected_server() -> None:
    health = ServerHealth(SETTINGS, START)
    health.eject(START)
    health.record_success(START)
    assert health.state is ServerHealthState.EJECTED
    assert not any(health.record_failure(START) for _ in range(20))
    assert health.state is ServerHealthState.EJECTED


def test_failures_eject_and_the_ejection_time_doubles_until_a_probe_succeeds() -> None:
    table = make_table(4)
    now, ejection_times = START, []
    fail_attempts(table, "s0", now)
    server = server_named(table, "s0")
    for _ in range(7):
        assert server.health.state is ServerHealthState.EJECTED and server.health.ejected_until is not None
        ejection_times.append((server.health.ejected_until - now) / SECOND)
        assert "s0" not in choose_and_complete(table, server.health.ejected_until - MILLISECOND, 40)
        now = server.health.ejected_until
        assert table.choose(now) is server
        table.attempt_started(server.handle)
        assert table.choose(now) is not server  # only one probe at a time
        table.attempt_failed(server.handle, now, 10 * MILLISECOND)
    assert ejection_times == [2, 4, 8, 16, 32, 60, 60]
    assert server.health.ejected_until is not None
    now = server.health.ejected_until
    assert (
        choose_and_complete(table, now, 1) == {"s0": 1} and server.health.state is ServerHealthState.HEALTHY
    )


def test_a_server_of_a_pool_of_two_is_kept_in_service_as_suspect() -> None:
    table = make_table(2, settings=PoolSettings(ConcurrencyLimitSettings(min_limit=50, initial_limit=50)))
    for second in (0, 10):
        choose_and_complete(table, START + second * SECOND, 1)
    fail_attempts(table, "s0", START + 100 * SECOND)
    health = server_named(table, "s0").health
    assert (
        health.state is ServerHealthState.SUSPECT and health.consecutive_failures == 0 and not table.ejected()
    )


def test_a_server_that_recovered_is_in_slow_start() -> None:
    table = make_table(3, settings=PoolSettings(ConcurrencyLimitSettings(min_limit=50, initial_limit=50)))
    server = server_named(table, "s0")
    now = START + 100 * SECOND
    fail_attempts(table, "s0", now)
    now += 2 * SECOND
    assert table.choose(now) is server
    complete_attempt(table, server, now)
    capacities = [server.available_capacity(now + second * SECOND) for second in (0, 5, 10)]
    assert capacities == [5, 27, 50]


def test_no_more_than_the_maximum_share_of_servers_is_ejected() -> None:
    table = make_table(10)
    for index in range(10):
        fail_attempts(table, f"s{index}", START, count=20)
    ejected = [server for server in table if server.health.state is ServerHealthState.EJECTED]
    suspect = [server for server in table if server.health.state is ServerHealthState.SUSPECT]
    assert len(ejected) == 3 and len(suspect) == 7
    assert not any(server.health.consecutive_failures for server in suspect)
    assert choose_and_complete(table, START, 50).total() == 50
