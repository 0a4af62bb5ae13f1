"""Messages between nodes and replicas, and the union of all messages that a replica receives or sends."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import ClassVar

from marlstep.consensus.messages import RAFT_MESSAGES, RaftMessage
from marlstep.leases.messages import Heartbeat, HeartbeatResponse, RelayAnnouncement, ServerRecovered
from marlstep.net.codec import BOOLEAN, INTEGER, TEXT, wire
from marlstep.replicated_config.messages import DocumentChunk, FetchChunk


@dataclass(slots=True, frozen=True)
class CommandRequest:
    """A named command from a node, sent again until it is told."""

    wire_tag: ClassVar[str] = "Ask"

    client: str = field(metadata=wire("by", TEXT))
    number: int = field(metadata=wire("number", INTEGER))
    command: str = field(metadata=wire("command", TEXT))  # JSON


@dataclass(slots=True, frozen=True)
class CommandResponse:
    """`done`: it was applied, and this is its result, as JSON. Else: ask that node."""

    wire_tag: ClassVar[str] = "Told"

    number: int = field(metadata=wire("number", INTEGER))
    applied: bool = field(metadata=wire("done", BOOLEAN))
    leader: str = field(metadata=wire("leader", TEXT))
    result: str = field(metadata=wire("result", TEXT), default="")


@dataclass(slots=True, frozen=True)
class JoinRequest:
    """A store without a past asks to be taken in: first to listen, and to vote once it has caught up."""

    wire_tag: ClassVar[str] = "Join"

    node: str = field(metadata=wire("node", TEXT))
    identity: str = field(metadata=wire("identity", TEXT))


Message = (
    RaftMessage
    | CommandRequest
    | CommandResponse
    | Heartbeat
    | HeartbeatResponse
    | JoinRequest
    | ServerRecovered
    | FetchChunk
    | DocumentChunk
    | RelayAnnouncement
)
MESSAGES = (
    *RAFT_MESSAGES,
    CommandRequest,
    CommandResponse,
    Heartbeat,
    HeartbeatResponse,
    JoinRequest,
    ServerRecovered,
    FetchChunk,
    DocumentChunk,
    RelayAnnouncement,
)
