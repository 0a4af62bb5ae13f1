"""The typed configuration of one node, as it was read and checked.

Keys of the platform's file and of the operator's file have words of their own; where a field's name differs, its key
stands beside it.
"""

from __future__ import annotations

from dataclasses import Field, dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from marlstep.admission.settings import Settings, stored_as, stored_key
from marlstep.config.readers import Address, Table

if TYPE_CHECKING:  # loaded only by nodes whose configuration has need of them
    from pathlib import Path

    from marlstep.config.cluster_settings import ClusterConfig
    from marlstep.frontends.uwsgi_mapping import UwsgiMapping
    from marlstep.load_balancing.pool_config import PoolConfig


@dataclass(slots=True, frozen=True)
class AdminConfig:
    """The administration API, from `[admin]` of the operator's file."""

    listen: Address
    token: str


@dataclass(slots=True, frozen=True)
class UwsgiConfig:
    """The uwsgi frontend, from `[uwsgi]` of the operator's file."""

    listen: Address
    pools: tuple[PoolConfig, ...]
    mapping: UwsgiMapping
    max_body_bytes: int
    max_response_bytes: int
    max_connections: int
    read_timeout: timedelta


@dataclass(slots=True, frozen=True)
class Config:
    """All that one node is configured with.

    Attributes:
        name: of the node.
        listen: address of the platform's frontend.
        kernel: address of the kernel that runs requests.
        name_service: address of the name service; None where nothing is reported.
        database: address of the database that calls go to; None where there is none.
        seed: of the node's random choices.
        shutdown_timeout: from SIGTERM to the moment at which the platform stops the process.
        max_descriptors: file descriptors that the process may have open.
        memory_bytes: that the process may take.
        cores: share of the machine's cores that the node has.
        settings: of the admission controller.
        gauge_names: names of the kernel's gauges, in the order in which it sends them.
        uwsgi: the uwsgi frontend; None where it is off.
        admin: the administration API; None where it is off.
        cluster: the cluster of nodes; None where it is off.
        health_listen: address of the health endpoint; None where it is off.
        passed_socket: descriptor of the listening socket that the platform passes; None where it passes none.
        runtime_directory: shared by the processes of this node; None where there is none.
        platform_table: the platform's file as it was read.
        operator_table: the operator's file as it was read; empty without one.
        source: path of the platform's file.
    """

    name: str
    listen: Address
    kernel: Address
    name_service: Address | None = field(metadata=stored_as("naming"))
    database: Address | None = field(metadata=stored_as("db"))
    seed: int
    shutdown_timeout: timedelta = field(metadata=stored_as("stop_ms"))
    max_descriptors: int = field(metadata=stored_as("limits.sockets"))
    memory_bytes: int = field(metadata=stored_as("limits.memory_mb"))
    cores: float = field(metadata=stored_as("limits.cores"))
    settings: Settings
    gauge_names: tuple[str, ...] = field(metadata=stored_as("settings.familyInfo.ownStats"))
    uwsgi: UwsgiConfig | None = None
    admin: AdminConfig | None = None
    cluster: ClusterConfig | None = field(default=None, metadata=stored_as("fleet"))
    health_listen: Address | None = field(default=None, metadata=stored_as("mgmt"))
    passed_socket: int | None = field(default=None, metadata=stored_as("PROXY_PASSED_SOCKET"))
    runtime_directory: Path | None = field(default=None, metadata=stored_as("TMPDIR"))
    platform_table: Table = field(default_factory=dict, compare=False, repr=False)
    operator_table: Table = field(default_factory=dict, compare=False, repr=False)
    source: str = field(default="", compare=False)


def config_key(config_field: Field[Any]) -> str:
    """Return the key by which operators know a field of the configuration."""
    return stored_key(config_field)
