"""Tests of one server: its available capacity and its expected completion time."""

from __future__ import annotations

import pytest

from marlstep.load_balancing.concurrency_limit import AdaptiveConcurrencyLimit, ConcurrencyLimitSettings
from marlstep.load_balancing.latency_estimators import PeakEwma
from marlstep.load_balancing.outlier_detection import (
    OutlierDetectionSettings,
    ServerHealth,
    ServerHealthState,
)
from marlstep.load_balancing.server import MIN_EXPECTED_LATENCY, SUSPECT_LATENCY_FACTOR, Server
from marlstep.units import MILLISECOND, SECOND
from tests.support.pools import START

LATER = START + 20 * SECOND  # slow start is over


def make_server(limit: float = 10.0) -> Server:
    """Return a server without responses."""
    return Server(
        "s0",
        ServerHealth(OutlierDetectionSettings(), START),
        PeakEwma(),
        AdaptiveConcurrencyLimit(ConcurrencyLimitSettings(), limit),
    )


def test_capacity_is_the_limit_rounded_down_less_what_is_in_flight() -> None:
    server = make_server(10.9)
    server.in_flight = 4
    assert server.available_capacity(LATER) == 6


def test_capacity_in_slow_start_is_at_least_one() -> None:
    assert make_server(2.0).available_capacity(START) == 1


@pytest.mark.parametrize("state", [ServerHealthState.EJECTED, ServerHealthState.PROBING])
def test_a_server_out_of_service_has_no_capacity(state: ServerHealthState) -> None:
    server = make_server()
    server.health.state = state
    assert not server.in_service and server.available_capacity(LATER) == 0


def test_a_server_that_is_leaving_has_no_capacity() -> None:
    server = make_server()
    server.leaving = True
    assert not server.in_service and server.available_capacity(LATER) == 0


def test_expected_completion_time_grows_with_attempts_in_flight_and_for_a_suspect_server() -> None:
    server = make_server()
    server.latency.observe(START, 20 * MILLISECOND)
    assert server.expected_completion_time(LATER) == 20 * MILLISECOND
    server.in_flight = 2
    assert server.expected_completion_time(LATER) == 60 * MILLISECOND
    server.health.state = ServerHealthState.SUSPECT
    assert server.expected_completion_time(LATER) == 60 * MILLISECOND * SUSPECT_LATENCY_FACTOR


def test_a_server_without_responses_is_rated_at_the_minimum_latency_over_its_slow_start_weight() -> None:
    server = make_server()
    assert server.expected_completion_time(LATER) == MIN_EXPECTED_LATENCY
    assert make_server().expected_completion_time(START) == MIN_EXPECTED_LATENCY / 0.1
