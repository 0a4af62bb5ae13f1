"""Changes of the group's configuration: joins, promotion of learners and removal of members.

The leader makes one change at a time (section 4 of Ongaro's dissertation). A node that lost its store joins under a new
identity, first as a learner. Once the learner has caught up, the leader removes the voter with the node's former
identity and then promotes the learner.
"""

from __future__ import annotations

import contextlib
from collections import deque
from datetime import datetime

from marlstep.consensus.configuration_change import ConfigurationChangeRejectedError
from marlstep.consensus.log import Configuration
from marlstep.consensus.raft import Raft
from marlstep.consensus.replica_messages import JoinRequest
from marlstep.consensus.replica_settings import node_of
from marlstep.consensus.replica_status import ReplicaEvent
from marlstep.units import SECOND

MAX_PROMOTION_LAG = 32  # entries that a learner's log may be behind when it is promoted
JOIN_REQUEST_EXPIRY = 5 * SECOND  # a request that was not repeated within this time is dropped


class GroupMembership:
    """Adapts the group's configuration to the eligible nodes and the join requests while this replica leads."""

    def __init__(self, raft: Raft, events: deque[ReplicaEvent]) -> None:
        """Initialize without join requests; changes are proposed to `raft` and reported in `events`."""
        self._raft = raft
        self._events = events
        self._join_requests: dict[str, datetime] = {}  # time of the last request by identity

    def handle_join_request(
        self, now: datetime, sender: str, request: JoinRequest, eligible_nodes: tuple[str, ...]
    ) -> None:
        """Record a join request if the replica asks for itself and its node is eligible."""
        is_eligible = request.node in eligible_nodes
        if is_eligible and node_of(request.identity) == request.node and sender == request.identity:
            self._join_requests[request.identity] = now

    def clear(self) -> None:
        """Drop all join requests, after this replica lost the leadership."""
        self._join_requests.clear()

    def reconcile(self, now: datetime, eligible_nodes: tuple[str, ...]) -> None:
        """Propose the next change if one is due and none is pending."""
        raft = self._raft
        if not raft.is_established_leader or raft.log.configuration_index > raft.commit_index:
            return
        if self._remove_ineligible_member(now, eligible_nodes):
            return
        for identity, requested_at in list(self._join_requests.items()):
            if identity in raft.configuration.voters or requested_at < now - JOIN_REQUEST_EXPIRY:
                del self._join_requests[identity]
            elif self._advance_join(now, identity):
                return

    def _remove_ineligible_member(self, now: datetime, eligible_nodes: tuple[str, ...]) -> bool:
        """Propose to remove one ineligible member, provided that a majority of the other voters responds.

        Returns:
            Whether such a member was found.
        """
        configuration = self._raft.configuration
        for identity in configuration.members:
            if node_of(identity) in eligible_nodes:
                continue
            voters = tuple(voter for voter in configuration.voters if voter != identity)
            learners = tuple(learner for learner in configuration.learners if learner != identity)
            if voters and self._majority_is_alive(now, voters):
                change = f"{identity} is removed, as its node is not eligible any more"
                self._propose(Configuration(voters, learners), change)
                return True
        return False

    def _advance_join(self, now: datetime, identity: str) -> bool:
        """Propose the next step of a joining replica; return False if it first has to catch up."""
        configuration = self._raft.configuration
        if identity not in configuration.learners:
            self._add_learner(configuration, identity)
            return True
        if not self._is_caught_up(identity):
            return False
        former_voters = [voter for voter in configuration.voters if node_of(voter) == node_of(identity)]
        if former_voters:
            self._remove_former_voters(now, configuration, former_voters, identity)
        else:
            self._promote(configuration, identity)
        return True

    def _add_learner(self, configuration: Configuration, identity: str) -> None:
        others = tuple(learner for learner in configuration.learners if node_of(learner) != node_of(identity))
        change = f"{identity} is added as a learner"
        self._propose(Configuration(configuration.voters, (*others, identity)), change)

    def _promote(self, configuration: Configuration, identity: str) -> None:
        learners = tuple(learner for learner in configuration.learners if learner != identity)
        change = f"{identity} is promoted to voter"
        self._propose(Configuration((*configuration.voters, identity), learners), change)

    def _remove_former_voters(
        self, now: datetime, configuration: Configuration, former_voters: list[str], identity: str
    ) -> None:
        """Propose to remove unresponsive former voters of a node if a majority of the remaining voters responds."""
        remaining = tuple(voter for voter in configuration.voters if voter not in former_voters)
        if len(configuration.voters) == 1 or not all(
            self._is_unresponsive(now, voter) for voter in former_voters
        ):
            return
        if self._majority_is_alive(now, remaining):
            change = f"{former_voters[0]} is replaced by {identity}"
            self._propose(Configuration(remaining, configuration.learners), change)

    def _propose(self, configuration: Configuration, change: str) -> None:
        with contextlib.suppress(ConfigurationChangeRejectedError):  # the next reconciliation tries again
            self._raft.change_configuration(configuration)
            self._events.append(ReplicaEvent(f"group: {change}", "requested by its node"))

    def _is_caught_up(self, identity: str) -> bool:
        peer = self._raft.progress.get(identity)
        return (
            peer is not None
            and peer.match_index > 0
            and self._raft.replication_lag(identity) <= MAX_PROMOTION_LAG
        )

    def _is_unresponsive(self, now: datetime, identity: str) -> bool:
        """Tell whether another member has not responded for twice the election timeout."""
        if identity == self._raft.identity:
            return False
        peer = self._raft.progress.get(identity)
        oldest = now - 2 * self._raft.timing.election_timeout
        return peer is None or peer.last_contact is None or peer.last_contact < oldest

    def _majority_is_alive(self, now: datetime, voters: tuple[str, ...]) -> bool:
        """Tell whether a majority of these voters has responded recently, so that they can commit on their own."""
        alive = sum(not self._is_unresponsive(now, voter) for voter in voters)
        return alive >= Configuration(voters).quorum
