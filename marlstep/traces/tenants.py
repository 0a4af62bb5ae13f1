"""Settings for tenants and classes out of a trace: its account to the lines of an operator's file; pure."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator, Mapping

from marlstep.traces.reading import OTHERS, Account


def settings(account: Account, most: int, headroom: float, names: Mapping[str, str]) -> Iterator[str]:
    """Lines for the `most` largest tenants, and for classes by their rank in the trace, renamed by `names`.

    An allowance is `headroom` times the tenant's mean rate in requests a second.
    """
    total = account.arrivals
    seconds = max(1.0, ((account.last_us or 0) - (account.first_us or 0)) / 1e6)
    top = Counter(dict(account.tenants.most_common(most)))
    top[OTHERS] += total - top.total()
    yield f"# {total} arrivals in {seconds:.0f} s; {account.bad} lines left out"
    for name, number in (+top).items():
        yield f"\n[tenants.{quoted(name)}]"
        yield f"share = {number / total:.6f}"
        yield f"allowance_per_s = {headroom * number / seconds:.6f}"
    ranked = sorted(account.kinds, key=_order)
    worths = {names.get(kind, kind): rank for rank, kind in enumerate(ranked, 1)}  # of several the highest
    for name, rank in worths.items():
        number = sum(account.kinds[kind] for kind in ranked if names.get(kind, kind) == name)
        yield f"\n[classes.{quoted(name)}]  # {number / total:.6f} of the arrivals"
        yield f"worth = {rank:.1f}"


def _order(kind: str) -> tuple[float, str]:
    """Classes that are numbers rank as numbers, the higher the more urgent; names rank by the alphabet."""
    return (float(kind) if kind.isascii() and kind.isdigit() else math.inf, kind)


def quoted(name: str) -> str:
    """A key of TOML, whatever it holds."""
    plain = "".join(letter if letter.isprintable() else f"\\U{ord(letter):08x}" for letter in _escape(name))
    return f'"{plain}"'


def _escape(name: str) -> str:
    return name.replace("\\", "\\\\").replace('"', '\\"')
