"""The expected queueing time of an arrival, and the limit above which the arrival is rejected."""

from __future__ import annotations

UNMARKED_RETRY_WAIT_FRACTION = 0.3  # of the latency objective; an unmarked arrival may be a retry


def expected_wait_us(
    requests_ahead: int, us_per_run: float, concurrency_limit: float, higher_weight_share: float, cores: int
) -> float:
    """Return how long a request would wait for its start at the recent rate of runs, in microseconds.

    Later arrivals of higher priority weight will overtake the request. The rate is therefore reduced by their
    recent share of the cores, but at least one core is assumed to remain.

    Args:
        requests_ahead: Waiting requests before it in dispatch order.
        us_per_run: Recent time on the cores per run, in microseconds.
        concurrency_limit: Limit on concurrent runs.
        higher_weight_share: Share of the recent time on the cores spent on higher priority weights, 0 to 1.
        cores: Number of cores of the server.
    """
    remaining_share = max(1 / cores, 1 - higher_weight_share)
    return requests_ahead * us_per_run / concurrency_limit / remaining_share


def latest_acceptable_response_at(
    arrived_at: int, latency_objective_us: int, deadline_at: int, marks_retries: bool
) -> float:
    """Return the time by which a new arrival must be expected to finish to be accepted, in microseconds.

    This is the end of the latency objective, or the deadline if that is sooner. If callers do not mark their
    retries, any arrival may be a retry whose caller has already waited, so only
    `UNMARKED_RETRY_WAIT_FRACTION` of the objective is allowed.

    Args:
        arrived_at: When the request reached the server, in microseconds.
        latency_objective_us: Latency objective of its class, in microseconds.
        deadline_at: Time after which a response no longer counts, in microseconds.
        marks_retries: Whether callers mark retries.
    """
    fraction = 1.0 if marks_retries else UNMARKED_RETRY_WAIT_FRACTION
    return min(arrived_at + fraction * latency_objective_us, deadline_at)
