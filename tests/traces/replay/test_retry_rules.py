"""Tests of whether and when a sender retries."""

from __future__ import annotations

import pytest

from marlstep.core.interfaces import ResponseStatus
from marlstep.traces.replay.retry_rules import (
    HASTY_WAIT_US,
    MAX_POLITE_ATTEMPTS,
    MIN_POLITE_WAIT_US,
    is_in_time,
    may_retry,
    next_attempt_us,
)
from marlstep.traces.retries import Retries
from tests.traces.replay.support import CLASSES

IDEMPOTENT, NOT_IDEMPOTENT = CLASSES["temp-history"], CLASSES["setpoint-cmd"]


@pytest.mark.parametrize("status", list(ResponseStatus))
def test_only_an_idempotent_request_is_retried_after_it_may_have_run(status: ResponseStatus) -> None:
    assert may_retry(status, IDEMPOTENT) == (status is not ResponseStatus.DONE)
    assert may_retry(status, NOT_IDEMPOTENT) == (status is ResponseStatus.REJECTED)


def test_a_sender_without_retries_sends_one_attempt() -> None:
    assert next_attempt_us(Retries.NONE, 1, 1_000, 0, "key") is None


@pytest.mark.parametrize("retry_after_us", [0, MIN_POLITE_WAIT_US, 5 * MIN_POLITE_WAIT_US])
def test_a_polite_sender_waits_for_the_retry_after_and_up_to_half_as_long_again(retry_after_us: int) -> None:
    wait_us = max(MIN_POLITE_WAIT_US, retry_after_us)
    for number in range(50):
        at_us = next_attempt_us(Retries.POLITE, 1, 1_000, retry_after_us, f"key{number}")
        assert at_us is not None and 1_000 + wait_us <= at_us <= 1_000 + wait_us * 1.5


def test_a_polite_sender_gives_up_after_its_last_attempt() -> None:
    assert next_attempt_us(Retries.POLITE, MAX_POLITE_ATTEMPTS - 1, 0, 0, "key") is not None
    assert next_attempt_us(Retries.POLITE, MAX_POLITE_ATTEMPTS, 0, 0, "key") is None


def test_a_hasty_sender_retries_at_once_and_ignores_the_retry_after() -> None:
    assert next_attempt_us(Retries.HASTY, 100, 1_000, 10**9, "key") == 1_000 + HASTY_WAIT_US


def test_an_attempt_at_the_end_of_the_latency_objective_is_too_late() -> None:
    assert is_in_time(1_999, 1_000, 1_000)
    assert not is_in_time(2_000, 1_000, 1_000)
