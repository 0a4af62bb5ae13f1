"""The administration API, as a part."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, ClassVar

from marlstep.admin.api import Admin
from marlstep.components.base import Opens, Part
from marlstep.config import Config

if TYPE_CHECKING:
    from marlstep.node import Node

log = logging.getLogger("marlstep")


class AdminPart(Part):
    name: ClassVar[str] = "admin"
    opens: ClassVar[Opens] = Opens.SERVING

    def __init__(self, node: Node) -> None:
        assert node.config.admin is not None
        self.surface = Admin(
            node.core, node.timeline, node.config.admin.token, node.leave, lambda: node.parts.values()
        )

    async def open(self, config: Config, shared: bool) -> None:
        assert config.admin is not None
        await self.surface.listen(config.admin.listen, shared=shared)
        log.info("administration on %s:%d", *config.admin.listen)

    def stop(self) -> None:
        self.surface.stop_accepting()


def make(node: Node, room: int) -> AdminPart:
    return AdminPart(node)
