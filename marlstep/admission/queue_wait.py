"""How long an arrival would wait in the queue, and when that is too long to accept it."""

from __future__ import annotations

UNMARKED_RETRY_WAIT_FRACTION = 0.3  # of the latency objective; an arrival that is not marked may be a retry


def expected_wait_us(
    requests_ahead: int, us_per_run: float, concurrency_limit: float, higher_weight_share: float, cores: int
) -> float:
    """Return how long a request waits for its start if the recent rate of runs goes on, in microseconds.

    Requests of higher priority weight that arrive later go ahead of it: the share of the cores that they used
    lately is taken off the rate, down to one core.

    Args:
        requests_ahead: requests before it in dispatch order that also wait.
        us_per_run: recent time on the cores per run, in microseconds.
        concurrency_limit: how many run at once.
        higher_weight_share: share of the recent time on the cores spent on higher priority weights, 0 to 1.
        cores: of the server.
    """
    remaining_share = max(1 / cores, 1 - higher_weight_share)
    return requests_ahead * us_per_run / concurrency_limit / remaining_share


def latest_acceptable_response_at(
    arrived_at: int, latency_objective_us: int, deadline_at: int, marks_retries: bool
) -> float:
    """Return the time by which a new arrival has to be done, in microseconds.

    It is the end of the latency objective, or the deadline if that is sooner. If callers do not mark their
    retries, any arrival may be one whose caller has waited before; then only a part of the objective is left
    to it.

    Args:
        arrived_at: when the request reached the server, in microseconds.
        latency_objective_us: of its class, in microseconds.
        deadline_at: after which no response counts, in microseconds.
        marks_retries: whether callers mark a retry as one.
    """
    fraction = 1.0 if marks_retries else UNMARKED_RETRY_WAIT_FRACTION
    return min(arrived_at + fraction * latency_objective_us, deadline_at)
