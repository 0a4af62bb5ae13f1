"""Preemption: which run is stopped for a request of higher priority, and what becomes of it."""

from __future__ import annotations

from collections.abc import Iterable

from marlstep.admission.entry import Entry, State
from marlstep.admission.priority import dispatch_order
from marlstep.admission.settings import PreemptionMode


def may_preempt(mode: PreemptionMode, entry: Entry) -> bool:
    """Return whether a run may be preempted at all.

    A paused run keeps its progress, so any run may be paused. A dropped run starts again from nothing, so
    while its caller waits that is allowed for idempotent requests only, since the effect of any other may be
    half done.

    Args:
        mode: what the server does with a preempted run.
        entry: the request that runs.
    """
    if mode is PreemptionMode.NONE:
        return False
    if mode is PreemptionMode.PAUSE:
        return True
    return entry.is_idempotent or not entry.response_owed


def lowest_preemptible(runs: Iterable[Entry], below_priority: float, mode: PreemptionMode) -> Entry | None:
    """Return the run to preempt for a request of the given priority, or None if there is none.

    It is the last in dispatch order of those below the priority: a run never gives way to one of its own
    priority, or equal requests would preempt each other in turn.

    Args:
        runs: the requests that run.
        below_priority: the priority of the request that needs the place.
        mode: what the server does with a preempted run.
    """
    candidates = [entry for entry in runs if entry.priority < below_priority and may_preempt(mode, entry)]
    return max(candidates, key=dispatch_order, default=None)


def state_after_preemption(mode: PreemptionMode) -> State:
    """Return where a run stands once it has stopped: paused if it keeps its progress, else queued again."""
    return State.PAUSED if mode is PreemptionMode.PAUSE else State.QUEUED
