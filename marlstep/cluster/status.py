"""Status of a cluster node for operators, and its JSON with the keys of the administration API."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from marlstep.units import MILLISECOND


@dataclass(slots=True, frozen=True)
class ClusterStatus:
    """The cluster status of this process."""

    cluster: str
    node: str
    process_id: str
    group: str
    target: str  # the voter that is presumed to be the leader
    clock_drifts: bool
    since_response: timedelta | None  # since the leader's last response
    command_latencies: tuple[timedelta, ...]
    replica: dict[str, Any] | None  # the status of the replica; None if this node is not a voter
    transport_counts: dict[str, int]
    counts: dict[str, int]

    def to_json(self) -> dict[str, Any]:
        """Return the resource `fleet`."""
        since = self.since_response
        return {
            "fleet": self.cluster,
            "node": self.node,
            "boot": self.process_id,
            "group": self.group,
            "asks": self.target,
            "drifts": self.clock_drifts,
            "heard_ms": None if since is None else since // MILLISECOND,
            "asked_ms": [round(latency / MILLISECOND, 2) for latency in self.command_latencies],
            "voter": self.replica,
            "lines": self.transport_counts,
            "counts": self.counts,
        }


@dataclass(slots=True, frozen=True)
class HeldLeaseStatus:
    """A lease that this process holds."""

    name: str
    token: int
    time_left: timedelta

    def to_json(self) -> dict[str, Any]:
        """Return the row as JSON."""
        left_ms = max(0, self.time_left // MILLISECOND)
        return {"name": self.name, "token": self.token, "left_ms": left_ms}


@dataclass(slots=True, frozen=True)
class GrantedLeaseStatus:
    """A lease as recorded in the log."""

    name: str
    holder: str
    token: int
    previous_node: str
    grant_count: int

    def to_json(self) -> dict[str, Any]:
        """Return the row as JSON."""
        return {
            "name": self.name,
            "holder": self.holder,
            "token": self.token,
            "last": self.previous_node,
            "grants": self.grant_count,
        }


@dataclass(slots=True, frozen=True)
class TaskStatus:
    """The status of a task's runner on this node."""

    name: str
    state: str
    token: int
    counts: dict[str, int]

    def to_json(self) -> dict[str, Any]:
        """Return the row as JSON."""
        return {"name": self.name, "state": self.state, "token": self.token, "counts": self.counts}


@dataclass(slots=True, frozen=True)
class LeasesStatus:
    """The leases that this process holds, and the leases of all processes if this node is a voter."""

    node: str
    held: list[HeldLeaseStatus]
    granted: list[GrantedLeaseStatus] | None
    tasks: list[TaskStatus]

    def to_json(self) -> dict[str, Any]:
        """Return the resource `fleet/leases`."""
        return {
            "node": self.node,
            "holds": [lease.to_json() for lease in self.held],
            "agreed": None if self.granted is None else [lease.to_json() for lease in self.granted],
            "tasks": [task.to_json() for task in self.tasks],
        }


@dataclass(slots=True, frozen=True)
class AppliedCommand:
    """A command of the log and its result."""

    index: int
    command: dict[str, Any]
    result: dict[str, Any]

    def to_json(self) -> dict[str, Any]:
        """Return the row as JSON."""
        return {"index": self.index, "command": self.command, "result": self.result}


@dataclass(slots=True, frozen=True)
class LogStatus:
    """The latest commands of the log if this node is a voter, and the latest events on this node."""

    node: str
    applied: list[AppliedCommand]
    events: list[dict[str, object]]

    def to_json(self) -> dict[str, Any]:
        """Return the resource `fleet/log`."""
        return {
            "node": self.node,
            "applied": [command.to_json() for command in self.applied],
            "changes": self.events,
        }
