"""What a follower asks its driver to do; the follower itself does no I/O."""

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
    """Propose the acknowledgement, or the rejection, of a prepared version to the log."""

    name: str
    version: int
    digest: str
    rejection: str  # empty: this node can activate the version


@dataclass(slots=True, frozen=True)
class ActivateVersion:
    """Apply a content from now on, between two turns of the event loop."""

    name: str
    version: int
    content: str


@dataclass(slots=True, frozen=True)
class SuspendDocument:
    """Accept no new work under the document, as far as the policy demands it; the reason is for the log."""

    name: str
    policy: DisconnectPolicy
    reason: str


@dataclass(slots=True, frozen=True)
class ProposeFirstVersion:
    """Propose the content of this node's own files: the group has no such document yet."""

    name: str


FollowerAction = (
    CheckVersion | AcknowledgeVersion | ActivateVersion | SuspendDocument | ProposeFirstVersion | FetchChunk
)
