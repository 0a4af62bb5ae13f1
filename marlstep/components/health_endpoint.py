"""The operators' door, as a part."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, ClassVar

from marlstep.admin.door import Door
from marlstep.components.base import Opens, Part
from marlstep.config import Config

if TYPE_CHECKING:
    from marlstep.node import Node

log = logging.getLogger("marlstep")


class DoorPart(Part):
    name: ClassVar[str] = "door"
    opens: ClassVar[Opens] = Opens.FIRST

    def __init__(self, node: Node) -> None:
        from marlstep.node import DOOR_CONNECTIONS

        self.surface = Door(node.core, node.timeline, node.duty_changed, DOOR_CONNECTIONS)

    async def open(self, config: Config, shared: bool) -> None:
        assert config.mgmt is not None
        await self.surface.listen(config.mgmt)
        log.info("operators' door on %s:%d", *config.mgmt)

    def stop(self) -> None:
        self.surface.stop_accepting()


def make(node: Node, room: int) -> DoorPart:
    return DoorPart(node)
