"""What components use of the node that they belong to, one narrow protocol for each.

The module is imported for types alone: components don't know the node, and the node doesn't load this.
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
    """What every component may use."""

    @property
    def config(self) -> Config:
        """The configuration in force."""

    @property
    def core(self) -> Core:
        """The request lifecycle."""

    @property
    def timeline(self) -> TimerQueue:
        """The node's timers, on the wall clock."""


class GovernedConfig(Protocol):
    """The configuration in force, as documents of the cluster govern it."""

    governed: DocumentOverrides | None

    @property
    def config(self) -> Config:
        """The configuration in force."""

    def apply_config(self, config: Config, /) -> None:
        """Put another configuration in force. Raises ConfigError."""


class RestartDrain(Protocol):
    """The node's drain, as far as a successor process decides on it."""

    def restart_timeout(self) -> timedelta:
        """Time from SIGTERM to the end where a successor serves."""

    def successor_lost(self) -> None:
        """Handle the loss of the successor: no other process serves in the place of this one."""

    def successor_draining(self) -> None:
        """Handle the graceful shutdown of the successor."""


class AdminHost(NodeServices, Protocol):
    """What the administration API needs."""

    @property
    def components(self) -> Mapping[str, Component]:
        """All components that were made so far, by name."""

    def drain(self) -> None:
        """Leave, as at SIGTERM."""


class ClusterHost(NodeServices, Protocol):
    """What the node's part in a cluster needs."""

    @property
    def components(self) -> Mapping[str, Component]:
        """All components that were made so far, by name."""

    @property
    def config_reloader(self) -> GovernedConfig:
        """What documents govern."""


class HealthEndpointHost(NodeServices, Protocol):
    """What the health endpoint needs."""

    def serving_state_changed(self) -> None:
        """Handle an operator's quiesce or resume at this process."""


class HotRestartHost(NodeServices, Protocol):
    """What a hot restart needs."""

    @property
    def drain_controller(self) -> RestartDrain:
        """The node's drain."""

    def take_over(self) -> None:
        """Serve in the place of the predecessor process."""

    def limit_memory_share(self, share: float, /) -> None:
        """Bound this process to its share, 0 to 1, of the node's requests and connections."""

    def connection_share(self) -> float:
        """Tell which share of the connections that two processes have together is in use in this one."""

    def report_serving_state(self) -> None:
        """Tell the name service whether requests are wanted here."""


class ComponentHost(AdminHost, ClusterHost, HealthEndpointHost, HotRestartHost, Protocol):
    """What all components need together."""
