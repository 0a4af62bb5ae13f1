"""Messages between nodes and replicas, and the union of all messages that a replica sends or receives."""

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
    """A command of a client, which resends it until it receives a response (section 8 of the Raft paper)."""

    wire_tag: ClassVar[str] = "Ask"

    client: str = field(metadata=wire("by", TEXT))
    number: int = field(metadata=wire("number", INTEGER))
    command: str = field(metadata=wire("command", TEXT))  # JSON


@dataclass(slots=True, frozen=True)
class CommandResponse:
    """The response to a command: its result as JSON if it was applied, otherwise the node of the leader to retry at."""

    wire_tag: ClassVar[str] = "Told"

    number: int = field(metadata=wire("number", INTEGER))
    applied: bool = field(metadata=wire("done", BOOLEAN))
    leader: str = field(metadata=wire("leader", TEXT))
    result: str = field(metadata=wire("result", TEXT), default="")


STANDINGS_QUERY = "standings"  # in place of a state machine's name: the leader answers without a log entry


@dataclass(slots=True, frozen=True)
class ReadStandings:
    """A query for the last reports of all processes, from row `start` on; the leader answers without a log entry."""

    start: int = 0

    def to_json(self) -> CommandJson:
        """Return the query as the command of a `CommandRequest`."""
        return {"m": STANDINGS_QUERY, "from": self.start}


@dataclass(slots=True, frozen=True)
class JoinRequest:
    """A request of a replica with an empty store to join the group, first as a learner."""

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
