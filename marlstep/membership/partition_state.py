"""Where this node stands among the others, and what each part of it does there. No part decides that for itself.

One table says it. A situation for the worse is taken once it has lasted `worse_after`, one for the better after
`better_after`; who comes back from a bad one settles first. A bad one that lasts beyond its bound is overdue: operators
are called, and that is all that changes, as nothing else can be known.
"""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.units import MILLISECOND, SECOND


class PartitionState(enum.Enum):
    HEALTHY = "all well"
    SUSPICION = "some are suspected"
    MAJORITY = "on the majority's side"  # the group answers, and some are gone
    MINORITY = "on the minority's side"
    ISOLATED = "alone"  # nobody is heard
    UNHEARD = "hears, and is not heard"
    QUORUM_LOST = "the group is lost"  # most of the voters are there, and it does not answer
    RECOVERING = "coming back"


CONNECTED_STATES = frozenset((PartitionState.HEALTHY, PartitionState.SUSPICION, PartitionState.MAJORITY))


@dataclass(slots=True, frozen=True)
class Capabilities:
    """What the parts of a node do."""

    wants_leases: bool  # asks for leases of tasks that it does not hold
    begins_tasks: bool  # under a lease that it holds
    proposes: bool  # first versions of documents, from its files
    knocks_for_itself: bool  # at servers that are out: who knocks for all can't tell it what came of it
    hands_over: bool  # the lead and its leases, before it leaves: else it goes at once
    grows: bool  # asks for a larger part of an allowance


_ALL_CAPABILITIES = Capabilities(True, True, True, False, True, True)
_CUT_OFF_CAPABILITIES = Capabilities(False, False, False, True, False, False)
CAPABILITIES = {
    PartitionState.HEALTHY: _ALL_CAPABILITIES,
    PartitionState.SUSPICION: _ALL_CAPABILITIES,
    PartitionState.MAJORITY: _ALL_CAPABILITIES,
    PartitionState.RECOVERING: Capabilities(False, True, False, True, True, False),
    PartitionState.MINORITY: _CUT_OFF_CAPABILITIES,
    PartitionState.ISOLATED: _CUT_OFF_CAPABILITIES,
    PartitionState.UNHEARD: _CUT_OFF_CAPABILITIES,
    PartitionState.QUORUM_LOST: Capabilities(False, False, False, True, False, False),
}
# How long each may last before operators are called; None: for ever.
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
    """What is seen now. Each says which source it is of: heard, agreed, or the group's own answers."""

    quorum_responds: bool  # the group, within a lease's term
    voters: frozenset[str]
    alive: frozenset[str]  # heard, this node among them
    suspected: frozenset[str]  # heard
    roster: frozenset[str]  # empty where this node does not know
    receives: bool  # anybody, of late
    is_acknowledged: bool  # a probe of its own was answered, of late


def classify(sight: PartitionObservation) -> PartitionState:
    """At this moment, without regard to what was before."""
    if sight.quorum_responds:
        if sight.roster - sight.alive:
            return PartitionState.MAJORITY
        return PartitionState.SUSPICION if sight.suspected else PartitionState.HEALTHY
    if not sight.receives:
        return PartitionState.ISOLATED
    if not sight.is_acknowledged:
        return PartitionState.UNHEARD
    if 2 * len(sight.voters & sight.alive) > len(sight.voters):
        return PartitionState.QUORUM_LOST
    return PartitionState.MINORITY


@dataclass(slots=True, frozen=True)
class Transition:
    at: datetime
    state: PartitionState
    previous: PartitionState


class PartitionTracker:
    """The situation that counts, over time. Pure."""

    def __init__(
        self,
        now: datetime,
        worse_after: timedelta = 300 * MILLISECOND,
        better_after: timedelta = 1 * SECOND,
        settles: timedelta = 2 * SECOND,
    ) -> None:
        self.state = PartitionState.RECOVERING
        self.since = now
        self.overdue = False
        self.transitions: deque[Transition] = deque(maxlen=64)
        self._degrade_after, self._improve_after, self._settle_time = worse_after, better_after, settles
        self._observed: PartitionState | None = None  # at this moment, and since when
        self._observed_since = now
        self._connected_since: datetime | None = None
        self._disconnected_since: datetime | None = None  # whichever of the bad ones it was

    @property
    def capabilities(self) -> Capabilities:
        return CAPABILITIES[self.state]

    def observe(self, now: datetime, sight: PartitionObservation) -> bool:
        """Whether the situation is another now."""
        seen = classify(sight)
        if seen is not self._observed:
            self._observed, self._observed_since = seen, now
        self._connected_since = (self._connected_since or now) if seen in CONNECTED_STATES else None
        self._disconnected_since = (self._disconnected_since or now) if seen not in CONNECTED_STATES else None
        after = self._next_state(now, seen)
        longest = OVERDUE_AFTER[self.state]
        if after is self.state:
            self.overdue = longest is not None and now >= self.since + longest
            return False
        self.transitions.append(Transition(now, after, self.state))
        self.state, self.since, self.overdue = after, now, False
        return True

    def _next_state(self, now: datetime, seen: PartitionState) -> PartitionState:
        here = self.state
        if seen is here:
            return here
        if here is PartitionState.RECOVERING:
            # Flapping between good ones does not keep it here, and a bad one ends it.
            if (
                self._connected_since is not None
                and now >= max(self._connected_since, self.since) + self._settle_time
            ):
                return seen
            return seen if self._disconnected_long_enough(now) else here
        if here in CONNECTED_STATES and seen in CONNECTED_STATES:
            wait = self._improve_after if seen is PartitionState.HEALTHY else self._degrade_after
            return seen if now >= self._observed_since + wait else here
        if here in CONNECTED_STATES:
            return seen if self._disconnected_long_enough(now) else here
        if seen in CONNECTED_STATES:
            return PartitionState.RECOVERING
        return seen if now >= self._observed_since + self._degrade_after else here

    def _disconnected_long_enough(self, now: datetime) -> bool:
        """Long enough, also where one bad one gave way to another."""
        return self._disconnected_since is not None and now >= self._disconnected_since + self._degrade_after

    def next_due(self) -> datetime | None:
        """When it may change though nothing new is seen."""
        due = []
        if self._observed is not self.state:
            due += [self._observed_since + self._degrade_after, self._observed_since + self._improve_after]
            if self._disconnected_since is not None:
                due.append(self._disconnected_since + self._degrade_after)
            if self.state is PartitionState.RECOVERING and self._connected_since is not None:
                due.append(max(self._connected_since, self.since) + self._settle_time)
        return min(due, default=None)
