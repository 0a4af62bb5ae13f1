"""Tests of the statistics of time on the cores."""

from __future__ import annotations

from marlstep.admission.run_statistics import DECAY_PER_SECOND, EWMA_WEIGHT, RunStatistics
from tests.admission.entries import queued_entry
from tests.support.helpers import HIGH, LOW


def measured_statistics() -> RunStatistics:
    statistics = RunStatistics()
    statistics.configure((LOW, HIGH))
    return statistics


def test_the_first_complete_run_sets_the_mean_and_later_ones_adjust_it() -> None:
    statistics = measured_statistics()
    statistics.record(queued_entry(run_us=100), is_complete=True)
    assert statistics.mean_run_us == {"low": 100.0, "high": 0.0}
    statistics.record(queued_entry(run_us=200), is_complete=True)
    assert statistics.mean_run_us["low"] == 100.0 + EWMA_WEIGHT * 100.0


def test_an_incomplete_run_counts_only_if_it_was_longer_than_the_mean() -> None:
    statistics = measured_statistics()
    statistics.record(queued_entry(run_us=100), is_complete=True)
    statistics.record(queued_entry(run_us=50), is_complete=False)
    assert statistics.mean_run_us["low"] == 100.0
    statistics.record(queued_entry(run_us=200), is_complete=False)
    assert statistics.mean_run_us["low"] > 100.0


def test_the_base_latency_is_that_of_the_quickest_run_that_was_never_paused() -> None:
    statistics = measured_statistics()
    statistics.record(queued_entry(run_us=300), is_complete=True)
    statistics.record(queued_entry(run_us=100, was_paused=True), is_complete=True)
    statistics.record(queued_entry(run_us=200), is_complete=True)
    assert statistics.least_run_us == 200
    assert statistics.recent_runs_us == [300, 200]


def test_the_share_of_higher_weights_is_that_of_the_recent_time_on_the_cores() -> None:
    statistics = measured_statistics()
    statistics.spent_us = {LOW.priority_weight: 300.0, HIGH.priority_weight: 100.0}
    assert statistics.share_above(LOW.priority_weight) == 0.25
    assert statistics.share_above(HIGH.priority_weight) == 0.0


def test_the_time_per_run_is_known_once_a_run_has_ended_and_decays() -> None:
    statistics = measured_statistics()
    statistics.spent_us[LOW.priority_weight] = 400.0
    assert statistics.us_per_run() == 0.0
    statistics.runs_ended = 2.0
    assert statistics.us_per_run() == 200.0
    statistics.end_second()
    assert statistics.runs_ended == 2.0 * DECAY_PER_SECOND
    assert statistics.us_per_run() == 200.0


def test_measurements_of_another_process_fill_only_what_is_unknown_here() -> None:
    statistics = measured_statistics()
    statistics.record(queued_entry(run_us=100), is_complete=True)
    statistics.adopt({"low": 900.0, "high": 50.0}, least_run_us=10.0)
    assert statistics.mean_run_us == {"low": 100.0, "high": 50.0}
    assert statistics.least_run_us == 100
