"""The messages of the Raft protocol between members of a group.

Each message carries the term of its sender. `wire_tag` and the keys given to `wire` are the encoded form; field names
follow figures 2 (RequestVote, AppendEntries) and 13 (InstallSnapshot) of the Raft paper.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, ClassVar

from marlstep.consensus.log import Configuration, EntryType, LogEntry
from marlstep.errors import MarlstepError
from marlstep.net.codec import BOOLEAN, INTEGER, TEXT, ValueType, wire

# Applies to the entries of one AppendEntries and to the data of one InstallSnapshotChunk.
MAX_CHARACTERS_PER_MESSAGE = 12 * 1024


class MalformedMessageError(MarlstepError, ValueError):
    """A value in a message does not have the form that its field requires."""

    def __init__(self, key: str, expected: str, found: object) -> None:
        """Initialize the error with the wire key, the expected form of its value, and the value found."""
        super().__init__(f"{key}: expected {expected}, found {repr(found)[:200]}")


def _read_entries(rows: object) -> tuple[LogEntry, ...]:
    if not isinstance(rows, list):
        raise MalformedMessageError("entries", "a list", rows)
    return tuple(_read_entry(row) for row in rows)


def _read_entry(row: dict[str, Any]) -> LogEntry:
    index, term, entry_type, body = row["index"], row["term"], EntryType(row["kind"]), row["body"]
    if type(index) is not int or type(term) is not int or not isinstance(body, str):
        raise MalformedMessageError("entries", "an integer index and term and a text body", row)
    if entry_type is EntryType.CONFIGURATION:
        Configuration.decode(body)
    return LogEntry(index, term, entry_type, body)


def _write_entries(entries: tuple[LogEntry, ...]) -> object:
    return [
        {"index": entry.index, "term": entry.term, "kind": entry.entry_type.value, "body": entry.body}
        for entry in entries
    ]


def _read_configuration(value: object) -> Configuration:
    if not isinstance(value, dict):
        raise MalformedMessageError("group", "an object with voters and learners", value)
    voters, learners = value["voters"], value["learners"]
    if not all(isinstance(name, str) for name in [*voters, *learners]):
        raise MalformedMessageError("group", "members that are text", value)
    return Configuration(tuple(voters), tuple(learners))


def _write_configuration(configuration: Configuration) -> object:
    return {"voters": configuration.voters, "learners": configuration.learners}


ENTRIES = ValueType(_read_entries, _write_entries)
CONFIGURATION = ValueType(_read_configuration, _write_configuration)


@dataclass(slots=True, frozen=True)
class AppendEntries:
    """The leader's entries after `prev_log_index`, none in a heartbeat or probe, and its commit index (section 5.3)."""

    wire_tag: ClassVar[str] = "Append"

    term: int = field(metadata=wire("term", INTEGER))
    # Incremented with every broadcast: a response proves that the leader still led after sending it.
    heartbeat_round: int = field(metadata=wire("round", INTEGER))
    prev_log_index: int = field(metadata=wire("prev", INTEGER))
    prev_log_term: int = field(metadata=wire("prev_term", INTEGER))
    leader_commit: int = field(metadata=wire("commit", INTEGER))
    entries: tuple[LogEntry, ...] = field(metadata=wire("entries", ENTRIES), default=())


@dataclass(slots=True, frozen=True)
class AppendEntriesResponse:
    """The response to AppendEntries.

    On success, `match_index` is the last entry that is durable and matches the leader's log. On rejection, it is the
    index from which the leader should retry.
    """

    wire_tag: ClassVar[str] = "Appended"

    term: int = field(metadata=wire("term", INTEGER))
    heartbeat_round: int = field(metadata=wire("round", INTEGER))
    success: bool = field(metadata=wire("good", BOOLEAN))
    match_index: int = field(metadata=wire("last", INTEGER))


@dataclass(slots=True, frozen=True)
class RequestVote:
    """A candidate's request for a vote (section 5.2).

    `pre_vote` asks whether the vote would be granted in `term`, without starting that term (section 9.6 of Ongaro's
    dissertation). `leadership_transfer` marks an election that the leader itself ordered (section 3.10 of the
    dissertation).
    """

    wire_tag: ClassVar[str] = "VoteAsk"

    term: int = field(metadata=wire("term", INTEGER))
    pre_vote: bool = field(metadata=wire("pre", BOOLEAN))
    leadership_transfer: bool = field(metadata=wire("forced", BOOLEAN))
    last_log_index: int = field(metadata=wire("last", INTEGER))
    last_log_term: int = field(metadata=wire("last_term", INTEGER))


@dataclass(slots=True, frozen=True)
class RequestVoteResponse:
    """The response to RequestVote: `term` is the voter's current term, `requested_term` the term of the request."""

    wire_tag: ClassVar[str] = "Vote"

    term: int = field(metadata=wire("term", INTEGER))
    requested_term: int = field(metadata=wire("asked", INTEGER))
    pre_vote: bool = field(metadata=wire("pre", BOOLEAN))
    granted: bool = field(metadata=wire("granted", BOOLEAN))


@dataclass(slots=True, frozen=True)
class InstallSnapshotChunk:
    """A part of the leader's snapshot, starting at character `offset` of its data (section 7)."""

    wire_tag: ClassVar[str] = "SnapshotPart"

    term: int = field(metadata=wire("term", INTEGER))
    heartbeat_round: int = field(metadata=wire("round", INTEGER))
    last_included_index: int = field(metadata=wire("index", INTEGER))
    last_included_term: int = field(metadata=wire("index_term", INTEGER))
    configuration: Configuration = field(metadata=wire("group", CONFIGURATION))
    offset: int = field(metadata=wire("offset", INTEGER))
    data: str = field(metadata=wire("data", TEXT))
    done: bool = field(metadata=wire("done", BOOLEAN))


@dataclass(slots=True, frozen=True)
class InstallSnapshotResponse:
    """The response to a chunk.

    `offset` is the number of characters received. `done` is set once the snapshot is installed and durable.
    """

    wire_tag: ClassVar[str] = "SnapshotTaken"

    term: int = field(metadata=wire("term", INTEGER))
    heartbeat_round: int = field(metadata=wire("round", INTEGER))
    last_included_index: int = field(metadata=wire("index", INTEGER))
    offset: int = field(metadata=wire("offset", INTEGER))
    done: bool = field(metadata=wire("done", BOOLEAN))


@dataclass(slots=True, frozen=True)
class TimeoutNow:
    """A leader's order to start an election immediately (leadership transfer, section 3.10 of the dissertation)."""

    wire_tag: ClassVar[str] = "ElectNow"

    term: int = field(metadata=wire("term", INTEGER))


@dataclass(slots=True, frozen=True)
class LogRegressed:
    """A leader's notice that the member has acknowledged more entries than its log now contains.

    Such a member has lost durable state and must rejoin the group under a new identity.
    """

    wire_tag: ClassVar[str] = "Forgot"

    term: int = field(metadata=wire("term", INTEGER))
    acknowledged_index: int = field(metadata=wire("said", INTEGER))


RaftMessage = (
    AppendEntries
    | AppendEntriesResponse
    | RequestVote
    | RequestVoteResponse
    | InstallSnapshotChunk
    | InstallSnapshotResponse
    | TimeoutNow
    | LogRegressed
)
RAFT_MESSAGES = (
    AppendEntries,
    AppendEntriesResponse,
    RequestVote,
    RequestVoteResponse,
    InstallSnapshotChunk,
    InstallSnapshotResponse,
    TimeoutNow,
    LogRegressed,
)
