"""Classification of this node's side of a network partition, and of the activities that it permits.

`classify` maps a single observation to a state. `PartitionTracker` adds hysteresis: a worse state is entered after a
short delay, a better one after a longer delay, and a node that reconnects passes through `RECOVERING` first.
`CAPABILITIES` is the only table of what a node may do in each state; no component decides that for itself. A state that
lasts longer than its bound in `OVERDUE_AFTER` is flagged for operators. That has no other effect, since the node cannot
learn more by itself.
"""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from marlstep.net.codec import BOOLEAN, wire
from marlstep.units import MILLISECOND, SECOND

MAX_TRANSITIONS_KEPT = 64


class PartitionState(enum.Enum):
    """Which side of a partition this node is on. The values are shown to operators."""

    HEALTHY = "all well"
    SUSPICION = "some are suspected"
    MAJORITY = "on the majority's side"  # the quorum responds, but some members are unreachable
    MINORITY = "on the minority's side"  # no quorum responds, and at most half of the voters are alive
    ISOLATED = "alone"  # nothing is received
    UNHEARD = "hears, and is not heard"  # messages are received, but no probe is acknowledged
    QUORUM_LOST = "the group is lost"  # most voters are alive, but the quorum does not respond
    RECOVERING = "coming back"  # connected again, but not yet for the settle time


CONNECTED_STATES = frozenset((PartitionState.HEALTHY, PartitionState.SUSPICION, PartitionState.MAJORITY))


@dataclass(slots=True, frozen=True)
class Capabilities:
    """What the components of a node may do. The JSON keys are those of the `situation` admin page."""

    # acquire task leases that this node does not hold
    requests_leases: bool = field(metadata=wire("wants_leases", BOOLEAN))
    # start runs under a lease that this node holds
    starts_tasks: bool = field(metadata=wire("begins_tasks", BOOLEAN))
    # propose the first version of a document from a local file
    proposes_documents: bool = field(metadata=wire("proposes", BOOLEAN))
    # check ejected servers itself, since results of the pool's lease holder cannot reach this node
    checks_servers_itself: bool = field(metadata=wire("knocks_for_itself", BOOLEAN))
    # transfer leadership and leases before a shutdown, instead of stopping immediately
    transfers_leases: bool = field(metadata=wire("hands_over", BOOLEAN))
    # ask for a larger share of a tenant's quota
    requests_quota: bool = field(metadata=wire("grows", BOOLEAN))


_ALL_CAPABILITIES = Capabilities(
    requests_leases=True,
    starts_tasks=True,
    proposes_documents=True,
    checks_servers_itself=False,
    transfers_leases=True,
    requests_quota=True,
)
_CUT_OFF_CAPABILITIES = Capabilities(
    requests_leases=False,
    starts_tasks=False,
    proposes_documents=False,
    checks_servers_itself=True,
    transfers_leases=False,
    requests_quota=False,
)
_RECOVERING_CAPABILITIES = Capabilities(
    requests_leases=False,
    starts_tasks=True,
    proposes_documents=False,
    checks_servers_itself=True,
    transfers_leases=True,
    requests_quota=False,
)
CAPABILITIES = {
    PartitionState.HEALTHY: _ALL_CAPABILITIES,
    PartitionState.SUSPICION: _ALL_CAPABILITIES,
    PartitionState.MAJORITY: _ALL_CAPABILITIES,
    PartitionState.RECOVERING: _RECOVERING_CAPABILITIES,
    PartitionState.MINORITY: _CUT_OFF_CAPABILITIES,
    PartitionState.ISOLATED: _CUT_OFF_CAPABILITIES,
    PartitionState.UNHEARD: _CUT_OFF_CAPABILITIES,
    PartitionState.QUORUM_LOST: _CUT_OFF_CAPABILITIES,
}
# How long a state may last before operators are alerted; None means without limit.
OVERDUE_AFTER: dict[PartitionState, timedelta | None] = {
    PartitionState.HEALTHY: None,
    PartitionState.SUSPICION: 60 * SECOND,
    PartitionState.MAJORITY: 600 * SECOND,
    PartitionState.RECOVERING: 10 * SECOND,
    PartitionState.MINORITY: 30 * SECOND,
    PartitionState.ISOLATED: 30 * SECOND,
    PartitionState.UNHEARD: 30 * SECOND,
    PartitionState.QUORUM_LOST: 30 * SECOND,
}


@dataclass(slots=True, frozen=True)
class PartitionObservation:
    """What this node knows about the other nodes at one moment."""

    quorum_responds: bool  # the consensus group has responded within the term of a lease
    voters: frozenset[str]
    alive: frozenset[str]  # according to the failure detector, including this node
    suspected: frozenset[str]  # according to the failure detector
    roster: frozenset[str]  # according to the replicated log; empty if this node has no replica
    receives: bool  # this node has recently received a message from any other node
    is_acknowledged: bool  # a probe that this node sent was recently acknowledged


