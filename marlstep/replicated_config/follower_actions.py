"""The actions that a follower, which does no I/O itself, returns to its driver."""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.replicated_config.documents import DisconnectPolicy
from marlstep.replicated_config.messages import FetchChunk


@dataclass(slots=True, frozen=True)
class CheckVersion:
    """Validate a content on this node, and pass the result to `ConfigFollower.handle_check_result`."""

    name: str
    version: int
    content: str


@dataclass(slots=True, frozen=True)
class AcknowledgeVersion:
    """Propose a command to the log that acknowledges or rejects a prepared version."""

    name: str
    version: int
    digest: str
    rejection: str  # empty: this node can activate the version


@dataclass(slots=True, frozen=True)
class ActivateVersion:
    """Apply a content completely within one turn of the event loop."""

    name: str
    version: int
    content: str


@dataclass(slots=True, frozen=True)
class SuspendDocument:
    """Stop using the document as its disconnect policy requires. The reason is for operators."""

    name: str
    policy: DisconnectPolicy
    reason: str


@dataclass(slots=True, frozen=True)
class ProposeFirstVersion:
    """Propose the content of this node's own files as the first version, as the group does not have the document."""

    name: str


@dataclass(slots=True, frozen=True)
class ReportOlderVersion:
    """Report to operators that the group has gone back to an older version, as a recovered group may."""

    name: str
    version: int  # active in the group now; 0: the group does not have the document any more
    newest_version: int  # that was active in the group before


FollowerAction = (
    CheckVersion
    | AcknowledgeVersion
    | ActivateVersion
    | SuspendDocument
    | ProposeFirstVersion
    | ReportOlderVersion
    | FetchChunk
)
