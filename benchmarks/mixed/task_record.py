"""What the record of the tasks' server proves about leases that moved between versions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence

from marlstep.drill.acts import Act, late_accepted, overlaps, run_twice, shared_tokens


def accepted(acts: Iterable[Act]) -> list[Act]:
    return [act for act in acts if act.accepted and not act.fence]


def latest(acts: Iterable[Act]) -> dict[str, Act]:
    """The last accepted act of each task."""
    return {act.task: act for act in accepted(acts)}


def changes_of_holder(acts: Iterable[Act]) -> Iterator[tuple[Act, Act]]:
    """The last act of a holder and the first of the next, for each task."""
    before: dict[str, Act] = {}
    for act in accepted(acts):
        last = before.get(act.task)
        if last is not None and last.node != act.node:
            yield last, act
        before[act.task] = act


def count_crossings(acts: Iterable[Act], version_of: Mapping[str, str]) -> Counter[tuple[str, str]]:
    """Changes of holder, by task and by the versions of the two processes: as `old to new`."""
    return Counter(
        (one.task, f"{version_of.get(one.node, 'unknown')} to {version_of.get(other.node, 'unknown')}")
        for one, other in changes_of_holder(acts)
    )


def repeated_under_one_token(acts: Iterable[Act]) -> Iterator[Act]:
    """A run that was accepted twice under one grant: also a safe task is repeated by a later holder alone."""
    seen: set[tuple[str, int, int]] = set()
    for act in accepted(acts):
        if (act.task, act.run, act.token) in seen:
            yield act
        seen.add((act.task, act.run, act.token))


def judge_acts(acts: Sequence[Act], unsafe: frozenset[str]) -> list[str]:
    """What must not be in the record."""
    found = [f"acts of two holders overlap: {one} {other}" for one, other in overlaps(acts)]
    found += [f"an older token was accepted: {one} {other}" for one, other in late_accepted(acts)]
    found += [f"two nodes acted under one token: {one} {other}" for one, other in shared_tokens(acts)]
    found += [f"a run was done twice: {one} {other}" for one, other in run_twice(acts, unsafe)]
    found += [f"a run was repeated under one token: {act}" for act in repeated_under_one_token(acts)]
    found += [
        f"the token did not grow with the holder: {one} {other}"
        for one, other in changes_of_holder(acts)
        if other.token <= one.token
    ]
    return found
