"""Server tables, and attempts that end at once, for tests of load balancing."""

from __future__ import annotations

import random
from collections import Counter
from datetime import datetime, timedelta

from marlstep.load_balancing.server import Server
from marlstep.load_balancing.server_table import PoolSettings, ServerTable
from marlstep.units import EPOCH, MILLISECOND, SECOND

START = EPOCH + 1_800_000_000 * SECOND


def make_table(servers: int, seed: int = 1, settings: PoolSettings | None = None) -> ServerTable:
    """Make a table of servers s0, s1, ..."""
    table = ServerTable(settings or PoolSettings(), random.Random(seed))
    table.set_members([f"s{index}" for index in range(servers)], START)
    return table


def server_named(table: ServerTable, name: str) -> Server:
    """Return the server of this name, which must exist."""
    server = table.find(name)
    assert server is not None
    return server


def fail_attempts(table: ServerTable, name: str, now: datetime, count: int = 5) -> None:
    """Fail `count` successive attempts at one server, each after 10 ms."""
    server = server_named(table, name)
    for _ in range(count):
        table.attempt_started(server.handle)
        table.attempt_failed(server.handle, now, 10 * MILLISECOND)


def complete_attempt(
    table: ServerTable, server: Server, now: datetime, latency: timedelta = 10 * MILLISECOND
) -> None:
    """Start an attempt at a server and complete it successfully."""
    table.attempt_started(server.handle)
    table.attempt_succeeded(server.handle, now, latency)


def choose_and_complete(table: ServerTable, now: datetime, count: int) -> Counter[str]:
    """Complete `count` successive attempts, each at the server that the table chooses, and count them by server."""
    chosen: Counter[str] = Counter()
    for _ in range(count):
        server = table.choose(now)
        assert server is not None
        chosen[server.name] += 1
        complete_attempt(table, server, now)
    return chosen
