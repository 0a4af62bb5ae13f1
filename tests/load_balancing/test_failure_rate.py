"""Tests of the decaying share of failed attempts."""

from __future__ import annotations

import pytest

from marlstep.load_balancing.failure_rate import FailureRate
from marlstep.units import SECOND
from tests.support.pools import START


def test_attempts_and_failures_halve_with_each_half_life() -> None:
    rate = FailureRate(half_life=5 * SECOND)
    rate.add(START, failed=True)
    rate.add(START, failed=True)
    rate.add(START + 5 * SECOND, failed=False)
    assert (rate.attempts, rate.failures) == (2.0, 1.0)
    assert rate.failure_share == pytest.approx(0.5)


def test_the_share_is_zero_without_attempts_and_after_a_reset() -> None:
    rate = FailureRate()
    assert rate.failure_share == 0.0
    rate.add(START, failed=True)
    rate.reset()
    assert rate.failure_share == 0.0 and rate.attempts == 0.0
