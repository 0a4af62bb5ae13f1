"""The health endpoint as a component."""

from __future__ import annotations

import logging
from datetime import timedelta
from typing import TYPE_CHECKING, ClassVar

from marlstep.admin.health_endpoint import HealthEndpoint
from marlstep.components.base import Component, StartPhase
from marlstep.config import Config
from marlstep.resource_budget import HEALTH_ENDPOINT_CONNECTIONS

if TYPE_CHECKING:
    from marlstep.components.host import HealthEndpointHost

log = logging.getLogger("marlstep")


class HealthEndpointComponent(Component):
    """Reports to the platform whether this node accepts requests, starting before the node serves."""

    name: ClassVar[str] = "door"
    start_phase: ClassVar[StartPhase] = StartPhase.BEFORE_SERVING

    def __init__(self, host: HealthEndpointHost) -> None:
        """Create the health endpoint."""
        self.service = HealthEndpoint(
            host.core, host.timeline, host.serving_state_changed, HEALTH_ENDPOINT_CONNECTIONS
        )

    async def open(self, config: Config, _reuse_address: bool, /) -> None:
        """Listen at the configured address, which is never shared with another process.

        Raises:
            OSError: the address can't be bound.
        """
        assert config.health_listen is not None
        await self.service.listen(config.health_listen)
        log.info("listening: component=health_endpoint address=%s:%d", *config.health_listen)

    async def finish_requests(self, limit: timedelta, /) -> None:
        """Stop listening, and answer the requests on accepted connections."""
        await self.service.finish(limit)


def make(host: HealthEndpointHost) -> HealthEndpointComponent:
    """Create the component for a node whose configuration enables it."""
    return HealthEndpointComponent(host)
