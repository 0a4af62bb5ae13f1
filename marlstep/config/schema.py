"""The typed and validated configuration of one node.

A field whose name differs from its key in the platform's or the operator's file has that key in its metadata.
"""

from __future__ import annotations

from dataclasses import Field, dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from marlstep.admission.settings import Settings, stored_as, stored_key
from marlstep.config.readers import Address, Table

if TYPE_CHECKING:  # imported only by nodes whose configuration uses them
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
    """The configuration of one node.

    Attributes:
        name: of the node.
        listen: address of the platform's frontend.
        kernel: address of the kernel that runs requests.
        name_service: address of the name service; None if the node does not report to one.
        database: address of the database for downstream calls; None if there is none.
        seed: of the node's random number generators.
        shutdown_timeout: time from SIGTERM until the platform stops the process.
        max_descriptors: limit of the open file descriptors of the process.
        memory_bytes: limit of the memory of the process.
        cores: number of CPU cores that the node may use; may be a fraction.
        settings: settings of the admission controller.
        gauge_names: names of the kernel's gauges, in the order in which the kernel sends them.
        uwsgi: the uwsgi frontend; None if it is off.
        admin: the administration API; None if it is off.
        cluster: the cluster of nodes; None if it is off.
        health_listen: address of the health endpoint; None if it is off.
        passed_socket: descriptor of the listening socket that the platform passed; None if it passed none.
        runtime_directory: directory that the processes of this node share; None if there is none.
        platform_table: the parsed platform file.
        operator_table: the parsed operator file; empty without one.
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
    """Return the key of a field in the files, which operators know; its name unless the metadata has another."""
    return stored_key(config_field)
