"""The leader's side of replication: which entries, heartbeats and snapshot chunks to send to which member.

It follows section 5.3 of the Raft paper and adds pipelining (section 10.2.1 of Ongaro's dissertation): entries are sent
before earlier ones are acknowledged, up to a limit for each member.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime
from typing import Protocol

from marlstep.consensus.election import RaftTiming
from marlstep.consensus.log import LogEntry, RaftLog
from marlstep.consensus.messages import (
    MAX_CHARACTERS_PER_MESSAGE,
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshotResponse,
    LogRegressed,
    TimeoutNow,
)
from marlstep.consensus.progress import PeerProgress
from marlstep.consensus.ready import Outbox
from marlstep.consensus.snapshot_transfer import snapshot_chunk
from marlstep.units import EPOCH

MAX_ENTRIES_PER_MESSAGE = 64
MAX_IN_FLIGHT_ENTRIES = 1024  # sent to one member and not yet acknowledged
ENTRY_OVERHEAD_CHARACTERS = 32  # counted for each entry in a message in addition to its body


class LeaderState(Protocol):
    """The state of the Raft core that replication reads."""

    @property
    def identity(self) -> str:
        """The identity of this member."""

    @property
    def term(self) -> int:
        """The current term."""

    @property
    def commit_index(self) -> int:
        """The last entry known to be committed."""

    @property
    def log(self) -> RaftLog:
        """This member's log."""


