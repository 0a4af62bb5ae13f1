"""All frontends of one node: they start to listen together, at the start of the process or later."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable

from marlstep.config import Config
from marlstep.core.interfaces import Frontend
from marlstep.frontends.base import Listener
from marlstep.frontends.resp import RespFrontend

log = logging.getLogger("marlstep")


class FrontendGroup:
    """The platform's frontend, and the frontends of the components that open with it."""

    def __init__(
        self,
        resp: RespFrontend,
        others: Iterable[Frontend],
        open_components: Callable[[], Awaitable[None]],
        on_failure: Callable[[], None],
    ) -> None:
        """Initialize the group without listening.

        Args:
            resp: the platform's frontend.
            others: frontends of components.
            open_components: opens the components that own these.
            on_failure: called when listening fails after `accept_connections` or `resume`; `failure` holds the error.
        """
        self.resp = resp
        self.all: list[Frontend] = [resp, *others]
        self.failure: OSError | None = None
        self._open_components = open_components
        self._on_failure = on_failure
        self._listen_task: asyncio.Task[None] | None = None

    async def listen(self, config: Config) -> None:
        """Listen on the platform's address, then open the components that own frontends.

        Raises:
            OSError: an address is not available.
        """
        await self.resp.listen(config.listen, config.passed_socket)
        log.info("listening: node=%s address=%s:%d", config.name, *config.listen)
        await self._open_components()

    def accept_connections(self, config: Config) -> None:
        """Start to listen, in place of the predecessor if there is one, unless this was started before."""
        if self._listen_task is None:
            self.resume(config)

    def resume(self, config: Config) -> None:
        """Start to listen, unless this process already listens."""
        if not self.resp.listening:
            self._listen_task = asyncio.get_running_loop().create_task(self.listen(config))
            self._listen_task.add_done_callback(self._on_listen_done)

    def _on_listen_done(self, task: asyncio.Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        if isinstance(error, OSError):
            self.failure = error
            self._on_failure()

    def accept_again(self) -> None:
        """Accept connections again after `stop_accepting`."""
        for frontend in self.all:
            if isinstance(frontend, Listener):
                frontend.accept_again()

    @property
    def accepting(self) -> bool:
        """Whether a frontend still accepts connections, also from its backlog after `stop_accepting`."""
        return any(frontend.accepting for frontend in self.all if isinstance(frontend, Listener))

    def connection_count(self) -> int:
        """Count the open connections of all frontends."""
        return sum(len(frontend.connections) for frontend in self.all if isinstance(frontend, Listener))
