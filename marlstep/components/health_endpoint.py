"""The operators' door, as a part."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, ClassVar

from marlstep.admin.door import Door
from marlstep.components.base import Component, StartPhase
from marlstep.config import Config

if TYPE_CHECKING:
    from marlstep.node import Node

log = logging.getLogger("marlstep")


class HealthEndpointComponent(Component):
    name: ClassVar[str] = "door"
    start_phase: ClassVar[StartPhase] = StartPhase.BEFORE_SERVING

    def __init__(self, node: Node) -> None:
        from marlstep.node import HEALTH_ENDPOINT_CONNECTIONS

        self.service = Door(node.core, node.timeline, node.serving_state_changed, HEALTH_ENDPOINT_CONNECTIONS)

    async def open(self, config: Config, shared: bool) -> None:
        assert config.mgmt is not None
        await self.service.listen(config.mgmt)
        log.info("operators' door on %s:%d", *config.mgmt)

    def stop(self) -> None:
        self.service.stop_accepting()


def make(node: Node, room: int) -> HealthEndpointComponent:
    return HealthEndpointComponent(node)
