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
from marlstep.replicated_config.store import ConfigStore, PreparedVersion
from marlstep.units import MILLISECOND, SECOND

SIGNIFICANCE = (
    3.0  # standard errors by which two shares must differ: chance does that once in some hundred looks
)
ADOPTION_TIMEOUT = 10 * SECOND  # beyond a stage's own time, for its nodes to act on it at all


@dataclass(slots=True, frozen=True)
class ReceivedHeartbeat:
    """One process's last beat, and when it came."""

    heartbeat: Heartbeat
    received_at: datetime


@dataclass(slots=True, frozen=True)
class RolloutDecision:
    """What is to be proposed of a staged change: it goes on to all, or back."""

    name: str
    version: int
    promote: bool
    reason: str


@dataclass(slots=True)
class CountRange:
    """Of one process, since its part of the stage began."""

    first: RequestCounts
    last: RequestCounts


@dataclass(slots=True)
class RolloutObservation:
    began: datetime
    since: datetime | None = None  # all of its nodes act on it
    on: dict[str, CountRange] = field(default_factory=dict)  # processes of its nodes
    off: dict[str, CountRange] = field(default_factory=dict)  # and of the others


class RolloutMonitor:
    def __init__(self) -> None:
        self._observations: dict[tuple[str, int], RolloutObservation] = {}

    def become_leader(self) -> None:
        """This voter leads from now on: all is counted anew."""
        self._observations.clear()

    def evaluate(
        self, now: datetime, book: ConfigStore, beats: Mapping[str, ReceivedHeartbeat], term: timedelta
    ) -> list[RolloutDecision]:
        """`beats` by process; `term` of the leases on the rules: one silent for as long may be gone."""
        staged = {(name, one.version.number): one for name, one in book.active_rollouts()}
        for key in [key for key in self._observations if key not in staged]:
            del self._observations[key]
        if not staged:
            return []
        live = set(book.live_processes())
        found = []
        for (name, number), pending in staged.items():
            watched = self._observations.setdefault((name, number), RolloutObservation(now))
            told = self._decide(now, name, pending, watched, live, beats, term)
            if told is not None and not told[0] and book.missing_acknowledgements(book.documents[name]):
                told = None  # one came meanwhile, and has not said yet that it can take it
            if told is not None:
                found.append(RolloutDecision(name, number, not told[0], told[1]))
        return found

    def _decide(
        self,
        now: datetime,
        name: str,
        pending: PreparedVersion,
        watched: RolloutObservation,
        live: set[str],
        beats: Mapping[str, ReceivedHeartbeat],
        term: timedelta,
    ) -> tuple[bool, str] | None:
        """Whether it goes back, and why; None while that is open."""
        stage = pending.rollout
        assert stage is not None
        self._count(name, pending, watched, live, beats)
        for holder in watched.on:
            if holder not in live:
                return True, f"{holder} has ended since it acts on it"
        if watched.since is None:
            if {one.partition("/")[0] for one in watched.on} >= set(stage.nodes):
                watched.since = now
            elif now >= watched.began + stage.duration_ms * MILLISECOND + ADOPTION_TIMEOUT:
                lacking = sorted(set(stage.nodes) - {one.partition("/")[0] for one in watched.on})
                return True, f"{', '.join(lacking)} did not act on it in time"
            return None
        here, there = total(watched.on.values()), total(watched.off.values())
        if why := self.is_degraded(here, there, stage.max_degradation, stage.min_requests):
            return True, why
        if now < watched.since + stage.duration_ms * MILLISECOND:
            return None
        if any(beats[one].received_at < now - term for one in watched.on if one in beats):
            return None  # it is silent: its lease will tell whether it is gone
        if here[0] < stage.min_requests:
            return True, f"only {here[0]} requests were seen on its nodes, {stage.min_requests} are wanted"
        return False, f"its nodes did no worse: {describe(here)} there, {describe(there)} elsewhere"

    @staticmethod
    def _count(
        name: str,
        pending: PreparedVersion,
        watched: RolloutObservation,
        live: set[str],
        beats: Mapping[str, ReceivedHeartbeat],
    ) -> None:
        stage = pending.rollout
        assert stage is not None
        for holder, heard in beats.items():
            if holder not in live:
                continue
            side = watched.off
            if holder.partition("/")[0] in stage.nodes:
                acts = {
                    one.document: one.version
                    for one in heard.heartbeat.document_states
                    if one.state == "acting"
                }
                if acts.get(name) != pending.version.number:
                    continue
                side = watched.on
            figures = heard.heartbeat.request_counts
            side.setdefault(holder, CountRange(figures, figures)).last = figures

    def is_degraded(self, here: RequestCounts, there: RequestCounts, by: float, least: int) -> str:
        """Why the staged nodes do worse than chance explains; empty where they do not."""
        asked, others = here.read, there.read
        if asked < max(least, 1):
            return ""
        share, usual = bad(here) / asked, bad(there) / others if others else 0.0
        pooled = (bad(here) + bad(there)) / (asked + others)
        error = math.sqrt(pooled * (1 - pooled) * (1 / asked + (1 / others if others else 0.0)))
        if share - usual <= by or share - usual <= SIGNIFICANCE * error:
            return ""
        return f"its nodes do worse: {describe(here)} there, {describe(there)} elsewhere"


def bad(figures: RequestCounts) -> int:
    return figures.refused + figures.failed


def total(counted: Iterable[CountRange]) -> RequestCounts:
    asked = refused = failed = 0
    for one in counted:
        asked += one.last.read - one.first.read
        refused += one.last.refused - one.first.refused
        failed += one.last.failed - one.first.failed
    return RequestCounts(asked, min(refused, asked), min(failed, asked - min(refused, asked)))


def describe(figures: RequestCounts) -> str:
    return f"{figures.refused} refused and {figures.failed} failed of {figures.read}"
