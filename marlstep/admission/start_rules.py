"""What a request needs before it is started or resumed, apart from its turn in the order of priority."""

from __future__ import annotations

from marlstep.admission.entry import Entry, State

MAX_CONCURRENCY_FRACTION = 0.9  # of the concurrency that the server survives


def max_active_runs(max_concurrency: float) -> float:
    """Return how many runs may be active at once, those off the cores at a call included.

    Runs come back to the cores from their calls whenever these end, so starts stop short of the concurrency
    that the server survives. One run is always allowed, however small this process's part of the server.

    Args:
        max_concurrency: runs on the cores that this process's part of the server survives.
    """
    return max(MAX_CONCURRENCY_FRACTION * max_concurrency, 1.0)


def has_idle_core(running: int, cores: int) -> bool:
    """Return whether fewer requests run than the server has cores.

    A request that is unlikely to be in time starts only then: it takes nothing from the others, and may yet
    end in time.

    Args:
        running: requests on the cores.
        cores: of the server.
    """
    return running < cores


def is_eligible(entry: Entry, last_runnable_arrival_at: int) -> bool:
    """Return whether the rules on draining, idempotency keys and effects let a request run.

    Nothing runs that arrived after the drain's grace period: intake rejects such arrivals, and this holds for
    those queued before the drain was known. A paused run may otherwise resume. A queued
    request with an idempotency key needs its key kept first, so that retries find it; one that has run
    before, and was dropped, may run again only if it is idempotent.

    Args:
        entry: the queued or paused request.
        last_runnable_arrival_at: the latest arrival that may still run, in microseconds; `NEVER` unless
            draining.
    """
    if entry.arrived_at > last_runnable_arrival_at:
        return False
    if entry.state is not State.QUEUED:
        return True
    lacks_kept_key = entry.is_keyed and not entry.key_kept_until
    would_repeat_effect = entry.has_run and not entry.is_idempotent
    return not lacks_kept_key and not would_repeat_effect
