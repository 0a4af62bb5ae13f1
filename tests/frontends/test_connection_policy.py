"""When connections are evicted for new ones, and when idle ones time out."""

from __future__ import annotations

from datetime import timedelta

import pytest

from marlstep.frontends.connection_policy import (
    MIN_SWEEP_INTERVAL,
    MIN_UNPROVEN_AGE,
    evicts_idle_connection,
    evicts_unproven_connection,
    has_free_slot,
    is_idle_too_long,
    next_idle_sweep_at,
)
from marlstep.units import MILLISECOND, SECOND, ZERO
from tests.support.node import START


@pytest.mark.parametrize(("open_count", "expected"), [(29, False), (30, True), (40, True)])
def test_an_idle_connection_is_evicted_once_three_quarters_of_the_table_are_used(
    open_count: int, expected: bool
) -> None:
    assert evicts_idle_connection(open_count, 40) is expected


@pytest.mark.parametrize(
    ("open_count", "unproven_count", "age", "expected"),
    [
        (20, 9, SECOND, False),  # unproven connections do not fill their share of the table
        (20, 10, SECOND, True),
        (20, 10, MIN_UNPROVEN_AGE, True),
        (20, 10, MIN_UNPROVEN_AGE - MILLISECOND, False),  # it may still send its first message
        (39, 10, ZERO, True),  # evicted at any age if the new connection would take the last slot
    ],
)
def test_an_unproven_connection_is_evicted_once_unproven_ones_fill_a_quarter_of_the_table(
    open_count: int, unproven_count: int, age: timedelta, expected: bool
) -> None:
    assert evicts_unproven_connection(open_count, unproven_count, age, 40) is expected


def test_a_connection_is_accepted_up_to_the_capacity() -> None:
    assert has_free_slot(39, 40) and not has_free_slot(40, 40)


def test_an_idle_connection_closes_when_the_whole_idle_timeout_has_passed() -> None:
    assert not is_idle_too_long(START, SECOND, START + SECOND - MILLISECOND)
    assert is_idle_too_long(START, SECOND, START + SECOND)


def test_the_idle_sweep_is_due_when_the_first_connection_times_out_but_not_too_often() -> None:
    assert next_idle_sweep_at(START, SECOND, START) == START + SECOND
    assert next_idle_sweep_at(START, SECOND, START + SECOND) == START + SECOND + MIN_SWEEP_INTERVAL
