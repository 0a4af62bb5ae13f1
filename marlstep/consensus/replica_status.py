"""What a replica shows to operators: its state, counters and events, in the JSON keys of the administration API."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

# What a replica counts since its start, by the words in metric names and in the status.
COUNTERS = (
    "commands",  # applied to the state machines
    "elections",  # won and established
    "beats",  # heartbeats of processes, received as the leader
    "asks",  # commands of clients, received as the leader and not answered from the cache
    "snapshots",  # installed from the leader
    "drifting",  # clocks found to drift, as the leader
)


@dataclass(slots=True, frozen=True)
class ReplicaEvent:
    """A change of leadership, membership or configuration, with its reason, for the log and the admin history."""

    summary: str
    reason: str


@dataclass(slots=True, frozen=True)
class ReplicaStatus:
    """A replica's place in the group and in the log."""

    identity: str
    role: str
    term: int
    leader: str  # empty where it is not known
    last_index: int
    commit_index: int
    snapshot_index: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    lag: dict[str, int]  # entries that each other member is behind; empty on a follower
    counts: dict[str, int]  # by the words of `COUNTERS`

    def to_json(self) -> dict[str, Any]:
        """Return the status by its keys in the administration API."""
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
    """What one process has reported in its last heartbeat to the leader."""

    process: str
    heard_ms: int  # since that heartbeat
    lease_ms: int  # left of its configuration lease
    document_states: list[list[Any]]
    request_counts: list[int]

    def to_json(self) -> dict[str, Any]:
        """Return the standing as the answer to a `standings` query has it."""
        return {
            "process": self.process,
            "heard_ms": self.heard_ms,
            "lease_ms": self.lease_ms,
            "acts": self.document_states,
            "figures": self.request_counts,
        }
