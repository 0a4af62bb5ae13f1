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


class Situation(enum.Enum):
    ALL_WELL = "all well"
    SOME_SUSPECT = "some are suspected"
    MAJORITY = "on the majority's side"  # the group answers, and some are gone
    MINORITY = "on the minority's side"
    ALONE = "alone"  # nobody is heard
    MUTE = "hears, and is not heard"
    GROUP_LOST = "the group is lost"  # most of the voters are there, and it does not answer
    COMING_BACK = "coming back"


GOOD = frozenset((Situation.ALL_WELL, Situation.SOME_SUSPECT, Situation.MAJORITY))


@dataclass(slots=True, frozen=True)
class Conduct:
    """What the parts of a node do."""

    wants_leases: bool  # asks for leases of tasks that it does not hold
    begins_tasks: bool  # under a lease that it holds
    proposes: bool  # first versions of documents, from its files
    knocks_for_itself: bool  # at servers that are out: who knocks for all can't tell it what came of it
    hands_over: bool  # the lead and its leases, before it leaves: else it goes at once
    grows: bool  # asks for a larger part of an allowance


_FULL = Conduct(True, True, True, False, True, True)
_CUT_OFF = Conduct(False, False, False, True, False, False)
CONDUCT = {
    Situation.ALL_WELL: _FULL,
    Situation.SOME_SUSPECT: _FULL,
    Situation.MAJORITY: _FULL,
    Situation.COMING_BACK: Conduct(False, True, False, True, True, False),
    Situation.MINORITY: _CUT_OFF,
    Situation.ALONE: _CUT_OFF,
    Situation.MUTE: _CUT_OFF,
    Situation.GROUP_LOST: Conduct(False, False, False, True, False, False),
}
# How long each may last before operators are called; None: for ever.
LONGEST: dict[Situation, timedelta | None] = {
    Situation.ALL_WELL: None,
    Situation.SOME_SUSPECT: 60 * SECOND,
    Situation.MAJORITY: 600 * SECOND,
    Situation.COMING_BACK: 10 * SECOND,
    Situation.MINORITY: 30 * SECOND,
    Situation.ALONE: 30 * SECOND,
    Situation.MUTE: 30 * SECOND,
    Situation.GROUP_LOST: 30 * SECOND,
}


@dataclass(slots=True, frozen=True)
class Sight:
    """What is seen now. Each says which source it is of: heard, agreed, or the group's own answers."""

    answered: bool  # the group, within a lease's term
    voters: frozenset[str]
    alive: frozenset[str]  # heard, this node among them
    suspected: frozenset[str]  # heard
    agreed: frozenset[str]  # empty where this node does not know
    hears: bool  # anybody, of late
    is_heard: bool  # a probe of its own was answered, of late


def judge(sight: Sight) -> Situation:
    """At this moment, without regard to what was before."""
    if sight.answered:
        if sight.agreed - sight.alive:
            return Situation.MAJORITY
        return Situation.SOME_SUSPECT if sight.suspected else Situation.ALL_WELL
    if not sight.hears:
        return Situation.ALONE
    if not sight.is_heard:
        return Situation.MUTE
    if 2 * len(sight.voters & sight.alive) > len(sight.voters):
        return Situation.GROUP_LOST
    return Situation.MINORITY


@dataclass(slots=True, frozen=True)
class Turn:
    at: datetime
    now: Situation
    before: Situation


class Standing:
    """The situation that counts, over time. Pure."""

    def __init__(
        self,
        now: datetime,
        worse_after: timedelta = 300 * MILLISECOND,
        better_after: timedelta = 1 * SECOND,
        settles: timedelta = 2 * SECOND,
    ) -> None:
        self.situation = Situation.COMING_BACK
        self.since = now
        self.overdue = False
        self.turns: deque[Turn] = deque(maxlen=64)
        self._worse, self._better, self._settles = worse_after, better_after, settles
        self._seen: Situation | None = None  # at this moment, and since when
        self._seen_since = now
        self._well_since: datetime | None = None
        self._bad_since: datetime | None = None  # whichever of the bad ones it was

    @property
    def conduct(self) -> Conduct:
        return CONDUCT[self.situation]

    def look(self, now: datetime, sight: Sight) -> bool:
        """Whether the situation is another now."""
        seen = judge(sight)
        if seen is not self._seen:
            self._seen, self._seen_since = seen, now
        self._well_since = (self._well_since or now) if seen in GOOD else None
        self._bad_since = (self._bad_since or now) if seen not in GOOD else None
        after = self._next(now, seen)
        longest = LONGEST[self.situation]
        if after is self.situation:
            self.overdue = longest is not None and now >= self.since + longest
            return False
        self.turns.append(Turn(now, after, self.situation))
        self.situation, self.since, self.overdue = after, now, False
        return True

    def _next(self, now: datetime, seen: Situation) -> Situation:
        here = self.situation
        if seen is here:
            return here
        if here is Situation.COMING_BACK:
            # Flapping between good ones does not keep it here, and a bad one ends it.
            if self._well_since is not None and now >= max(self._well_since, self.since) + self._settles:
                return seen
            return seen if self._bad_for(now) else here
        if here in GOOD and seen in GOOD:
            wait = self._better if seen is Situation.ALL_WELL else self._worse
            return seen if now >= self._seen_since + wait else here
        if here in GOOD:
            return seen if self._bad_for(now) else here
        if seen in GOOD:
            return Situation.COMING_BACK
        return seen if now >= self._seen_since + self._worse else here

    def _bad_for(self, now: datetime) -> bool:
        """Long enough, also where one bad one gave way to another."""
        return self._bad_since is not None and now >= self._bad_since + self._worse

    def next_due(self) -> datetime | None:
        """When it may change though nothing new is seen."""
        due = []
        if self._seen is not self.situation:
            due += [self._seen_since + self._worse, self._seen_since + self._better]
            if self._bad_since is not None:
                due.append(self._bad_since + self._worse)
            if self.situation is Situation.COMING_BACK and self._well_since is not None:
                due.append(max(self._well_since, self.since) + self._settles)
        return min(due, default=None)
