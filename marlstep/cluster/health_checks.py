"""The probes of ejected servers, done by the holder of each pool's lease and told to all others."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from datetime import datetime, timedelta
from functools import partial
from typing import TYPE_CHECKING

from marlstep.leases.messages import ServerRecovered
from marlstep.net.eventloop import dial
from marlstep.net.stream import RingStream
from marlstep.pool.probing import Probing
from marlstep.timer_queue import Deadline
from marlstep.units import MILLISECOND
from marlstep.upstreams.upstream import Upstream

if TYPE_CHECKING:
    from marlstep.cluster.node import ClusterNode

log = logging.getLogger(__name__)

POOL_LEASE_PREFIX = "pool/"  # of the names of pools' leases
CHECK_INTERVAL = 200 * MILLISECOND


class HealthCheck(RingStream):
    """A connection that stands, and is closed again."""

    def __init__(self) -> None:
        super().__init__(64)

    def received(self) -> None:
        self.abort()

    def made(self) -> None:
        self.abort()

    def lost(self) -> None:
        """That was all."""


class HealthCheckCoordinator:
    def __init__(self, fleet: ClusterNode, upstream: Upstream, alone_after: timedelta) -> None:
        """`alone_after` its time a server waits for the holder's word; then this node goes by its own judgment."""
        self._fleet, self._upstream, self._alone_after = fleet, upstream, alone_after
        self._probing: dict[str, Probing] = {}
        self._look_at: datetime | None = None
        self._again: Deadline | None = None

    def pools(self) -> Iterable[str]:
        """Those whose servers can be ejected."""
        return [name for name, pool in self._upstream.pools.items() if pool.plan.limited]

    def _of(self, name: str) -> Probing:
        probing = self._probing.get(name)
        if probing is None:
            probing = self._probing[name] = Probing(self._alone_after)
            self._upstream.pools[name].table.may_probe = partial(self._may_probe, probing)
        return probing

    def _may_probe(self, probing: Probing, server: str, out_until: datetime, now: datetime) -> bool:
        """Cut off from who knocks for all, each node knocks for itself."""
        alone = self._fleet.capabilities.checks_servers_itself and now >= out_until
        return probing.may_probe(server, out_until, now) or alone

    def tick(self, now: datetime) -> None:
        """Now and then: the pools whose lease is here have their ejected servers knocked at."""
        if self._look_at is not None and now < self._look_at:
            return
        self._look_at = now + CHECK_INTERVAL
        holder, wall = self._fleet.client.holder, self._fleet.wall()
        for name in self.pools():
            probing, table = self._of(name), self._upstream.pools[name].table
            out = table.out()
            if not holder.time_left(POOL_LEASE_PREFIX + name, now):
                continue
            for server in probing.to_dial(out, wall):
                self._start_check(name, server)
        self._again = self._fleet.steady.at(self._look_at, lambda: self.tick(self._fleet.steady.now()))

    def _start_check(self, pool: str, server: str) -> None:
        found = self._upstream.pools[pool]
        address = found.addresses.get(server)
        if address is not None:
            self._fleet.counts["knocks"] += 1
            dial(HealthCheck, address, partial(self._check_finished, pool, server))

    def _check_finished(self, pool: str, server: str, fault: OSError | None) -> None:
        holder = self._fleet.client.holder
        token = holder.token(POOL_LEASE_PREFIX + pool)
        if not holder.time_left(POOL_LEASE_PREFIX + pool, self._fleet.steady.now()):
            return  # somebody else's matter by now
        self._of(pool).dialled(server, fault is None)
        if fault is None:
            log.info("fleet: server %s of pool %s can be reached again: the others are told", server, pool)
            self._fleet.tell_all(ServerRecovered(pool, server, token))

    def handle_recovered(self, message: ServerRecovered) -> None:
        """The holder says so."""
        pool = self._upstream.pools.get(message.pool)
        if pool is None:
            return
        if not self._of(message.pool).told(message.server, message.token, pool.table.out()):
            self._fleet.counts["probes refused"] += 1

    def close(self) -> None:
        self._fleet.steady.cancel(self._again)
