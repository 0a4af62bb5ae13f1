"""Linearizability checker for histories of compare-and-set calls on one versioned register.

A `get` reads the version of the register; a `put` replaces it if it still is the version that the caller expects. A
history is linearizable if each call can be assigned one moment between its start and its end at which it took effect.
The search over all orders follows Wing and Gong: a call may be next if it began before any other remaining call ended.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass


class CallOutcome(enum.Enum):
    """The outcome of a call, as its client saw it."""

    TOLD = "told"  # a get that read the version
    DONE = "done"  # a put whose version came into force
    STALE = "stale"  # a put rejected because another version is in force, which the response names
    UNKNOWN = "unknown"  # a put without a response: it may take effect at any time after its start, or never


@dataclass(slots=True)
class Call:
    """A call to the register.

    Attributes:
        client: The name of the client.
        begun_us: When the call began, in microseconds.
        ended_us: When the response arrived, in microseconds; None if there was none.
        expect: The current version that a put expects.
        came: The outcome.
        version: The version that was read or written; 0 for a put whose version is not known.
    """

    client: str
    begun_us: int
    ended_us: int | None = None
    expect: int = 0
    came: CallOutcome = CallOutcome.UNKNOWN
    version: int = 0


NEVER_US = 1 << 62


def linearizability_violation(calls: Sequence[Call], first: int = 0) -> str:
    """Return the first call that no order of the calls explains, as text; empty if the history is linearizable.

    Args:
        calls: The history, in any order.
        first: The version of the register before all calls.
    """
    history = sorted(calls, key=lambda call: call.begun_us)
    ends_us = [
        NEVER_US if call.came is CallOutcome.UNKNOWN or call.ended_us is None else call.ended_us
        for call in history
    ]
    required = sum(1 << index for index, end in enumerate(ends_us) if end != NEVER_US)
    written_versions = {call.version for call in history if call.came is CallOutcome.DONE}
    written_versions |= {
        call.version for call in history if call.came is CallOutcome.UNKNOWN and call.version
    }
    # Versions that a put without a response may have written: those that were read but that no other put wrote.
    open_versions = sorted(
        {call.version for call in history if call.came in (CallOutcome.TOLD, CallOutcome.STALE)}
        - written_versions
        - {first}
    )
    seen = {(0, first)}
    stack = [(0, first)]
    furthest = 0
    while stack:
        done, version = stack.pop()
        if done & required == required:
            return ""
        furthest = max(furthest, done & required, key=int.bit_count)
        # A call that began after the end of another remaining call can't be the next.
        earliest_end_us = min(end for index, end in enumerate(ends_us) if not done >> index & 1)
        for index, call in enumerate(history):
            if call.begun_us > earliest_end_us:
                break
            if done >> index & 1:
                continue
            for after in _versions_after(call, version, open_versions):
                state = (done | 1 << index, after)
                if state not in seen:
                    seen.add(state)
                    stack.append(state)
    unexplained = next(
        call for index, call in enumerate(history) if required >> index & 1 and not furthest >> index & 1
    )
    return f"no order explains {unexplained}"


def _versions_after(call: Call, version: int, open_versions: Sequence[int]) -> list[int]:
    """Return the versions that the register may have after the call; none if the call can't be the next."""
    match call.came:
        case CallOutcome.TOLD | CallOutcome.STALE:
            return [version] if call.version == version else []
        case CallOutcome.DONE:
            return [call.version] if call.expect == version else []
    if call.expect != version:
        return []
    return [call.version] if call.version else [other for other in open_versions if other > version]
