"""Tables of tenants and classes for the operator's file, derived from the account of a trace. No I/O."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator, Mapping

from marlstep.traces.account import OTHERS, Account

MIN_DURATION_S = 1.0  # lower limit of a trace's duration, so that its mean rate is finite


def operator_lines(
    account: Account, max_tenants: int, headroom: float, class_names: Mapping[str, str]
) -> Iterator[str]:
    """Yield the lines of the tables.

    Args:
        account: Counts of a reading of the trace.
        max_tenants: Number of the largest tenants that get their own table; all others share one.
        headroom: Ratio of a tenant's quota to its mean rate.
        class_names: Name of the request class by category of the trace; other categories keep their name.
    """
    yield from _tenant_lines(account, max_tenants, headroom)
    yield from _class_lines(account, class_names)


def _tenant_lines(account: Account, max_tenants: int, headroom: float) -> Iterator[str]:
    total = account.arrivals
    duration_s = max(MIN_DURATION_S, ((account.last_us or 0) - (account.first_us or 0)) / 1e6)
    tenants = Counter(dict(account.tenants.most_common(max_tenants)))
    tenants[OTHERS] += total - tenants.total()
    yield f"# {total} arrivals in {duration_s:.0f} s; {account.bad} lines left out"
    for name, count in (+tenants).items():
        yield f"\n[tenants.{toml_key(name)}]"
        yield f"share = {count / total:.6f}"
        yield f"allowance_per_s = {headroom * count / duration_s:.6f}"


def _class_lines(account: Account, class_names: Mapping[str, str]) -> Iterator[str]:
    """Yield a table for each class; its weight is the highest rank of the categories that are mapped to it."""
    ranked = sorted(account.categories, key=_rank_key)
    names = {category: class_names.get(category, category) for category in ranked}
    weights = {names[category]: rank for rank, category in enumerate(ranked, 1)}
    for name, weight in weights.items():
        count = sum(account.categories[category] for category in ranked if names[category] == name)
        yield f"\n[classes.{toml_key(name)}]  # {count / account.arrivals:.6f} of the arrivals"
        yield f"worth = {weight:.1f}"


def _rank_key(category: str) -> tuple[float, str]:
    """Return a sort key: numeric categories by value, where higher is more urgent, then names in alphabetical order."""
    is_number = category.isascii() and category.isdigit()
    return (float(category) if is_number else math.inf, category)


def toml_key(name: str) -> str:
    """Return a name as a quoted TOML key; special and unprintable characters are escaped."""
    escaped = name.replace("\\", "\\\\").replace('"', '\\"')
    printable = "".join(letter if letter.isprintable() else f"\\U{ord(letter):08x}" for letter in escaped)
    return f'"{printable}"'
