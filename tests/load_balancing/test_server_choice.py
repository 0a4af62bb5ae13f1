"""Tests of the choice of a server: power of two random choices."""

from __future__ import annotations

from collections import Counter

from marlstep.load_balancing.concurrency_limit import ConcurrencyLimitSettings
from marlstep.load_balancing.outlier_detection import OutlierDetectionSettings
from marlstep.load_balancing.server import Server
from marlstep.load_balancing.server_choice import MAX_RANDOM_DRAWS, choose_server
from marlstep.load_balancing.server_table import PoolSettings
from marlstep.units import MILLISECOND, SECOND
from tests.support.pools import START, choose_and_complete, complete_attempt, make_table, server_named

LATER = START + 20 * SECOND  # slow start is over


class ScriptedDraws:
    """A random source that returns the given numbers in order, and records the bounds of the calls."""

    def __init__(self, *numbers: int) -> None:
        self.numbers, self.bounds = list(numbers), list[int]()

    def randrange(self, start: int, /) -> int:
        self.bounds.append(start)
        return self.numbers.pop(0)


def test_of_two_drawn_servers_the_one_with_the_shorter_expected_completion_time_is_chosen() -> None:
    table = make_table(MAX_RANDOM_DRAWS + 1)
    servers = list(table)
    for index, server in enumerate(servers):
        complete_attempt(table, server, LATER, (10 + index) * MILLISECOND)
    draws = ScriptedDraws(5, 5, 3)  # a server that is drawn again is skipped
    assert choose_server(servers, frozenset(), LATER, draws) is servers[3]
    assert draws.bounds == [len(servers)] * 3


def test_of_equal_servers_the_one_drawn_first_is_chosen() -> None:
    servers = list(make_table(MAX_RANDOM_DRAWS + 1))
    assert choose_server(servers, frozenset(), LATER, ScriptedDraws(4, 2)) is servers[4]


def test_all_servers_are_examined_if_the_draws_find_none_with_capacity() -> None:
    servers = list(make_table(MAX_RANDOM_DRAWS + 1))
    excluded = frozenset(server.handle for server in servers[:-1])
    draws = ScriptedDraws(*range(MAX_RANDOM_DRAWS))
    assert choose_server(servers, excluded, LATER, draws) is servers[-1] and not draws.numbers


def test_a_faster_server_gets_more_and_a_rejection_lowers_the_limit_without_counting_as_failure() -> None:
    table = make_table(2)
    for name, latency_ms in (("s0", 10), ("s1", 40)):
        complete_attempt(table, server_named(table, name), LATER, latency_ms * MILLISECOND)
    chosen: list[Server] = []
    for _ in range(8):
        server = table.choose(LATER)
        assert server is not None
        table.attempt_started(server.handle)
        chosen.append(server)
    counts = Counter(server.name for server in chosen)
    assert counts["s0"] > 2 * counts["s1"]
    first = chosen[0]
    limit, in_flight = server_named(table, "s0").limit.value, first.in_flight
    table.attempt_rejected(first.handle, LATER)
    assert first.in_flight == in_flight - 1 and first.health.consecutive_failures == 0
    assert server_named(table, first.name).limit.value < limit


def test_no_server_is_chosen_if_all_are_full_or_excluded() -> None:
    settings = PoolSettings(
        ConcurrencyLimitSettings(min_limit=1, initial_limit=2),
        OutlierDetectionSettings(slow_start_time=MILLISECOND),
    )
    table = make_table(3, settings=settings)
    now, in_flight = START + SECOND, []
    while (server := table.choose(now)) is not None:
        table.attempt_started(server.handle)
        in_flight.append(server.handle)
    assert len(in_flight) == 6
    table.attempt_cancelled(in_flight[0])
    assert table.choose(now) is not None
    assert table.choose(now, frozenset(server.handle for server in table)) is None


def test_the_same_seed_chooses_the_same_servers_and_spreads_the_load() -> None:
    counts = choose_and_complete(make_table(50, seed=7), LATER, 5_000)
    assert counts == choose_and_complete(make_table(50, seed=7), LATER, 5_000)
    assert min(counts.values()) > 50 and max(counts.values()) < 200
