"""The choice of a server for an attempt: power of two random choices, by expected completion time."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import datetime
from typing import Protocol

from marlstep.load_balancing.server import Server

MAX_RANDOM_DRAWS = 6  # to find two servers with capacity, before all servers are examined


class RandomSource(Protocol):
    """A seeded source of randomness, such as `random.Random`."""

    def randrange(self, start: int, /) -> int:
        """Return a random integer in the range [0, start)."""


def choose_server(
    servers: Sequence[Server], excluded: frozenset[int], now: datetime, random_source: RandomSource
) -> Server | None:
    """Return the server for an attempt, or None if no server has capacity.

    Two servers with capacity are drawn at random, and the one with the shorter expected completion time is chosen. This
    is nearly as good as choosing the best of all servers, at a cost that does not grow with the pool, and it prevents
    nodes that share no state from all sending to the same server. If a few draws find no server with capacity, all
    servers are examined.

    Args:
        servers: The members of the pool.
        excluded: Handles of servers that must not be chosen, because the request has been sent to them before.
        now: The current time, from which the progress of slow start follows.
        random_source: Source of the random draws.

    """
    candidates = _draw_with_capacity(servers, excluded, now, random_source)
    if not candidates:
        candidates = [server for server in servers if _has_capacity(server, excluded, now)]
    if len(candidates) > 2:
        first = candidates.pop(random_source.randrange(len(candidates)))
        candidates = [first, candidates[random_source.randrange(len(candidates))]]
    # Among equals the first drawn is chosen: a fixed order would send a light load to the same few servers.
    return min(candidates, key=lambda server: server.expected_completion_time(now), default=None)


def _draw_with_capacity(
    servers: Sequence[Server], excluded: frozenset[int], now: datetime, random_source: RandomSource
) -> list[Server]:
    """Draw up to two servers with capacity; none if the pool is so small that all its servers are examined."""
    drawn: list[Server] = []
    if len(servers) <= MAX_RANDOM_DRAWS:
        return drawn
    for _ in range(MAX_RANDOM_DRAWS):
        server = servers[random_source.randrange(len(servers))]
        if server not in drawn and _has_capacity(server, excluded, now):
            drawn.append(server)
            if len(drawn) == 2:
                break
    return drawn


def _has_capacity(server: Server, excluded: frozenset[int], now: datetime) -> bool:
    return server.handle not in excluded and server.available_capacity(now) > 0
