"""The checkers of what the witnesses saw: a record of acts on one clock, and what must be true of it."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Act:
    """One request of a task as a server saw it, in microseconds of the witnesses' clock."""

    task: str
    node: str
    token: int
    run: int
    began_us: int
    ended_us: int
    accepted: bool
    fence: bool = False


def overlaps(acts: Iterable[Act]) -> Iterator[tuple[Act, Act]]:
    """Pairs of accepted acts of one task, by different grants or nodes, that went on at the same time."""
    by_task: dict[str, list[Act]] = defaultdict(list)
    for act in acts:
        if act.accepted and not act.fence:
            by_task[act.task].append(act)
    for rows in by_task.values():
        rows.sort(key=lambda act: act.began_us)
        for number, act in enumerate(rows):
            for later in rows[number + 1 :]:
                if later.began_us >= act.ended_us:
                    break  # none of those behind it can have begun before this ended either
                if (later.token, later.node) != (act.token, act.node):
                    yield act, later


def late_accepted(acts: Iterable[Act]) -> Iterator[tuple[Act, Act]]:
    """Accepted acts whose token is below one that was accepted before them."""
    highest: dict[str, Act] = {}
    for act in sorted(acts, key=lambda act: act.began_us):
        if act.accepted:
            before = highest.get(act.task)
            if before is not None and act.token < before.token:
                if not act.fence:
                    yield before, act
            else:
                highest[act.task] = act


def shared_tokens(acts: Iterable[Act]) -> Iterator[tuple[Act, Act]]:
    """Accepted acts under one token that came from two nodes: a token is of one grant alone."""
    seen: dict[tuple[str, int], Act] = {}
    for act in acts:
        if act.accepted:
            before = seen.setdefault((act.task, act.token), act)
            if before.node != act.node:
                yield before, act


def run_twice(acts: Iterable[Act], unsafe: frozenset[str]) -> Iterator[tuple[Act, Act]]:
    """Runs of tasks that must not be repeated, and were accepted twice."""
    seen: dict[tuple[str, int], Act] = {}
    for act in acts:
        if act.accepted and not act.fence and act.task in unsafe:
            if (act.task, act.run) in seen:
                yield seen[act.task, act.run], act
            seen[act.task, act.run] = act


class Receiver:
    """The rule by which a server turns down what comes too late: no token below the highest that it has seen."""

    def __init__(self) -> None:
        self._highest: dict[str, int] = {}

    def takes(self, task: str, token: int) -> bool:
        if token < self._highest.get(task, 0):
            return False
        self._highest[task] = token
        return True
