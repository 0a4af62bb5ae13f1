"""Effects of tasks as a server recorded them, and what must be true of any such record.

All times are of the server's one clock. Each checker yields pairs of effects, the earlier one first, that contradict
one of the promises of leases and fencing tokens.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Effect:
    """One request of a task. The names of the fields are those of the reports' JSON.

    Attributes:
        task: The task that it belongs to.
        node: The node, or the process of a node, that sent it.
        token: The fencing token of the lease under which it was sent.
        run: The number of the task's run.
        began_us: When it arrived, in microseconds.
        ended_us: When its work was done, in microseconds.
        accepted: Its token was not below one that the server had seen.
        fence: It does no work: it only tells the server of its token.
    """

    task: str
    node: str
    token: int
    run: int
    began_us: int
    ended_us: int
    accepted: bool
    fence: bool = False

    @property
    def did_work(self) -> bool:
        """Whether it changed anything at the server."""
        return self.accepted and not self.fence


def overlapping_effects(effects: Iterable[Effect]) -> Iterator[tuple[Effect, Effect]]:
    """Yield effects of one task, under different grants or from different nodes, that took place at the same time."""
    by_task: dict[str, list[Effect]] = defaultdict(list)
    for effect in effects:
        if effect.did_work:
            by_task[effect.task].append(effect)
    for of_task in by_task.values():
        of_task.sort(key=lambda effect: effect.began_us)
        for position, effect in enumerate(of_task):
            for later in of_task[position + 1 :]:
                if later.began_us >= effect.ended_us:
                    break  # those after it began even later
                if (later.token, later.node) != (effect.token, effect.node):
                    yield effect, later


def stale_tokens_accepted(effects: Iterable[Effect]) -> Iterator[tuple[Effect, Effect]]:
    """Yield effects whose token is below one that the server had accepted for the task, after the one with that."""
    highest: dict[str, Effect] = {}
    for effect in sorted(effects, key=lambda effect: effect.began_us):
        if not effect.accepted:
            continue
        before = highest.get(effect.task)
        if before is None or effect.token >= before.token:
            highest[effect.task] = effect
        elif not effect.fence:
            yield before, effect


def shared_tokens(effects: Iterable[Effect]) -> Iterator[tuple[Effect, Effect]]:
    """Yield effects under one token from two nodes: a token belongs to one grant."""
    first: dict[tuple[str, int], Effect] = {}
    for effect in effects:
        if effect.accepted:
            before = first.setdefault((effect.task, effect.token), effect)
            if before.node != effect.node:
                yield before, effect


def repeated_runs(
    effects: Iterable[Effect], non_repeatable_tasks: frozenset[str]
) -> Iterator[tuple[Effect, Effect]]:
    """Yield effects of one run of a task that must not be repeated."""
    latest: dict[tuple[str, int], Effect] = {}
    for effect in effects:
        if effect.did_work and effect.task in non_repeatable_tasks:
            if (effect.task, effect.run) in latest:
                yield latest[effect.task, effect.run], effect
            latest[effect.task, effect.run] = effect


class FencingServer:
    """The rule by which a server rejects late requests: none whose token is below the highest that it has seen."""

    def __init__(self) -> None:
        """Start without having seen any token."""
        self._highest: dict[str, int] = {}

    def accepts(self, task: str, token: int) -> bool:
        """Return whether a request of the task with that token is accepted; one that is counts as seen."""
        if token < self._highest.get(task, 0):
            return False
        self._highest[task] = token
        return True
