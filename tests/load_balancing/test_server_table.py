"""Tests of the servers of a pool: membership, restarts, and consistency under any sequence of events."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marlstep.load_balancing.concurrency_limit import ConcurrencyLimitSettings
from marlstep.load_balancing.errors import PoolFullError
from marlstep.load_balancing.outlier_detection import ServerHealthState
from marlstep.load_balancing.server_table import MAX_SERVERS, MembershipChange
from marlstep.units import MILLISECOND, SECOND, ZERO
from tests.frontends.test_parsers import FIXED
from tests.support.pools import START, choose_and_complete, fail_attempts, make_table, server_named


def test_the_statistics_of_a_server_are_discarded_when_it_restarts() -> None:
    table = make_table(3)
    server = server_named(table, "s1")
    assert not table.boot_id_received(server.handle, "a", START)
    fail_attempts(table, "s1", START)
    assert not table.boot_id_received(server.handle, "a", START)
    state_before = server.health.state
    assert table.boot_id_received(server.handle, "b", START)
    assert (state_before, server.health.state) == (ServerHealthState.EJECTED, ServerHealthState.NEW)
    assert server.latency.value is None
    assert table.boot_id_received(server.handle + (1 << 30), "c", START) is False


def test_attempts_in_flight_at_a_removed_server_are_completed() -> None:
    table = make_table(3)
    server = server_named(table, "s0")
    table.attempt_started(server.handle)
    assert table.set_members(["s1", "s2", "s3", "s3"], START) == MembershipChange(("s3",), ("s0",))
    assert len(table) == 4 and server.leaving and "s0" not in choose_and_complete(table, START, 30)
    assert table.set_members(["s0", "s1", "s2"], START) == MembershipChange(("s0",), ("s3",))
    assert table.find("s0") is server and table.find("s3") is None
    table.set_members(["s1"], START)
    table.attempt_succeeded(server.handle, START, MILLISECOND)
    assert table.find("s0") is None and len(table) == 1
    table.attempt_succeeded(server.handle, START, MILLISECOND)  # has no effect: the server was dropped


def test_too_many_servers_are_rejected_and_leave_the_pool_unchanged() -> None:
    table = make_table(1)
    with pytest.raises(PoolFullError) as caught:
        table.set_members([f"x{index}" for index in range(2_000)], START)
    assert (caught.value.limit, caught.value.requested) == (MAX_SERVERS, 2_000)
    assert len(table) == 1 and table.find("s0") is not None


def test_new_servers_that_do_not_fit_beside_busy_removed_ones_leave_the_pool_unchanged() -> None:
    # Guards against a change that removes the old servers and then fails to add all of the new ones.
    table = make_table(MAX_SERVERS)
    busy = server_named(table, "s0")
    table.attempt_started(busy.handle)
    new_names = [f"x{index}" for index in range(MAX_SERVERS)]
    with pytest.raises(PoolFullError):
        table.set_members(new_names, START)
    assert len(table) == MAX_SERVERS and not any(server.leaving for server in table)
    table.attempt_succeeded(busy.handle, START, MILLISECOND)
    table.set_members(new_names, START)
    assert len(table) == MAX_SERVERS and table.find("s0") is None


def test_setting_the_same_members_reports_no_change() -> None:
    table = make_table(2)
    assert not table.set_members(["s1", "s0"], START)


def test_a_probe_counts_as_capacity_of_one_once_it_is_permitted() -> None:
    table = make_table(3)
    fail_attempts(table, "s0", START)
    until = table.ejected()["s0"]
    without_probe = table.capacity(until - MILLISECOND)
    table.may_probe = lambda _server, _until, now: now >= until + SECOND
    assert table.capacity(until) == without_probe and table.choose(until) is not server_named(table, "s0")
    table.may_probe = lambda _server, _until, _now: True
    assert table.capacity(until) == without_probe + 1 and table.choose(until) is server_named(table, "s0")


def test_a_rejected_probe_counts_as_successful() -> None:
    table = make_table(3)
    fail_attempts(table, "s0", START)
    until = table.ejected()["s0"]
    server = table.choose(until)
    assert server is server_named(table, "s0")
    table.attempt_started(server.handle)
    table.attempt_rejected(server.handle, until)
    assert server.health.state is ServerHealthState.HEALTHY and not table.ejected()


def test_capacity_changes_with_time_in_slow_start_and_while_a_server_is_ejected() -> None:
    table = make_table(3)
    assert table.capacity_changes_with_time  # slow start
    later = START + 20 * SECOND
    table.capacity(later)
    assert not table.capacity_changes_with_time
    fail_attempts(table, "s0", later)
    assert table.capacity_changes_with_time


EVENTS = st.one_of(
    st.tuples(st.just("choose"), st.integers(0, 4)),
    st.tuples(st.just("succeed"), st.integers(0, 40)),
    st.tuples(st.just("fail"), st.integers(0, 40)),
    st.tuples(st.just("reject"), st.integers(0, 40)),
    st.tuples(st.just("cancel"), st.integers(0, 40)),
    st.tuples(st.just("wait"), st.integers(1, 5_000)),
    st.tuples(st.just("members"), st.integers(0, 255)),
    st.tuples(st.just("restart"), st.integers(0, 7)),
)


@FIXED
@given(st.lists(EVENTS, max_size=80), st.integers(0, 100))
def test_the_table_stays_consistent_under_any_sequence_of_events(
    events: list[tuple[str, int]], seed: int
) -> None:
    table, now, in_flight = make_table(6, seed), START, list[int]()
    for event, number in events:
        match event:
            case "choose":
                excluded = frozenset(in_flight[:number])
                server = table.choose(now, excluded)
                if server is not None:
                    assert server.handle not in excluded and not server.leaving
                    assert server.health.state is not ServerHealthState.EJECTED
                    assert server.in_flight < max(1, server.limit.value)
                    table.attempt_started(server.handle)
                    in_flight.append(server.handle)
                else:
                    assert all(
                        candidate.available_capacity(now) <= 0 or candidate.handle in excluded
                        for candidate in table
                    )
            case "wait":
                now += number * MILLISECOND
            case "members":
                table.set_members([f"s{index}" for index in range(8) if number >> index & 1], now)
            case "restart":
                if (existing := table.find(f"s{number}")) is not None:
                    table.boot_id_received(existing.handle, str(number), now)
            case _ if in_flight:
                handle = in_flight.pop(number % len(in_flight))
                if event == "succeed":
                    table.attempt_succeeded(handle, now, number * MILLISECOND)
                elif event == "fail":
                    table.attempt_failed(handle, now, number * MILLISECOND)
                elif event == "reject":
                    table.attempt_rejected(handle, now)
                else:
                    table.attempt_cancelled(handle)
        assert sum(server.in_flight for server in table) == len(in_flight)
        out_of_service = [
            server
            for server in table
            if not server.leaving
            and server.health.state in (ServerHealthState.EJECTED, ServerHealthState.PROBING)
        ]
        assert set(out_of_service) <= set(table._ejected.values())
        for server in table:
            limits = ConcurrencyLimitSettings()
            assert limits.min_limit <= server.limit.value <= limits.max_limit
            assert 0 < server.health.weight(now) <= 1 and server.expected_completion_time(now) > ZERO
    for handle in in_flight:
        table.attempt_cancelled(handle)
    assert sum(server.in_flight for server in table) == 0 and not any(server.leaving for server in table)