def classify(observation: PartitionObservation) -> PartitionState:
    """Return the state that an observation shows, regardless of earlier observations."""
    if observation.quorum_responds:
        return _classify_connected(observation)
    if not observation.receives:
        return PartitionState.ISOLATED
    if not observation.is_acknowledged:
        return PartitionState.UNHEARD
    if 2 * len(observation.voters & observation.alive) > len(observation.voters):
        return PartitionState.QUORUM_LOST
    return PartitionState.MINORITY


def _classify_connected(observation: PartitionObservation) -> PartitionState:
    if observation.roster - observation.alive:
        return PartitionState.MAJORITY
    return PartitionState.SUSPICION if observation.suspected else PartitionState.HEALTHY


@dataclass(slots=True, frozen=True)
class Transition:
    """A state change, kept to be shown to operators."""

    at: datetime
    state: PartitionState
    previous: PartitionState


class PartitionTracker:
    """The state machine that is driven by observations. It does no I/O; the current time is passed in."""

    def __init__(
        self,
        now: datetime,
        degrade_after: timedelta = 300 * MILLISECOND,
        improve_after: timedelta = 1 * SECOND,
        settle_time: timedelta = 2 * SECOND,
    ) -> None:
        """Initialize in `RECOVERING`.

        Args:
            now: the current time.
            degrade_after: how long a worse state must be observed before it is entered.
            improve_after: how long `HEALTHY` must be observed before another connected state is left for it.
            settle_time: how long connected states must be observed before `RECOVERING` is left for one of them.
        """
        self.state = PartitionState.RECOVERING
        self.since = now
        self.overdue = False
        self.transitions: deque[Transition] = deque(maxlen=MAX_TRANSITIONS_KEPT)
        self._degrade_after = degrade_after
        self._improve_after = improve_after
        self._settle_time = settle_time
        self._observed: PartitionState | None = None
        self._observed_since = now
        self._connected_since: datetime | None = None
        self._disconnected_since: datetime | None = None  # kept across changes between disconnected states

    @property
    def capabilities(self) -> Capabilities:
        """What this node may do in the current state."""
        return CAPABILITIES[self.state]

    def observe(self, now: datetime, observation: PartitionObservation) -> bool:
        """Update the state from an observation; return whether it changed."""
        observed = classify(observation)
        self._track_durations(now, observed)
        next_state = self._next_state(now, observed)
        if next_state is self.state:
            limit = OVERDUE_AFTER[self.state]
            self.overdue = limit is not None and now >= self.since + limit
            return False
        self.transitions.append(Transition(now, next_state, self.state))
        self.state, self.since, self.overdue = next_state, now, False
        return True

    def _track_durations(self, now: datetime, observed: PartitionState) -> None:
        if observed is not self._observed:
            self._observed, self._observed_since = observed, now
        if observed in CONNECTED_STATES:
            self._connected_since = self._connected_since or now
            self._disconnected_since = None
        else:
            self._connected_since = None
            self._disconnected_since = self._disconnected_since or now

    def _next_state(self, now: datetime, observed: PartitionState) -> PartitionState:
        if observed is self.state:
            return self.state
        if self.state is PartitionState.RECOVERING:
            may_change = self._has_settled(now) or self._disconnected_long_enough(now)
        elif self.state in CONNECTED_STATES:
            may_change = self._may_leave_connected_state(now, observed)
        elif observed in CONNECTED_STATES:
            return PartitionState.RECOVERING
        else:
            may_change = now >= self._observed_since + self._degrade_after
        return observed if may_change else self.state

    def _has_settled(self, now: datetime) -> bool:
        """Return whether connected states were observed for the settle time, also if they alternated."""
        connected_since = self._connected_since
        return connected_since is not None and now >= max(connected_since, self.since) + self._settle_time

    def _may_leave_connected_state(self, now: datetime, observed: PartitionState) -> bool:
        if observed not in CONNECTED_STATES:
            return self._disconnected_long_enough(now)
        delay = self._improve_after if observed is PartitionState.HEALTHY else self._degrade_after
        return now >= self._observed_since + delay

    def _disconnected_long_enough(self, now: datetime) -> bool:
        """Return whether disconnected states were observed long enough, also if they alternated."""
        return self._disconnected_since is not None and now >= self._disconnected_since + self._degrade_after

    def next_due(self) -> datetime | None:
        """Return when the state may change if the observed state stays the same, or None if it cannot."""
        if self._observed is self.state:
            return None
        due = [self._observed_since + self._degrade_after, self._observed_since + self._improve_after]
        if self._disconnected_since is not None:
            due.append(self._disconnected_since + self._degrade_after)
        if self.state is PartitionState.RECOVERING and self._connected_since is not None:
            due.append(max(self._connected_since, self.since) + self._settle_time)
        return min(due)
