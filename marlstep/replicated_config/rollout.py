"""A staged change: named nodes act on the next version first, and how they do beside the others decides what follows.

The leader looks, by what the nodes' beats say; in the log is only what came of it. One that comes to lead counts the
whole time anew. A change goes back as soon as its nodes do clearly worse, or one of their processes ends; it goes on
when its time is over, enough was seen, and they did no worse.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from marlstep.leases.messages import Heartbeat, RequestCounts
from marlstep.replicated_config.store import Book, Pending
from marlstep.units import MILLISECOND, SECOND

SURE = 3.0  # standard errors by which two shares must differ: chance does that once in some hundred looks
NOT_TAKEN = 10 * SECOND  # beyond a stage's own time, for its nodes to act on it at all


@dataclass(slots=True, frozen=True)
class Heard:
    """One process's last beat, and when it came."""

    beat: Heartbeat
    at: datetime


@dataclass(slots=True, frozen=True)
class Outcome:
    """What is to be proposed of a staged change: it goes on to all, or back."""

    name: str
    version: int
    goes_on: bool
    why: str


@dataclass(slots=True)
class Counted:
    """Of one process, since its part of the stage began."""

    first: RequestCounts
    last: RequestCounts


@dataclass(slots=True)
class Watched:
    began: datetime
    since: datetime | None = None  # all of its nodes act on it
    on: dict[str, Counted] = field(default_factory=dict)  # processes of its nodes
    off: dict[str, Counted] = field(default_factory=dict)  # and of the others


class StageWatch:
    def __init__(self) -> None:
        self._watched: dict[tuple[str, int], Watched] = {}

    def lead(self) -> None:
        """This voter leads from now on: all is counted anew."""
        self._watched.clear()

    def look(self, now: datetime, book: Book, beats: Mapping[str, Heard], term: timedelta) -> list[Outcome]:
        """`beats` by process; `term` of the leases on the rules: one silent for as long may be gone."""
        staged = {(name, one.version.version): one for name, one in book.staged()}
        for key in [key for key in self._watched if key not in staged]:
            del self._watched[key]
        if not staged:
            return []
        live = set(book.live())
        found = []
        for (name, number), pending in staged.items():
            watched = self._watched.setdefault((name, number), Watched(now))
            told = self._decide(now, name, pending, watched, live, beats, term)
            if told is not None and not told[0] and book.waits_for(book.documents[name]):
                told = None  # one came meanwhile, and has not said yet that it can take it
            if told is not None:
                found.append(Outcome(name, number, not told[0], told[1]))
        return found

    def _decide(
        self,
        now: datetime,
        name: str,
        pending: Pending,
        watched: Watched,
        live: set[str],
        beats: Mapping[str, Heard],
        term: timedelta,
    ) -> tuple[bool, str] | None:
        """Whether it goes back, and why; None while that is open."""
        stage = pending.stage
        assert stage is not None
        self._count(name, pending, watched, live, beats)
        for holder in watched.on:
            if holder not in live:
                return True, f"{holder} has ended since it acts on it"
        if watched.since is None:
            if {one.partition("/")[0] for one in watched.on} >= set(stage.nodes):
                watched.since = now
            elif now >= watched.began + stage.for_ms * MILLISECOND + NOT_TAKEN:
                lacking = sorted(set(stage.nodes) - {one.partition("/")[0] for one in watched.on})
                return True, f"{', '.join(lacking)} did not act on it in time"
            return None
        here, there = total(watched.on.values()), total(watched.off.values())
        if why := self.worse(here, there, stage.worse, stage.least):
            return True, why
        if now < watched.since + stage.for_ms * MILLISECOND:
            return None
        if any(beats[one].at < now - term for one in watched.on if one in beats):
            return None  # it is silent: its lease will tell whether it is gone
        if here[0] < stage.least:
            return True, f"only {here[0]} requests were seen on its nodes, {stage.least} are wanted"
        return False, f"its nodes did no worse: {told(here)} there, {told(there)} elsewhere"

    @staticmethod
    def _count(
        name: str, pending: Pending, watched: Watched, live: set[str], beats: Mapping[str, Heard]
    ) -> None:
        stage = pending.stage
        assert stage is not None
        for holder, heard in beats.items():
            if holder not in live:
                continue
            side = watched.off
            if holder.partition("/")[0] in stage.nodes:
                acts = {row[0]: row[1] for row in heard.beat.document_states if row[2] == "acting"}
                if acts.get(name) != pending.version.version:
                    continue
                side = watched.on
            figures = heard.beat.request_counts
            side.setdefault(holder, Counted(figures, figures)).last = figures

    def worse(self, here: RequestCounts, there: RequestCounts, by: float, least: int) -> str:
        """Why the staged nodes do worse than chance explains; empty where they do not."""
        asked, others = here[0], there[0]
        if asked < max(least, 1):
            return ""
        share, usual = bad(here) / asked, bad(there) / others if others else 0.0
        pooled = (bad(here) + bad(there)) / (asked + others)
        error = math.sqrt(pooled * (1 - pooled) * (1 / asked + (1 / others if others else 0.0)))
        if share - usual <= by or share - usual <= SURE * error:
            return ""
        return f"its nodes do worse: {told(here)} there, {told(there)} elsewhere"


def bad(figures: RequestCounts) -> int:
    return figures[1] + figures[2]


def total(counted: Iterable[Counted]) -> RequestCounts:
    asked = refused = failed = 0
    for one in counted:
        asked += one.last[0] - one.first[0]
        refused += one.last[1] - one.first[1]
        failed += one.last[2] - one.first[2]
    return asked, min(refused, asked), min(failed, asked - min(refused, asked))


def told(figures: RequestCounts) -> str:
    return f"{figures[1]} refused and {figures[2]} failed of {figures[0]}"
