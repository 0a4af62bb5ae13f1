"""The priority weight that a response can still earn, and the order of requests that follows from it.

These rules decide what starts first, what may preempt what, and which requests get their final response
because no run can help them any more.
"""

from __future__ import annotations

from marlstep.admission.entry import Entry, State

MIN_REMAINING_RUN_FRACTION = (
    0.5  # of the class's mean run time; a run with less time left is likely to be late
)


def earliest_response_at(now: int, mean_run_us: float) -> float:
    """Return the earliest time at which a run that starts now is likely to have a response.

    Runs vary: one that is given `MIN_REMAINING_RUN_FRACTION` of the mean may yet end in time, one that is
    given less most likely does not. A run that has begun may end at any time, so this does not apply to it.

    Args:
        now: the time, in microseconds.
        mean_run_us: mean time on the cores of runs of the class, in microseconds; 0 while unknown.
    """
    return now + MIN_REMAINING_RUN_FRACTION * mean_run_us


def expected_response_at(entry: Entry, now: int, mean_run_us: float) -> float:
    """Return the earliest time at which a request is likely to have a response if it runs from now on.

    Args:
        entry: the request; one that has run may end at any time.
        now: the time, in microseconds.
        mean_run_us: mean time on the cores of runs of its class, in microseconds.
    """
    return now if entry.has_run else earliest_response_at(now, mean_run_us)


def attainable_weight(entry: Entry, response_at: float) -> float:
    """Return the priority weight that a response would earn if it were delivered at the given time.

    Within the latency objective it earns the full weight, later the class's late share of it. It earns
    nothing past the deadline, or when no response is owed. A keyed request is the exception: its caller's
    retry shares the result of the run, so it earns its weight without a waiting caller, and until its
    objective even if the caller stops waiting earlier.

    Args:
        entry: the request.
        response_at: when the response can be delivered, in microseconds.
    """
    last_useful_at = entry.deadline_at
    if entry.is_keyed:
        last_useful_at = max(entry.deadline_at, entry.objective_at)
    elif not entry.response_owed:
        return 0.0
    if response_at > last_useful_at:
        return 0.0
    if response_at > entry.objective_at:
        return entry.priority_weight * entry.request_class.late_response_factor
    return entry.priority_weight


def can_be_on_time(entry: Entry, response_at: float) -> bool:
    """Return whether a caller waits and a response at the given time would meet objective and deadline.

    Such a request is neither ended early nor preempted for lack of weight, even if its weight is 0.

    Args:
        entry: the request.
        response_at: when the response can be delivered, in microseconds.
    """
    meets_objective = response_at <= entry.objective_at
    meets_deadline = response_at <= entry.deadline_at
    return entry.response_owed and meets_objective and meets_deadline


def dispatch_order(entry: Entry) -> tuple[float, int, int]:
    """Return the sort key of a request: what sorts first is started first and preempted last.

    The higher priority goes first. Within a priority, paused runs sort by their arrival and queued requests
    by the end of their objective, which puts paused runs ahead of requests queued in the same class; then the
    oldest.
    """
    due_at = entry.objective_at if entry.state is State.QUEUED else entry.arrived_at
    return (-entry.priority, due_at, entry.arrival_number)
