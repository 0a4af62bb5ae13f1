"""Conditions for starting or resuming a request, other than its position in dispatch order."""

from __future__ import annotations

from marlstep.admission.entry import Entry, State

MAX_CONCURRENCY_FRACTION = 0.9  # of the concurrency that the server survives


def max_active_runs(max_concurrency: float) -> float:
    """Return how many runs may be active at once, including those off the cores at a call.

    Runs return to the cores whenever their calls end, so the maximum is below the concurrency that the server
    survives. One run is always allowed, however small this process's portion of the server.

    Args:
        max_concurrency: How many runs on the cores this process's portion of the server survives.
    """
    return max(MAX_CONCURRENCY_FRACTION * max_concurrency, 1.0)


def has_idle_core(running: int, cores: int) -> bool:
    """Return whether fewer requests run than the server has cores.

    A request that is unlikely to be in time is started only on an idle core, where it delays no other request
    and may still finish in time.

    Args:
        running: Number of requests on the cores.
        cores: Number of cores of the server.
    """
    return running < cores


def is_eligible(entry: Entry, last_runnable_arrival_at: int) -> bool:
    """Return whether the rules on draining, idempotency keys and effects allow a request to run.

    Requests that arrived after the drain's grace period never run. Intake rejects such arrivals; the check
    here covers those queued before the shutdown notice arrived. Other paused runs may resume. A queued
    request with an idempotency key runs only once its key is kept, so that retries find it. A queued request
    that has run before, and was dropped, may run again only if it is idempotent.

    Args:
        entry: The queued or paused request.
        last_runnable_arrival_at: Latest arrival time of requests that may still run, in microseconds; `NEVER`
            unless draining.
    """
    if entry.arrived_at > last_runnable_arrival_at:
        return False
    if entry.state is not State.QUEUED:
        return True
    lacks_kept_key = entry.is_keyed and not entry.key_kept_until
    would_repeat_effect = entry.has_run and not entry.is_idempotent
    return not lacks_kept_key and not would_repeat_effect
