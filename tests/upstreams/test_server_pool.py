"""Tests of a pool of servers: choice, capacity, addresses, log lines and the keys of its counters."""

from __future__ import annotations

import logging
import random

import pytest

from marlstep.load_balancing.pool_config import PoolConfig
from marlstep.load_balancing.retry_policy import AttemptOutcome
from marlstep.load_balancing.server_table import PoolSettings
from marlstep.units import MILLISECOND
from marlstep.upstreams.server_pool import STATISTICS_KEYS, PoolStatistics, ServerPool
from tests.support.pools import START

SERVERS = (("127.0.0.1", 1), ("127.0.0.1", 2))


def make_pool(has_limits: bool = True) -> ServerPool:
    """Return a pool of two servers."""
    config = PoolConfig("p", SERVERS, has_limits=has_limits)
    return ServerPool(config, PoolSettings(), random.Random(1), START)


def test_counters_have_their_keys_of_the_administration_api_in_order() -> None:
    statistics = PoolStatistics(1, 2, 3, 4, 5, 6)
    assert list(statistics.to_json().items()) == [
        ("attempts", 1),
        ("again", 2),
        ("not reached", 3),
        ("refused", 4),
        ("broken", 5),
        ("no room", 6),
    ]
    assert set(STATISTICS_KEYS) == set(PoolStatistics.__slots__)


def test_outcomes_are_counted_except_success_and_cancellation() -> None:
    statistics = PoolStatistics()
    for outcome in AttemptOutcome:
        statistics.count_outcome(outcome)
    assert statistics == PoolStatistics(connect_failures=1, rejections=1, lost_connections=1)


def test_a_pool_without_limits_takes_the_first_server_without_an_attempt() -> None:
    pool = make_pool(has_limits=False)
    first, second = pool.table
    assert pool.choose(START, frozenset()) is first
    assert pool.choose(START, frozenset({first.handle})) is second
    assert pool.choose(START, frozenset({first.handle, second.handle})) is None


def test_the_capacity_of_a_full_pool_is_its_number_of_attempts_in_flight() -> None:
    pool = make_pool()
    server = pool.choose(START, frozenset())
    assert server is not None
    pool.table.attempt_started(server.handle)
    assert pool.capacity(START, is_full=True) == 1 and pool.capacity(START, is_full=False) > 1


def test_the_address_of_a_removed_server_is_kept_until_its_last_attempt_ends() -> None:
    pool = make_pool()
    removed, _ = pool.table
    pool.table.attempt_started(removed.handle)
    pool.reconfigure(PoolConfig("p", SERVERS[1:]), START)
    assert removed.name in pool.addresses
    pool.attempt_ended(removed.handle, AttemptOutcome.CANCELLED, None, START, MILLISECOND)
    assert list(pool.addresses) == ["127.0.0.1:2"]


def test_a_change_of_members_is_logged_once_the_pool_has_reported_its_capacity(
    caplog: pytest.LogCaptureFixture,
) -> None:
    pool = make_pool()
    with caplog.at_level(logging.INFO):
        pool.reconfigure(PoolConfig("p", SERVERS[:1]), START)
        assert not caplog.messages
        pool.reported_capacity = 1
        pool.reconfigure(PoolConfig("p", SERVERS[1:]), START)
        pool.reconfigure(PoolConfig("p", SERVERS[1:]), START)
    assert caplog.messages == ["pool members changed: pool=p added=127.0.0.1:2 removed=127.0.0.1:1"]


def test_a_restart_of_a_server_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    pool = make_pool()
    server, _ = pool.table
    with caplog.at_level(logging.INFO):
        for boot_id in ("a", "a", "b"):
            pool.table.attempt_started(server.handle)
            pool.attempt_ended(server.handle, AttemptOutcome.SUCCEEDED, boot_id, START, MILLISECOND)
    assert caplog.messages == [
        "server restarted, its statistics are discarded: pool=p server=127.0.0.1:1 boot_id=b"
    ]


def test_a_removed_server_with_attempts_in_flight_is_not_chosen_by_a_pool_without_limits() -> None:
    # Guards against requests to a server that the operator has removed.
    pool = make_pool(has_limits=False)
    removed, kept = pool.table
    pool.table.attempt_started(removed.handle)
    pool.reconfigure(PoolConfig("p", SERVERS[1:], has_limits=False), START)
    assert pool.choose(START, frozenset()) is kept
    assert pool.choose(START, frozenset({kept.handle})) is None
