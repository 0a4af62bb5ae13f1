"""Messages between nodes and replicas, and the union of all messages that a replica receives or sends."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import ClassVar

from marlstep.consensus.messages import RAFT_MESSAGES, RaftMessage
from marlstep.consensus.state_machine import CommandJson
from marlstep.leases.messages import Heartbeat, HeartbeatResponse, RelayAnnouncement, ServerRecovered
from marlstep.net.codec import BOOLEAN, INTEGER, TEXT, wire
from marlstep.replicated_config.messages import DocumentChunk, FetchChunk


@dataclass(slots=True, frozen=True)
class CommandRequest:
    """A command of a client, which sends it again until it gets a response (section 8 of the paper)."""

    wire_tag: ClassVar[str] = "Ask"

    client: str = field(metadata=wire("by", TEXT))
    number: int = field(metadata=wire("number", INTEGER))
    command: str = field(metadata=wire("command", TEXT))  # JSON


@dataclass(slots=True, frozen=True)
class CommandResponse:
    """The answer to a command: its result as JSON if it was applied, otherwise the node to ask next."""

    wire_tag: ClassVar[str] = "Told"

    number: int = field(metadata=wire("number", INTEGER))
    applied: bool = field(metadata=wire("done", BOOLEAN))
    leader: str = field(metadata=wire("leader", TEXT))
    result: str = field(metadata=wire("result", TEXT), default="")


STANDINGS_QUERY = "standings"  # a request's machine name that the leader answers without the log


@dataclass(slots=True, frozen=True)
class ReadStandings:
    """Ask the leader what each process has reported, from one row on. It is answered without the log."""

    start: int = 0

    def to_json(self) -> CommandJson:
        """Return the form in which a `CommandRequest` carries it."""
        return {"m": STANDINGS_QUERY, "from": self.start}


@dataclass(slots=True, frozen=True)
class JoinRequest:
    """A replica with an empty store asks to join the group, first as a learner."""

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
