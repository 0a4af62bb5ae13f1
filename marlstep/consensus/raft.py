"""One voter's part in agreeing on a log, by the terms of the Raft paper and of the dissertation behind it.

It is told of messages and of the time, and says what is to be stored and sent. What it says in `take` must be durable
before the messages that go with it are sent; what it says in `prompt` may go at once. It never looks at a clock, and
chance is passed in.

    follower ──no leader for a while──▶ asking ──a majority would──▶ candidate ──a majority did──▶ leader
        ▲               (asks without a new term, so that one that was cut off disturbs nobody)      │
        └──────────── a higher term, a leader of this term, or no majority heard any more ───────────┘
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Protocol

from marlstep.consensus.log import Configuration, EntryType, LogEntry, PersistentState, RaftLog, Snapshot
from marlstep.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshotChunk,
    InstallSnapshotResponse,
    LogRegressed,
    RaftMessage,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from marlstep.units import EPOCH, MILLISECOND

MAX_ENTRIES_PER_MESSAGE = 64  # of one message
MAX_CHARACTERS_PER_MESSAGE = 12 * 1024  # of the entries of one message, and of a piece of a snapshot
MAX_IN_FLIGHT_ENTRIES = 1024  # entries that may be on their way to one member


class RandomSource(Protocol):
    """The seeded source that is passed in."""

    def random(self) -> float: ...


class Role(enum.Enum):
    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True, frozen=True)
class RaftTiming:
    """An election begins after between `patience` and twice that without a leader's word."""

    heartbeat_interval: timedelta = 100 * MILLISECOND
    election_timeout: timedelta = 500 * MILLISECOND


@dataclass(slots=True)
class Ready:
    """To be made durable, in this order, and then the messages to be sent."""

    number: int
    term: int
    voted_for: str
    snapshot: Snapshot | None = None  # stands for all up to its index
    replaces_log: bool = False  # the snapshot came from the leader: nothing of the log here stays
    keep_after_index: int = 0  # with a snapshot: entries after this index stay in the log
    entries: list[LogEntry] = field(
        default_factory=list
    )  # the first takes the place of all from its index on
    messages: list[tuple[str, RaftMessage]] = field(default_factory=list)
    needs_sync: bool = False  # there is more to it than messages
    last_index: int = 0  # of the log, once this is durable
    last_term: int = 0


@dataclass(slots=True)
class PeerProgress:
    """What the leader knows of a member."""

    next_index: int
    match_index: int = 0
    match_round: int = 0  # in which that was said
    acknowledged_round: int = 0  # the highest that it has answered
    last_contact: datetime | None = None
    probing: bool = True  # nothing more is sent until it is known where its log stands
    probe_in_flight: bool = False  # while probing: a message is out
    snapshot_offset: int | None = None  # inside a snapshot


