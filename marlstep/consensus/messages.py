"""The messages of the Raft protocol between members of a group.

Each carries the term of its sender. The wire tags and keys beside the fields are the stored form; field names follow
the paper's figures 2 (RequestVote, AppendEntries) and 13 (InstallSnapshot).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, ClassVar

from marlstep.consensus.log import Configuration, EntryType, LogEntry
from marlstep.errors import MarlstepError
from marlstep.net.codec import BOOLEAN, INTEGER, TEXT, ValueType, wire

# The bodies of the entries of one AppendEntries, or the data of one InstallSnapshotChunk.
MAX_CHARACTERS_PER_MESSAGE = 12 * 1024


class MalformedMessageError(MarlstepError, ValueError):
    """A value inside a message has another form than its field requires."""

    def __init__(self, key: str, expected: str, found: object) -> None:
        """Name the wire key, the form that was expected of its value, and the value."""
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
    """The leader's entries after `prev_log_index`, perhaps none, and its commit index (section 5.3)."""

    wire_tag: ClassVar[str] = "Append"

    term: int = field(metadata=wire("term", INTEGER))
    # Grows with every broadcast of a leader, so a response proves that it still led after that broadcast was sent.
    heartbeat_round: int = field(metadata=wire("round", INTEGER))
    prev_log_index: int = field(metadata=wire("prev", INTEGER))
    prev_log_term: int = field(metadata=wire("prev_term", INTEGER))
    leader_commit: int = field(metadata=wire("commit", INTEGER))
    entries: tuple[LogEntry, ...] = field(metadata=wire("entries", ENTRIES), default=())


@dataclass(slots=True, frozen=True)
class AppendEntriesResponse:
    """The answer to AppendEntries.

    On success `match_index` is the last entry that is durable and equal to the leader's; on a rejection it is the
    index from which the leader should try again.
    """

    wire_tag: ClassVar[str] = "Appended"

    term: int = field(metadata=wire("term", INTEGER))
    heartbeat_round: int = field(metadata=wire("round", INTEGER))
    success: bool = field(metadata=wire("good", BOOLEAN))
    match_index: int = field(metadata=wire("last", INTEGER))


@dataclass(slots=True, frozen=True)
class RequestVote:
    """A candidate's request for a vote (section 5.2).

    `pre_vote` asks whether the vote would be granted in `term`, without entering it (section 9.6 of the
    dissertation). `leadership_transfer` marks an election that the leader itself started (section 3.10 there).
    """

    wire_tag: ClassVar[str] = "VoteAsk"

    term: int = field(metadata=wire("term", INTEGER))
    pre_vote: bool = field(metadata=wire("pre", BOOLEAN))
    leadership_transfer: bool = field(metadata=wire("forced", BOOLEAN))
    last_log_index: int = field(metadata=wire("last", INTEGER))
    last_log_term: int = field(metadata=wire("last_term", INTEGER))


@dataclass(slots=True, frozen=True)
class RequestVoteResponse:
    """The answer to RequestVote: `term` is the voter's own, `requested_term` the one that was asked for."""

    wire_tag: ClassVar[str] = "Vote"

    term: int = field(metadata=wire("term", INTEGER))
    requested_term: int = field(metadata=wire("asked", INTEGER))
    pre_vote: bool = field(metadata=wire("pre", BOOLEAN))
    granted: bool = field(metadata=wire("granted", BOOLEAN))


@dataclass(slots=True, frozen=True)
class InstallSnapshotChunk:
    """A part of the leader's snapshot that starts `offset` characters into its data (section 7)."""

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
    """The answer to a chunk: how many characters were received; `done` once the snapshot is installed and durable."""

    wire_tag: ClassVar[str] = "SnapshotTaken"

    term: int = field(metadata=wire("term", INTEGER))
    heartbeat_round: int = field(metadata=wire("round", INTEGER))
    last_included_index: int = field(metadata=wire("index", INTEGER))
    offset: int = field(metadata=wire("offset", INTEGER))
    done: bool = field(metadata=wire("done", BOOLEAN))


@dataclass(slots=True, frozen=True)
class TimeoutNow:
    """A leader's order to start an election at once (leadership transfer, section 3.10 of the dissertation)."""

    wire_tag: ClassVar[str] = "ElectNow"

    term: int = field(metadata=wire("term", INTEGER))


@dataclass(slots=True, frozen=True)
class LogRegressed:
    """A leader's notice that the member had acknowledged more entries than its log has now.

    Such a member has lost durable state and must rejoin under a new identity.
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
