"""Leader election: roles, terms, votes and the election timer (section 5.2 of the Raft paper).

A member that loses contact with its leader first asks for pre-votes without incrementing its term, so that a member
that rejoins after a partition does not depose a working leader (section 9.6 of Ongaro's dissertation):

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
    """A source of random numbers, seeded by the caller."""

    def random(self) -> float:
        """Return a number in the half-open interval [0, 1)."""


class Role(enum.Enum):
    """The role of a member. Operators see the values."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True, frozen=True)
class RaftTiming:
    """The heartbeat interval and the minimum election timeout.

    A member without contact from a leader starts an election after a random time between `election_timeout` and twice
    `election_timeout`.
    """

    heartbeat_interval: timedelta = 100 * MILLISECOND
    election_timeout: timedelta = 500 * MILLISECOND


class ElectionTimer:
    """The randomized election timeout of one member."""

    def __init__(self, timing: RaftTiming, random_source: RandomSource, now: datetime) -> None:
        """Start the timer at `now`."""
        self._timing = timing
        self._random = random_source
        self.last_leader_contact: datetime | None = None
        self.deferred = False  # the deadline was missed by far and has been postponed once
        self.deadline = now
        self.reset(now)

    def reset(self, now: datetime) -> None:
        """Restart the timer with a new random timeout."""
        self.deferred = False
        self.deadline = now + self._timing.election_timeout * (1 + self._random.random())

    def record_leader_contact(self, now: datetime) -> None:
        """Record a message from the leader at `now` and restart the timer."""
        self.last_leader_contact = now
        self.reset(now)

    def has_recent_leader_contact(self, now: datetime) -> bool:
        """Tell whether a message from the leader arrived within the minimum election timeout before `now`."""
        last = self.last_leader_contact
        return last is not None and now < last + self._timing.election_timeout

    def has_expired(self, now: datetime) -> bool:
        """Tell whether an election is due.

        A process that had no CPU time for a while runs its overdue timers before it reads the messages in its socket
        buffers. It therefore postpones an overdue election once, by one heartbeat interval: the leader's messages may
        already have arrived, and the election would be unnecessary.
        """
        if now >= self.deadline + self._timing.heartbeat_interval and not self.deferred:
            self.deferred = True
            self.deadline = now + self._timing.heartbeat_interval
            return False
        return now >= self.deadline


class Election:
    """One member's term, vote and role, and its election campaigns."""

    def __init__(
        self,
        identity: str,
        saved: PersistentState,
        log: RaftLog,
        outbox: Outbox,
        timer: ElectionTimer,
        now: datetime,
    ) -> None:
        """Initialize a follower with the term and vote in `saved`."""
        self.identity = identity
        self.term, self.voted_for = saved.term, saved.voted_for
        self.role = Role.FOLLOWER
        self.role_since = now
        self.leader = ""  # empty if unknown
        self.votes_received: set[str] = set()
        self.timer = timer
        self._log = log
        self._outbox = outbox

    def become_follower(self, now: datetime, term: int, leader: str) -> None:
        """Become a follower in `term`; `leader` is empty while the leader of that term is unknown."""
        if term > self.term:
            self.term, self.voted_for = term, ""
        if self.role is not Role.FOLLOWER:
            self.role, self.role_since = Role.FOLLOWER, now
            self.timer.reset(now)
        self.leader = leader

    def become_leader(self, now: datetime) -> None:
        """Become the leader of the current term."""
        self.role, self.role_since, self.leader = Role.LEADER, now, self.identity

    def step_down_after_removal(self) -> None:
        """Stop leading after this member's own removal is committed (section 6)."""
        self.role, self.leader = Role.FOLLOWER, ""

    def campaign(self, now: datetime, *, leadership_transfer: bool) -> None:
        """Request pre-votes, or votes without a pre-vote round if the leader itself ordered the election."""
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
        # The candidate's own vote counts only once it is durable, so it is sent as a message like any other vote.
        own_vote = RequestVoteResponse(self.term, term, pre_vote, granted=True)
        for voter in self._log.configuration.voters:
            self._outbox.send_after_sync(voter, own_vote if voter == self.identity else request)

    def may_grant_pre_vote(self, request: RequestVote) -> bool:
        """Tell whether this member would vote for the candidate in the requested term."""
        return self._is_up_to_date(request) and request.term > self.term

    def grant_vote(self, now: datetime, candidate: str, request: RequestVote) -> bool:
        """Vote for the candidate if sections 5.2 and 5.4.1 allow it; return whether the vote was granted."""
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
        """Tell whether the candidate's log is at least as up to date as this member's (section 5.4.1)."""
        return (request.last_log_term, request.last_log_index) >= (self._log.last_term, self._log.last_index)

    def record_vote(self, now: datetime, voter: str, response: RequestVoteResponse) -> bool:
        """Count a response to this member's campaign; return whether the member has now won the election."""
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
