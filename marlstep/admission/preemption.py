"""Preemption rules: which run is stopped for a request of higher priority, and its state afterwards."""

from __future__ import annotations

from collections.abc import Iterable

from marlstep.admission.entry import Entry, State
from marlstep.admission.priority import dispatch_order
from marlstep.admission.settings import PreemptionMode


def may_preempt(mode: PreemptionMode, entry: Entry) -> bool:
    """Return whether a run may be preempted at all.

    A paused run keeps its progress, so any run may be paused. A dropped run starts over, so while its caller
    waits only runs of idempotent requests may be dropped: the effect of any other may be half done.

    Args:
        mode: What the server does with a preempted run.
        entry: The running request.
    """
    if mode is PreemptionMode.NONE:
        return False
    if mode is PreemptionMode.PAUSE:
        return True
    return entry.is_idempotent or not entry.response_owed


def lowest_preemptible(runs: Iterable[Entry], below_priority: float, mode: PreemptionMode) -> Entry | None:
    """Return the run to preempt for a request of the given priority, or None if there is none.

    This is the last run in dispatch order with a lower priority. Runs of the same priority are excluded,
    since equal requests would otherwise keep preempting each other.

    Args:
        runs: The running requests.
        below_priority: Priority of the request to be started.
        mode: What the server does with a preempted run.
    """
    candidates = [entry for entry in runs if entry.priority < below_priority and may_preempt(mode, entry)]
    return max(candidates, key=dispatch_order, default=None)


def state_after_preemption(mode: PreemptionMode) -> State:
    """Return the state of a run that has stopped: paused if it keeps its progress, else queued again."""
    return State.PAUSED if mode is PreemptionMode.PAUSE else State.QUEUED
