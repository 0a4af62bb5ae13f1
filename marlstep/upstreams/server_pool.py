"""One pool of servers: its addresses, capacity and statistics."""

from __future__ import annotations

import logging
import random
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

from marlstep.load_balancing.pool_config import Address, PoolConfig, server_name
from marlstep.load_balancing.retry_policy import AttemptOutcome
from marlstep.load_balancing.server import Server
from marlstep.load_balancing.server_table import PoolSettings, ServerTable

log = logging.getLogger(__name__)

# Keys of the counters in the status of the administration API, by field of `PoolStatistics`.
STATISTICS_KEYS = {
    "attempts": "attempts",
    "retries": "again",
    "connect_failures": "not reached",
    "rejections": "refused",
    "lost_connections": "broken",
    "no_capacity": "no room",
}


@dataclass(slots=True)
class PoolStatistics:
    """Counters of one pool since it was first configured."""

    attempts: int = 0
    retries: int = 0  # attempts after the first one of a request
    connect_failures: int = 0
    rejections: int = 0  # responses with one of the configured rejection statuses
    lost_connections: int = 0  # attempts that may have run, without a valid response
    no_capacity: int = 0  # requests for which no server had capacity

    def count_outcome(self, outcome: AttemptOutcome) -> None:
        """Count the outcome of an attempt; successes and cancellations are not counted."""
        match outcome:
            case AttemptOutcome.CONNECT_FAILED:
                self.connect_failures += 1
            case AttemptOutcome.REJECTED:
                self.rejections += 1
            case AttemptOutcome.CONNECTION_LOST:
                self.lost_connections += 1

    def to_json(self) -> dict[str, Any]:
        """Return the counters under their keys in the administration API."""
        return {key: getattr(self, name) for name, key in STATISTICS_KEYS.items()}


class ServerPool:
    """One pool: its configuration, its servers and their addresses."""

    def __init__(
        self, config: PoolConfig, settings: PoolSettings, random_source: random.Random, now: datetime
    ) -> None:
        """Initialize the pool with all servers new at `now`; `random_source` is used to choose servers."""
        self.config = config
        self.table = ServerTable(settings, random_source)
        self.addresses: dict[str, Address] = {}  # by server name
        self.reported_capacity: int | None = None  # last value reported to the core
        self.statistics = PoolStatistics()
        self.reconfigure(config, now)

    def reconfigure(self, config: PoolConfig, now: datetime) -> None:
        """Apply a changed configuration; attempts in flight at removed servers continue there."""
        change = self.table.set_members(config.server_names, now)
        self.config = config
        self.addresses |= {server_name(address): address for address in config.servers}
        self.addresses = {name: address for name, address in self.addresses.items() if self.table.find(name)}
        if change and self.reported_capacity is not None:
            log.info(
                "pool members changed: pool=%s added=%s removed=%s",
                config.name,
                ",".join(change.added),
                ",".join(change.removed),
            )

    def choose(self, now: datetime, attempted_servers: frozenset[int]) -> Server | None:
        """Return the server for an attempt, or None if no server has capacity.

        A pool without limits uses the first member to which the request has not been sent, whatever its health.

        Args:
            now: The current time.
            attempted_servers: Handles of the servers to which the request has been sent.
        """
        if self.config.has_limits:
            return self.table.choose(now, attempted_servers)
        members = (server for server in self.table if not server.leaving)
        return next((server for server in members if server.handle not in attempted_servers), None)

    def capacity(self, now: datetime, is_full: bool) -> int:
        """Return how many requests the pool can have in flight at once.

        If an attempt has just found no capacity (`is_full`), this is the number of attempts in flight: servers that are
        excluded for the request or due for a probe would otherwise count as capacity that the request could not use.
        """
        if is_full:
            return sum(server.in_flight for server in self.table)
        return self.table.capacity(now)

    def attempt_ended(
        self, handle: int, outcome: AttemptOutcome, boot_id: str | None, now: datetime, elapsed: timedelta
    ) -> None:
        """Record the end of an attempt.

        Args:
            handle: Handle of the server.
            outcome: How the attempt ended.
            boot_id: The server's incarnation from the response; None if there is none.
            now: The current time.
            elapsed: Time since the start of the attempt.

        """
        server = self.table.get(handle)
        if boot_id is not None and self.table.boot_id_received(handle, boot_id, now):
            log.info(
                "server restarted, its statistics are discarded: pool=%s server=%s boot_id=%s",
                self.config.name,
                "" if server is None else server.name,
                boot_id,
            )
        self._record_outcome(handle, outcome, now, elapsed)
        was_dropped = self.table.get(handle) is None
        if server is not None and was_dropped:
            self.addresses.pop(server.name, None)
        self.statistics.count_outcome(outcome)

    def _record_outcome(
        self, handle: int, outcome: AttemptOutcome, now: datetime, elapsed: timedelta
    ) -> None:
        match outcome:
            case AttemptOutcome.SUCCEEDED:
                self.table.attempt_succeeded(handle, now, elapsed)
            case AttemptOutcome.REJECTED:
                self.table.attempt_rejected(handle, now)
            case AttemptOutcome.CANCELLED:
                self.table.attempt_cancelled(handle)
            case AttemptOutcome.CONNECT_FAILED | AttemptOutcome.CONNECTION_LOST:
                self.table.attempt_failed(handle, now, elapsed)
