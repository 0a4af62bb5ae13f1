"""The choice of a server for an attempt: power of two random choices, by expected completion time."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import datetime
from typing import Protocol

from marlstep.load_balancing.server import Server

MAX_RANDOM_DRAWS = 6  # to find two servers with capacity, before all servers are looked at


class RandomSource(Protocol):
    """A seeded source of randomness, such as `random.Random`."""

    def randrange(self, start: int, /) -> int:
        """Return a number from 0 up to, and without, `start`."""


def choose_server(
    servers: Sequence[Server], excluded: frozenset[int], now: datetime, random_source: RandomSource
) -> Server | None:
    """Return the server for an attempt, or None where no server has capacity.

    Rule: of two servers with capacity that are drawn at random, the one with the shorter expected completion time.
    That is nearly as good as the best of all servers, at a cost that does not grow with the pool; and nodes that share
    no state do not all send to the same server. Where a few draws find no server with capacity, all are looked at.

    Args:
        servers: The members of the pool.
        excluded: Handles of servers that must not be chosen: those that had an attempt of this request.
        now: The time, by which slow start is computed.
        random_source: Where draws come from.

    """
    candidates = _draw_with_capacity(servers, excluded, now, random_source)
    if not candidates:
        candidates = [server for server in servers if _has_capacity(server, excluded, now)]
    if len(candidates) > 2:
        first = candidates.pop(random_source.randrange(len(candidates)))
        candidates = [first, candidates[random_source.randrange(len(candidates))]]
    # Of equals the first drawn wins: any fixed order would give a light load to the same few servers.
    return min(candidates, key=lambda server: server.expected_completion_time(now), default=None)


def _draw_with_capacity(
    servers: Sequence[Server], excluded: frozenset[int], now: datetime, random_source: RandomSource
) -> list[Server]:
    """Draw up to two servers with capacity; none in a pool so small that all are looked at anyway."""
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
