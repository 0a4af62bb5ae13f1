"""Health checks of ejected servers: the holder of a pool's lease runs them and notifies all other nodes."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from datetime import datetime, timedelta
from functools import partial

from marlstep.cluster.context import NodeContext
from marlstep.cluster.interfaces import RecoveryBroadcaster
from marlstep.leases.messages import ServerRecovered
from marlstep.load_balancing.health_checks import PoolHealthChecks
from marlstep.net.eventloop import dial
from marlstep.net.stream import RingStream
from marlstep.timer_queue import Timer
from marlstep.units import MILLISECOND
from marlstep.upstreams.upstream import Upstream

log = logging.getLogger(__name__)

POOL_LEASE_PREFIX = "pool/"  # prefix of the lease name of each pool
CHECK_INTERVAL = 200 * MILLISECOND


class HealthCheck(RingStream):
    """A connection that is closed as soon as it is established, which proves that the server accepts."""

    def __init__(self) -> None:
        """Create the connection with a minimal buffer, since nothing is read."""
        super().__init__(64)

    def data_received(self) -> None:
        """Close the connection and ignore the data."""
        self.abort()

    def opened(self) -> None:
        """Close the connection. The caller of `dial` is notified of the success."""
        self.abort()

    def closed(self) -> None:
        """Do nothing, since the check has ended."""


class HealthCheckCoordinator:
    """Decides when an ejected server may be tried again.

    The checks of the lease holder decide; a node that is cut off from the group decides by itself.
    """

    def __init__(
        self,
        context: NodeContext,
        broadcaster: RecoveryBroadcaster,
        upstream: Upstream,
        fallback_after: timedelta,
    ) -> None:
        """Initialize the coordinator with no checks.

        Args:
            context: The shared state of the node.
            broadcaster: Notifies the other nodes of a recovery.
            upstream: The pools whose servers are checked.
            fallback_after: How long after the end of a server's ejection this node waits for the lease holder
                before it decides by itself.

        """
        self._context, self._broadcaster = context, broadcaster
        self._upstream, self._fallback_after = upstream, fallback_after
        self._pool_checks: dict[str, PoolHealthChecks] = {}
        self._next_check_at: datetime | None = None
        self._wakeup_timer: Timer | None = None

    def pools(self) -> Iterable[str]:
        """Return the names of the pools whose servers can be ejected."""
        return [name for name, pool in self._upstream.pools.items() if pool.config.has_limits]

    def lease_names(self) -> list[str]:
        """Return the lease names of the pools whose servers can be ejected."""
        return [POOL_LEASE_PREFIX + name for name in self.pools()]

    def _checks_of(self, pool: str) -> PoolHealthChecks:
        pool_checks = self._pool_checks.get(pool)
        if pool_checks is None:
            pool_checks = self._pool_checks[pool] = PoolHealthChecks(self._fallback_after)
            self._upstream.pools[pool].table.may_probe = partial(self._may_probe, pool_checks)
        return pool_checks

    def _may_probe(
        self, pool_checks: PoolHealthChecks, server: str, ejected_until: datetime, now: datetime
    ) -> bool:
        may_decide_alone = self._context.capabilities.checks_servers_itself and now >= ejected_until
        return pool_checks.may_probe(server, ejected_until, now) or may_decide_alone

    def tick(self, now: datetime) -> None:
        """Check the ejected servers of the pools whose leases this process holds, at a bounded rate."""
        if self._next_check_at is not None and now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL
        wall = self._context.wall()
        for pool in self.pools():
            self._check_pool(pool, now, wall)
        steady = self._context.steady
        self._wakeup_timer = steady.at(self._next_check_at, lambda: self.tick(steady.now()))

    def _check_pool(self, pool: str, now: datetime, wall: datetime) -> None:
        pool_checks = self._checks_of(pool)
        ejected = self._upstream.pools[pool].table.ejected()
        if not self._context.client.holder.time_left(POOL_LEASE_PREFIX + pool, now):
            return
        for server in pool_checks.servers_to_check(ejected, wall):
            self._start_check(pool, server)

    def _start_check(self, pool: str, server: str) -> None:
        address = self._upstream.pools[pool].addresses.get(server)
        if address is not None:
            self._context.counts["knocks"] += 1
            dial(HealthCheck, address, partial(self._check_finished, pool, server))

    def _check_finished(self, pool: str, server: str, error: OSError | None) -> None:
        lease, holder = POOL_LEASE_PREFIX + pool, self._context.client.holder
        token = holder.token(lease)
        if not holder.time_left(lease, self._context.steady.now()):
            return  # the lease has expired, and another node may run the checks
        self._checks_of(pool).check_finished(server, error is None)
        if error is None:
            log.info("fleet: server recovered, notifying all nodes pool=%s server=%s", pool, server)
            self._broadcaster.broadcast(ServerRecovered(pool, server, token))

    def handle_recovered(self, message: ServerRecovered) -> None:
        """Handle the lease holder's notification that a server has recovered."""
        pool = self._upstream.pools.get(message.pool)
        if pool is None:
            return
        if not self._checks_of(message.pool).peer_reported_recovery(
            message.server, message.token, pool.table.ejected()
        ):
            self._context.counts["probes refused"] += 1

    def close(self) -> None:
        """Start no more checks."""
        self._context.steady.cancel(self._wakeup_timer)
