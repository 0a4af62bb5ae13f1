"""The uwsgi frontend with its pools of servers as a component."""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING, Any, ClassVar

from marlstep.components.base import Component, StartPhase
from marlstep.config import Config, UwsgiConfig
from marlstep.frontends.uwsgi import UwsgiFrontend
from marlstep.load_balancing.pool_config import pool_for
from marlstep.upstreams.upstream import Upstream

if TYPE_CHECKING:
    from marlstep.components.host import NodeServices

log = logging.getLogger("marlstep")

DESCRIPTORS_PER_REQUEST = 2  # the client's connection and the one to a server
MAX_SHARE = 2  # of the node's connections at most one in so many goes to this frontend


class UwsgiComponent(Component):
    """Takes requests over uwsgi and balances them over servers."""

    name: ClassVar[str] = "uwsgi"
    start_phase: ClassVar[StartPhase] = StartPhase.WITH_FRONTENDS
    front: UwsgiFrontend

    def __init__(self, host: NodeServices, config: UwsgiConfig, max_connections: int) -> None:
        """Make the frontend; `max_connections` is what the whole node has capacity for."""
        limit = min(config.max_connections, max_connections // (MAX_SHARE * DESCRIPTORS_PER_REQUEST))
        self.descriptors = DESCRIPTORS_PER_REQUEST * limit
        self.upstream = Upstream(
            config.pools, host.timeline, lambda: host.core, config.max_response_bytes, host.config.seed
        )
        self.front = UwsgiFrontend(
            host.core,
            host.timeline,
            self.upstream,
            limit,
            config.read_timeout,
            config.mapping,
            config.max_body_bytes,
            partial(pool_for, config.pools),
        )

    async def open(self, config: Config, reuse_address: bool, /) -> None:
        """Listen. Raises OSError."""
        assert config.uwsgi is not None
        await self.front.listen(config.uwsgi.listen, shared=reuse_address)
        log.info("listening: component=uwsgi address=%s:%d", *config.uwsgi.listen)

    def reconfigure(self, config: Config, /) -> None:
        """Take over the pools in force, and how requests are mapped to classes."""
        if config.uwsgi is not None:
            self.upstream.reconfigure(config.uwsgi.pools)
            self.front.pool_of = partial(pool_for, config.uwsgi.pools)
            self.front.mapping = config.uwsgi.mapping

    def stop(self) -> None:
        """Close the connections to servers."""
        self.upstream.close()

    def status(self) -> dict[str, Any]:
        """Give the connections and what each pool counted."""
        return {
            "connections": len(self.front.connections),
            "pools": {name: pool.statistics.to_json() for name, pool in self.upstream.pools.items()},
        }

    def metrics(self) -> dict[str, float]:
        """Give the connections."""
        return {"uwsgi_connections": len(self.front.connections)}


def make(host: NodeServices, max_connections: int) -> UwsgiComponent:
    """Make the component of a node whose configuration turns it on."""
    assert host.config.uwsgi is not None
    return UwsgiComponent(host, host.config.uwsgi, max_connections)
