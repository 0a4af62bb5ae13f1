"""Tests of the retry policy: whether a request is sent to another server."""

from __future__ import annotations

import pytest

from marlstep.load_balancing.retry_policy import (
    MIN_CONNECT_TIMEOUT,
    MIN_REMAINING_TIME,
    AttemptOutcome,
    RetryPolicy,
)
from marlstep.units import MICROSECOND, MILLISECOND, SECOND
from tests.support.pools import START

DEADLINE = START + SECOND
NEVER_RAN = (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.REJECTED)


def policy(is_idempotent: bool = False, max_attempts: int = 3) -> RetryPolicy:
    """Return the policy of a request that had one attempt, at the server with handle 1."""
    return RetryPolicy(is_idempotent, max_attempts, DEADLINE).attempt_started(1)


@pytest.mark.parametrize("is_idempotent", [False, True])
@pytest.mark.parametrize("outcome", NEVER_RAN)
def test_an_attempt_that_never_ran_is_followed_by_another(
    outcome: AttemptOutcome, is_idempotent: bool
) -> None:
    retried = policy(is_idempotent).next_attempt(outcome, START)
    assert retried is not None and retried.attempted_servers == {1} and not retried.may_have_run


def test_a_lost_connection_is_retried_once_and_only_where_the_request_is_idempotent() -> None:
    assert policy().next_attempt(AttemptOutcome.CONNECTION_LOST, START) is None
    retried = policy(is_idempotent=True).next_attempt(AttemptOutcome.CONNECTION_LOST, START)
    assert retried is not None and retried.may_have_run
    second = retried.attempt_started(2)
    assert second.may_have_run and second.next_attempt(AttemptOutcome.CONNECTION_LOST, START) is None
    assert second.next_attempt(AttemptOutcome.CONNECT_FAILED, START) is not None  # it never ran


@pytest.mark.parametrize("outcome", [AttemptOutcome.SUCCEEDED, AttemptOutcome.CANCELLED])
def test_a_response_or_a_cancellation_ends_the_request(outcome: AttemptOutcome) -> None:
    assert policy(is_idempotent=True).next_attempt(outcome, START) is None


def test_there_are_no_more_attempts_than_allowed() -> None:
    last = policy(max_attempts=2).attempt_started(2)
    assert last.next_attempt(AttemptOutcome.CONNECT_FAILED, START) is None


def test_nothing_is_retried_with_too_little_time_to_the_deadline() -> None:
    latest = DEADLINE - MIN_REMAINING_TIME
    assert policy().next_attempt(AttemptOutcome.CONNECT_FAILED, latest) is not None
    assert policy().next_attempt(AttemptOutcome.CONNECT_FAILED, latest + MICROSECOND) is None


def test_a_policy_is_not_changed_by_an_attempt() -> None:
    first = RetryPolicy(True, 3, DEADLINE)
    first.attempt_started(1).next_attempt(AttemptOutcome.CONNECTION_LOST, START)
    assert first == RetryPolicy(True, 3, DEADLINE)


def test_a_connection_may_open_until_the_deadline_at_most() -> None:
    assert policy().connect_timeout(START, 200 * MILLISECOND) == 200 * MILLISECOND
    assert policy().connect_timeout(DEADLINE - 50 * MILLISECOND, SECOND) == 50 * MILLISECOND
    assert policy().connect_timeout(DEADLINE + SECOND, SECOND) == MIN_CONNECT_TIMEOUT
