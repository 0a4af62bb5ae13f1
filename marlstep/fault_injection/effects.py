"""Effects of scheduled tasks as a server recorded them, and checkers for such a record.

All times are from the server's one clock. Each checker yields pairs of effects, the earlier one first, that violate a
guarantee of leases and fencing tokens.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Effect:
    """One request of a task. The field names are the keys of the JSON reports.

    Attributes:
        task: The name of the task.
        node: The node, or the process of a node, that sent it.
        token: The fencing token of the lease under which it was sent.
        run: The number of the task's run.
        began_us: When it arrived, in microseconds.
        ended_us: When its work was done, in microseconds.
        accepted: Whether its token was at least the highest one that the server had seen for the task.
        fence: Whether it does no work and only announces its token to the server.
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
    for task_effects in by_task.values():
        task_effects.sort(key=lambda effect: effect.began_us)
        for position, effect in enumerate(task_effects):
            for later in task_effects[position + 1 :]:
                if later.began_us >= effect.ended_us:
                    break  # the list is sorted: all remaining effects begin even later
                if (later.token, later.node) != (effect.token, effect.node):
                    yield effect, later


def stale_tokens_accepted(effects: Iterable[Effect]) -> Iterator[tuple[Effect, Effect]]:
    """Yield accepted effects whose token is below one accepted before for the task, each after that earlier effect."""
    highest: dict[str, Effect] = {}
    for effect in sorted(effects, key=lambda effect: effect.began_us):
        if not effect.accepted:
            continue
        earlier = highest.get(effect.task)
        if earlier is None or effect.token >= earlier.token:
            highest[effect.task] = effect
        elif not effect.fence:
            yield earlier, effect


def shared_tokens(effects: Iterable[Effect]) -> Iterator[tuple[Effect, Effect]]:
    """Yield effects of different nodes with the same token, although each token belongs to a single grant."""
    first: dict[tuple[str, int], Effect] = {}
    for effect in effects:
        if effect.accepted:
            earlier = first.setdefault((effect.task, effect.token), effect)
            if earlier.node != effect.node:
                yield earlier, effect


def repeated_runs(
    effects: Iterable[Effect], non_repeatable_tasks: frozenset[str]
) -> Iterator[tuple[Effect, Effect]]:
    """Yield repeated effects of one run, for the tasks that must not be repeated."""
    latest: dict[tuple[str, int], Effect] = {}
    for effect in effects:
        if effect.did_work and effect.task in non_repeatable_tasks:
            if (effect.task, effect.run) in latest:
                yield latest[effect.task, effect.run], effect
            latest[effect.task, effect.run] = effect


class FencingServer:
    """Rejects requests whose fencing token is below the highest one seen for the task."""

    def __init__(self) -> None:
        """Initialize the server with no tokens seen."""
        self._highest: dict[str, int] = {}

    def accepts(self, task: str, token: int) -> bool:
        """Return whether a request with the token is accepted, and remember the token if it is."""
        if token < self._highest.get(task, 0):
            return False
        self._highest[task] = token
        return True
