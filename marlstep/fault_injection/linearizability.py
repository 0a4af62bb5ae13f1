"""Whether a history of calls is linearizable: explained by one register that each call reached at one moment.

The register has a version. A `get` reads it; a `put` replaces it if it still is the one that the caller expects. The
search over all orders is that of Wing and Gong: whoever began before all calls that are still to come had ended may be
next.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass


class CallOutcome(enum.Enum):
    """The outcome of a call, as its client saw it."""

    TOLD = "told"  # a get: it read the version
    DONE = "done"  # a put: its version came into force
    STALE = "stale"  # a put: rejected, since another version is in force, which it was told
    UNKNOWN = (
        "unknown"  # a put without a response: it may have an effect at any time after its begin, or none
    )


@dataclass(slots=True)
class Call:
    """A call to the register.

    Attributes:
        client: Who called.
        begun_us: When, in microseconds.
        ended_us: When the response came; None if none did.
        expect: The version that a put expects.
        came: The outcome.
        version: The version that was read or written; 0 of a put for which it is not known.
    """

    client: str
    begun_us: int
    ended_us: int | None = None
    expect: int = 0
    came: CallOutcome = CallOutcome.UNKNOWN
    version: int = 0


NEVER_US = 1 << 62


def linearizability_violation(calls: Sequence[Call], first: int = 0) -> str:
    """Return why no order of the calls explains them, or an empty text where one does.

    Args:
        calls: The history, in any order.
        first: The version of the register before all of them.
    """
    rows = sorted(calls, key=lambda one: one.begun_us)
    ends = [
        NEVER_US if one.came is CallOutcome.UNKNOWN or one.ended_us is None else one.ended_us for one in rows
    ]
    wanted = sum(1 << at for at, end in enumerate(ends) if end != NEVER_US)
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
    """Return the versions that the register may have after the call; none where it can't come next."""
    match one.came:
        case CallOutcome.TOLD | CallOutcome.STALE:
            return [version] if one.version == version else []
        case CallOutcome.DONE:
            return [one.version] if one.expect == version else []
    if one.expect != version:
        return []
    return [one.version] if one.version else [other for other in open_versions if other > version]
