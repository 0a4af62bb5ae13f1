"""The pool's decisions: estimates, limits, health and choice, over many small cases and on a clock moved by hand."""

from __future__ import annotations

import random
from collections import Counter
from datetime import datetime, timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marlstep.load_balancing.concurrency_limit import AdaptiveConcurrencyLimit, ConcurrencyLimitSettings
from marlstep.load_balancing.errors import PoolFullError
from marlstep.load_balancing.latency_estimators import PeakEwma, WindowedMinimum
from marlstep.load_balancing.outlier_detection import OutlierDetectionSettings, ServerState
from marlstep.load_balancing.server import Server
from marlstep.load_balancing.server_table import MembershipChange, PoolSettings, ServerTable
from marlstep.units import EPOCH, MILLISECOND, SECOND, ZERO
from tests.frontends.test_parsers import FIXED

START = EPOCH + 1_800_000_000 * SECOND


def pool(number: int, seed: int = 1, **other: object) -> ServerTable:
    table = ServerTable(PoolSettings(**other), random.Random(seed))  # type: ignore[arg-type]
    table.set_members([f"s{index}" for index in range(number)], START)
    return table


def one_of(table: ServerTable, name: str) -> Server:
    server = table.find(name)
    assert server is not None
    return server


def fail(table: ServerTable, name: str, now: datetime, times: int = 5) -> None:
    server = one_of(table, name)
    for _ in range(times):
        table.attempt_started(server.handle)
        table.attempt_failed(server.handle, now, 10 * MILLISECOND)


def take(table: ServerTable, now: datetime, number: int, took: timedelta = 10 * MILLISECOND) -> Counter[str]:
    """So many requests one after another, each answered at once."""
    found: Counter[str] = Counter()
    for _ in range(number):
        server = table.choose(now)
        assert server is not None
        found[server.name] += 1
        table.attempt_started(server.handle)
        table.attempt_succeeded(server.handle, now, took)
    return found


# Estimates.


def test_the_estimate_rises_at_once_and_falls_slowly() -> None:
    mean = PeakEwma(decay_time=10 * SECOND)
    mean.observe(START, 10 * MILLISECOND)
    mean.observe(START, 90 * MILLISECOND)
    assert mean.value == 90 * MILLISECOND
    mean.observe(START + 10 * SECOND, 10 * MILLISECOND)
    assert mean.value is not None and 39 * MILLISECOND < mean.value < 40 * MILLISECOND
    assert mean.retained_share(START + 20 * SECOND) == pytest.approx(0.368, abs=0.001)
    assert mean.retained_share(START) == 1.0  # a clock that is held back makes nothing older


@FIXED
@given(st.lists(st.tuples(st.integers(0, 5_000), st.integers(1, 500)), min_size=1, max_size=40))
def test_an_estimate_lies_between_the_least_and_the_most_that_was_seen(
    samples: list[tuple[int, int]],
) -> None:
    mean, floor, now, seen = PeakEwma(), WindowedMinimum(), START, []
    for wait, sample in samples:
        now += wait * MILLISECOND
        seen.append(sample * MILLISECOND)
        mean.observe(now, seen[-1])
        floor.observe(now, seen[-1])
        assert mean.value is not None and min(seen) <= mean.value <= max(seen) and mean.value >= seen[-1]
        assert floor.value is not None and min(seen) <= floor.value <= seen[-1]


def test_the_floor_is_forgotten_after_two_windows() -> None:
    floor = WindowedMinimum(window=30 * SECOND)
    floor.observe(START, 5 * MILLISECOND)
    for second in range(1, 70):
        floor.observe(START + second * SECOND, 50 * MILLISECOND)
    assert floor.value == 50 * MILLISECOND


def drive(limit: AdaptiveConcurrencyLimit, capacity: int, seconds: int, start: datetime) -> datetime:
    """A server that does `capacity` requests in 20 ms each, and makes what is beyond wait its turn."""
    now = start
    for _ in range(seconds * 20):
        now += 50 * MILLISECOND
        in_flight = int(limit.value)
        took = 20 * MILLISECOND * max(1.0, in_flight / capacity)
        for _ in range(min(in_flight, 8)):
            limit.record_response(now, took, in_flight)
    return now


def test_the_limit_finds_what_a_server_can_do_and_follows_it() -> None:
    limit = AdaptiveConcurrencyLimit(ConcurrencyLimitSettings())
    now = drive(limit, 40, 30, START)
    assert 40 <= limit.value <= 90
    drive(limit, 10, 30, now)  # it lost three quarters of what it could do
    assert 8 <= limit.value <= 30


