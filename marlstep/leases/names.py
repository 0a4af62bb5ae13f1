"""Names of lease holders and of leases."""

from __future__ import annotations

from typing import NamedTuple

SEPARATOR = "/"
# A process may use replicated configuration only while it holds a lease with this prefix: its configuration lease.
CONFIG_LEASE_PREFIX = "rules/"


class ProcessName(NamedTuple):
    """A process of a node; a restarted node has a new one. `str()` returns the form used in logs and stores."""

    node: str
    process_id: str

    def __str__(self) -> str:
        """Return the name in its stored form: `node/process`."""
        return f"{self.node}{SEPARATOR}{self.process_id}"


def node_of(holder: str) -> str:
    """Return the node of a lease holder named `node/process`; empty if `holder` is empty."""
    return holder.partition(SEPARATOR)[0]


def is_config_lease(lease_name: str) -> bool:
    """Return whether the lease permits a process to use replicated configuration, rather than to run a task."""
    return lease_name.startswith(CONFIG_LEASE_PREFIX)
