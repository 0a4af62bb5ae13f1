"""The base of all optional components of a node.

The table in `registry` lists the components and what enables each. A new component is one line there, and needs no
change in the wiring of the node.
"""

from __future__ import annotations

import enum
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any, ClassVar, Protocol

if TYPE_CHECKING:
    from marlstep.config import Config
    from marlstep.core.interfaces import Frontend


class StartPhase(enum.Enum):
    """When a component binds its address."""

    BEFORE_SERVING = "before serving"  # so that it can report that the node does not serve yet
    WITH_CLIENTS = "with clients"  # with the clients of the kernel and the database, also in standby
    WITH_FRONTENDS = "with frontends"  # with the frontend for the platform


class ShutdownMode(enum.Enum):
    """How this process reacts to SIGTERM; `marlstep.drain.DrainController.drain` implements it."""

    DRAIN = "drain"  # no other process takes over: the node drains
    # A successor serves: this process stops accepting and finishes requests in flight.
    HAND_OVER = "hand over"


class RestartState(Protocol):
    """The state of a node's predecessor and successor processes."""

    @property
    def has_predecessor(self) -> bool:
        """Whether an older process of this node is running."""

    @property
    def has_predecessor_serving(self) -> bool:
        """Whether another process was serving when this one started, so that this one is to replace it."""

    @property
    def is_standby(self) -> bool:
        """Whether another process serves and this one does not serve yet."""

    def begin_shutdown(self, now: datetime, /) -> ShutdownMode:
        """Notify the other processes that this one shuts down; return whether it drains or hands over."""

    def serving_state_changed(self, ready: bool, /) -> None:
        """Notify the other processes that an operator quiesced or resumed the node through this one."""


class Component:
    """An optional part of a node. A subclass overrides the methods that it needs."""

    name: ClassVar[str]
    start_phase: ClassVar[StartPhase]
    descriptors = 0  # file descriptors reserved from the node's budget for connections
    frontend: Frontend | None = None  # the frontend to register with the core, if any
    restart_state: RestartState | None = None  # set by the component that tracks the node's other processes

    async def open(self, config: Config, reuse_address: bool, /) -> None:
        """Open the component.

        Args:
            config: The configuration in force.
            reuse_address: Whether another process of this node may have bound the same address.

        Raises:
            OSError: the address can't be bound.

        """

    def check_config(self, config: Config, /) -> None:
        """Check that a changed configuration can be applied now, before any part of the node applies it.

        Raises:
            ConfigError: it can't be applied; the one in force stays.
        """

    def reconfigure(self, config: Config, /) -> None:
        """Apply a changed configuration, which is already in force."""

    def limit_memory(self, config: Config, processes: int, /) -> None:
        """Limit the memory of this component to its part in one of `processes` processes of the node."""

    def drain(self) -> None:
        """Start to drain, with or without a successor that serves."""

    @property
    def busy(self) -> bool:
        """Whether it still has work to finish before this process exits."""
        return False

    async def finish_requests(self, limit: timedelta, /) -> None:
        """Stop accepting operators' requests, and answer the accepted ones within `limit`."""

    def stop(self) -> None:
        """Release immediately everything that needs no waiting, when the node shuts down."""

    async def close(self) -> None:
        """Release the remaining resources, and wait until this is complete."""

    def status(self) -> dict[str, Any]:
        """Return the status for operators as JSON."""
        return {}

    def read_resource(self, path: str, /) -> dict[str, Any] | None:
        """Return the response to `GET /v1/PATH`, or None if this component has no resource at this path."""

    def execute_order(self, path: str, arguments: dict[str, Any], /) -> dict[str, Any] | None:
        """Carry out `POST /v1/PATH` and return its response, or None if this component has no order at this path.

        Raises:
            ValueError: an argument is invalid.
        """

    def metrics(self) -> dict[str, float]:
        """Return the current metrics by name."""
        return {}