def test_a_limit_that_no_load_tests_does_not_grow_and_failures_of_one_step_cut_once() -> None:
    limit = AdaptiveConcurrencyLimit(ConcurrencyLimitSettings(initial_limit=16))
    now = START
    for _ in range(200):
        now += 50 * MILLISECOND
        limit.record_response(now, 20 * MILLISECOND, 1)
    assert limit.value == 16
    for _ in range(10):
        limit.record_failure(now)
    assert limit.value == pytest.approx(16 * 0.8)
    for step in range(100):
        limit.record_failure(now + step * SECOND)
    assert limit.value == ConcurrencyLimitSettings().min_limit


# Health.


def test_failures_eject_and_the_time_out_doubles_until_a_probe_goes_well() -> None:
    table = pool(4)
    now, out = START, []
    fail(table, "s0", now)
    server = one_of(table, "s0")
    for _ in range(7):
        assert server.health.state is ServerState.EJECTED and server.health.ejected_until is not None
        out.append((server.health.ejected_until - now) / SECOND)
        assert "s0" not in take(table, server.health.ejected_until - MILLISECOND, 40)
        now = server.health.ejected_until
        assert table.choose(now) is server
        table.attempt_started(server.handle)
        assert table.choose(now) is not server  # one probe at a time
        table.attempt_failed(server.handle, now, 10 * MILLISECOND)
    assert out == [2, 4, 8, 16, 32, 60, 60]
    assert server.health.ejected_until is not None
    now = server.health.ejected_until
    assert take(table, now, 1) == {"s0": 1} and server.health.state is ServerState.HEALTHY


def test_what_comes_back_starts_slowly() -> None:
    table = pool(2, limits=ConcurrencyLimitSettings(min_limit=50, initial_limit=50))
    for second in (0, 10):
        take(table, START + second * SECOND, 1)
    now = START + 100 * SECOND
    fail(table, "s0", now)  # of two, none may be out: it stays
    spared = one_of(table, "s0").health
    assert spared.state is ServerState.SUSPECT and spared.consecutive_failures == 0 and not table.ejected()
    table = pool(3, limits=ConcurrencyLimitSettings(min_limit=50, initial_limit=50))
    server = one_of(table, "s0")
    now = START + 100 * SECOND
    fail(table, "s0", now)
    now += 2 * SECOND
    assert table.choose(now) is server
    table.attempt_started(server.handle)
    table.attempt_succeeded(server.handle, now, 10 * MILLISECOND)
    rooms = [server.available_capacity(now + second * SECOND) for second in (0, 5, 10)]
    assert rooms == [5, 27, 50]


def test_no_more_than_the_stated_share_is_ever_out() -> None:
    table = pool(10)
    for index in range(10):
        fail(table, f"s{index}", START, times=20)
    out = [server for server in table if server.health.state is ServerState.EJECTED]
    spared = [server for server in table if server.health.state is ServerState.SUSPECT]
    assert (
        len(out) == 3
        and len(spared) == 7
        and not any(server.health.consecutive_failures for server in spared)
    )
    assert take(table, START, 50).total() == 50


def test_another_life_of_a_server_is_known_for_nothing_that_the_last_one_did() -> None:
    table = pool(3)
    server = one_of(table, "s1")
    assert not table.boot_id_received(server.handle, "a", START)
    fail(table, "s1", START)
    assert not table.boot_id_received(server.handle, "a", START)
    states = [server.health.state]
    assert table.boot_id_received(server.handle, "b", START)
    assert [*states, server.health.state] == [
        ServerState.EJECTED,
        ServerState.NEW,
    ] and server.latency.value is None
    assert table.boot_id_received(server.handle + (1 << 30), "c", START) is False


# Choice.


def test_the_quicker_server_gets_more_and_a_server_that_was_refused_gets_less() -> None:
    table = pool(2)
    now = START + 20 * SECOND
    for name, took in (("s0", 10), ("s1", 40)):
        server = one_of(table, name)
        table.attempt_started(server.handle)
        table.attempt_succeeded(server.handle, now, took * MILLISECOND)
    held: list[Server] = []
    for _ in range(8):
        chosen = table.choose(now)
        assert chosen is not None
        table.attempt_started(chosen.handle)
        held.append(chosen)
    counts = Counter(server.name for server in held)
    assert counts["s0"] > 2 * counts["s1"]
    before, in_flight = one_of(table, "s0").limit.value, held[0].in_flight
    table.attempt_rejected(held[0].handle, now)
    assert held[0].in_flight == in_flight - 1 and held[0].health.consecutive_failures == 0
    assert one_of(table, held[0].name).limit.value < before


