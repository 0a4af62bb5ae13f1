"""Tests of the latency estimators: the peak EWMA and the windowed minimum."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marlstep.load_balancing.latency_estimators import PeakEwma, WindowedMinimum
from marlstep.units import MILLISECOND, SECOND
from tests.frontends.test_parsers import FIXED
from tests.support.pools import START


def test_the_peak_average_rises_at_once_and_falls_slowly() -> None:
    average = PeakEwma(decay_time=10 * SECOND)
    average.observe(START, 10 * MILLISECOND)
    average.observe(START, 90 * MILLISECOND)
    assert average.value == 90 * MILLISECOND
    average.observe(START + 10 * SECOND, 10 * MILLISECOND)
    assert average.value is not None and 39 * MILLISECOND < average.value < 40 * MILLISECOND
    assert average.retained_share(START + 20 * SECOND) == pytest.approx(0.368, abs=0.001)
    assert average.retained_share(START) == 1.0  # before the last observation: counts as no time elapsed


def test_nothing_is_retained_before_the_first_observation() -> None:
    average, minimum = PeakEwma(), WindowedMinimum()
    assert average.retained_share(START) == 0.0 and average.value is None and minimum.value is None


@FIXED
@given(st.lists(st.tuples(st.integers(0, 5_000), st.integers(1, 500)), min_size=1, max_size=40))
def test_an_estimate_lies_between_the_lowest_and_the_highest_observation(
    samples: list[tuple[int, int]],
) -> None:
    average, minimum, now, observed = PeakEwma(), WindowedMinimum(), START, []
    for wait_ms, sample_ms in samples:
        now += wait_ms * MILLISECOND
        observed.append(sample_ms * MILLISECOND)
        average.observe(now, observed[-1])
        minimum.observe(now, observed[-1])
        assert average.value is not None and min(observed) <= average.value <= max(observed)
        assert average.value >= observed[-1]
        assert minimum.value is not None and min(observed) <= minimum.value <= observed[-1]


def test_the_windowed_minimum_drops_samples_after_two_windows() -> None:
    minimum = WindowedMinimum(window=30 * SECOND)
    minimum.observe(START, 5 * MILLISECOND)
    for second in range(1, 70):
        minimum.observe(START + second * SECOND, 50 * MILLISECOND)
    assert minimum.value == 50 * MILLISECOND