class Replication:
    """The progress of all members in the term that this member leads, and the messages that advance it."""

    def __init__(self, leader: LeaderState, outbox: Outbox, timing: RaftTiming, now: datetime) -> None:
        """Initialize without progress of any member; call `start_term` when this member becomes leader."""
        self._leader = leader
        self._outbox = outbox
        self._timing = timing
        self._broadcast_requested = False
        self.max_entries_per_message = MAX_ENTRIES_PER_MESSAGE
        self.progress: dict[str, PeerProgress] = {}
        self.heartbeat_round = 0
        self.next_heartbeat = now

    def start_term(self) -> None:
        """Discard the progress of earlier terms and probe every member from the end of the leader's log."""
        log = self._leader.log
        self.heartbeat_round = 0
        self.progress = {
            member: PeerProgress(log.last_index + 1)
            for member in log.configuration.members
            if member != self._leader.identity
        }

    def progress_of(self, member: str) -> PeerProgress:
        """Return the progress of a member; create it if the member joined during this term."""
        peer = self.progress.get(member)
        if peer is None:
            peer = self.progress[member] = PeerProgress(self._leader.log.last_index + 1)
        return peer

    # Progress of the majority

    def quorum_match_index(self, durable_index: int) -> int:
        """Return the last entry that is durable on a majority; `durable_index` is that of the leader itself."""
        return self._quorum_value(durable_index, lambda peer: peer.match_index)

    @property
    def confirmed_round(self) -> int:
        """The highest round that a majority has responded to: this member still led after it had sent that round."""
        return self._quorum_value(self.heartbeat_round, lambda peer: peer.acknowledged_round)

    def _quorum_value(self, own_value: int, value_of: Callable[[PeerProgress], int]) -> int:
        configuration = self._leader.log.configuration
        values = sorted(
            (
                own_value if voter == self._leader.identity else value_of(self.progress_of(voter))
                for voter in configuration.voters
            ),
            reverse=True,
        )
        return values[configuration.quorum - 1] if values else 0

    def hears_majority_since(self, since: datetime) -> bool:
        """Tell whether a majority of the voters, including this member, has responded at or after `since`."""
        configuration = self._leader.log.configuration
        heard = [
            voter == self._leader.identity or (self.progress_of(voter).last_contact or EPOCH) >= since
            for voter in configuration.voters
        ]
        return sum(heard) >= configuration.quorum

    def lag_of(self, member: str) -> int:
        """Return the number of entries by which a member is behind the leader's log."""
        if member == self._leader.identity:
            return 0
        return self._leader.log.last_index - self.progress_of(member).match_index

    # Messages to members

    def request_broadcast(self) -> None:
        """Request a broadcast with the next messages, without waiting for the heartbeat interval."""
        self._broadcast_requested = True

    def broadcast_if_requested(self, now: datetime) -> None:
        """Broadcast if that was requested since the last broadcast."""
        if self._broadcast_requested:
            self.broadcast(now)

    def broadcast(self, now: datetime) -> None:
        """Start a new round: send a heartbeat with the missing entries to every other member."""
        self.heartbeat_round += 1
        self.next_heartbeat = now + self._timing.heartbeat_interval
        self._broadcast_requested = False
        for member in self._leader.log.configuration.members:
            if member != self._leader.identity:
                self.replicate_to(member, heartbeat=True)

    def replicate_to(self, member: str, *, heartbeat: bool) -> None:
        """Send the next entries, snapshot chunk or probe; `heartbeat` sends a probe even if another is in flight."""
        peer = self.progress_of(member)
        if peer.next_index < self._leader.log.first_index:
            self._send_snapshot_chunk(member, peer)
        elif peer.probing:
            if heartbeat or not peer.probe_in_flight:
                peer.probe_in_flight = True
                self._send_entries(member, peer, [])
        else:
            self._send_pipelined(member, peer)

    def replicate_missing(self, member: str) -> None:
        """Send the next entries or snapshot chunk if the member lacks any entry."""
        if self.progress_of(member).next_index <= self._leader.log.last_index:
            self.replicate_to(member, heartbeat=False)

    def _send_pipelined(self, member: str, peer: PeerProgress) -> None:
        """Send at least one message, and more until no entries remain or the in-flight limit is reached."""
        self._send_entries(member, peer, self._next_entries(peer))
        while (
            peer.next_index <= self._leader.log.last_index
            and peer.next_index - peer.match_index <= MAX_IN_FLIGHT_ENTRIES
        ):
            self._send_entries(member, peer, self._next_entries(peer))

    def _next_entries(self, peer: PeerProgress) -> list[LogEntry]:
        """Return the entries for one message: at least one if any remains, and no more than fit into the message."""
        log, first = self._leader.log, peer.next_index
        entries: list[LogEntry] = []
        size = 0
        for entry in log.slice(first, min(log.last_index, first + self.max_entries_per_message - 1)):
            size += len(entry.body) + ENTRY_OVERHEAD_CHARACTERS
            if entries and size > MAX_CHARACTERS_PER_MESSAGE:
                break
            entries.append(entry)
        return entries

    def _send_entries(self, member: str, peer: PeerProgress, entries: list[LogEntry]) -> None:
        previous = peer.next_index - 1
        message = AppendEntries(
            term=self._leader.term,
            heartbeat_round=self.heartbeat_round,
            prev_log_index=previous,
            prev_log_term=self._leader.log.term_at(previous),
            leader_commit=self._leader.commit_index,
            entries=tuple(entries),
        )
        self._outbox.send_now(member, message)
        peer.next_index += len(entries)

    def _send_snapshot_chunk(self, member: str, peer: PeerProgress) -> None:
        chunk = snapshot_chunk(
            self._leader.log.snapshot, peer.snapshot_offset or 0, self._leader.term, self.heartbeat_round
        )
        self._outbox.send_now(member, chunk)

    # Responses from members

    def record_contact(self, now: datetime, member: str, heartbeat_round: int) -> PeerProgress:
        """Record a response from a member; return the member's progress."""
        peer = self.progress_of(member)
        peer.record_contact(now, min(heartbeat_round, self.heartbeat_round))
        return peer

    def handle_rejection(self, member: str, response: AppendEntriesResponse) -> None:
        """Probe from an earlier entry after a member rejected AppendEntries.

        A member whose log ends before an entry that it acknowledged in an earlier round has lost durable state, and is
        sent LogRegressed.
        """
        peer = self.progress_of(member)
        if response.match_index < peer.match_index:
            if response.heartbeat_round > peer.match_round:
                self._outbox.send_after_sync(member, LogRegressed(self._leader.term, peer.match_index))
                peer.next_index = peer.match_index + 1
            return
        if peer.probing and not peer.probe_in_flight:
            return  # a delayed response to a message sent before the probe
        peer.record_rejection(response.match_index)
        self.replicate_to(member, heartbeat=False)

    def handle_snapshot_progress(self, member: str, response: InstallSnapshotResponse) -> None:
        """Continue a snapshot transfer from the offset that the member reports."""
        peer = self.progress_of(member)
        if response.last_included_index != self._leader.log.snapshot.index:
            peer.snapshot_offset = None  # a newer snapshot has replaced the one in transfer
            return
        previous_offset = peer.snapshot_offset or 0
        if response.offset == previous_offset:
            return
        peer.snapshot_offset = response.offset
        if response.offset > previous_offset:
            self.replicate_to(member, heartbeat=False)
        # Otherwise the member restarted the transfer: the next heartbeat continues from its offset.

    # Leadership transfer

    def transfer_leadership(self) -> str | None:
        """Order the voter with the longest matching log to start an election, if it has all entries.

        Returns:
            The identity of that voter; None if no other voter has all entries.
        """
        leader = self._leader
        candidates = [voter for voter in leader.log.configuration.voters if voter != leader.identity]
        if not candidates:
            return None
        target = max(candidates, key=self._transfer_preference)
        if self.progress_of(target).match_index < leader.log.last_index:
            return None
        self._outbox.send_now(target, TimeoutNow(leader.term))
        return target

    def _transfer_preference(self, voter: str) -> tuple[int, int]:
        peer = self.progress_of(voter)
        return peer.match_index, peer.acknowledged_round