def test_where_all_are_full_nothing_is_chosen_and_the_work_waits() -> None:
    table = pool(
        3,
        limits=ConcurrencyLimitSettings(min_limit=1, initial_limit=2),
        health=OutlierDetectionSettings(slow_start_time=MILLISECOND),
    )
    now, held = START + SECOND, []
    while (server := table.choose(now)) is not None:
        table.attempt_started(server.handle)
        held.append(server.handle)
    assert len(held) == 6
    table.attempt_cancelled(held[0])
    assert table.choose(now) is not None
    assert table.choose(now, frozenset(server.handle for server in table)) is None


def test_the_same_seed_chooses_the_same_and_load_is_even() -> None:
    counts = take(pool(50, seed=7), START + 20 * SECOND, 5_000)
    assert counts == take(pool(50, seed=7), START + 20 * SECOND, 5_000)
    assert min(counts.values()) > 50 and max(counts.values()) < 200


def test_servers_come_and_go_and_what_they_have_ends_where_it_is() -> None:
    table = pool(3)
    server = one_of(table, "s0")
    table.attempt_started(server.handle)
    assert table.set_members(["s1", "s2", "s3", "s3"], START) == MembershipChange(("s3",), ("s0",))
    assert len(table) == 4 and server.leaving and "s0" not in take(table, START, 30)
    assert table.set_members(["s0", "s1", "s2"], START) == MembershipChange(("s0",), ("s3",))
    assert table.find("s0") is server and table.find("s3") is None
    table.set_members(["s1"], START)
    table.attempt_succeeded(server.handle, START, MILLISECOND)
    assert table.find("s0") is None and len(table) == 1
    table.attempt_succeeded(server.handle, START, MILLISECOND)  # late, and of nobody
    with pytest.raises(PoolFullError):
        table.set_members([f"x{index}" for index in range(2_000)], START)
    assert len(table) == 1


EVENTS = st.one_of(
    st.tuples(st.just("choose"), st.integers(0, 4)),
    st.tuples(st.just("ok"), st.integers(0, 40)),
    st.tuples(st.just("fail"), st.integers(0, 40)),
    st.tuples(st.just("refuse"), st.integers(0, 40)),
    st.tuples(st.just("drop"), st.integers(0, 40)),
    st.tuples(st.just("wait"), st.integers(1, 5_000)),
    st.tuples(st.just("members"), st.integers(0, 255)),
    st.tuples(st.just("boot"), st.integers(0, 7)),
)


@FIXED
@given(st.lists(EVENTS, max_size=80), st.integers(0, 100))
def test_whatever_happens_the_table_stays_sound(events: list[tuple[str, int]], seed: int) -> None:
    table, now, held = pool(6, seed), START, list[int]()
    for what, number in events:
        match what:
            case "choose":
                without = frozenset(held[:number])
                server = table.choose(now, without)
                if server is not None:
                    assert server.handle not in without and not server.leaving
                    assert server.health.state is not ServerState.EJECTED
                    assert server.in_flight < max(1, server.limit.value)
                    table.attempt_started(server.handle)
                    held.append(server.handle)
                else:
                    assert all(one.available_capacity(now) <= 0 or one.handle in without for one in table)
            case "wait":
                now += number * MILLISECOND
            case "members":
                table.set_members([f"s{index}" for index in range(8) if number >> index & 1], now)
            case "boot":
                if (known := table.find(f"s{number}")) is not None:
                    table.boot_id_received(known.handle, str(number), now)
            case _ if held:
                handle = held.pop(number % len(held))
                if what == "ok":
                    table.attempt_succeeded(handle, now, number * MILLISECOND)
                elif what == "fail":
                    table.attempt_failed(handle, now, number * MILLISECOND)
                elif what == "refuse":
                    table.attempt_rejected(handle, now)
                else:
                    table.attempt_cancelled(handle)
        assert sum(server.in_flight for server in table) == len(held)
        members = [server for server in table if not server.leaving]
        out = [
            server for server in members if server.health.state in (ServerState.EJECTED, ServerState.PROBING)
        ]
        assert set(out) <= set(table._ejected.values())
        for server in table:
            assert (
                ConcurrencyLimitSettings().min_limit
                <= server.limit.value
                <= ConcurrencyLimitSettings().max_limit
            )
            assert 0 < server.health.weight(now) <= 1 and server.expected_completion_time(now) > ZERO
    for handle in held:
        table.attempt_cancelled(handle)
    assert sum(server.in_flight for server in table) == 0 and not any(server.leaving for server in table)
