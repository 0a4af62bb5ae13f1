"""The priority weight that a response can still earn, and the dispatch order of requests based on it.

These rules decide which request starts first, which may preempt which, and which get their final response
because a run can no longer earn anything.
"""

from __future__ import annotations

from marlstep.admission.entry import Entry, State

# Of the class's mean run time; a run with less time left is likely to be late.
MIN_REMAINING_RUN_FRACTION = 0.5


def earliest_response_at(now: int, mean_run_us: float) -> float:
    """Return the earliest time at which a run that starts now is likely to have a response.

    Run times vary: a run with `MIN_REMAINING_RUN_FRACTION` of the mean left may still end in time, one with
    less most likely does not. Runs that have begun are excluded, since they may end at any time.

    Args:
        now: The current time, in microseconds.
        mean_run_us: Mean time on the cores of runs of the class, in microseconds; 0 while unknown.
    """
    return now + MIN_REMAINING_RUN_FRACTION * mean_run_us


def expected_response_at(entry: Entry, now: int, mean_run_us: float) -> float:
    """Return the earliest time at which a request is likely to have a response if it runs from now on.

    Args:
        entry: The request; one that has run may end at any time.
        now: The current time, in microseconds.
        mean_run_us: Mean time on the cores of runs of its class, in microseconds.
    """
    return now if entry.has_run else earliest_response_at(now, mean_run_us)


def attainable_weight(entry: Entry, response_at: float) -> float:
    """Return the priority weight that a response would earn if it were delivered at the given time.

    Within the latency objective a response earns the full weight, and later the class's late share of it. It
    earns nothing past the deadline, or if no response is owed. Keyed requests are an exception, since a retry
    by the caller shares the result of the run: they earn their weight without a waiting caller, and until the
    objective even if the caller stops waiting earlier.

    Args:
        entry: The request.
        response_at: When the response can be delivered, in microseconds.
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

    Such a request is neither ended early nor preempted for a lack of priority weight, even if that is 0.

    Args:
        entry: The request.
        response_at: When the response can be delivered, in microseconds.
    """
    meets_objective = response_at <= entry.objective_at
    meets_deadline = response_at <= entry.deadline_at
    return entry.response_owed and meets_objective and meets_deadline


def dispatch_order(entry: Entry) -> tuple[float, int, int]:
    """Return the sort key of a request: requests that sort first are started first and preempted last.

    Requests sort by descending priority. Within a priority, paused runs sort by their arrival and queued
    requests by the end of their objective, which puts paused runs ahead of queued requests of the same class.
    Ties are broken by the order of arrival.
    """
    due_at = entry.objective_at if entry.state is State.QUEUED else entry.arrived_at
    return (-entry.priority, due_at, entry.arrival_number)
