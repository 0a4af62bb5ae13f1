"""Leader election: roles, terms, votes and the election timer (section 5.2 of the Raft paper).

A member that loses its leader first asks for a pre-vote, without a new term, so that one that was partitioned away
does not depose a working leader when it comes back (section 9.6 of Ongaro's dissertation):

    follower ──election timeout──▶ pre-candidate ──majority of pre-votes──▶ candidate ──majority of votes──▶ leader
        ▲                                                                                                       │
        └──────────────── a higher term, another leader of the term, or no majority in contact ─────────────────┘
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from marlstep.consensus.log import PersistentState, RaftLog
from marlstep.consensus.messages import RequestVote, RequestVoteResponse
from marlstep.consensus.ready import Outbox
from marlstep.units import MILLISECOND


class RandomSource(Protocol):
    """A seeded source of randomness that the caller passes in."""

    def random(self) -> float:
        """Return a number from 0 up to, but not including, 1."""


class Role(enum.Enum):
    """The role of a member. The values are shown to operators."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True, frozen=True)
class RaftTiming:
    """The intervals of heartbeats and elections.

    An election starts after a random time between `election_timeout` and twice that without contact from a leader.
    """

    heartbeat_interval: timedelta = 100 * MILLISECOND
    election_timeout: timedelta = 500 * MILLISECOND


class ElectionTimer:
    """The randomized time after which a member without a leader starts an election."""

    def __init__(self, timing: RaftTiming, random_source: RandomSource, now: datetime) -> None:
        """Start the timer at `now`."""
        self._timing = timing
        self._random = random_source
        self.last_leader_contact: datetime | None = None
        self.deferred = False  # the deadline was missed by far and has been moved once
        self.deadline = now
        self.reset(now)

    def reset(self, now: datetime) -> None:
        """Start again with a new random timeout."""
        self.deferred = False
        self.deadline = now + self._timing.election_timeout * (1 + self._random.random())

    def record_leader_contact(self, now: datetime) -> None:
        """Note a message from the leader, and start again."""
        self.last_leader_contact = now
        self.reset(now)

    def has_recent_leader_contact(self, now: datetime) -> bool:
        """Tell whether the leader was heard within the minimum election timeout."""
        last = self.last_leader_contact
        return last is not None and now < last + self._timing.election_timeout

    def has_expired(self, now: datetime) -> bool:
        """Tell whether an election is due.

        A process that wakes late, without CPU time for a while, reads its timers before the messages that wait in its
        sockets. It defers once by a heartbeat interval, or it would start elections that nobody needs.
        """
        if now >= self.deadline + self._timing.heartbeat_interval and not self.deferred:
            self.deferred = True
            self.deadline = now + self._timing.heartbeat_interval
            return False
        return now >= self.deadline


class Election:
    """One member's term, vote and role, and the campaigns that it runs."""

    def __init__(
        self,
        identity: str,
        saved: PersistentState,
        log: RaftLog,
        outbox: Outbox,
        timer: ElectionTimer,
        now: datetime,
    ) -> None:
        """Start as a follower with the stored term and vote."""
        self.identity = identity
        self.term, self.voted_for = saved.term, saved.voted_for
        self.role = Role.FOLLOWER
        self.role_since = now
        self.leader = ""  # empty where none is known
        self.votes_received: set[str] = set()
        self.timer = timer
        self._log = log
        self._outbox = outbox

    def become_follower(self, now: datetime, term: int, leader: str) -> None:
        """Follow `leader`, or nobody known yet, in that term."""
        if term > self.term:
            self.term, self.voted_for = term, ""
        if self.role is not Role.FOLLOWER:
            self.role, self.role_since = Role.FOLLOWER, now
            self.timer.reset(now)
        self.leader = leader

    def become_leader(self, now: datetime) -> None:
        """Lead the current term."""
        self.role, self.role_since, self.leader = Role.LEADER, now, self.identity

    def leave(self) -> None:
        """Stop leading after this member's own removal is committed (section 6)."""
        self.role, self.leader = Role.FOLLOWER, ""

    def campaign(self, now: datetime, *, leadership_transfer: bool) -> None:
        """Ask for pre-votes, or at once for votes where the leader itself ordered the election."""
        self.leader, self.role_since = "", now
        if leadership_transfer:
            self._become_candidate(now, leadership_transfer=True)
        else:
            self.role, self.votes_received = Role.PRE_CANDIDATE, set()
            self._request_votes(self.term + 1, pre_vote=True, leadership_transfer=False)

    def _become_candidate(self, now: datetime, *, leadership_transfer: bool) -> None:
        self.role, self.votes_received = Role.CANDIDATE, set()
        self.term, self.voted_for = self.term + 1, self.identity
        self.timer.reset(now)
        self._request_votes(self.term, pre_vote=False, leadership_transfer=leadership_transfer)

    def _request_votes(self, term: int, *, pre_vote: bool, leadership_transfer: bool) -> None:
        request = RequestVote(term, pre_vote, leadership_transfer, self._log.last_index, self._log.last_term)
        # The candidate's own vote counts only when it is durable, so it too takes the way of a message.
        own_vote = RequestVoteResponse(self.term, term, pre_vote, granted=True)
        for voter in self._log.configuration.voters:
            self._outbox.send_after_sync(voter, own_vote if voter == self.identity else request)

    def may_grant_pre_vote(self, request: RequestVote) -> bool:
        """Tell whether the candidate could win this member's vote in the term that it asks about."""
        return self._is_up_to_date(request) and request.term > self.term

    def grant_vote(self, now: datetime, candidate: str, request: RequestVote) -> bool:
        """Vote for the candidate where the rules of sections 5.2 and 5.4.1 allow it; return whether they did."""
        granted = (
            self._is_up_to_date(request)
            and request.term == self.term
            and self.voted_for in ("", candidate)
            and self.role is not Role.LEADER
        )
        if granted:
            self.voted_for = candidate
            self.timer.reset(now)
        return granted

    def _is_up_to_date(self, request: RequestVote) -> bool:
        """Compare the candidate's log with this member's by last term, then by length (section 5.4.1)."""
        return (request.last_log_term, request.last_log_index) >= (self._log.last_term, self._log.last_index)

    def record_vote(self, now: datetime, voter: str, response: RequestVoteResponse) -> bool:
        """Count a response to this member's campaign; return whether it has won the election."""
        if not response.granted or voter not in self._log.configuration.voters:
            return False
        if self.role is Role.PRE_CANDIDATE and response.pre_vote and response.requested_term == self.term + 1:
            if self._count_vote(voter):
                self._become_candidate(now, leadership_transfer=False)
            return False
        if self.role is Role.CANDIDATE and not response.pre_vote and response.requested_term == self.term:
            return self._count_vote(voter)
        return False

    def _count_vote(self, voter: str) -> bool:
        self.votes_received.add(voter)
        return len(self.votes_received) >= self._log.configuration.quorum
