"""The administration API, as a part."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, ClassVar

from marlstep.admin.api import Admin
from marlstep.components.base import Component, StartPhase
from marlstep.config import Config

if TYPE_CHECKING:
    from marlstep.node import Node

log = logging.getLogger("marlstep")


class AdminComponent(Component):
    name: ClassVar[str] = "admin"
    start_phase: ClassVar[StartPhase] = StartPhase.WITH_FRONTENDS

    def __init__(self, node: Node) -> None:
        assert node.config.admin is not None
        self.service = Admin(
            node.core, node.timeline, node.config.admin.token, node.drain, lambda: node.components.values()
        )

    async def open(self, config: Config, shared: bool) -> None:
        assert config.admin is not None
        await self.service.listen(config.admin.listen, shared=shared)
        log.info("administration on %s:%d", *config.admin.listen)

    def stop(self) -> None:
        self.service.stop_accepting()


def make(node: Node, room: int) -> AdminComponent:
    return AdminComponent(node)
