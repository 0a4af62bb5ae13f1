"""Tests of the measured duration of downstream calls."""

from __future__ import annotations

from marlstep.admission.call_latency import INITIAL_CALL_FRACTION, SLOW_CALL_FACTOR, CallLatency


def test_the_usual_time_starts_as_a_fraction_of_the_shortest_objective() -> None:
    latency = CallLatency(2_000)
    assert latency.usual_us == INITIAL_CALL_FRACTION * 2_000
    assert latency.slow_us == int(SLOW_CALL_FACTOR * latency.usual_us)


def test_the_usual_time_does_not_follow_slow_calls() -> None:
    latency = CallLatency(2_000)
    latency.adopt(usual_us=100.0, mean_us=1_000.0)
    latency.record(1_000)
    assert latency.usual_us == 100.0 and latency.mean_us > latency.slow_us


def test_measurements_of_another_process_do_not_replace_those_made_here() -> None:
    latency = CallLatency(2_000)
    latency.record(500)
    mean_us = latency.mean_us
    latency.adopt(usual_us=0.0, mean_us=9_000.0)
    assert latency.mean_us == mean_us and latency.usual_us > 0
