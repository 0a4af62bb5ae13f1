"""The administration API as a component."""

from __future__ import annotations

import logging
from datetime import timedelta
from typing import TYPE_CHECKING, ClassVar

from marlstep.admin.api import AdminApi
from marlstep.components.base import Component, StartPhase
from marlstep.config import AdminConfig, Config

if TYPE_CHECKING:
    from marlstep.components.host import AdminHost

log = logging.getLogger("marlstep")


class AdminComponent(Component):
    """Serves the administration API on its own address."""

    name: ClassVar[str] = "admin"
    start_phase: ClassVar[StartPhase] = StartPhase.WITH_FRONTENDS

    def __init__(self, host: AdminHost, config: AdminConfig) -> None:
        """Create the API. Each request is served with the components that the host has at that time."""
        self.service = AdminApi(
            host.core, host.timeline, config.token, host.drain, lambda: host.components.values()
        )

    async def open(self, config: Config, reuse_address: bool, /) -> None:
        """Listen at the configured address.

        Raises:
            OSError: the address can't be bound.
        """
        assert config.admin is not None
        await self.service.listen(config.admin.listen, shared=reuse_address)
        log.info("listening: component=admin address=%s:%d", *config.admin.listen)

    async def finish_requests(self, limit: timedelta, /) -> None:
        """Stop listening, and answer the requests on accepted connections."""
        await self.service.finish(limit)


def make(host: AdminHost) -> AdminComponent:
    """Create the component for a node whose configuration enables it."""
    assert host.config.admin is not None
    return AdminComponent(host, host.config.admin)
