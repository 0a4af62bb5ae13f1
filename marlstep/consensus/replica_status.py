"""The state, counters and events that a replica shows to operators, with the keys of the administration API."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

# Counters since the start of the replica, by their names in metrics and in the status.
COUNTERS = (
    "commands",  # applied to the state machines
    "elections",  # won and established
    "beats",  # heartbeats of processes, received while leading
    "asks",  # commands of clients, received while leading and not answered from the cached results
    "snapshots",  # installed from the leader
    "drifting",  # clocks found to drift, while leading
)


@dataclass(slots=True, frozen=True)
class ReplicaEvent:
    """A change of leadership, membership or configuration, for the log and the administration API's history."""

    summary: str
    reason: str


@dataclass(slots=True, frozen=True)
class ReplicaStatus:
    """The state of a replica in the group and in the log."""

    identity: str
    role: str
    term: int
    leader: str  # empty if unknown
    last_index: int
    commit_index: int
    snapshot_index: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    lag: dict[str, int]  # entries by which each other member is behind; empty on a follower
    counts: dict[str, int]  # by the names in `COUNTERS`

    def to_json(self) -> dict[str, Any]:
        """Return the status with the keys of the administration API."""
        return {
            "identity": self.identity,
            "role": self.role,
            "term": self.term,
            "leader": self.leader,
            "last": self.last_index,
            "commit": self.commit_index,
            "snapshot": self.snapshot_index,
            "voters": list(self.voters),
            "learners": list(self.learners),
            "lag": self.lag,
            "counts": self.counts,
        }


@dataclass(slots=True, frozen=True)
class ProcessStanding:
    """The report of one process in its last heartbeat to the leader."""

    process: str
    heartbeat_age_ms: int  # time since that heartbeat
    lease_remaining_ms: int  # time left until its configuration lease expires
    document_states: list[list[Any]]
    request_counts: list[int]

    def to_json(self) -> dict[str, Any]:
        """Return the row of this process in the response to a `standings` query."""
        return {
            "process": self.process,
            "heard_ms": self.heartbeat_age_ms,
            "lease_ms": self.lease_remaining_ms,
            "acts": self.document_states,
            "figures": self.request_counts,
        }
