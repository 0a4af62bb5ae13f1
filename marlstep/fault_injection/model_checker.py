"""The search of the model checker: breadth first through every state that is reachable within bounds.

A model is a state that knows its own successors (`SearchState`). States with the same key are visited once. A broken
invariant is raised while a successor is computed; the search returns it with the steps that lead to it. Since the
search is breadth first, no shorter sequence of steps breaks an invariant.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Protocol

from marlstep.fault_injection.errors import InvariantViolationError
from marlstep.units import MILLISECOND


@dataclass(slots=True, frozen=True)
class Bounds:
    """How far the search goes.

    Attributes:
        depth: The number of steps from the start.
        term: The highest term in which a voter may start an election.
        wakes: The number of steps in which time passes.
        crashes: The number of crashes.
        flying: The number of messages in flight; if there are more, the oldest are lost.
        horizon: The longest time from the start.
    """

    depth: int
    term: int
    wakes: int
    crashes: int = 1
    flying: int = 8
    horizon: timedelta = 6_000 * MILLISECOND


class SearchState(Protocol):
    """A state of a model."""

    @property
    def doing(self) -> str:
        """The step that is being computed, in words."""

    def key(self) -> int:
        """Return a value that is equal for states that the search need not distinguish."""

    def steps(self, bounds: Bounds) -> Iterator[tuple[str, SearchState]]:
        """Yield each possible step in words, and the state after it.

        Raises:
            InvariantViolationError: The step that `doing` describes breaks an invariant.
        """


@dataclass(slots=True)
class SearchResult:
    """The result of a search. The fields are named as in the report's JSON.

    Attributes:
        start: The name of the state that the search began from.
        states: The number of states that were visited.
        depth: The most steps from the start to any of them.
        complete: Whether every state within the bounds was visited.
        seconds: How long the search took, in seconds.
        broken: The invariant that was broken; empty if none was.
        trace: The steps that lead to the broken invariant, in words.
    """

    start: str
    states: int = 0
    depth: int = 0
    complete: bool = False
    seconds: float = 0.0
    broken: str = ""
    trace: tuple[str, ...] = ()


# The steps to a state, as a pair of the trace of the previous state and the last step, so that states share prefixes.
_Trace = tuple[Any, ...]


def search_from(start: str, first: SearchState, bounds: Bounds, seconds: float) -> SearchResult:
    """Visit every state that can be reached from the first within the bounds.

    Args:
        start: The name of the first state, for the report.
        first: The first state.
        bounds: How far the search goes.
        seconds: The time after which the search stops; the result is then not complete.
    """
    began = time.monotonic()
    result = SearchResult(start)
    seen = {first.key()}
    queue: deque[tuple[SearchState, int, _Trace]] = deque([(first, 0, ())])
    while queue:
        state, depth, trace = queue.popleft()
        result.states += 1
        result.depth = max(result.depth, depth)
        result.seconds = time.monotonic() - began
        if result.seconds > seconds:
            return result
        if depth >= bounds.depth:
            continue
        try:
            for step, after in state.steps(bounds):
                key = after.key()
                if key not in seen:
                    seen.add(key)
                    queue.append((after, depth + 1, (trace, step)))
        except (InvariantViolationError, AssertionError) as violation:
            result.broken = str(violation) or repr(violation)
            result.trace = _steps_of((trace, state.doing))
            return result
    result.complete = True
    return result


def _steps_of(trace: _Trace) -> tuple[str, ...]:
    """Return the steps of a trace, first to last."""
    steps: list[str] = []
    while trace:
        trace, step = trace
        steps.append(step)
    return tuple(reversed(steps))
