"""Facts and how they are merged; pure, with the clock passed in.

A fact is one figure about one subject (a server, a class, the node itself), with the weight of the samples behind
it, the instant at which its first observer last saw it, and how many hands it went through. Three things hold
whatever peers say:

- own observation outweighs hearsay: what others say never counts for more than half of what was seen here;
- passing on makes nothing younger: a fact keeps the instant of its first observer;
- nothing older than the stated limit is ever used, nor what was learned of another life of a server.

Instants don't travel, as clocks differ: ages do. The one who hears adds the time that the asking took, so that a
fact may be taken for older than it is, and never for younger.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from typing import NamedTuple

from marlstep.units import MILLISECOND, SECOND, ZERO


class Kind(enum.StrEnum):
    LATENCY = "latency"  # ms of a server's answers
    FLOOR = "floor"  # ms, the least of late
    LIMIT = "limit"  # requests at once
    FAILURES = "failures"  # share of attempts, from 0 to 1
    RUN_LIMIT = "run-limit"  # of the decision module
    BASE = "base"  # us, its least latency of a run
    MEAN = "mean"  # us on the cores of a class's run
    CALL = "call"  # us, the usual time of a call below


class Rule(NamedTuple):
    """How facts of a kind are discounted and which of two that contradict each other is the careful one."""

    half_life: timedelta
    least: float
    most: float
    careful_high: bool  # the higher value is the one that sends less work


RULES: Mapping[Kind, Rule] = {
    Kind.LATENCY: Rule(10 * SECOND, 0.01, 600_000, True),
    Kind.FLOOR: Rule(30 * SECOND, 0.01, 600_000, True),
    Kind.LIMIT: Rule(10 * SECOND, 1, 10_000, False),
    Kind.FAILURES: Rule(5 * SECOND, 0, 1, True),
    Kind.RUN_LIMIT: Rule(10 * SECOND, 1, 100_000, False),
    Kind.BASE: Rule(30 * SECOND, 1, 600_000_000, True),
    Kind.MEAN: Rule(30 * SECOND, 1, 600_000_000, True),
    Kind.CALL: Rule(15 * SECOND, 1, 600_000_000, True),
}
MOST_WEIGHT = 1_000.0  # samples; more make a fact no surer
HOP_SHARE = 0.5  # what each hand leaves of its weight
CONTRADICTION = 3.0  # times; peers further apart are not averaged, the careful one is taken
OWN_SHARE = 0.5  # of the own weight that all hearsay together may have
OWN_SURE = 8.0  # own samples, discounted, from which hearsay counts for nothing

Subject = tuple[Kind, str]


@dataclass(slots=True, frozen=True)
class Limits:
    oldest: timedelta = 30 * SECOND
    most_hops: int = 3
    most_facts: int = 4_096  # of one peer


@dataclass(slots=True, frozen=True)
class Fact:
    kind: Kind
    subject: str  # the name of a server or class; "" for the node itself
    value: float
    weight: float  # samples behind it when it was last seen
    seen: datetime  # by its first observer, on the clock here
    origin: str  # the first observer's name
    hops: int = 0
    boot: str | None = None  # of the server's life that it was learned of

    @property
    def about(self) -> Subject:
        return self.kind, self.subject

    def sound(self) -> bool:
        """A value that can be true at all. NaN never is."""
        rule = RULES[self.kind]
        return rule.least <= self.value <= rule.most and 0 < self.weight < math.inf and self.hops >= 0

    def weight_at(self, now: datetime) -> float:
        age = max(ZERO, now - self.seen)
        faded = 0.5 ** (age / RULES[self.kind].half_life)
        return float(min(self.weight, MOST_WEIGHT) * faded * HOP_SHARE**self.hops)


class Why(enum.StrEnum):
    """Why hearsay was not used."""

    TOO_OLD = "too-old"
    TOO_FAR = "too-far"  # through too many hands
    UNSOUND = "unsound"
    OTHER_LIFE = "other-life"  # the server has started anew since
    OWN_ECHO = "own-echo"  # it was learned here first
    KNOWN = "known"  # what was seen here is enough


@dataclass(slots=True)
class Merged:
    """What to go by, by subject, and what became of the rest."""

    facts: dict[Subject, Fact]
    left_out: dict[Why, int]
    contradicted: int = 0


def merge(
    own: Iterable[Fact],
    heard: Iterable[Fact],
    boots: Mapping[str, str],
    me: str,
    now: datetime,
    limits: Limits = Limits(),
) -> Merged:
    """What this instance should go by.

    `boots` has the present identity of the servers that have told theirs. The facts given back are to be used, not
    to be passed on: `for_peers` makes what a peer may hear.
    """
    merged = Merged({}, {})
    mine = {fact.about: fact for fact in own if fact.sound()}
    by_subject: dict[Subject, list[Fact]] = {}
    for fact in heard:
        why = unusable(fact, boots, me, now, limits)
        if why is None and _sure(mine.get(fact.about), now):
            why = Why.KNOWN
        if why is not None:
            merged.left_out[why] = merged.left_out.get(why, 0) + 1
        else:
            by_subject.setdefault(fact.about, []).append(fact)
    for about, facts in by_subject.items():
        fact, contradicted = _agreed(facts, now)
        merged.contradicted += contradicted
        known = mine.get(about)
        merged.facts[about] = fact if known is None else _beside(known, fact, now)
    for about, fact in mine.items():
        merged.facts.setdefault(about, fact)
    return merged


def unusable(fact: Fact, boots: Mapping[str, str], me: str, now: datetime, limits: Limits) -> Why | None:
    """Why a fact that was heard is not used; None where it is."""
    if not fact.sound():
        return Why.UNSOUND
    if fact.origin == me:
        return Why.OWN_ECHO
    if now - fact.seen > limits.oldest:
        return Why.TOO_OLD
    if fact.hops > limits.most_hops:
        return Why.TOO_FAR
    if fact.boot is not None and boots.get(fact.subject, fact.boot) != fact.boot:
        return Why.OTHER_LIFE
    return None


def _sure(own: Fact | None, now: datetime) -> bool:
    return own is not None and own.weight_at(now) >= OWN_SURE


def _agreed(facts: list[Fact], now: datetime) -> tuple[Fact, bool]:
    """What several peers say together. Of one origin only the youngest counts: the others are its echoes."""
    latest: dict[str, Fact] = {}
    for fact in facts:
        other = latest.get(fact.origin)
        if other is None or (fact.seen, -fact.hops) > (other.seen, -other.hops):
            latest[fact.origin] = fact
    voices = sorted(latest.values(), key=lambda fact: (fact.value, fact.origin))
    low, high = voices[0], voices[-1]
    rule = RULES[low.kind]
    if high.value > CONTRADICTION * max(low.value, rule.least, 1e-9):
        # They can't both be right, and an average would be neither: the careful one harms least.
        return (high if rule.careful_high else low), True
    weights = [fact.weight_at(now) for fact in voices]
    total = sum(weights) or 1.0
    value = sum(fact.value * weight for fact, weight in zip(voices, weights, strict=True)) / total
    oldest = min(fact.seen for fact in voices)
    value = min(high.value, max(low.value, value))
    return replace(low, value=value, seen=oldest, hops=max(fact.hops for fact in voices)), False


def _beside(own: Fact, heard: Fact, now: datetime) -> Fact:
    """Own observation and hearsay: the latter weighs at most OWN_SHARE of the former."""
    mine = own.weight_at(now)
    theirs = min(heard.weight_at(now), OWN_SHARE * mine)
    if mine + theirs <= 0:
        return own
    return replace(own, value=(own.value * mine + heard.value * theirs) / (mine + theirs))


def for_peers(own: Iterable[Fact], heard: Iterable[Fact], now: datetime, limits: Limits) -> list[Fact]:
    """What a peer may hear: what was seen here, and of hearsay what is not too old or too far, one hand further."""
    known = {fact.about for fact in own}
    rest = [fact for fact in heard if fact.about not in known]
    facts = [fact for fact in own if fact.sound() and now - fact.seen <= limits.oldest]
    for fact in rest:
        further = replace(fact, hops=fact.hops + 1)
        if further.sound() and further.hops <= limits.most_hops and now - fact.seen <= limits.oldest:
            facts.append(further)
    return facts[: limits.most_facts]


# On the wire.


def to_plain(fact: Fact, now: datetime) -> dict[str, object]:
    """As JSON has it; the age in whole milliseconds, rounded up."""
    age = max(ZERO, now - fact.seen)
    return {
        "kind": fact.kind.value,
        "subject": fact.subject,
        "value": fact.value,
        "weight": fact.weight,
        "age_ms": -(-age // MILLISECOND),
        "origin": fact.origin,
        "hops": fact.hops,
        "boot": fact.boot,
    }


def from_plain(raw: object, now: datetime, asked_for: timedelta) -> Fact | None:
    """A fact out of plain values, or None where it is none. `asked_for` is how long the answer took to come."""
    if not isinstance(raw, Mapping):
        return None
    kind, subject, origin, boot = (raw.get(name) for name in ("kind", "subject", "origin", "boot"))
    value, weight, age, hops = (raw.get(name) for name in ("value", "weight", "age_ms", "hops"))
    words = isinstance(subject, str) and isinstance(origin, str) and (boot is None or isinstance(boot, str))
    if kind not in list(Kind) or not words or len(str(subject)) > 256 or len(str(origin)) > 256:
        return None
    numbers = (value, weight, age, hops)
    if any(isinstance(one, bool) or not isinstance(one, int | float) for one in numbers):
        return None
    if not (isinstance(age, int) and isinstance(hops, int) and 0 <= age < 1 << 40 and 0 <= hops < 1 << 16):
        return None
    seen = now - age * MILLISECOND - max(ZERO, asked_for)
    fact = Fact(
        Kind(str(kind)),
        str(subject),
        float(value),  # type: ignore[arg-type]
        float(weight),  # type: ignore[arg-type]
        seen,
        str(origin),
        hops,
        boot if isinstance(boot, str) else None,
    )
    return fact if fact.sound() else None
