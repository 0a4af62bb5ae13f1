"""The base of all optional components of a node.

Which there are, and what turns each on, is the table in `registry`: a new component is one line there, and none in
the wiring.
"""

from __future__ import annotations

import enum
from datetime import datetime
from typing import TYPE_CHECKING, Any, ClassVar, Protocol

if TYPE_CHECKING:
    from marlstep.config import Config
    from marlstep.core.interfaces import Frontend


class StartPhase(enum.Enum):
    """When a component takes its address."""

    BEFORE_SERVING = "before serving"  # before the node serves, to say that it does not yet
    WITH_CLIENTS = "with clients"  # with the clients of kernel and database, in standby as well
    WITH_FRONTENDS = "with frontends"  # with the platform's frontend


class ShutdownMode(enum.Enum):
    """What a SIGTERM means for this process; `marlstep.drain.DrainController.drain` acts on it."""

    DRAIN = "drain"  # no other process serves in this one's place: the node drains
    HAND_OVER = (
        "hand over"  # a successor serves: this process accepts no more, and finishes what is in flight
    )


class RestartState(Protocol):
    """What a node has to know of its predecessor and its successor process."""

    @property
    def has_predecessor(self) -> bool:
        """Another process of this node is older than this one."""

    @property
    def has_predecessor_serving(self) -> bool:
        """At the start another process served, whose place this one is to take."""

    @property
    def is_standby(self) -> bool:
        """Another process serves, and this one does not yet."""

    def begin_shutdown(self, now: datetime, /) -> ShutdownMode:
        """Tell the other processes that this one shuts down. Return how: with or without a successor that serves."""

    def serving_state_changed(self, ready: bool, /) -> None:
        """Tell the others that an operator quiesced or resumed the node at this process."""


class Component:
    """An optional part of a node. A subclass overrides what it needs."""

    name: ClassVar[str]
    start_phase: ClassVar[StartPhase]
    descriptors = 0  # that it may take from the node's budget for connections
    frontend: Frontend | None = None  # the frontend that the core has to know of
    restart_state: RestartState | None = None  # of the one component that knows the node's other processes

    async def open(self, config: Config, reuse_address: bool, /) -> None:
        """Take its address; `reuse_address`: another process of this node may have it too. Raises OSError."""

    def reconfigure(self, config: Config, /) -> None:
        """Take over another configuration, which is in force by now."""

    def drain(self) -> None:
        """Begin to leave, alone or with a successor that serves: finish what is here."""

    @property
    def busy(self) -> bool:
        """It still has something to finish before this process ends."""
        return False

    def stop(self) -> None:
        """Give back all that can be given back at once: the node ends."""

    async def close(self) -> None:
        """Wait for what takes longer."""

    def status(self) -> dict[str, Any]:
        """Give what operators are shown, as JSON."""
        return {}

    def read_resource(self, path: str, /) -> dict[str, Any] | None:
        """Answer `GET /v1/NAME` of the administration API; None where it is not this component's."""

    def execute_order(self, path: str, arguments: dict[str, Any], /) -> dict[str, Any] | None:
        """Carry out `POST /v1/NAME`, likewise. Raises ValueError where the arguments make no sense."""

    def metrics(self) -> dict[str, float]:
        """Give what is counted or measured now, by the name that metrics have for it."""
        return {}
