"""The uwsgi front with its pools of servers, as a part."""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING, Any, ClassVar

from marlstep.components.base import Component, StartPhase
from marlstep.config import Config
from marlstep.fronts.uwsgi import UwsgiFront
from marlstep.pool.plan import pool_of
from marlstep.upstreams.upstream import Upstream

if TYPE_CHECKING:
    from marlstep.node import Node

log = logging.getLogger("marlstep")


class UwsgiComponent(Component):
    name: ClassVar[str] = "uwsgi"
    start_phase: ClassVar[StartPhase] = StartPhase.WITH_FRONTENDS
    front: UwsgiFront

    def __init__(self, node: Node, room: int) -> None:
        told = node.config.uwsgi
        assert told is not None
        # Each of its requests may hold two descriptors: the client's and the upstream's.
        limit = min(told.connections, room // 4)
        self.descriptors = 2 * limit
        limits = told.response_limit, node.config.seed
        self.upstream = Upstream(told.pools, node.timeline, lambda: node.core, *limits)
        self.front = UwsgiFront(
            node.core,
            node.timeline,
            self.upstream,
            limit,
            told.read_timeout,
            told.mapped,
            told.body_limit,
            partial(pool_of, told.pools),
        )

    async def open(self, config: Config, shared: bool) -> None:
        assert config.uwsgi is not None
        await self.front.listen(config.uwsgi.listen, shared=shared)
        log.info("uwsgi on %s:%d", *config.uwsgi.listen)

    def reconfigure(self, config: Config) -> None:
        if config.uwsgi is not None:
            self.upstream.move(config.uwsgi.pools)
            self.front.pool_of = partial(pool_of, config.uwsgi.pools)
            self.front.mapped = config.uwsgi.mapped

    def stop(self) -> None:
        self.upstream.close()

    def status(self) -> dict[str, Any]:
        return {
            "connections": len(self.front.connections),
            "pools": {name: dict(pool.counts) for name, pool in self.upstream.pools.items()},
        }

    def metrics(self) -> dict[str, float]:
        return {"uwsgi_connections": len(self.front.connections)}


def make(node: Node, room: int) -> UwsgiComponent:
    return UwsgiComponent(node, room)
