"""Tests of deadlines and of how long before them final responses are given."""

from __future__ import annotations

from marlstep.admission.deadlines import (
    DRAIN_LEAD_TICKS,
    TICKS_PER_OBJECTIVE,
    drain_response_deadline,
    last_runnable_arrival,
    request_deadline,
    response_lead_us,
    tick_us,
)


def test_the_tick_is_the_timer_precision_plus_a_fraction_of_the_shortest_objective() -> None:
    assert tick_us(5_000, shortest_objective_us=2_000_000) == 5_000 + 2_000_000 // TICKS_PER_OBJECTIVE


def test_the_response_lead_is_a_tick_plus_the_timer_precision() -> None:
    assert response_lead_us(55_000, timer_precision_us=5_000) == 60_000


def test_a_draining_server_gives_all_responses_some_ticks_before_its_process_stops() -> None:
    assert drain_response_deadline(9_000_000, tick_us=55_000) == 9_000_000 - DRAIN_LEAD_TICKS * 55_000


def test_the_grace_period_of_a_drain_starts_at_its_announcement() -> None:
    assert last_runnable_arrival(1_000, drain_grace_us=500) == 1_500


def test_a_request_is_due_when_its_caller_stops_waiting() -> None:
    assert request_deadline(3_000, arrived_at=1_000, deadline_us=4_000, now=2_000) == 3_000


def test_without_a_caller_deadline_the_class_deadline_counts_from_the_arrival() -> None:
    assert request_deadline(None, arrived_at=1_000, deadline_us=4_000, now=2_000) == 5_000


def test_a_request_read_after_its_deadline_is_due_at_once() -> None:
    assert request_deadline(None, arrived_at=1_000, deadline_us=4_000, now=9_000) == 9_000
