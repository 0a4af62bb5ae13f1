"""Mapping of a trace's rows to requests; pure.

A rule names a request class and what a row must look like for it; the first rule that matches decides. A row that no
rule matches goes to the default class, or is dropped and counted. The work hint places a request within its class's
range of work: between two hints in the trace's own unit, on a logarithmic scale, as sizes in these traces spread over
decades.
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

MAX_DROPPED_CATEGORIES = 1000  # that are counted by name; the rest are counted together
OTHER_CATEGORIES = "others"
MAX_CACHED_HASHES = 100_000
HASH_BYTES = 8
HASH_KEY_BYTES = 32


class PlannedRequest(NamedTuple):
    """A request of a schedule. The order of the fields is the order in which equal times are put.

    Attributes:
        at_us: when it is sent, in microseconds since the start.
        request_class: its class.
        tenant: its tenant.
        work_us: its work on one core, in microseconds.
        sender: 64 bits that stand for the sender.
    """

    at_us: int
    request_class: str
    tenant: str
    work_us: int
    sender: int


class TenantMode(enum.StrEnum):
    """How the tenants of a trace become tenants of requests."""

    AS_IS = "as-is"  # the trace's own names
    NAMED = "named"  # the listed names stay, all others become the default tenant
    BUCKETS = "buckets"  # one of the listed names, by a hash of the trace's name
    ONE = "one"  # the default tenant


@dataclass(slots=True, frozen=True)
class Rule:
    """A request class, and the rows that become requests of it.

    Attributes:
        request_class: the class.
        categories: the categories of the trace that match; any where there is none.
        tenants: the tenants of the trace that match; any where there is none.
        min_hint: the lowest work hint that matches, in the trace's unit.
        max_hint: the work hint from which on nothing matches, in the trace's unit.
    """

    request_class: str
    categories: frozenset[str] = frozenset()
    tenants: frozenset[str] = frozenset()
    min_hint: float = 0.0
    max_hint: float = math.inf

    def matches(self, row: Arrival) -> bool:
        """Return whether category, tenant and work hint all match."""
        if self.categories and row.category not in self.categories:
            return False
        if self.tenants and row.tenant not in self.tenants:
            return False
        return self.min_hint <= row.hint < self.max_hint

    def covers(self, other: Rule) -> bool:
        """Return whether this rule matches every row that the other one matches."""
        covers_categories = not self.categories or (
            bool(other.categories) and (other.categories <= self.categories)
        )
        covers_tenants = not self.tenants or (bool(other.tenants) and other.tenants <= self.tenants)
        covers_hints = self.min_hint <= other.min_hint and self.max_hint >= other.max_hint
        return covers_categories and covers_tenants and covers_hints


@dataclass(slots=True, frozen=True)
class WorkRange:
    """The least and the most work of a class's requests, in microseconds on one core."""

    min_us: int
    max_us: int

    def at(self, position: float) -> int:
        """Return the work at a position from 0, the least, to 1, the most."""
        return self.min_us + round((self.max_us - self.min_us) * position)


@dataclass(slots=True, frozen=True)
class HintScale:
    """Work hints, in the trace's unit: `low` and below get the least work, `high` and above the most."""

    low: float
    high: float

    def position(self, hint: float) -> float:
        """Return where a hint lies, from 0 to 1; the middle where there is no hint or no scale."""
        if hint <= 0 or self.high <= self.low:
            return 0.5
        if self.low <= 0:
            return min(1.0, hint / self.high)
        position = math.log(hint / self.low) / math.log(self.high / self.low)
        return min(1.0, max(0.0, position))


@dataclass(slots=True, frozen=True)
class MappingSettings:
    """How the rows of a trace become requests.

    Attributes:
        rules: the first that matches decides the class.
        work: the range of work, by request class.
        default_class: the class of rows that no rule matches; None drops them.
        scale: the work hints that stand for the least and the most work.
        tenant_mode: how tenants are named.
        tenant_names: the buckets, or the names that stay.
        default_tenant: the tenant of all others.
    """

    rules: tuple[Rule, ...]
    work: Mapping[str, WorkRange]
    default_class: str | None = None
    scale: HintScale = HintScale(0.0, 0.0)
    tenant_mode: TenantMode = TenantMode.AS_IS
    tenant_names: tuple[str, ...] = ()
    default_tenant: str = "others"


class Mapper:
    """Maps the rows of one trace, and counts what it mapped and dropped.

    Attributes:
        settings: the rules.
        dropped: rows that were dropped, by category of the trace.
        mapped: requests, by class.
    """

    def __init__(self, settings: MappingSettings, seed: int) -> None:
        """Start with empty counts; `seed` keys the hashes of senders and tenants."""
        self.settings = settings
        self.dropped: Counter[str] = Counter()
        self.mapped: Counter[str] = Counter()
        self._hash = KeyedHash(seed)

    def map(self, row: Arrival, start_us: int = 0) -> PlannedRequest | None:
        """Return the request that a row stands for; None where the row is dropped.

        Args:
            row: the arrival.
            start_us: the trace's own time, in microseconds, that becomes 0.
        """
        request_class = self._request_class(row)
        if request_class is None:
            self._count_dropped(row.category)
            return None
        self.mapped[request_class] += 1
        work_us = self.settings.work[request_class].at(self.settings.scale.position(row.hint))
        tenant, sender = self._tenant(row.tenant), self._hash.of(row.key)
        return PlannedRequest(row.at_us - start_us, request_class, tenant, work_us, sender)

    def _request_class(self, row: Arrival) -> str | None:
        for rule in self.settings.rules:
            if rule.matches(row):
                return rule.request_class
        return self.settings.default_class

    def _count_dropped(self, category: str) -> None:
        has_room = len(self.dropped) < MAX_DROPPED_CATEGORIES
        self.dropped[category if has_room else OTHER_CATEGORIES] += 1

    def _tenant(self, name: str) -> str:
        settings = self.settings
        match settings.tenant_mode:
            case TenantMode.AS_IS:
                return name
            case TenantMode.NAMED:
                return name if name in settings.tenant_names else settings.default_tenant
            case TenantMode.BUCKETS:
                return settings.tenant_names[self._hash.of(name) % len(settings.tenant_names)]
            case TenantMode.ONE:
                return settings.default_tenant


@dataclass(slots=True)
class KeyedHash:
    """Keyed 64-bit hashes of names, with a cache of bounded size.

    Attributes:
        seed: the key; the same seed gives the same hashes.
    """

    seed: int
    _cache: dict[str, int] = field(default_factory=dict)

    def of(self, name: str) -> int:
        """Return the hash of a name."""
        cached = self._cache.get(name)
        if cached is not None:
            return cached
        if len(self._cache) >= MAX_CACHED_HASHES:
            self._cache.clear()
        key = self.seed.to_bytes(HASH_KEY_BYTES, "little")
        digest = blake3(name.encode("utf-8", "replace"), key=key).digest(HASH_BYTES)
        value = self._cache[name] = int.from_bytes(digest, "little")
        return value
