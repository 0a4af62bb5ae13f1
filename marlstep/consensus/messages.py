"""What voters write to each other. Each names the term of who wrote it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import ClassVar

from marlstep.consensus.log import Configuration, EntryType, LogEntry
from marlstep.net.codec import BOOLEAN, INTEGER, TEXT, ValueType, wire


def _read_entries(value: object) -> tuple[LogEntry, ...]:
    if not isinstance(value, list):
        raise ValueError("entries must be a list")
    made = []
    for row in value:
        index, term, kind, body = row["index"], row["term"], EntryType(row["kind"]), row["body"]
        if type(index) is not int or type(term) is not int or not isinstance(body, str):
            raise ValueError("no entry")
        if kind is EntryType.CONFIGURATION:
            Configuration.decode(body)
        made.append(LogEntry(index, term, kind, body))
    return tuple(made)


def _write_entries(entries: tuple[LogEntry, ...]) -> object:
    return [
        {"index": entry.index, "term": entry.term, "kind": entry.entry_type.value, "body": entry.body}
        for entry in entries
    ]


def _read_group(value: object) -> Configuration:
    if not isinstance(value, dict):
        raise ValueError("no group")
    voters, learners = value["voters"], value["learners"]
    if not all(isinstance(name, str) for name in [*voters, *learners]):
        raise ValueError("a group's members must be names")
    return Configuration(tuple(voters), tuple(learners))


def _write_group(group: Configuration) -> object:
    return {"voters": group.voters, "learners": group.learners}


ENTRIES = ValueType(_read_entries, _write_entries)
GROUP = ValueType(_read_group, _write_group)


@dataclass(slots=True, frozen=True)
class AppendEntries:
    """From the leader: the entries behind `prev`, perhaps none, and how far the log is committed."""

    wire_tag: ClassVar[str] = "Append"

    term: int = field(metadata=wire("term", INTEGER))
    # grows with every broadcast of a leader: an answer to it proves that it led after it was sent
    heartbeat_round: int = field(metadata=wire("round", INTEGER))
    prev_log_index: int = field(metadata=wire("prev", INTEGER))
    prev_log_term: int = field(metadata=wire("prev_term", INTEGER))
    leader_commit: int = field(metadata=wire("commit", INTEGER))
    entries: tuple[LogEntry, ...] = field(metadata=wire("entries", ENTRIES), default=())


@dataclass(slots=True, frozen=True)
class AppendEntriesResponse:
    """`last` is what is durable here and the same as the leader's; or, refused, where to try from."""

    wire_tag: ClassVar[str] = "Appended"

    term: int = field(metadata=wire("term", INTEGER))
    heartbeat_round: int = field(metadata=wire("round", INTEGER))
    success: bool = field(metadata=wire("good", BOOLEAN))
    match_index: int = field(metadata=wire("last", INTEGER))


@dataclass(slots=True, frozen=True)
class RequestVote:
    """`pre`: would you vote for me in that term? `forced`: the leader itself asked for this election."""

    wire_tag: ClassVar[str] = "VoteAsk"

    term: int = field(metadata=wire("term", INTEGER))
    pre_vote: bool = field(metadata=wire("pre", BOOLEAN))
    leadership_transfer: bool = field(metadata=wire("forced", BOOLEAN))
    last_log_index: int = field(metadata=wire("last", INTEGER))
    last_log_term: int = field(metadata=wire("last_term", INTEGER))


@dataclass(slots=True, frozen=True)
class RequestVoteResponse:
    """`asked` is the term that was asked for, `term` the voter's own."""

    wire_tag: ClassVar[str] = "Vote"

    term: int = field(metadata=wire("term", INTEGER))
    requested_term: int = field(metadata=wire("asked", INTEGER))
    pre_vote: bool = field(metadata=wire("pre", BOOLEAN))
    granted: bool = field(metadata=wire("granted", BOOLEAN))


@dataclass(slots=True, frozen=True)
class InstallSnapshotChunk:
    """A piece of the snapshot at `index`, `offset` characters into it."""

    wire_tag: ClassVar[str] = "SnapshotPart"

    term: int = field(metadata=wire("term", INTEGER))
    heartbeat_round: int = field(metadata=wire("round", INTEGER))
    last_included_index: int = field(metadata=wire("index", INTEGER))
    last_included_term: int = field(metadata=wire("index_term", INTEGER))
    configuration: Configuration = field(metadata=wire("group", GROUP))
    offset: int = field(metadata=wire("offset", INTEGER))
    data: str = field(metadata=wire("data", TEXT))
    done: bool = field(metadata=wire("done", BOOLEAN))


@dataclass(slots=True, frozen=True)
class InstallSnapshotResponse:
    """So much of the snapshot at `index` is here; `done` once it is in force and durable."""

    wire_tag: ClassVar[str] = "SnapshotTaken"

    term: int = field(metadata=wire("term", INTEGER))
    heartbeat_round: int = field(metadata=wire("round", INTEGER))
    last_included_index: int = field(metadata=wire("index", INTEGER))
    offset: int = field(metadata=wire("offset", INTEGER))
    done: bool = field(metadata=wire("done", BOOLEAN))


@dataclass(slots=True, frozen=True)
class TimeoutNow:
    """From a leader that leaves: stand for election at once."""

    wire_tag: ClassVar[str] = "ElectNow"

    term: int = field(metadata=wire("term", INTEGER))


@dataclass(slots=True, frozen=True)
class LogRegressed:
    """From the leader: you said before that more was durable with you. You are not who you were."""

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
