"""The checkers of what the witnesses saw: a record of acts on one clock, and what must be true of it."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Effect:
    """One request of a task as a server saw it, in microseconds of the witnesses' clock."""

    task: str
    node: str
    token: int
    run: int
    began_us: int
    ended_us: int
    accepted: bool
    fence: bool = False


def overlapping_effects(effects: Iterable[Effect]) -> Iterator[tuple[Effect, Effect]]:
    """Pairs of accepted acts of one task, by different grants or nodes, that went on at the same time."""
    by_task: dict[str, list[Effect]] = defaultdict(list)
    for effect in effects:
        if effect.accepted and not effect.fence:
            by_task[effect.task].append(effect)
    for rows in by_task.values():
        rows.sort(key=lambda effect: effect.began_us)
        for number, effect in enumerate(rows):
            for later in rows[number + 1 :]:
                if later.began_us >= effect.ended_us:
                    break  # none of those behind it can have begun before this ended either
                if (later.token, later.node) != (effect.token, effect.node):
                    yield effect, later


def stale_tokens_accepted(effects: Iterable[Effect]) -> Iterator[tuple[Effect, Effect]]:
    """Accepted acts whose token is below one that was accepted before them."""
    highest: dict[str, Effect] = {}
    for effect in sorted(effects, key=lambda effect: effect.began_us):
        if effect.accepted:
            before = highest.get(effect.task)
            if before is not None and effect.token < before.token:
                if not effect.fence:
                    yield before, effect
            else:
                highest[effect.task] = effect


def shared_tokens(effects: Iterable[Effect]) -> Iterator[tuple[Effect, Effect]]:
    """Accepted acts under one token that came from two nodes: a token is of one grant alone."""
    seen: dict[tuple[str, int], Effect] = {}
    for effect in effects:
        if effect.accepted:
            before = seen.setdefault((effect.task, effect.token), effect)
            if before.node != effect.node:
                yield before, effect


def repeated_runs(effects: Iterable[Effect], unsafe: frozenset[str]) -> Iterator[tuple[Effect, Effect]]:
    """Runs of tasks that must not be repeated, and were accepted twice."""
    seen: dict[tuple[str, int], Effect] = {}
    for effect in effects:
        if effect.accepted and not effect.fence and effect.task in unsafe:
            if (effect.task, effect.run) in seen:
                yield seen[effect.task, effect.run], effect
            seen[effect.task, effect.run] = effect


class FencingServer:
    """The rule by which a server turns down what comes too late: no token below the highest that it has seen."""

    def __init__(self) -> None:
        self._highest: dict[str, int] = {}

    def accepts(self, task: str, token: int) -> bool:
        if token < self._highest.get(task, 0):
            return False
        self._highest[task] = token
        return True
