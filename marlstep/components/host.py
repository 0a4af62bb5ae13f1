"""The interfaces of the node that its components use, one narrow protocol for each component.

The module is imported for type checking only: components don't depend on the node, and the node doesn't load it.
"""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Protocol

from marlstep.components.base import Component
from marlstep.config import Config
from marlstep.config.document_overrides import DocumentOverrides
from marlstep.core.engine import Core
from marlstep.timer_queue import TimerQueue


class NodeServices(Protocol):
    """The interface that every component may use."""

    @property
    def config(self) -> Config:
        """The configuration in force."""

    @property
    def core(self) -> Core:
        """The core, which manages the lifecycle of requests."""

    @property
    def timeline(self) -> TimerQueue:
        """The node's timers, on the wall clock."""


class GovernedConfig(Protocol):
    """The configuration in force, which replicated documents can override."""

    governed: DocumentOverrides | None

    @property
    def config(self) -> Config:
        """The configuration in force."""

    def apply_config(self, config: Config, /) -> None:
        """Put another configuration in force.

        Raises:
            ConfigError: the configuration is invalid.
        """


class RestartDrain(Protocol):
    """The part of the node's drain that depends on a successor process."""

    def restart_timeout(self) -> timedelta:
        """Return the time from SIGTERM to the exit of this process if a successor serves."""

    def successor_lost(self) -> None:
        """Handle the loss of the successor: no other process replaces this one."""

    def successor_serves(self) -> None:
        """Handle a successor that accepts connections."""

    def successor_draining(self) -> None:
        """Handle the graceful shutdown of the successor."""


class AdminHost(NodeServices, Protocol):
    """The interface that the administration API uses."""

    @property
    def components(self) -> Mapping[str, Component]:
        """All components that were created so far, by name."""

    def drain(self) -> None:
        """Start a graceful shutdown, as SIGTERM does."""


class ClusterHost(NodeServices, Protocol):
    """The interface that the cluster node uses."""

    @property
    def components(self) -> Mapping[str, Component]:
        """All components that were created so far, by name."""

    @property
    def config_reloader(self) -> GovernedConfig:
        """The configuration that replicated documents can override."""


class HealthEndpointHost(NodeServices, Protocol):
    """The interface that the health endpoint uses."""

    def serving_state_changed(self) -> None:
        """Handle a quiesce or resume by an operator through this process."""


class HotRestartHost(NodeServices, Protocol):
    """The interface that hot restart uses."""

    @property
    def drain_controller(self) -> RestartDrain:
        """The node's drain."""

    def accept_connections(self) -> None:
        """Start accepting connections, as replacement of the predecessor if there is one."""

    def limit_capacity(self, capacity_share: float, /) -> None:
        """Limit this process to a share, from 0 to 1, of the node's memory, requests and connections."""

    def connection_share(self) -> float:
        """Return the share, from 0 to 1, that this process uses of the connections available to both processes."""

    def report_serving_state(self) -> None:
        """Report to the name service whether this node accepts requests."""


class ComponentHost(AdminHost, ClusterHost, HealthEndpointHost, HotRestartHost, Protocol):
    """The interfaces of all components combined."""
