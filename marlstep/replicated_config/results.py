"""The results of configuration commands, in the form that snapshots store and clients read."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from marlstep.consensus.state_machine import ResultJson


@dataclass(slots=True, frozen=True)
class ChunkStored:
    """An upload has so many characters by now."""

    size: int

    def to_json(self) -> ResultJson:
        """Return the stored form."""
        return {"taken": self.size}


@dataclass(slots=True, frozen=True)
class VersionPrepared:
    """A version is being prepared."""

    number: int
    digest: str
    waits_for: list[str]  # processes that have to acknowledge it
    rollout_nodes: list[str] | None  # None without a canary rollout

    def to_json(self) -> ResultJson:
        """Return the stored form."""
        stored: ResultJson = {"prepares": self.number, "digest": self.digest, "waits_for": self.waits_for}
        return stored if self.rollout_nodes is None else {**stored, "first_on": self.rollout_nodes}


@dataclass(slots=True, frozen=True)
class DocumentSummary:
    """A document's state at one place of the log."""

    version: int  # 0: none is active yet
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
    """A process can activate the prepared version."""

    holder: str

    def to_json(self) -> ResultJson:
        """Return the stored form."""
        return {"acked": self.holder}


@dataclass(slots=True, frozen=True)
class RejectionRecorded:
    """A process can't activate the prepared version."""

    holder: str

    def to_json(self) -> ResultJson:
        """Return the stored form."""
        return {"noted": self.holder}


@dataclass(slots=True, frozen=True)
class CommitDelayed:
    """A process that started meanwhile has to acknowledge the version before it can be committed."""

    waits_for: list[str]

    def to_json(self) -> ResultJson:
        """Return the stored form."""
        return {"waits_for": self.waits_for}


@dataclass(slots=True, frozen=True)
class RolloutStarted:
    """The nodes of a canary rollout activate the prepared version."""

    version: int
    nodes: list[str]

    def to_json(self) -> ResultJson:
        """Return the stored form."""
        return {"staged": self.version, "first_on": self.nodes}


@dataclass(slots=True, frozen=True)
class VersionCommitted:
    """The version is active."""

    version: int

    def to_json(self) -> ResultJson:
        """Return the stored form."""
        return {"in_force": self.version}


@dataclass(slots=True, frozen=True)
class VersionWithdrawn:
    """The version is withdrawn, and its number is not given again."""

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