class Raft:
    def __init__(
        self, me: str, saved: PersistentState, timing: RaftTiming, chance: RandomSource, now: datetime
    ) -> None:
        """`me` is this voter's identity; it goes with its store."""
        self.identity, self.timing, self.max_entries_per_message = me, timing, MAX_ENTRIES_PER_MESSAGE
        self.term, self.voted_for = saved.term, saved.voted_for
        self.log = RaftLog(saved)
        self.commit_index = saved.snapshot.index
        self.last_applied = saved.snapshot.index
        self.role = Role.FOLLOWER
        self.leader = ""  # as far as is known
        self.log_regressed = False  # the store is not what this voter had: it must not go on as who it was
        self.progress: dict[str, PeerProgress] = {}
        self._random = chance
        self._last_leader_contact: datetime | None = None  # a word of the leader
        self._election_deadline = now
        self._election_deferred = False  # it woke late, and has given itself a beat more
        self._next_heartbeat = now
        self._votes_received: set[str] = set()
        self._forced = False
        self.heartbeat_round = 0
        self._role_since = now  # in this role
        self._term_start_index = 0  # index of the empty entry of this leader's term
        self._durable_index = self.log.last_index
        self._ready_number = 0
        self._handed_out_term, self._handed_out_vote = self.term, self.voted_for
        self._handed_out_index = self.log.last_index  # handed out in a `Ready`
        self._handed_out_snapshot_index = saved.snapshot.index
        self._snapshot_to_store: Snapshot | None = None
        self._snapshot_to_apply: Snapshot | None = None  # for `applies`
        self._incoming_chunks: list[str] = []  # pieces of a snapshot
        self._incoming_snapshot = (0, 0)
        self._messages_after_sync: list[tuple[str, RaftMessage]] = []
        self._immediate_messages: list[tuple[str, RaftMessage]] = []
        self._broadcast_due = False
        self._reset_election_timer(now)

    # What others read.

    @property
    def configuration(self) -> Configuration:
        return self.log.configuration

    @property
    def is_leader(self) -> bool:
        return self.role is Role.LEADER

    @property
    def is_established_leader(self) -> bool:
        """It leads, and all that was committed before its term is known to it as committed, and applied."""
        return self.is_leader and self.last_applied >= self._term_start_index

    @property
    def confirmed_round(self) -> int:
        """The highest round that a majority has answered: whoever led after it was sent, it was this voter."""
        rounds = sorted(
            (
                self.heartbeat_round if one == self.identity else self._progress_of(one).acknowledged_round
                for one in self.configuration.voters
            ),
            reverse=True,
        )
        return rounds[self.configuration.quorum - 1] if rounds else 0

    def next_due(self) -> datetime:
        """When `tick` has something to do."""
        return self._next_heartbeat if self.is_leader else self._election_deadline

    def replication_lag(self, member: str) -> int:
        """Entries that the member is behind."""
        return self.log.last_index - (
            self.log.last_index if member == self.identity else self._progress_of(member).match_index
        )

    def _progress_of(self, member: str) -> PeerProgress:
        peer = self.progress.get(member)
        if peer is None:
            peer = self.progress[member] = PeerProgress(self.log.last_index + 1)
        return peer

    # Time.

    def tick(self, now: datetime) -> None:
        if self.is_leader:
            if now >= self._next_heartbeat:
                if not self._hears_majority(now):
                    self._become_follower(now, self.term, "")
                else:
                    self._broadcast(now)
        elif now >= self._election_deadline + self.timing.heartbeat_interval and not self._election_deferred:
            # It woke late, and reads its timers before its lines: the leader's word may wait there. A process that
            # gets no time would else ask for an election that nobody needs, again and again.
            self._election_deferred, self._election_deadline = True, now + self.timing.heartbeat_interval
        elif now >= self._election_deadline:
            self._start_election(now, forced=False)

    def _reset_election_timer(self, now: datetime) -> None:
        self._election_deferred = False
        self._election_deadline = now + self.timing.election_timeout * (1 + self._random.random())

    def _hears_majority(self, now: datetime) -> bool:
        since = now - 2 * self.timing.election_timeout
        if since < self._role_since:
            return True  # they have had no time to answer yet
        heard = [
            one == self.identity or (self._progress_of(one).last_contact or EPOCH) >= since
            for one in self.configuration.voters
        ]
        return sum(heard) >= self.configuration.quorum

    def _hears_leader(self, now: datetime) -> bool:
        if self.is_leader:
            return self._hears_majority(now)
        return (
            bool(self.leader)
            and self._last_leader_contact is not None
            and now < self._last_leader_contact + self.timing.election_timeout
        )

    # Elections.

    def _start_election(self, now: datetime, forced: bool) -> None:
        self._reset_election_timer(now)
        if self.identity not in self.configuration.voters or self.log_regressed:
            return
        self.leader = ""
        self._role_since = now
        if forced:
            self._become_candidate(now, forced)
        else:
            self.role, self._votes_received = Role.PRE_CANDIDATE, set()
            self._request_votes(self.term + 1, pre=True, forced=False)

    def _become_candidate(self, now: datetime, forced: bool) -> None:
        self.role, self._votes_received = Role.CANDIDATE, set()
        self.term, self.voted_for = self.term + 1, self.identity
        self._reset_election_timer(now)
        self._request_votes(self.term, pre=False, forced=forced)

    def _request_votes(self, term: int, pre: bool, forced: bool) -> None:
        ask = RequestVote(term, pre, forced, self.log.last_index, self.log.last_term)
        for voter in self.configuration.voters:
            # Its own vote too counts only when it is durable: it comes back as a message.
            self._send(
                voter, RequestVoteResponse(self.term, term, pre, True) if voter == self.identity else ask
            )

    def _handle_request_vote(self, now: datetime, sender: str, ask: RequestVote) -> None:
        fresh = (ask.last_log_term, ask.last_log_index) >= (self.log.last_term, self.log.last_index)
        if ask.pre_vote:
            granted = fresh and ask.term > self.term and not self._hears_leader(now)
        else:
            granted = (
                fresh and ask.term == self.term and self.voted_for in ("", sender) and not self.is_leader
            )
            if granted:
                self.voted_for = sender
                self._reset_election_timer(now)
        self._send(
            sender, RequestVoteResponse(self.term, ask.term, ask.pre_vote, granted and not self.log_regressed)
        )

    def _handle_vote_response(self, now: datetime, sender: str, vote: RequestVoteResponse) -> None:
        if not vote.granted or sender not in self.configuration.voters:
            return
        if vote.pre_vote and self.role is Role.PRE_CANDIDATE and vote.requested_term == self.term + 1:
            self._votes_received.add(sender)
            if len(self._votes_received) >= self.configuration.quorum:
                self._become_candidate(now, forced=False)
        elif not vote.pre_vote and self.role is Role.CANDIDATE and vote.requested_term == self.term:
            self._votes_received.add(sender)
            if len(self._votes_received) >= self.configuration.quorum:
                self._become_leader(now)

    def _become_leader(self, now: datetime) -> None:
        self.role, self.leader, self._role_since, self.heartbeat_round = Role.LEADER, self.identity, now, 0
        self.progress = {
            one: PeerProgress(self.log.last_index + 1)
            for one in self.configuration.members
            if one != self.identity
        }
        self._term_start_index = self._append(EntryType.NOOP, "")
        self._broadcast(now)

    def _become_follower(self, now: datetime, term: int, leader: str) -> None:
        if term > self.term:
            self.term, self.voted_for = term, ""
        if self.role is not Role.FOLLOWER:
            self.role, self._role_since = Role.FOLLOWER, now
            self._reset_election_timer(now)
        self.leader = leader

    # Messages.

    def step(self, now: datetime, sender: str, message: RaftMessage) -> None:
        """A message came from another member, or from this one itself."""
        if isinstance(message, RequestVote):
            if message.term > self.term and not message.pre_vote:
                if self._hears_leader(now) and not message.leadership_transfer:
                    return  # there is a leader: one that does not hear it must not unseat it
                self._become_follower(now, message.term, "")
        elif message.term > self.term and not (
            isinstance(message, RequestVoteResponse) and message.pre_vote and message.granted
        ):
            from_leader = isinstance(message, AppendEntries | InstallSnapshotChunk)
            self._become_follower(now, message.term, sender if from_leader else "")
        if message.term < self.term:
            self._reject_stale_term(sender, message)
            return
        match message:
            case RequestVote():
                self._handle_request_vote(now, sender, message)
            case RequestVoteResponse():
                self._handle_vote_response(now, sender, message)
            case AppendEntries() | InstallSnapshotChunk():
                if self.is_leader:
                    return  # none but this one leads in its term; a message of its own cannot come from there
                self._become_follower(now, self.term, sender)
                self._last_leader_contact = now
                self._reset_election_timer(now)
                if isinstance(message, AppendEntries):
                    self._handle_append_entries(sender, message)
                else:
                    self._handle_snapshot_chunk(sender, message)
            case AppendEntriesResponse():
                self._handle_append_response(now, sender, message)
            case InstallSnapshotResponse():
                self._handle_snapshot_response(now, sender, message)
            case TimeoutNow():
                if not self.is_leader and message.term == self.term:
                    self._start_election(now, forced=True)
            case LogRegressed():
                if (
                    message.term == self.term
                    and sender == self.leader
                    and self._durable_index < message.acknowledged_index
                ):
                    self.log_regressed = True

    def _reject_stale_term(self, sender: str, message: RaftMessage) -> None:
        """Who writes in an old term hears of the new one."""
        match message:
            case AppendEntries():
                self._send(
                    sender,
                    AppendEntriesResponse(self.term, message.heartbeat_round, False, self.log.last_index),
                )
            case InstallSnapshotChunk():
                self._send(
                    sender,
                    InstallSnapshotResponse(
                        self.term, message.heartbeat_round, message.last_included_index, 0, False
                    ),
                )
            case RequestVote():
                self._send(sender, RequestVoteResponse(self.term, message.term, message.pre_vote, False))

    def _send(self, to: str, message: RaftMessage) -> None:
        self._messages_after_sync.append((to, message))

    # The log, where this one follows.

    def _handle_append_entries(self, sender: str, told: AppendEntries) -> None:
        log = self.log
        if told.prev_log_index > log.last_index:
            self._send(sender, AppendEntriesResponse(self.term, told.heartbeat_round, False, log.last_index))
            return
        if not log.matches(told.prev_log_index, told.prev_log_term):
            hint = log.conflict_hint(told.prev_log_index, self.commit_index)
            self._send(sender, AppendEntriesResponse(self.term, told.heartbeat_round, False, hint))
            return
        overwritten = log.append_from_leader(told.entries, self.commit_index)
        if overwritten is not None:
            self._durable_index = min(self._durable_index, overwritten - 1)
            self._handed_out_index = min(self._handed_out_index, overwritten - 1)
        same = told.prev_log_index + len(told.entries)
        self.commit_index = max(self.commit_index, min(told.leader_commit, same))
        self._send(sender, AppendEntriesResponse(self.term, told.heartbeat_round, True, same))

    def _handle_snapshot_chunk(self, sender: str, part: InstallSnapshotChunk) -> None:
        if part.last_included_index <= self.commit_index:  # it is here already, or more
            self._send(
                sender,
                InstallSnapshotResponse(self.term, part.heartbeat_round, part.last_included_index, 0, True),
            )
            return
        if self._incoming_snapshot != (part.last_included_index, part.last_included_term) or part.offset == 0:
            self._incoming_chunks, self._incoming_snapshot = (
                [],
                (part.last_included_index, part.last_included_term),
            )
        length = sum(map(len, self._incoming_chunks))
        if part.offset == length:
            self._incoming_chunks.append(part.data)
            length += len(part.data)
            if part.done:
                snapshot = Snapshot(
                    part.last_included_index,
                    part.last_included_term,
                    part.configuration,
                    "".join(self._incoming_chunks),
                )
                self._incoming_chunks, self._incoming_snapshot = [], (0, 0)
                self.log.restore(snapshot)
                self.commit_index = self.last_applied = self._durable_index = self._handed_out_index = (
                    part.last_included_index
                )
                self._snapshot_to_store = self._snapshot_to_apply = snapshot
                self._send(
                    sender,
                    InstallSnapshotResponse(
                        self.term, part.heartbeat_round, part.last_included_index, length, True
                    ),
                )
                return
        self._send(
            sender,
            InstallSnapshotResponse(self.term, part.heartbeat_round, part.last_included_index, length, False),
        )

    # The log, where this one leads.

    def propose(self, now: datetime, body: str, kind: EntryType = EntryType.COMMAND) -> int | None:
        """The index under which it will be committed if this voter still leads then; None where it does not."""
        if not self.is_leader:
            return None
        index = self._append(kind, body)
        self._broadcast_due = True
        return index

    def _append(self, kind: EntryType, body: str) -> int:
        entry = LogEntry(self.log.last_index + 1, self.term, kind, body)
        self.log.append(entry)
        return entry.index

    def change_configuration(self, now: datetime, group: Configuration) -> str:
        """Ask for another group; gives why not, or an empty text. One voter at a time comes or goes."""
        if not self.is_established_leader:
            return "this voter does not lead, or not for long enough"
        if self.log.configuration_index > self.commit_index:
            return "the change before is not committed yet"
        if len(set(group.voters) ^ set(self.configuration.voters)) > 1:
            return "only one voter may come or go at a time"
        if not group.voters:
            return "a group needs a voter"
        self.propose(now, group.encode(), EntryType.CONFIGURATION)
        return ""

    def transfer_leadership(self, now: datetime) -> str:
        """Ask the voter that is furthest to stand for election; gives its name, or an empty text."""
        others = [one for one in self.configuration.voters if one != self.identity]
        if not self.is_leader or not others:
            return ""
        best = max(
            others,
            key=lambda one: (self._progress_of(one).match_index, self._progress_of(one).acknowledged_round),
        )
        if self._progress_of(best).match_index < self.log.last_index:
            return ""
        self._immediate_messages.append((best, TimeoutNow(self.term)))
        return best

    def _broadcast(self, now: datetime) -> None:
        self.heartbeat_round += 1
        self._next_heartbeat = now + self.timing.heartbeat_interval
        self._broadcast_due = False
        for member in self.configuration.members:
            if member != self.identity:
                self._replicate_to(member, beat=True)

    def _replicate_to(self, member: str, beat: bool) -> None:
        """What it lacks, as far as there is room on the way; on a beat at least a sign of life."""
        peer = self._progress_of(member)
        if peer.next_index < self.log.first_index:
            self._send_snapshot_chunk(member, peer)
            return
        last = self.log.last_index
        if peer.probing:
            last = peer.next_index - 1  # only asked where its log stands
            if not beat and peer.probe_in_flight:
                return
            peer.probe_in_flight = True
        sent = False
        while not sent or (
            peer.next_index <= last and peer.next_index - peer.match_index <= MAX_IN_FLIGHT_ENTRIES
        ):
            entries = self._entries_for_message(peer.next_index, last)
            if not entries and sent:
                break
            prev = peer.next_index - 1
            message = AppendEntries(
                self.term,
                self.heartbeat_round,
                prev,
                self.log.term_at(prev),
                self.commit_index,
                tuple(entries),
            )
            self._immediate_messages.append((member, message))
            peer.next_index += len(entries)
            sent = True

    def _entries_for_message(self, first: int, last: int) -> list[LogEntry]:
        some: list[LogEntry] = []
        size = 0
        for entry in self.log.slice(first, min(last, first + self.max_entries_per_message - 1)):
            size += len(entry.body) + 32
            if some and size > MAX_CHARACTERS_PER_MESSAGE:
                break
            some.append(entry)
        return some

    def _send_snapshot_chunk(self, member: str, peer: PeerProgress) -> None:
        snapshot = self.log.snapshot
        offset = peer.snapshot_offset or 0
        data = snapshot.data[offset : offset + MAX_CHARACTERS_PER_MESSAGE]
        done = offset + len(data) >= len(snapshot.data)
        part = InstallSnapshotChunk(
            self.term,
            self.heartbeat_round,
            snapshot.index,
            snapshot.term,
            snapshot.configuration,
            offset,
            data,
            done,
        )
        self._immediate_messages.append((member, part))

    def _record_contact(self, now: datetime, sender: str, round: int) -> PeerProgress | None:
        if not self.is_leader or sender not in self.configuration.members:
            return None
        peer = self._progress_of(sender)
        peer.last_contact = now
        peer.acknowledged_round = max(peer.acknowledged_round, min(round, self.heartbeat_round))
        return peer

    def _handle_append_response(self, now: datetime, sender: str, told: AppendEntriesResponse) -> None:
        peer = self._record_contact(now, sender, told.heartbeat_round)
        if peer is None:
            return
        if told.success:
            peer.probing = peer.probe_in_flight = False
            if told.match_index > peer.match_index:
                peer.match_index, peer.match_round = told.match_index, told.heartbeat_round
                self._advance_commit_index()
            peer.next_index = max(peer.next_index, peer.match_index + 1)
            if peer.next_index <= self.log.last_index:
                self._replicate_to(sender, beat=False)
            return
        if told.match_index < peer.match_index:
            if told.heartbeat_round > peer.match_round:  # said later, so it no longer has what it said it had
                self._send(sender, LogRegressed(self.term, peer.match_index))
                peer.next_index = peer.match_index + 1
            return
        if peer.probing and not peer.probe_in_flight:
            return
        peer.probing, peer.probe_in_flight, peer.snapshot_offset = True, False, None
        peer.next_index = max(peer.match_index + 1, min(peer.next_index - 1, told.match_index + 1))
        self._replicate_to(sender, beat=False)

    def _handle_snapshot_response(self, now: datetime, sender: str, told: InstallSnapshotResponse) -> None:
        peer = self._record_contact(now, sender, told.heartbeat_round)
        if peer is None:
            return
        if told.done:
            peer.match_index, peer.match_round = (
                max(peer.match_index, told.last_included_index),
                told.heartbeat_round,
            )
            peer.next_index, peer.snapshot_offset, peer.probing, peer.probe_in_flight = (
                peer.match_index + 1,
                None,
                True,
                False,
            )
            self._advance_commit_index()
            self._replicate_to(sender, beat=False)
        elif told.last_included_index == self.log.snapshot.index and told.offset > (
            peer.snapshot_offset or 0
        ):
            peer.snapshot_offset = told.offset
            self._replicate_to(sender, beat=False)
        elif told.last_included_index == self.log.snapshot.index and told.offset < (
            peer.snapshot_offset or 0
        ):
            peer.snapshot_offset = told.offset  # it began anew; the next beat sends from there
        elif told.last_included_index != self.log.snapshot.index:
            peer.snapshot_offset = None

    def _advance_commit_index(self) -> None:
        """Commit what a majority has, if it ends in an entry of this leader's own term (5.4.2 of the paper)."""
        group = self.configuration
        have = sorted(
            (
                self._durable_index if one == self.identity else self._progress_of(one).match_index
                for one in group.voters
            ),
            reverse=True,
        )
        index = have[group.quorum - 1] if have else 0
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_index = index
            self._broadcast_due = True  # the others hear of it at once
            if self.log.configuration_index <= index and self.identity not in group.voters:
                self.role, self.leader = Role.FOLLOWER, ""  # it was voted out, and has seen that through

    # What is to be done.

    def take_immediate_messages(self, now: datetime) -> list[tuple[str, RaftMessage]]:
        """Messages that may leave at once: nothing of this voter's has to be durable for them."""
        if self._broadcast_due and self.is_leader:
            self._broadcast(now)
        messages, self._immediate_messages = self._immediate_messages, []
        return messages

    def take_ready(self) -> Ready | None:
        """What is to be made durable, and sent after that; None where there is nothing. One after the other."""
        entries = self.log.slice(max(self._handed_out_index + 1, self.log.first_index), self.log.last_index)
        snapshot, replaces = self._snapshot_to_store, self._snapshot_to_store is not None
        if snapshot is None and self.log.snapshot.index > self._handed_out_snapshot_index:
            snapshot = self.log.snapshot
        changed = (self.term, self.voted_for) != (self._handed_out_term, self._handed_out_vote)
        if not (entries or snapshot or changed or self._messages_after_sync):
            return None
        self._ready_number += 1
        ready = Ready(
            self._ready_number,
            self.term,
            self.voted_for,
            snapshot,
            replaces,
            self.log.first_index - 1,
            entries,
        )
        ready.needs_sync = bool(entries or snapshot or changed)
        ready.messages, self._messages_after_sync = self._messages_after_sync, []
        ready.last_index, ready.last_term = self.log.last_index, self.log.last_term
        self._handed_out_term, self._handed_out_vote, self._handed_out_index = (
            self.term,
            self.voted_for,
            self.log.last_index,
        )
        self._handed_out_snapshot_index, self._snapshot_to_store = self.log.snapshot.index, None
        return ready

    def acknowledge_durable(self, ready: Ready) -> None:
        """That is durable."""
        if self.log.matches(ready.last_index, ready.last_term) and ready.last_index <= self.log.last_index:
            self._durable_index = max(self._durable_index, ready.last_index)
        if self.is_leader:
            self._advance_commit_index()

    def take_committed(self) -> list[LogEntry | Snapshot]:
        """What the machine has to take in now, in order; each is given once."""
        found: list[LogEntry | Snapshot] = []
        if self._snapshot_to_apply is not None:
            found.append(self._snapshot_to_apply)
            self._snapshot_to_apply = None
        if self.commit_index > self.last_applied:
            found += self.log.slice(self.last_applied + 1, self.commit_index)
            self.last_applied = self.commit_index
        return found

    def compact(self, data: Callable[[], str], keep: int) -> None:
        """All that was applied goes into a snapshot; the last `keep` entries stay for members that lag."""
        index = self.last_applied
        if index > self.log.snapshot.index:
            group = self.log.configuration_at(index)
            self.log.compact(Snapshot(index, self.log.term_at(index), group, data()), keep)
