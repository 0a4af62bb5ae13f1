"""Is a history of calls what one register could have said, each call at one moment between its begin and its end?

The register has a version. `get` tells it; `put` sets another where it still has the one that was expected. A search
over all orders in the manner of Wing and Gong: whoever began before all others had ended may come next.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass


class CallOutcome(enum.Enum):
    """What a call came to, as its client saw it."""

    TOLD = "told"  # a get: the version
    DONE = "done"  # a put: it is the version now
    STALE = "stale"  # a put: refused, as another version is in force, which was told
    UNKNOWN = (
        "unknown"  # a put without an answer: it may have an effect at any time from its begin on, or none
    )


@dataclass(slots=True)
class Call:
    """`version` is what was told or given; 0 of a put of which it is not known."""

    client: str
    begun_us: int
    ended_us: int | None = None
    expect: int = 0
    came: CallOutcome = CallOutcome.UNKNOWN
    version: int = 0


NEVER = 1 << 62


def linearizability_violation(calls: Sequence[Call], first: int = 0) -> str:
    """Why no order of the calls explains them; empty where one does. `first` is the version before all of them."""
    rows = sorted(calls, key=lambda one: one.begun_us)
    ends = [
        NEVER if one.came is CallOutcome.UNKNOWN or one.ended_us is None else one.ended_us for one in rows
    ]
    wanted = sum(1 << at for at, end in enumerate(ends) if end != NEVER)
    claimed = {one.version for one in rows if one.came is CallOutcome.DONE}
    claimed |= {one.version for one in rows if one.came is CallOutcome.UNKNOWN and one.version}
    # What a put without any answer may have made: versions that were seen and that nobody else made.
    open_versions = sorted(
        {one.version for one in rows if one.came in (CallOutcome.TOLD, CallOutcome.STALE)} - claimed - {first}
    )
    seen = {(0, first)}
    stack = [(0, first)]
    furthest = 0
    while stack:
        done, version = stack.pop()
        if done & wanted == wanted:
            return ""
        furthest = max(furthest, done & wanted, key=int.bit_count)
        # Nobody may come next who began only after one that is still to come had ended.
        limit = min(end for at, end in enumerate(ends) if not done >> at & 1)
        for at, one in enumerate(rows):
            if one.begun_us > limit:
                break
            if done >> at & 1:
                continue
            for after in _next(one, version, open_versions):
                state = (done | 1 << at, after)
                if state not in seen:
                    seen.add(state)
                    stack.append(state)
    missing = next(one for at, one in enumerate(rows) if wanted >> at & 1 and not furthest >> at & 1)
    return f"no order explains {missing}"


def _next(one: Call, version: int, open_versions: Sequence[int]) -> list[int]:
    """The versions that the register may have after that call, where it may come now at all."""
    match one.came:
        case CallOutcome.TOLD | CallOutcome.STALE:
            return [version] if one.version == version else []
        case CallOutcome.DONE:
            return [one.version] if one.expect == version else []
    if one.expect != version:
        return []
    return [one.version] if one.version else [other for other in open_versions if other > version]
