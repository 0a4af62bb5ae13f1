"""What the record of the tasks' server proves about leases that moved between versions."""

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


def accepted(acts: Iterable[Effect]) -> list[Effect]:
    """Return the runs of tasks that the server accepted, without the fences."""
    return [act for act in acts if act.accepted and not act.fence]


def latest(acts: Iterable[Effect]) -> dict[str, Effect]:
    """Return the last accepted act of each task."""
    return {act.task: act for act in accepted(acts)}


def changes_of_holder(acts: Iterable[Effect]) -> Iterator[tuple[Effect, Effect]]:
    """Yield the last act of a holder and the first of the next, for each task."""
    last_acts: dict[str, Effect] = {}
    for act in accepted(acts):
        last = last_acts.get(act.task)
        if last is not None and last.node != act.node:
            yield last, act
        last_acts[act.task] = act


def count_crossings(acts: Iterable[Effect], version_of: Mapping[str, str]) -> Counter[tuple[str, str]]:
    """Count changes of holder, by task and by the versions of the two processes, as `old to new`."""
    return Counter(
        (last.task, f"{version_of.get(last.node, 'unknown')} to {version_of.get(first.node, 'unknown')}")
        for last, first in changes_of_holder(acts)
    )


def repeated_under_one_token(acts: Iterable[Effect]) -> Iterator[Effect]:
    """Yield runs accepted twice under one grant.

    Only a later holder may repeat a run, also that of an idempotent task.
    """
    seen: set[tuple[str, int, int]] = set()
    for act in accepted(acts):
        if (act.task, act.run, act.token) in seen:
            yield act
        seen.add((act.task, act.run, act.token))


def judge_acts(acts: Sequence[Effect], unsafe: frozenset[str]) -> list[str]:
    """Return what must not be in the record."""
    found = [f"acts of two holders overlap: {first} {second}" for first, second in overlapping_effects(acts)]
    found += [
        f"an older token was accepted: {first} {second}" for first, second in stale_tokens_accepted(acts)
    ]
    found += [f"two nodes acted under one token: {first} {second}" for first, second in shared_tokens(acts)]
    found += [f"a run was done twice: {first} {second}" for first, second in repeated_runs(acts, unsafe)]
    found += [f"a run was repeated under one token: {act}" for act in repeated_under_one_token(acts)]
    found += [
        f"the token did not grow with the holder: {last} {first}"
        for last, first in changes_of_holder(acts)
        if first.token <= last.token
    ]
    return found
