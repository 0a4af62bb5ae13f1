"""The uwsgi frontend and its pools of servers as a component."""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING, Any, ClassVar

from marlstep.components.base import Component, StartPhase
from marlstep.config import Config, ConfigError, UwsgiConfig
from marlstep.frontends.uwsgi import UwsgiFrontend
from marlstep.load_balancing.pool_config import pool_for
from marlstep.resource_budget import packet_memory_budget
from marlstep.upstreams.upstream import PoolChangeError, Upstream

if TYPE_CHECKING:
    from marlstep.components.host import NodeServices

log = logging.getLogger("marlstep")

DESCRIPTORS_PER_REQUEST = 2  # file descriptors: the client's connection and the one to a server
NODE_SHARE_DIVISOR = 2  # this frontend may use at most this fraction (1/n) of the node's connections


def connection_limit(configured: int, node_connections: int) -> int:
    """Return the maximum number of concurrent uwsgi clients.

    The configured number is limited so that the connections of clients and those to servers do not exceed this
    frontend's share of the node's connections, and the other frontends keep theirs.

    Args:
        configured: `max_connections` of the operator's file.
        node_connections: How many connections the whole node has file descriptors for.

    """
    return min(configured, node_connections // (NODE_SHARE_DIVISOR * DESCRIPTORS_PER_REQUEST))


class UwsgiComponent(Component):
    """Takes requests over uwsgi and forwards them to pools of servers."""

    name: ClassVar[str] = "uwsgi"
    start_phase: ClassVar[StartPhase] = StartPhase.WITH_FRONTENDS
    frontend: UwsgiFrontend

    def __init__(self, host: NodeServices, config: UwsgiConfig, max_connections: int) -> None:
        """Create the frontend and its pools; `max_connections` is the limit of the whole node."""
        limit = connection_limit(config.max_connections, max_connections)
        self.descriptors = DESCRIPTORS_PER_REQUEST * limit
        self.upstream = Upstream(
            config.pools, host.timeline, lambda: host.core, config.max_response_bytes, host.config.seed
        )
        self.frontend = UwsgiFrontend(
            host.core,
            host.timeline,
            self.upstream,
            limit,
            config.read_timeout,
            config.mapping,
            config.max_body_bytes,
            partial(pool_for, config.pools),
            packet_memory_budget(host.config, processes=1),
        )

    async def open(self, config: Config, reuse_address: bool, /) -> None:
        """Listen at the configured address.

        Raises:
            OSError: the address can't be bound.
        """
        assert config.uwsgi is not None
        await self.frontend.listen(config.uwsgi.listen, shared=reuse_address)
        log.info("listening: component=uwsgi address=%s:%d", *config.uwsgi.listen)

    def check_config(self, config: Config, /) -> None:
        """Check that the pools' servers fit beside removed ones that still finish requests; ConfigError if not."""
        if config.uwsgi is None:
            return
        try:
            self.upstream.check(config.uwsgi.pools)
        except PoolChangeError as error:
            raise ConfigError.found("uwsgi", str(error)) from error

    def reconfigure(self, config: Config, /) -> None:
        """Apply changed pools and the changed mapping of requests to request classes."""
        if config.uwsgi is not None:
            self.upstream.reconfigure(config.uwsgi.pools)
            self.frontend.pool_of = partial(pool_for, config.uwsgi.pools)
            self.frontend.mapping = config.uwsgi.mapping

    def limit_memory(self, config: Config, processes: int, /) -> None:
        """Limit the memory of packets."""
        self.frontend.packet_memory.limit_bytes = packet_memory_budget(config, processes)

    def stop(self) -> None:
        """Close the connections to servers."""
        self.upstream.close()

    def status(self) -> dict[str, Any]:
        """Return the number of connections and the counters of each pool."""
        return {
            "connections": len(self.frontend.connections),
            "pools": {name: pool.statistics.to_json() for name, pool in self.upstream.pools.items()},
        }

    def metrics(self) -> dict[str, float]:
        """Return the number of connections, and the bytes reserved for their packets."""
        return {
            "uwsgi_connections": len(self.frontend.connections),
            "uwsgi_packet_bytes": self.frontend.packet_memory.reserved_bytes,
        }


def make(host: NodeServices, max_connections: int) -> UwsgiComponent:
    """Create the component for a node whose configuration enables it."""
    assert host.config.uwsgi is not None
    return UwsgiComponent(host, host.config.uwsgi, max_connections)
