"""Checks of the recorded effects of tasks whose leases moved between versions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence

from marlstep.fault_injection.effects import (
    Effect,
    overlapping_effects,
    repeated_runs,
    shared_tokens,
    stale_tokens_accepted,
)


def accepted(effects: Iterable[Effect]) -> list[Effect]:
    """Return the effects of runs that the server accepted, without those that only announce a token (`fence`)."""
    return [effect for effect in effects if effect.accepted and not effect.fence]


def latest_effects(effects: Iterable[Effect]) -> dict[str, Effect]:
    """Return the latest accepted effect of each task, by task."""
    return {effect.task: effect for effect in accepted(effects)}


def holder_changes(effects: Iterable[Effect]) -> Iterator[tuple[Effect, Effect]]:
    """Yield the last effect of each holder of a task's lease and the first effect of the next holder."""
    last_effects: dict[str, Effect] = {}
    for effect in accepted(effects):
        last = last_effects.get(effect.task)
        if last is not None and last.node != effect.node:
            yield last, effect
        last_effects[effect.task] = effect


def count_crossings(
    effects: Iterable[Effect], version_by_process: Mapping[str, str]
) -> Counter[tuple[str, str]]:
    """Count the changes of holder by task and by the versions of the two processes, as `old to new`.

    Args:
        effects: The recorded effects.
        version_by_process: The version label of each process, by the process's name in the effects.
    """
    return Counter(
        (
            last.task,
            f"{version_by_process.get(last.node, 'unknown')} to {version_by_process.get(first.node, 'unknown')}",
        )
        for last, first in holder_changes(effects)
    )


def runs_repeated_under_one_token(effects: Iterable[Effect]) -> Iterator[Effect]:
    """Yield the effects of runs that were already accepted under the same token.

    A run may only be repeated by a later holder, even if its task is idempotent.
    """
    seen: set[tuple[str, int, int]] = set()
    for effect in accepted(effects):
        if (effect.task, effect.run, effect.token) in seen:
            yield effect
        seen.add((effect.task, effect.run, effect.token))


def check_effects(effects: Sequence[Effect], unsafe_tasks: frozenset[str]) -> list[str]:
    """Return a failure for each contradiction in the recorded effects."""
    failures = [
        f"effects of two holders overlap: {first} {second}" for first, second in overlapping_effects(effects)
    ]
    failures += [
        f"an older token was accepted: {first} {second}" for first, second in stale_tokens_accepted(effects)
    ]
    failures += [f"two nodes used one token: {first} {second}" for first, second in shared_tokens(effects)]
    failures += [
        f"an unsafe run took place twice: {first} {second}"
        for first, second in repeated_runs(effects, unsafe_tasks)
    ]
    failures += [
        f"a run was repeated under one token: {effect}" for effect in runs_repeated_under_one_token(effects)
    ]
    failures += [
        f"the token did not increase with the change of holder: {last} {first}"
        for last, first in holder_changes(effects)
        if first.token <= last.token
    ]
    return failures
