"""Which rows become which requests; pure.

A rule names a class and what a row must look like for it; the first that fits counts. What no rule fits goes to
the class for the rest, or is dropped and counted. The work hint places a request within its class's range of
work: between `low` and `high` of the trace's own unit, on a logarithmic scale, as sizes in these traces spread
over decades.
"""

from __future__ import annotations

import enum
import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from blake3 import blake3

from marlstep.traces.rows import Arrival


class Planned(NamedTuple):
    """A request to be sent. Times and work are microseconds, the work on one core."""

    at_us: int  # since the start
    kind: str  # the class
    tenant: str
    work_us: int
    sender: int  # 64 bits that stand for the sender


class Tenants(enum.StrEnum):
    AS_IS = "as-is"  # the trace's own names
    NAMED = "named"  # those listed, the rest together
    BUCKETS = "buckets"  # so many, by a hash of the trace's names
    ONE = "one"


@dataclass(slots=True, frozen=True)
class Rule:
    kind: str  # the class that it gives
    kinds: frozenset[str] = frozenset()  # of the trace; empty: any
    tenants: frozenset[str] = frozenset()
    hint_from: float = 0.0
    hint_under: float = math.inf

    def fits(self, row: Arrival) -> bool:
        return (
            (not self.kinds or row.kind in self.kinds)
            and (not self.tenants or row.tenant in self.tenants)
            and self.hint_from <= row.hint < self.hint_under
        )


@dataclass(slots=True, frozen=True)
class Work:
    """The range of a class's work, in microseconds on one core."""

    least_us: int
    most_us: int


@dataclass(slots=True, frozen=True)
class Scale:
    """Hints at `low` or below get the least work, those at `high` or above the most."""

    low: float
    high: float

    def place(self, hint: float) -> float:
        """From 0 to 1; the middle where there is no hint."""
        if hint <= 0 or self.high <= self.low:
            return 0.5
        if self.low <= 0:
            return min(1.0, hint / self.high)
        place = math.log(hint / self.low) / math.log(self.high / self.low)
        return min(1.0, max(0.0, place))


@dataclass(slots=True, frozen=True)
class MappingSettings:
    rules: tuple[Rule, ...]
    work: Mapping[str, Work]  # by class
    rest: str | None = None  # the class of what no rule fits; None: it is dropped
    scale: Scale = Scale(0.0, 0.0)
    tenants: Tenants = Tenants.AS_IS
    tenant_names: tuple[str, ...] = ()  # of the buckets, or those that keep their own
    rest_tenant: str = "others"


class Mapper:
    """Maps one stream; `seed` keys the hashes that tell senders and buckets apart."""

    def __init__(self, settings: MappingSettings, seed: int) -> None:
        self.settings = settings
        self.dropped: Counter[str] = Counter()  # by the trace's kind
        self.mapped: Counter[str] = Counter()  # by class
        self._hash = Hashing(seed)

    def map(self, row: Arrival, start_us: int = 0) -> Planned | None:
        """The request that a row stands for; None where it is dropped."""
        settings = self.settings
        for rule in settings.rules:
            if rule.fits(row):
                kind: str | None = rule.kind
                break
        else:
            kind = settings.rest
        if kind is None:
            self.dropped[row.kind if len(self.dropped) < 1000 else "others"] += 1
            return None
        self.mapped[kind] += 1
        work = settings.work[kind]
        us = work.least_us + round((work.most_us - work.least_us) * settings.scale.place(row.hint))
        return Planned(row.at_us - start_us, kind, self._tenant(row.tenant), us, self._hash.of(row.key))

    def _tenant(self, name: str) -> str:
        settings = self.settings
        match settings.tenants:
            case Tenants.AS_IS:
                return name
            case Tenants.NAMED:
                return name if name in settings.tenant_names else settings.rest_tenant
            case Tenants.BUCKETS:
                return settings.tenant_names[self._hash.of(name) % len(settings.tenant_names)]
            case Tenants.ONE:
                return settings.rest_tenant


MOST_HASHED = 100_000


@dataclass(slots=True)
class Hashing:
    """Keyed 64-bit hashes of names, with the last ones kept at hand."""

    seed: int
    _known: dict[str, int] = field(default_factory=dict)

    def of(self, name: str) -> int:
        found = self._known.get(name)
        if found is None:
            if len(self._known) >= MOST_HASHED:
                self._known.clear()
            key = self.seed.to_bytes(32, "little")
            found = int.from_bytes(blake3(name.encode("utf-8", "replace"), key=key).digest(8), "little")
            self._known[name] = found
        return found


# The defaults, by format; docs/traces.md has the reasoning.

HISTORY, SCHEDULE, SETPOINT = "temp-history", "schedule-save", "setpoint-cmd"
CLASS_WORK: Mapping[str, Work] = {
    HISTORY: Work(280_000, 500_000),
    SCHEDULE: Work(210_000, 370_000),
    SETPOINT: Work(120_000, 210_000),
}
TENANT_NAMES = ("ain-sebaa", "sidi-maarouf", "bouskoura")


def _by_kind(setpoint: str, schedule: str) -> tuple[Rule, ...]:
    """Classes by the trace's kinds, given as words; all others are reads of history."""
    return (
        Rule(SETPOINT, frozenset(setpoint.split())),
        Rule(SCHEDULE, frozenset(schedule.split())),
    )


def _default(rules: tuple[Rule, ...], low: float, high: float) -> MappingSettings:
    return MappingSettings(rules, CLASS_WORK, HISTORY, Scale(low, high), Tenants.BUCKETS, TENANT_NAMES)


BY_HINT = (Rule(SETPOINT, hint_under=0.1), Rule(SCHEDULE, hint_under=1.0))
DEFAULTS: Mapping[str, MappingSettings] = {
    "google-2011": _default(_by_kind("2 3", "1"), 0.001, 0.25),
    "google-2019": _default(_by_kind("2 3", "1"), 0.0001, 0.1),
    "alibaba-2018-task": _default(_by_kind("1 3 5 7 9 11", "2 4 6 8 10 12"), 1, 1000),
    "alibaba-2018-instance": _default(_by_kind("1 3 5 7 9 11", "2 4 6 8 10 12"), 1, 1000),
    "alibaba-2021-calls": _default(_by_kind("http", "mq db"), 0.5, 500),
    "azure-2019": _default(_by_kind("http", "queue event storage orchestration"), 0, 0),
    "azure-2021": _default(BY_HINT, 0.01, 60),
    "generic": _default((), 0, 0),
}
