"""The results of configuration commands, in the form that snapshots store and clients read."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from marlstep.consensus.state_machine import ResultJson


@dataclass(slots=True, frozen=True)
class ChunkStored:
    """A chunk was appended to an upload, which now has `size` characters."""

    size: int

    def to_json(self) -> ResultJson:
        """Return the stored form."""
        return {"taken": self.size}


@dataclass(slots=True, frozen=True)
class VersionPrepared:
    """The uploaded content was accepted as the prepared version."""

    number: int
    digest: str
    waits_for: list[str]  # processes that have yet to acknowledge or reject it
    rollout_nodes: list[str] | None  # None without a canary rollout

    def to_json(self) -> ResultJson:
        """Return the stored form."""
        stored: ResultJson = {"prepares": self.number, "digest": self.digest, "waits_for": self.waits_for}
        return stored if self.rollout_nodes is None else {**stored, "first_on": self.rollout_nodes}


@dataclass(slots=True, frozen=True)
class DocumentSummary:
    """A document's state at the log position of a `ReadDocument` command."""

    version: int  # the active one; 0: none yet
    digest: str
    prepared_version: int  # 0: none
    rollout_started: bool
    rejected_versions: list[dict[str, Any]]

    def to_json(self) -> ResultJson:
        """Return the stored form."""
        return {
            "version": self.version,
            "digest": self.digest,
            "pending": self.prepared_version,
            "staged": self.rollout_started,
            "turned_down": [dict(row) for row in self.rejected_versions],
        }


@dataclass(slots=True, frozen=True)
class AcknowledgementRecorded:
    """The acknowledgement of the prepared version by a process was recorded."""

    holder: str

    def to_json(self) -> ResultJson:
        """Return the stored form."""
        return {"acked": self.holder}


@dataclass(slots=True, frozen=True)
class RejectionRecorded:
    """The rejection of the prepared version by a process was recorded."""

    holder: str

    def to_json(self) -> ResultJson:
        """Return the stored form."""
        return {"noted": self.holder}


@dataclass(slots=True, frozen=True)
class CommitDelayed:
    """The commit has to wait for processes that have neither acknowledged nor rejected the version yet."""

    waits_for: list[str]

    def to_json(self) -> ResultJson:
        """Return the stored form."""
        return {"waits_for": self.waits_for}


@dataclass(slots=True, frozen=True)
class RolloutStarted:
    """The canary rollout has started: its nodes activate the prepared version."""

    version: int
    nodes: list[str]

    def to_json(self) -> ResultJson:
        """Return the stored form."""
        return {"staged": self.version, "first_on": self.nodes}


@dataclass(slots=True, frozen=True)
class VersionCommitted:
    """The version was committed and is now active."""

    version: int

    def to_json(self) -> ResultJson:
        """Return the stored form."""
        return {"in_force": self.version}


@dataclass(slots=True, frozen=True)
class VersionWithdrawn:
    """The version was withdrawn; its number is not reused."""

    version: int

    def to_json(self) -> ResultJson:
        """Return the stored form."""
        return {"withdrawn": self.version}


ConfigResult = (
    ChunkStored
    | VersionPrepared
    | DocumentSummary
    | AcknowledgementRecorded
    | RejectionRecorded
    | CommitDelayed
    | RolloutStarted
    | VersionCommitted
    | VersionWithdrawn
)
