"""Names of lease holders and of leases."""

from __future__ import annotations

from typing import NamedTuple

SEPARATOR = "/"
CONFIG_LEASE_PREFIX = "rules/"  # of leases under which processes act on replicated configuration


class ProcessName(NamedTuple):
    """One process of a node; a restarted node has a new one. `str()` gives the form that logs and stores hold."""

    node: str
    process_id: str

    def __str__(self) -> str:
        """The name as it is stored: `node/process`."""
        return f"{self.node}{SEPARATOR}{self.process_id}"


def node_of(holder: str) -> str:
    """The node of a lease holder that is named `node/process`; empty where `holder` is."""
    return holder.partition(SEPARATOR)[0]


def is_config_lease(lease_name: str) -> bool:
    """Whether a process holds that lease to act on replicated configuration, rather than to do a task."""
    return lease_name.startswith(CONFIG_LEASE_PREFIX)
