"""The Raft core of one member of a group, after the Raft paper and Ongaro's dissertation.

It does no I/O: the caller passes in messages, the time and a source of randomness, stores the state and sends the
messages that the core returns. Messages of `take_immediate_messages` may be sent immediately; those of a `Ready` only
after its state is durable. Elections, replication, snapshot transfer and the tracking of `Ready` have their own
modules. This module holds the rules that involve several of them, as many concern the term, the log and the commit
index together.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime

from marlstep.consensus.configuration_change import (
    ConfigurationChangeRejectedError,
    ConfigurationChangeRejection,
    check_configuration_change,
)
from marlstep.consensus.election import Election, ElectionTimer, RaftTiming, RandomSource, Role
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
from marlstep.consensus.progress import PeerProgress
from marlstep.consensus.ready import AddressedMessage, Outbox, Ready, ReadyTracker
from marlstep.consensus.replication import Replication
from marlstep.consensus.snapshot_transfer import SnapshotAssembler

__all__ = [
    "Raft",
    "RaftTiming",
    "RandomSource",
    "Ready",
    "Role",
]


class Raft:
    """One member's state, and the rules by which messages and timers change it."""

    def __init__(
        self,
        identity: str,
        saved: PersistentState,
        timing: RaftTiming,
        random_source: RandomSource,
        now: datetime,
    ) -> None:
        """Initialize a follower from its stored state.

        Args:
            identity: The identity of this member. A new store needs a new identity.
            saved: The durable state that the store returned.
            timing: The heartbeat interval and election timeout.
            random_source: The source of randomness of the election timeout.
            now: The current time.
        """
        self.identity = identity
        self.timing = timing
        self.log = RaftLog(saved)
        self.commit_index = saved.snapshot.index
        self.last_applied = saved.snapshot.index
        self.log_regressed = False  # durable state was lost: this member must not continue under its identity
        self._outbox = Outbox()
        timer = ElectionTimer(timing, random_source, now)
        self.election = Election(identity, saved, self.log, self._outbox, timer, now)
        self.replication = Replication(self, self._outbox, timing, now)
        self._ready_tracker = ReadyTracker(saved, self.log)
        self._incoming_snapshot = SnapshotAssembler()
        self._snapshot_to_apply: Snapshot | None = None
        self._term_start_index = 0  # index of the no-op entry that starts this leader's term
        self._durable_index = self.log.last_index

    # Read-only state

    @property
    def term(self) -> int:
        """The current term."""
        return self.election.term

    @property
    def voted_for(self) -> str:
        """The candidate that received this member's vote in the current term; empty if none did."""
        return self.election.voted_for

    @property
    def role(self) -> Role:
        """The role in the current term."""
        return self.election.role

    @property
    def leader(self) -> str:
        """The leader of the current term; empty if unknown."""
        return self.election.leader

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self.log.configuration

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader of the current term; a newer term may exist without its knowledge."""
        return self.election.role is Role.LEADER

    @property
    def is_established_leader(self) -> bool:
        """Whether this member leads and has applied the first entry of its term and all before it (section 8)."""
        return self.is_leader and self.last_applied >= self._term_start_index

    @property
    def progress(self) -> dict[str, PeerProgress]:
        """The progress of the other members in the last term that this member led."""
        return self.replication.progress

    @property
    def heartbeat_round(self) -> int:
        """The number of broadcasts in the last term that this member led."""
        return self.replication.heartbeat_round

    @property
    def confirmed_round(self) -> int:
        """The highest heartbeat round that a majority has responded to."""
        return self.replication.confirmed_round

    def replication_lag(self, member: str) -> int:
        """Return the number of entries by which a member is behind this leader's log."""
        return self.replication.lag_of(member)

    # Heartbeat and election timers

    def next_due(self) -> datetime:
        """Return the time at which `tick` should be called next."""
        return self.replication.next_heartbeat if self.is_leader else self.election.timer.deadline

    def tick(self, now: datetime) -> None:
        """Send a heartbeat, step down or start an election if one is due."""
        if self.is_leader:
            if now >= self.replication.next_heartbeat:
                self._heartbeat_or_step_down(now)
        elif self.election.timer.has_expired(now):
            self._start_election(now, leadership_transfer=False)

    def _heartbeat_or_step_down(self, now: datetime) -> None:
        if self._hears_majority(now):
            self.replication.broadcast(now)
        else:
            self.election.become_follower(now, self.term, leader="")

    def _hears_majority(self, now: datetime) -> bool:
        """Tell whether a majority has responded to this leader recently (section 6.2 of the dissertation)."""
        since = now - 2 * self.timing.election_timeout
        if since < self.election.role_since:
            return True  # the term is too new for all members to have responded
        return self.replication.hears_majority_since(since)

    def _hears_leader(self, now: datetime) -> bool:
        if self.is_leader:
            return self._hears_majority(now)
        return bool(self.leader) and self.election.timer.has_recent_leader_contact(now)

    # Message dispatch and term checks

    def step(self, now: datetime, sender: str, message: RaftMessage) -> None:
        """Handle a message from another member, or from this member to itself."""
        if not self._observe_term(now, sender, message):
            return
        if message.term < self.term:
            self._reject_stale_term(sender, message)
            return
        match message:
            case RequestVote():
                self._handle_request_vote(now, sender, message)
            case RequestVoteResponse():
                self._handle_vote_response(now, sender, message)
            case AppendEntries() | InstallSnapshotChunk():
                self._handle_leader_message(now, sender, message)
            case AppendEntriesResponse():
                self._handle_append_response(now, sender, message)
            case InstallSnapshotResponse():
                self._handle_snapshot_response(now, sender, message)
            case TimeoutNow():
                self._handle_timeout_now(now)
            case LogRegressed():
                self._handle_log_regressed(sender, message)

    def _observe_term(self, now: datetime, sender: str, message: RaftMessage) -> bool:
        """Adopt the message's term if it is newer; return whether the message may be handled."""
        if message.term <= self.term:
            return True
        match message:
            case RequestVote(pre_vote=True) | RequestVoteResponse(pre_vote=True, granted=True):
                pass  # a pre-vote does not change the term
            case RequestVote(leadership_transfer=False) if self._hears_leader(now):
                return False  # a removed or partitioned member must not depose a leader (section 6)
            case AppendEntries() | InstallSnapshotChunk():
                self.election.become_follower(now, message.term, leader=sender)
            case _:
                self.election.become_follower(now, message.term, leader="")
        return True

    def _reject_stale_term(self, sender: str, message: RaftMessage) -> None:
        """Respond to a request of an older term, so that its sender learns the current term."""
        response: RaftMessage
        match message:
            case AppendEntries():
                response = AppendEntriesResponse(
                    self.term, message.heartbeat_round, success=False, match_index=self.log.last_index
                )
            case InstallSnapshotChunk():
                response = InstallSnapshotResponse(
                    self.term, message.heartbeat_round, message.last_included_index, offset=0, done=False
                )
            case RequestVote():
                response = RequestVoteResponse(self.term, message.term, message.pre_vote, granted=False)
            case _:
                return
        self._outbox.send_after_sync(sender, response)

    # Elections

    def _start_election(self, now: datetime, *, leadership_transfer: bool) -> None:
        self.election.timer.reset(now)
        if self.identity in self.configuration.voters and not self.log_regressed:
            self.election.campaign(now, leadership_transfer=leadership_transfer)

    def _handle_request_vote(self, now: datetime, sender: str, request: RequestVote) -> None:
        if request.pre_vote:
            granted = self.election.may_grant_pre_vote(request) and not self._hears_leader(now)
        else:
            granted = self.election.grant_vote(now, sender, request)
        granted = granted and not self.log_regressed
        response = RequestVoteResponse(self.term, request.term, request.pre_vote, granted)
        self._outbox.send_after_sync(sender, response)

    def _handle_vote_response(self, now: datetime, sender: str, response: RequestVoteResponse) -> None:
        if self.election.record_vote(now, sender, response):
            self._become_leader(now)

    def _become_leader(self, now: datetime) -> None:
        self.election.become_leader(now)
        self.replication.start_term()
        self._term_start_index = self._append(EntryType.NOOP, "")
        self.replication.broadcast(now)

    def _handle_timeout_now(self, now: datetime) -> None:
        if not self.is_leader:
            self._start_election(now, leadership_transfer=True)

    # Follower: messages from the leader

    def _handle_leader_message(
        self, now: datetime, sender: str, message: AppendEntries | InstallSnapshotChunk
    ) -> None:
        if self.is_leader:
            return  # a term has only one leader, so the sender is not the leader of this term
        self.election.become_follower(now, self.term, leader=sender)
        self.election.timer.record_leader_contact(now)
        match message:
            case AppendEntries():
                self._handle_append_entries(sender, message)
            case InstallSnapshotChunk():
                self._handle_snapshot_chunk(sender, message)

    def _handle_append_entries(self, sender: str, request: AppendEntries) -> None:
        if request.prev_log_index > self.log.last_index:
            success, index = False, self.log.last_index
        elif not self.log.matches(request.prev_log_index, request.prev_log_term):
            success, index = False, self.log.conflict_hint(request.prev_log_index, self.commit_index)
        else:
            success, index = True, self._append_from_leader(request)
        response = AppendEntriesResponse(self.term, request.heartbeat_round, success, index)
        self._outbox.send_after_sync(sender, response)

    def _append_from_leader(self, request: AppendEntries) -> int:
        """Append the leader's entries and update the commit index; return the last index that matches its log."""
        overwritten = self.log.append_from_leader(request.entries, self.commit_index)
        if overwritten is not None:
            self._durable_index = min(self._durable_index, overwritten - 1)
            self._ready_tracker.record_truncation(overwritten)
        match_index = request.prev_log_index + len(request.entries)
        self.commit_index = max(self.commit_index, min(request.leader_commit, match_index))
        return match_index

    def _handle_snapshot_chunk(self, sender: str, chunk: InstallSnapshotChunk) -> None:
        if chunk.last_included_index <= self.commit_index:
            offset, done = 0, True  # the log already contains everything that the snapshot covers
        elif (snapshot := self._incoming_snapshot.add(chunk)) is not None:
            self._install_snapshot(snapshot)
            offset, done = len(snapshot.data), True
        else:
            offset, done = self._incoming_snapshot.received_characters, False
        response = InstallSnapshotResponse(
            self.term, chunk.heartbeat_round, chunk.last_included_index, offset, done
        )
        self._outbox.send_after_sync(sender, response)

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        self.log.restore(snapshot)
        self.commit_index = self.last_applied = self._durable_index = snapshot.index
        self._snapshot_to_apply = snapshot
        self._ready_tracker.record_received_snapshot(snapshot)

    def _handle_log_regressed(self, sender: str, message: LogRegressed) -> None:
        if sender == self.leader and self._durable_index < message.acknowledged_index:
            self.log_regressed = True

    # Leader: proposals, responses and commitment

    def propose(self, body: str, entry_type: EntryType = EntryType.COMMAND) -> int | None:
        """Append an entry to the leader's log and request its replication.

        Returns:
            The index of the entry, which may be lost if this member loses the leadership before it commits; None if
            this member does not lead.
        """
        if not self.is_leader:
            return None
        index = self._append(entry_type, body)
        self.replication.request_broadcast()
        return index

    def _append(self, entry_type: EntryType, body: str) -> int:
        entry = LogEntry(self.log.last_index + 1, self.term, entry_type, body)
        self.log.append(entry)
        return entry.index

    def change_configuration(self, configuration: Configuration) -> None:
        """Propose a configuration that adds or removes at most one voter (section 4.1 of the dissertation).

        Raises:
            ConfigurationChangeRejectedError: This member is not the established leader, a change is pending, several
                voters change, or no voter remains.
        """
        if not self.is_established_leader:
            raise ConfigurationChangeRejectedError(ConfigurationChangeRejection.NOT_ESTABLISHED_LEADER)
        change_pending = self.log.configuration_index > self.commit_index
        check_configuration_change(self.configuration, configuration, change_pending=change_pending)
        self.propose(configuration.encode(), EntryType.CONFIGURATION)

    def transfer_leadership(self) -> str | None:
        """Order the voter with the longest matching log to start an election.

        Returns:
            The identity of that voter; None if this member does not lead or no voter has all entries.
        """
        return self.replication.transfer_leadership() if self.is_leader else None

    def _handle_append_response(self, now: datetime, sender: str, response: AppendEntriesResponse) -> None:
        if not self._leads_member(sender):
            return
        peer = self.replication.record_contact(now, sender, response.heartbeat_round)
        if not response.success:
            self.replication.handle_rejection(sender, response)
            return
        if peer.record_match(response.match_index, response.heartbeat_round):
            self._advance_commit_index()
        self.replication.replicate_missing(sender)

    def _handle_snapshot_response(
        self, now: datetime, sender: str, response: InstallSnapshotResponse
    ) -> None:
        if not self._leads_member(sender):
            return
        peer = self.replication.record_contact(now, sender, response.heartbeat_round)
        if not response.done:
            self.replication.handle_snapshot_progress(sender, response)
            return
        peer.record_installed_snapshot(response.last_included_index, response.heartbeat_round)
        self._advance_commit_index()
        self.replication.replicate_to(sender, heartbeat=False)

    def _leads_member(self, member: str) -> bool:
        return self.is_leader and member in self.configuration.members

    def _advance_commit_index(self) -> None:
        """Commit the entries that a majority has, if the last one is of the current term (section 5.4.2, figure 8)."""
        index = self.replication.quorum_match_index(self._durable_index)
        if index <= self.commit_index or self.log.term_at(index) != self.term:
            return
        self.commit_index = index
        self.replication.request_broadcast()
        if self.log.configuration_index <= index and self.identity not in self.configuration.voters:
            self.election.step_down_after_removal()

    # Messages, state and entries for the driver

    def take_immediate_messages(self, now: datetime) -> list[AddressedMessage]:
        """Return and remove the messages that may be sent immediately."""
        if self.is_leader:
            self.replication.broadcast_if_requested(now)
        return self._outbox.take_immediate()

    def take_ready(self) -> Ready | None:
        """Return the state to make durable and the messages to send after that; None if there is neither.

        The driver must make each Ready durable in the order returned, and then pass it to `acknowledge_durable`.
        """
        return self._ready_tracker.next_ready(self.term, self.voted_for, self.log, self._outbox)

    def acknowledge_durable(self, ready: Ready) -> None:
        """Record that the state of `ready` is durable."""
        if self.log.matches(ready.last_index, ready.last_term) and ready.last_index <= self.log.last_index:
            self._durable_index = max(self._durable_index, ready.last_index)
        if self.is_leader:
            self._advance_commit_index()

    def take_committed(self) -> list[LogEntry | Snapshot]:
        """Return the snapshot and the entries to apply next, in order; mark them as applied."""
        committed: list[LogEntry | Snapshot] = []
        if self._snapshot_to_apply is not None:
            committed.append(self._snapshot_to_apply)
            self._snapshot_to_apply = None
        if self.commit_index > self.last_applied:
            committed += self.log.slice(self.last_applied + 1, self.commit_index)
            self.last_applied = self.commit_index
        return committed

    def compact(self, data: Callable[[], str], keep: int) -> None:
        """Replace applied entries by a snapshot.

        Args:
            data: Returns the data of the snapshot; not called if nothing was applied since the last snapshot.
            keep: The number of covered entries that stay in the log for slow members.
        """
        index = self.last_applied
        if index > self.log.snapshot.index:
            configuration = self.log.configuration_at(index)
            self.log.compact(Snapshot(index, self.log.term_at(index), configuration, data()), keep)
