"""Mapping of a trace's rows to requests. No I/O.

A rule consists of a request class and conditions on a row; the first rule that matches determines the class. A row
that no rule matches gets the default class, or is dropped and counted. The work hint determines the work of a request
within the range of its class. The scale between the lowest and the highest hint is logarithmic, because sizes in
these traces span several orders of magnitude.
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

MAX_DROPPED_CATEGORIES = 1000  # counted by name; the rest are counted under OTHER_CATEGORIES
OTHER_CATEGORIES = "others"
MAX_CACHED_HASHES = 100_000
HASH_BYTES = 8
HASH_KEY_BYTES = 32


class PlannedRequest(NamedTuple):
    """A request of a schedule. Requests sort by the fields in this order.

    Attributes:
        at_us: Planned send time, in microseconds since the start.
        request_class: Name of the request class.
        tenant: Name of the tenant.
        work_us: Work on one core, in microseconds.
        sender: Keyed 64-bit hash that identifies the sender.
    """

    at_us: int
    request_class: str
    tenant: str
    work_us: int
    sender: int


class TenantMode(enum.StrEnum):
    """How the tenants of a trace are mapped to tenants of requests."""

    AS_IS = "as-is"  # the trace's own names are kept
    NAMED = "named"  # the listed names are kept, all others become the default tenant
    BUCKETS = "buckets"  # a hash of the trace's name selects one of the listed names
    ONE = "one"  # all requests get the default tenant


@dataclass(slots=True, frozen=True)
class Rule:
    """A request class and the conditions on rows that are mapped to it.

    Attributes:
        request_class: Name of the class.
        categories: Categories of the trace that match; if empty, any category matches.
        tenants: Tenants of the trace that match; if empty, any tenant matches.
        min_hint: Lowest work hint that matches, in the trace's unit.
        max_hint: Upper limit (exclusive) of the work hint, in the trace's unit.
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
        """Return whether this rule matches every row that `other` matches."""
        covers_categories = not self.categories or (
            bool(other.categories) and (other.categories <= self.categories)
        )
        covers_tenants = not self.tenants or (bool(other.tenants) and other.tenants <= self.tenants)
        covers_hints = self.min_hint <= other.min_hint and self.max_hint >= other.max_hint
        return covers_categories and covers_tenants and covers_hints


@dataclass(slots=True, frozen=True)
class WorkRange:
    """Minimum and maximum work of the requests of a class, in microseconds on one core."""

    min_us: int
    max_us: int

    def at(self, position: float) -> int:
        """Return the work at a position between 0 (minimum) and 1 (maximum)."""
        return self.min_us + round((self.max_us - self.min_us) * position)


@dataclass(slots=True, frozen=True)
class HintScale:
    """Scale of work hints in the trace's unit: up to `low` maps to the minimum work, from `high` on to the maximum."""

    low: float
    high: float

    def position(self, hint: float) -> float:
        """Return the position of a hint on the scale, from 0 to 1; 0.5 if there is no hint or no scale."""
        if hint <= 0 or self.high <= self.low:
            return 0.5
        if self.low <= 0:
            return min(1.0, hint / self.high)
        position = math.log(hint / self.low) / math.log(self.high / self.low)
        return min(1.0, max(0.0, position))


@dataclass(slots=True, frozen=True)
class MappingSettings:
    """How the rows of a trace are mapped to requests.

    Attributes:
        rules: Rules in order; the first that matches determines the class.
        work: Range of work by request class.
        default_class: Class of rows that no rule matches; None drops them.
        scale: Work hints that correspond to the minimum and maximum work.
        tenant_mode: How tenants are mapped.
        tenant_names: Names of the buckets for BUCKETS, or the names that are kept for NAMED.
        default_tenant: Tenant of all other requests.
    """

    rules: tuple[Rule, ...]
    work: Mapping[str, WorkRange]
    default_class: str | None = None
    scale: HintScale = HintScale(0.0, 0.0)
    tenant_mode: TenantMode = TenantMode.AS_IS
    tenant_names: tuple[str, ...] = ()
    default_tenant: str = "others"


class Mapper:
    """Maps the rows of one trace, and counts the mapped and the dropped rows.

    Attributes:
        settings: Settings of the mapping.
        dropped: Number of dropped rows by category of the trace.
        mapped: Number of requests by class.
    """

    def __init__(self, settings: MappingSettings, seed: int) -> None:
        """Initialize the mapper with empty counts; `seed` is the key of the hashes of senders and tenants."""
        self.settings = settings
        self.dropped: Counter[str] = Counter()
        self.mapped: Counter[str] = Counter()
        self._hash = KeyedHash(seed)

    def map(self, row: Arrival, start_us: int = 0) -> PlannedRequest | None:
        """Return the request for a row; None if the row is dropped.

        Args:
            row: Arrival to be mapped.
            start_us: Time on the trace's own clock that becomes 0, in microseconds.
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
        seed: Key of the hashes; the same seed gives the same hashes.
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
